#ifndef FIGTURN_PROTOCOL_OBJECTSTORE_H
#define FIGTURN_PROTOCOL_OBJECTSTORE_H

/**
 * The platform's object API as a typed asynchronous interface. Everything that
 * VMs must agree on or persist is written against it, and so works with any
 * store that has versions, conditional updates and watches, including a fake in
 * tests.
 *
 * Each handler runs once, asynchronously, on the calling thread, unless the
 * store is destroyed first.
 */

#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace figturn {

/** Version of an object; increases across the whole store with each write. */
using ObjectVersion = std::uint64_t;

/** Result of an operation on one object. */
struct ObjectResult {
  /** Not set if the operation took effect. ObjectNotFound, VersionConflict and
   *  BodyTooLarge: the store rejected it. PlatformUnavailable: it was not
   *  executed. OutcomeUnknown: the reply to a write was lost; the write may
   *  have taken effect or may still do so. */
  std::error_code m_Error;
  /** Version read or written; the current one after a VersionConflict. */
  ObjectVersion m_Version = 0;
  std::string m_Body; ///< Value read; empty for writes.
};

/** Precondition of a write. */
class WriteCondition {
public:
  /** Writes unconditionally. */
  static WriteCondition always() { return {}; }
  /** Writes only if the object does not exist. */
  static WriteCondition ifAbsent() { return WriteCondition(0); }
  /** Writes only if the object still has \p Version. */
  static WriteCondition ifVersion(ObjectVersion Version) {
    return WriteCondition(Version);
  }

  bool isAlways() const { return !m_Version; }
  bool isIfAbsent() const { return m_Version == ObjectVersion{0}; }
  /** The required version; 0 for always() and ifAbsent(). */
  ObjectVersion version() const { return m_Version.value_or(0); }

  bool operator==(const WriteCondition &) const = default;

private:
  WriteCondition() = default;
  explicit WriteCondition(ObjectVersion Version) : m_Version(Version) {}

  std::optional<ObjectVersion> m_Version;
};

/** An object's path and version, as returned by list(). */
struct ObjectEntry {
  std::string m_Path;
  ObjectVersion m_Version = 0;
};

/** Result of list(). */
struct ObjectListing {
  std::error_code m_Error; ///< Not set or PlatformUnavailable.
  std::vector<ObjectEntry> m_Objects;
};

/** The store. All calls come from one thread. */
class ObjectStore {
public:
  using ResultHandler = std::function<void(ObjectResult)>;
  using ListHandler = std::function<void(ObjectListing)>;

  virtual ~ObjectStore() = default;

  /** Reads \p Path. The result may be older than the last write. */
  virtual void get(const std::string &Path, ResultHandler OnResult) = 0;

  /** Writes \p Body to \p Path if \p Condition holds. */
  virtual void put(const std::string &Path, std::string Body,
                   WriteCondition Condition, ResultHandler OnResult) = 0;

  /** Deletes \p Path if \p Condition (not ifAbsent()) holds. */
  virtual void remove(const std::string &Path, WriteCondition Condition,
                      ResultHandler OnResult) = 0;

  /** Waits up to \p Wait for a version of \p Path later than \p After. On
   *  timeout the result has no error, version \p After and no body. */
  virtual void watch(const std::string &Path, ObjectVersion After,
                     milliseconds Wait, ResultHandler OnResult) = 0;

  /** Lists the objects whose paths start with \p Prefix. */
  virtual void list(const std::string &Prefix, ListHandler OnListing) = 0;
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_OBJECTSTORE_H

#ifndef FIGTURN_STANDIN_OBJECTTABLE_H
#define FIGTURN_STANDIN_OBJECTTABLE_H

/** In-memory objects with store-wide versions and conditional writes. */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figturn::standin {

/** Value of an object at one version. */
struct StoredObject {
  std::uint64_t m_Version = 0;
  std::string m_Body;
};

/** Precondition of a write: none, object absent, or object at a version. */
struct WritePrecondition {
  bool m_IfAbsent = false;
  std::optional<std::uint64_t> m_IfVersion;
};

class ObjectTable {
public:
  /** Maximum size of an object's body. */
  static constexpr std::size_t MaxBodyBytes = std::size_t{1} << 20;

  /** Current object, or nullptr. */
  const StoredObject *find(const std::string &Path) const;
  /** Value before the last write, or the current one if there is none. */
  const StoredObject *findPrevious(const std::string &Path) const;
  /** Whether the object now meets \p Precondition. */
  bool allows(const std::string &Path,
              const WritePrecondition &Precondition) const;
  /** Writes unconditionally; returns the new version. */
  std::uint64_t put(const std::string &Path, std::string Body);
  /** Deletes the object; returns the version of the deletion. */
  std::uint64_t remove(const std::string &Path);
  /** Paths that begin with \p Prefix, with their versions. */
  std::vector<std::pair<std::string, std::uint64_t>>
  list(const std::string &Prefix) const;

private:
  std::map<std::string, StoredObject> m_Objects;
  std::map<std::string, StoredObject> m_Previous;
  std::uint64_t m_LastVersion = 0;
};

} // namespace figturn::standin

#endif // FIGTURN_STANDIN_OBJECTTABLE_H

#ifndef FIGTURN_STANDIN_OBJECTTABLE_H
#define FIGTURN_STANDIN_OBJECTTABLE_H

/** Objects with store-wide versions and conditional updates, in memory. */

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

/** What must hold of an object for a write: none, absent, or a version. */
struct WritePrecondition {
  bool m_IfAbsent = false;
  std::optional<std::uint64_t> m_IfVersion;
};

/** The table. */
class ObjectTable {
public:
  /** Largest body that a write may bear. */
  static constexpr std::size_t MaxBodyBytes = std::size_t{1} << 20;

  /** The object, or nullptr. */
  const StoredObject *find(const std::string &Path) const;
  /** The value before the last write, or the present one if there is none. */
  const StoredObject *findPrevious(const std::string &Path) const;
  /** Whether a write under \p Guard would take effect now. */
  bool allows(const std::string &Path, const WritePrecondition &Guard) const;
  /** Writes in any case; returns the new version. */
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

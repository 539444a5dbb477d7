#include "standin/ObjectTable.h"

namespace figturn::standin {

const StoredObject *ObjectTable::find(const std::string &Path) const {
  const auto Found = m_Objects.find(Path);
  return Found == m_Objects.end() ? nullptr : &Found->second;
}

const StoredObject *ObjectTable::findPrevious(const std::string &Path) const {
  const auto Found = m_Previous.find(Path);
  return Found == m_Previous.end() ? find(Path) : &Found->second;
}

bool ObjectTable::allows(const std::string &Path,
                         const WritePrecondition &Precondition) const {
  const StoredObject *Current = find(Path);
  if (Precondition.m_IfAbsent && Current != nullptr)
    return false;
  if (!Precondition.m_IfVersion)
    return true;
  return Current != nullptr && Current->m_Version == *Precondition.m_IfVersion;
}

std::uint64_t ObjectTable::put(const std::string &Path, std::string Body) {
  if (const StoredObject *Current = find(Path))
    m_Previous[Path] = *Current;
  m_Objects[Path] = {.m_Version = ++m_LastVersion, .m_Body = std::move(Body)};
  return m_LastVersion;
}

std::uint64_t ObjectTable::remove(const std::string &Path) {
  m_Previous.erase(Path);
  m_Objects.erase(Path);
  return ++m_LastVersion;
}

std::vector<std::pair<std::string, std::uint64_t>>
ObjectTable::list(const std::string &Prefix) const {
  std::vector<std::pair<std::string, std::uint64_t>> Entries;
  for (auto Entry = m_Objects.lower_bound(Prefix);
       Entry != m_Objects.end() && Entry->first.starts_with(Prefix); ++Entry)
    Entries.emplace_back(Entry->first, Entry->second.m_Version);
  return Entries;
}

} // namespace figturn::standin

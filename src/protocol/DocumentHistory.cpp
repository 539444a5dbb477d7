#include "protocol/DocumentHistory.h"

#include "protocol/JsonConvert.h"

#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace figturn {

namespace {

// Fields of changes; they are exchanged only between figturn's VMs.
constexpr const char *BaseVersion = "base";
constexpr const char *OtherFields = "fields";
constexpr const char *ChangedEntries = "changed";
constexpr const char *RemovedNames = "removed";
constexpr const char *EntryCount = "count";

} // namespace

bool DocumentHistory::readEntries(const QJsonObject &Document,
                                  std::map<QString, Entry> &Entries) const {
  for (const auto &Each : Document.value(m_Options.m_ListField).toArray()) {
    const QJsonObject Content = Each.toObject();
    const QString Name = Content.value(m_Options.m_NameField).toString();
    if (Name.isEmpty() || !Entries.try_emplace(Name, Entry{Content}).second)
      return false;
  }
  return true;
}

void DocumentHistory::set(std::uint64_t Version, QJsonObject Document) {
  std::map<QString, Entry> Entries;
  const bool IsNamed = readEntries(Document, Entries);
  m_Document = std::move(Document);
  // Without unique names, changes can't be told apart.
  if (!IsNamed)
    Entries.clear();
  if (m_Entries.empty() || Entries.empty()) {
    m_RemovedIn.clear();
    m_Versions.clear();
  }
  for (auto &[Name, Current] : Entries) {
    const auto Previous = m_Entries.find(Name);
    const bool IsUnchanged = Previous != m_Entries.end() &&
                             Previous->second.m_Content == Current.m_Content;
    Current.m_ChangedIn = IsUnchanged ? Previous->second.m_ChangedIn : Version;
    m_RemovedIn.erase(Name);
  }
  for (const auto &[Name, Previous] : m_Entries)
    if (!Entries.contains(Name))
      m_RemovedIn[Name] = Version;
  m_Entries = std::move(Entries);
  m_Versions.push_back(Version);
  while (m_Versions.size() > m_Options.m_MaxVersions)
    m_Versions.pop_front();
  std::erase_if(m_RemovedIn, [this](const auto &Each) {
    return Each.second <= m_Versions.front();
  });
}

std::optional<QJsonObject>
DocumentHistory::changesSince(std::uint64_t Base) const {
  const bool IsKnown =
      std::find(m_Versions.begin(), m_Versions.end(), Base) != m_Versions.end();
  if (!IsKnown || m_Entries.empty())
    return std::nullopt;
  QJsonObject Fields = m_Document;
  Fields.remove(m_Options.m_ListField);
  QJsonArray Changed;
  for (const auto &[Name, Each] : m_Entries)
    if (Each.m_ChangedIn > Base)
      Changed.append(Each.m_Content);
  QJsonArray Removed;
  for (const auto &[Name, Version] : m_RemovedIn)
    if (Version > Base)
      Removed.append(Name);
  return QJsonObject{{BaseVersion, toJson(Base)},
                     {OtherFields, Fields},
                     {ChangedEntries, Changed},
                     {RemovedNames, Removed},
                     {EntryCount, toJson(m_Entries.size())}};
}

std::optional<QJsonObject>
DocumentHistory::apply(const QJsonObject &Changes) const {
  if (m_Entries.empty() || countAt(Changes, BaseVersion) != version())
    return std::nullopt;
  std::map<QString, QJsonObject> Entries;
  for (const auto &[Name, Each] : m_Entries)
    Entries[Name] = Each.m_Content;
  for (const auto &Each : Changes.value(RemovedNames).toArray())
    Entries.erase(Each.toString());
  for (const auto &Each : Changes.value(ChangedEntries).toArray()) {
    const QJsonObject Content = Each.toObject();
    Entries[Content.value(m_Options.m_NameField).toString()] = Content;
  }
  if (countAt(Changes, EntryCount) != Entries.size())
    return std::nullopt;
  QJsonArray List;
  for (const auto &[Name, Content] : Entries)
    List.append(Content);
  QJsonObject Document = Changes.value(OtherFields).toObject();
  Document.insert(m_Options.m_ListField, List);
  return Document;
}

} // namespace figturn

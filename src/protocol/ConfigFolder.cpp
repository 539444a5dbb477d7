#include "protocol/ConfigFolder.h"

#include <QDir>
#include <algorithm>

namespace figturn {

namespace {

/** Erases the origins of all members of the object at \p Path. */
void eraseOriginsUnder(JsonOrigins &Origins, const std::string &Path) {
  const std::string Prefix = Path + ".";
  auto First = Origins.lower_bound(Prefix);
  auto Last = First;
  while (Last != Origins.end() && Last->first.starts_with(Prefix))
    ++Last;
  Origins.erase(First, Last);
}

/** Applies JSON merge patches and updates the origins of values. */
class Merger {
public:
  Merger(JsonOrigins &Origins, const JsonOrigins &PatchOrigins)
      : m_Origins(Origins), m_PatchOrigins(PatchOrigins) {}

  void merge(QJsonObject &Destination, const QJsonObject &Patch,
             const std::string &Path) {
    for (auto It = Patch.begin(); It != Patch.end(); ++It)
      mergeMember(Destination, It.key(), It.value(),
                  joinPath(Path, It.key().toStdString()));
  }

private:
  void mergeMember(QJsonObject &Destination, const QString &Key,
                   const QJsonValue &Value, const std::string &Path) {
    if (Value.isNull()) {
      Destination.remove(Key);
      eraseOriginsUnder(m_Origins, Path);
      m_Origins.erase(Path);
      return;
    }
    if (!Value.isObject()) {
      Destination.insert(Key, Value);
      eraseOriginsUnder(m_Origins, Path);
      copyOrigin(Path);
      return;
    }
    const bool WasObject = Destination.value(Key).isObject();
    if (!WasObject)
      copyOrigin(Path);
    QJsonObject Merged = Destination.value(Key).toObject();
    merge(Merged, Value.toObject(), Path);
    Destination.insert(Key, Merged);
  }

  void copyOrigin(const std::string &Path) {
    if (const auto Found = m_PatchOrigins.find(Path);
        Found != m_PatchOrigins.end())
      m_Origins[Path] = Found->second;
  }

  JsonOrigins &m_Origins;
  const JsonOrigins &m_PatchOrigins;
};

// Sorts by bytes, because Qt's own order ignores case and the merge order must
// be the same everywhere.
std::vector<std::string> jsonFiles(const QDir &Folder) {
  std::vector<std::string> Names;
  for (const QString &Name : Folder.entryList({"*.json"}, QDir::Files))
    Names.push_back(Name.toStdString());
  std::sort(Names.begin(), Names.end());
  return Names;
}

MergedConfig folderProblem(const std::string &Folder, std::string Expected) {
  MergedConfig Merged;
  Merged.m_Problems.push_back(
      {.m_Origin = {.m_File = Folder}, .m_Expected = std::move(Expected)});
  return Merged;
}

} // namespace

void mergePatch(MergedConfig &Merged, const JsonText &Patch) {
  Merger(Merged.m_Origins, Patch.m_Origins)
      .merge(Merged.m_Object, Patch.m_Object, "");
}

MergedConfig readConfigFolder(const std::string &Folder) {
  const QDir Directory(QString::fromStdString(Folder));
  if (!Directory.exists())
    return folderProblem(Folder, "an existing directory");
  const std::vector<std::string> Names = jsonFiles(Directory);
  if (Names.empty())
    return folderProblem(Folder, "a directory with at least one *.json file");
  MergedConfig Merged;
  for (const std::string &Name : Names) {
    const std::string File =
        Directory.filePath(QString::fromStdString(Name)).toStdString();
    const JsonText Text = readJsonFile(File);
    Merged.m_Problems.insert(Merged.m_Problems.end(), Text.m_Problems.begin(),
                             Text.m_Problems.end());
    mergePatch(Merged, Text);
  }
  return Merged;
}

} // namespace figturn

#ifndef FIGTURN_PROTOCOL_DOCUMENTHISTORY_H
#define FIGTURN_PROTOCOL_DOCUMENTHISTORY_H

/**
 * The latest version of a JSON document with a long list of named entries, and
 * what changed in it since earlier versions. VMs copy changes instead of the
 * whole document: a document of a megabyte, of which a few hundred bytes
 * change, would otherwise occupy a small VM's link for seconds.
 */

#include <QJsonObject>
#include <QString>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace figturn {

/** Names in the document and limits. */
struct DocumentHistoryOptions {
  QString m_ListField; ///< Field of the document that holds the list.
  QString m_NameField; ///< Field of an entry that holds its unique name.
  /** Number of earlier versions whose changes are known. */
  std::size_t m_MaxVersions = 64;
};

/** Versions of one document. Not thread-safe. */
class DocumentHistory {
public:
  explicit DocumentHistory(DocumentHistoryOptions Options)
      : m_Options(std::move(Options)) {}

  /** Replaces the document. \p Version must be higher than the present one. */
  void set(std::uint64_t Version, QJsonObject Document);
  /** Version of the document; 0 if there is none yet. */
  std::uint64_t version() const {
    return m_Versions.empty() ? 0 : m_Versions.back();
  }
  const QJsonObject &document() const { return m_Document; }

  /** What turns the document of version \p Base into the present one; none if
   *  that version is not known. */
  std::optional<QJsonObject> changesSince(std::uint64_t Base) const;
  /** The document that results from \p Changes, which another VM's
   *  changesSince() returned; none if they don't apply to the present one. */
  std::optional<QJsonObject> apply(const QJsonObject &Changes) const;

private:
  struct Entry {
    QJsonObject m_Content;
    std::uint64_t m_ChangedIn = 0; ///< Version of its last change.
  };

  bool readEntries(const QJsonObject &Document,
                   std::map<QString, Entry> &Entries) const;

  DocumentHistoryOptions m_Options;
  QJsonObject m_Document;
  std::map<QString, Entry> m_Entries;
  std::map<QString, std::uint64_t> m_RemovedIn; ///< Version, by name.
  /** Versions whose changes are known, in ascending order. */
  std::deque<std::uint64_t> m_Versions;
};

} // namespace figturn

#endif // FIGTURN_PROTOCOL_DOCUMENTHISTORY_H

#ifndef FIGTURN_PROTOCOL_CONFIGFOLDER_H
#define FIGTURN_PROTOCOL_CONFIGFOLDER_H

/**
 * Reads the configuration from a directory of JSON files. The files are
 * merged in the order of their names as JSON merge patches (RFC 7396), so a
 * later file overrides an earlier one. The file and line of each value are
 * kept for error messages and for operators.
 */

#include "protocol/JsonText.h"

#include <QJsonObject>
#include <string>
#include <vector>

namespace figturn {

/** The merged files of a configuration directory. */
struct MergedConfig {
  QJsonObject m_Object;
  /** For each value the position that set it last; for each object the
   *  position that created it. */
  JsonOrigins m_Origins;
  JsonProblems m_Problems; ///< If not empty, the rest is invalid.
};

/** Applies \p Patch to \p Merged as a JSON merge patch. */
void mergePatch(MergedConfig &Merged, const JsonText &Patch);

/** Reads and merges the *.json files in the directory \p Folder. */
MergedConfig readConfigFolder(const std::string &Folder);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_CONFIGFOLDER_H

#ifndef FIGTURN_PROTOCOL_JSONPROBLEM_H
#define FIGTURN_PROTOCOL_JSONPROBLEM_H

/**
 * Problems in JSON written by people: the position, the value found and the
 * value expected. Decoders report all problems rather than the first, so that
 * a file can be corrected after one run of `figturn check`.
 */

#include <cstddef>
#include <string>
#include <vector>

namespace figturn {

/** Position of a value in a file; lines and columns start at 1. */
struct JsonOrigin {
  std::string m_File;     ///< Empty if the text was not read from a file.
  std::size_t m_Line = 0; ///< 0: the file as a whole.
  std::size_t m_Column = 0;
};

/** One problem. */
struct JsonProblem {
  JsonOrigin m_Origin;
  std::string m_Path;     ///< Keys joined by '.', for example "targets.wd-01".
  std::string m_Value;    ///< As compact JSON; empty if there is none.
  std::string m_Expected; ///< For example "a number from 1 to 100".

  /** A one-line error message. */
  std::string describe() const;
};

using JsonProblems = std::vector<JsonProblem>;

/** The messages of all problems, one per line. */
std::string describeProblems(const JsonProblems &Problems);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_JSONPROBLEM_H

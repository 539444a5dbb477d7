#ifndef FIGTURN_STATE_VERDICT_H
#define FIGTURN_STATE_VERDICT_H

/**
 * Whether a request may have run, and the refusal that tells its caller. A
 * refusal is the only way in which figturn declines to answer; its verdict
 * speaks of the request as its idempotency key names it, not of one attempt.
 */

#include "state/Errc.h"

#include <string>
#include <string_view>
#include <system_error>

namespace figturn {

/** Whether a request may have run at a target. */
enum class RunVerdict {
  NotRun,     ///< No byte of it reached a target; it is safe to send again.
  MayHaveRun, ///< It was sent, or another attempt may have been.
  Ran         ///< A target ran it and said so.
};

/** The verdict's name in answers and logs: not-run, may-have-run or ran. */
std::string_view verdictName(RunVerdict Verdict);

/** Reads a verdict's name; an unknown name is read as MayHaveRun. */
RunVerdict parseVerdict(std::string_view Name);

/** The less certain of two verdicts about parts of one request. */
RunVerdict combineVerdicts(RunVerdict Left, RunVerdict Right);

/** An answer that declines a request: what a caller may rely on, and why. */
struct Refusal {
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  std::error_code m_Reason;
  std::string m_Message; ///< For a person: what was wrong, what to do.
};

} // namespace figturn

#endif // FIGTURN_STATE_VERDICT_H

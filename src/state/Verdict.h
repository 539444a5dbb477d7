#ifndef FIGTURN_STATE_VERDICT_H
#define FIGTURN_STATE_VERDICT_H

/**
 * Whether a request may have run, and the refusal that reports it to the
 * caller. figturn declines a request only by a refusal. The verdict applies to
 * the request as identified by its idempotency key, not to a single attempt.
 */

#include "state/Errc.h"

#include <string>
#include <string_view>
#include <system_error>

namespace figturn {

/** Whether a request may have run at a target. */
enum class RunVerdict {
  NotRun,     ///< No byte of it reached a target; it is safe to resend.
  MayHaveRun, ///< It was sent, or another attempt may have been.
  Ran         ///< A target ran it and confirmed that.
};

/** Name of the verdict in replies and logs: not-run, may-have-run or ran. */
std::string_view verdictName(RunVerdict Verdict);

/** Parses a verdict's name; an unknown name is read as MayHaveRun. */
RunVerdict parseVerdict(std::string_view Name);

/** The verdict on a request from those on two parts of it: MayHaveRun unless
 *  they are equal. */
RunVerdict combineVerdicts(RunVerdict Left, RunVerdict Right);

/**
 * A reply that declines a request, with what the caller may rely on and the
 * reason.
 */
struct Refusal {
  RunVerdict m_Verdict = RunVerdict::MayHaveRun;
  std::error_code m_Reason;
  std::string m_Message; ///< Human-readable: what was wrong and what to do.
};

} // namespace figturn

#endif // FIGTURN_STATE_VERDICT_H

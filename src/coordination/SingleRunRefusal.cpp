#include "coordination/SingleRunRefusal.h"

#include <string>
#include <string_view>

namespace figturn {

namespace {

std::string_view notRunMessage(const std::error_code &Reason) {
  if (Reason == Errc::PlatformUnavailable)
    return "The request was not run: the platform's store could not record "
           "it. Send it again with the same key.";
  if (Reason == Errc::AttemptInProgress)
    return "The request was not run: an overlapping attempt with this key "
           "was withdrawn. Send it again with the same key.";
  return "The request was not run. Send it again with the same key.";
}

std::string_view mayHaveRunMessage(const std::error_code &Reason) {
  if (Reason == Errc::PlatformUnavailable)
    return "This attempt was not run, but an earlier one with the same key "
           "may have been: the platform's store is unavailable. Send it "
           "again with the same key to learn the outcome.";
  if (Reason == Errc::KeyReused)
    return "This request was not run: its key was used before for a "
           "different request, which may have run. Use a new key.";
  if (Reason == Errc::AttemptInProgress)
    return "Another attempt with this key is still in progress. Send it again "
           "with the same key to learn the outcome.";
  if (Reason == Errc::AttemptLost)
    return "The attempt that held this request was lost before its outcome "
           "was recorded. Check whether it took effect before you use a new "
           "key.";
  return "The request was sent and its outcome is not known yet. Send it "
         "again with the same key; it won't run twice.";
}

std::string refusalMessage(RunVerdict Verdict, const std::error_code &Reason) {
  if (Verdict == RunVerdict::NotRun)
    return std::string(notRunMessage(Reason));
  if (Verdict == RunVerdict::MayHaveRun)
    return std::string(mayHaveRunMessage(Reason));
  return "The target ran the request and reported that it failed.";
}

} // namespace

Refusal singleRunRefusal(RunVerdict Verdict, std::error_code Reason) {
  return {.m_Verdict = Verdict,
          .m_Reason = Reason,
          .m_Message = refusalMessage(Verdict, Reason)};
}

} // namespace figturn

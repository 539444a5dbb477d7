#ifndef FIGTURN_REVIEW_CASES_H
#define FIGTURN_REVIEW_CASES_H

#include "Harness.hh"

namespace review {

Verdict runTruncatedAnswer();
Verdict runStopDuringUpload();
Verdict runRemovedAfterRestart();
Verdict runLeavingTogether();
Verdict runOldBodyLimit();

} // namespace review

#endif

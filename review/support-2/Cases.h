#ifndef FIGTURN_REVIEW_CASES_H
#define FIGTURN_REVIEW_CASES_H

#include "Harness.h"

namespace review {

Verdict runTruncatedAnswer();
Verdict runEarlierStart();
Verdict runStopDuringUpload();
Verdict runRemovedAfterRestart();
Verdict runLeavingTogether();

} // namespace review

#endif

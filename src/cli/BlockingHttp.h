#ifndef FIGTURN_CLI_BLOCKINGHTTP_H
#define FIGTURN_CLI_BLOCKINGHTTP_H

/**
 * Blocking wrappers of the asynchronous HTTP interfaces, for commands that do
 * nothing else while they wait.
 */

#include "protocol/ObjectStore.h"
#include "protocol/VmList.h"
#include "transport/HttpFetcher.h"

#include <string>
#include <vector>

namespace figturn {

/** Creates the QCoreApplication that event loops need, unless it exists. */
void ensureApplication();

/** Sends all \p Requests in parallel; returns the results in their order. */
std::vector<FetchResult> fetchAll(HttpFetcher &Fetcher,
                                  const std::vector<FetchRequest> &Requests);

ObjectResult getBlocking(ObjectStore &Store, const std::string &Path);
ObjectResult putBlocking(ObjectStore &Store, const std::string &Path,
                         const std::string &Body, WriteCondition Condition);
VmListResult fetchVmListBlocking(VmListSource &Source);

/** Runs the event loop for \p Delay. */
void sleepInEventLoop(Duration Delay);

} // namespace figturn

#endif // FIGTURN_CLI_BLOCKINGHTTP_H

#ifndef FIGTURN_CLI_BLOCKINGHTTP_H
#define FIGTURN_CLI_BLOCKINGHTTP_H

/**
 * The asynchronous interfaces as blocking calls, for commands that have
 * nothing else to do while they wait.
 */

#include "protocol/ObjectStore.h"
#include "protocol/VmList.h"
#include "transport/HttpFetcher.h"

#include <string>
#include <vector>

namespace figturn {

/** Makes the Qt application that event loops need, once. */
void ensureApplication();

/** Sends all \p Requests at once; the results in the same order. */
std::vector<FetchResult> fetchAll(HttpFetcher &Fetcher,
                                  const std::vector<FetchRequest> &Requests);

ObjectResult getBlocking(ObjectStore &Store, const std::string &Path);
ObjectResult putBlocking(ObjectStore &Store, const std::string &Path,
                         const std::string &Body, WriteCondition Condition);
VmListResult fetchVmListBlocking(VmListSource &Source);

/** Returns after \p Length. */
void sleepInEventLoop(Duration Length);

} // namespace figturn

#endif // FIGTURN_CLI_BLOCKINGHTTP_H

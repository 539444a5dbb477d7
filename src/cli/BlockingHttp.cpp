#include "cli/BlockingHttp.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <utility>

namespace figturn {

namespace {

// Runs the event loop until the handler passed to \p Start is called.
template <typename Result, typename Starter>
Result runUntilResult(Starter Start) {
  ensureApplication();
  QEventLoop Loop;
  Result Received;
  Start([&](Result Reply) {
    Received = std::move(Reply);
    Loop.quit();
  });
  Loop.exec();
  return Received;
}

} // namespace

void ensureApplication() {
  static int Count = 1;
  static char Name[] = "figturn";
  static char *Arguments[] = {Name, nullptr};
  if (QCoreApplication::instance() == nullptr) {
    static QCoreApplication Application(Count, Arguments);
  }
}

std::vector<FetchResult> fetchAll(HttpFetcher &Fetcher,
                                  const std::vector<FetchRequest> &Requests) {
  ensureApplication();
  std::vector<FetchResult> Results(Requests.size());
  std::size_t Pending = Requests.size();
  QEventLoop Loop;
  for (std::size_t I = 0; I < Requests.size(); ++I)
    Fetcher.fetch(Requests[I], [&, I](FetchResult Result) {
      Results[I] = std::move(Result);
      if (--Pending == 0)
        Loop.quit();
    });
  if (Pending > 0)
    Loop.exec();
  return Results;
}

ObjectResult getBlocking(ObjectStore &Store, const std::string &Path) {
  return runUntilResult<ObjectResult>(
      [&](ObjectStore::ResultHandler Handler) { Store.get(Path, Handler); });
}

ObjectResult putBlocking(ObjectStore &Store, const std::string &Path,
                         const std::string &Body, WriteCondition Condition) {
  return runUntilResult<ObjectResult>([&](ObjectStore::ResultHandler Handler) {
    Store.put(Path, Body, Condition, Handler);
  });
}

VmListResult fetchVmListBlocking(VmListSource &Source) {
  return runUntilResult<VmListResult>(
      [&](VmListSource::Handler Handler) { Source.fetchVmList(Handler); });
}

void sleepInEventLoop(Duration Delay) {
  ensureApplication();
  QEventLoop Loop;
  QTimer::singleShot(std::chrono::ceil<milliseconds>(Delay), &Loop,
                     &QEventLoop::quit);
  Loop.exec();
}

} // namespace figturn

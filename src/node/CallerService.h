#ifndef FIGTURN_NODE_CALLERSERVICE_H
#define FIGTURN_NODE_CALLERSERVICE_H

/**
 * Serves callers over HTTP: validates and admits each request and starts its
 * runner; answers discovery, status and metrics. Also accepts configurations
 * that `figturn apply` pushes after the platform has accepted them.
 */

#include "node/NodeServices.h"
#include "node/SingleRunService.h"
#include "protocol/CallerApi.h"
#include "transport/HttpServer.h"

#include <atomic>
#include <functional>
#include <string>

namespace figturn {

/** Callbacks into the rest of the VM. */
struct CallerServiceHooks {
  /** Body of GET /v1/status. */
  std::function<std::string()> m_Status;
  /** Accepts a pushed configuration, which is installed later; returns the
   *  HTTP response. */
  std::function<HttpResponse(const HttpRequest &)> m_PushConfig;
};

/** Caller API of one VM; handle() may run on any worker. */
class CallerService {
public:
  CallerService(NodeServices &Services, SingleRunService &SingleRuns,
                CallerServiceHooks Hooks);

  /** Request handler for HttpServer. */
  void handle(const HttpExchangePtr &Exchange);

  /** Time for which callers may cache the list of entry VMs. */
  static constexpr milliseconds EntryLifetime{5000};

  /** Number of accepted requests that have not finished. */
  std::size_t pending() const { return m_Pending; }

private:
  void handleRequest(const CallerPath &Path, const HttpExchangePtr &Exchange);
  void run(const CallerRequest &Request, const HttpExchangePtr &Exchange,
           TimePoint Deadline);
  std::string entries() const;

  NodeServices &m_Services;
  SingleRunService &m_SingleRuns;
  CallerServiceHooks m_Hooks;
  std::atomic<std::size_t> m_Pending{0};
};

} // namespace figturn

#endif // FIGTURN_NODE_CALLERSERVICE_H

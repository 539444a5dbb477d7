#ifndef FIGTURN_NODE_ROUTEDFRONTEND_H
#define FIGTURN_NODE_ROUTEDFRONTEND_H

/**
 * Entry point for callers' requests in routed mode: matches each request to a
 * route and starts its runner, or refuses it at once if it can't be served.
 */

#include "node/RoutedContext.h"
#include "transport/HttpServer.h"

#include <functional>

namespace figturn {

/** Handles callers' requests on one worker. */
class RoutedFrontend {
public:
  /** Whether the configuration is known to be the newest one. */
  using ConfigCheck = std::function<bool(TimePoint Now)>;

  RoutedFrontend(RoutedContext &Context, ConfigCheck IsConfigProven)
      : m_Context(Context), m_IsConfigProven(std::move(IsConfigProven)) {}

  void handle(const HttpExchangePtr &Exchange);

private:
  void refuse(const HttpExchangePtr &Exchange, const RoutedRequest &Request,
              std::error_code Reason, std::string_view Message,
              Duration Remaining);

  RoutedContext &m_Context;
  ConfigCheck m_IsConfigProven;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDFRONTEND_H

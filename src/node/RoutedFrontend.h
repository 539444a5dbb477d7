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
  /** \p IsCurrent returns whether the configuration is up to date with the
   *  platform. */
  RoutedFrontend(RoutedContext &Context, std::function<bool()> IsCurrent)
      : m_Context(Context), m_IsCurrent(std::move(IsCurrent)) {}

  void handle(const HttpExchangePtr &Exchange);

private:
  void refuse(const HttpExchangePtr &Exchange, const RoutedRequest &Request,
              std::error_code Reason, std::string_view Message,
              Duration Remaining);

  RoutedContext &m_Context;
  std::function<bool()> m_IsCurrent;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDFRONTEND_H

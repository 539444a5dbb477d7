#ifndef FIGTURN_NODE_ROUTEDFRONTEND_H
#define FIGTURN_NODE_ROUTEDFRONTEND_H

/**
 * The routed door: finds each caller's request its route and starts its run,
 * or refuses it at once if it is known that it can't be served.
 */

#include "node/RoutedContext.h"
#include "transport/HttpServer.h"

#include <functional>

namespace figturn {

/** Handles callers' requests on one worker. */
class RoutedFrontend {
public:
  /** \p IsCurrent tells whether the configuration follows the platform. */
  RoutedFrontend(RoutedContext &Context, std::function<bool()> IsCurrent)
      : m_Context(Context), m_IsCurrent(std::move(IsCurrent)) {}

  void handle(const HttpExchangePtr &Exchange);

private:
  void refuse(const HttpExchangePtr &Exchange, const RoutedRequest &Request,
              std::error_code Reason, std::string_view Sentence, Duration Left);

  RoutedContext &m_Context;
  std::function<bool()> m_IsCurrent;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDFRONTEND_H

#ifndef FIGTURN_NODE_ROUTEDDOOR_H
#define FIGTURN_NODE_ROUTEDDOOR_H

/**
 * The routed door: finds each caller's request its route and starts its run,
 * or refuses it at once if it is known that it can't be served.
 */

#include "node/RoutedWorld.h"
#include "transport/HttpServer.h"

#include <functional>

namespace figturn {

/** Handles callers' requests on one worker. */
class RoutedDoor {
public:
  /** \p IsCurrent tells whether the configuration follows the platform. */
  RoutedDoor(RoutedWorld &World, std::function<bool()> IsCurrent)
      : m_World(World), m_IsCurrent(std::move(IsCurrent)) {}

  void handle(const HttpExchangePtr &Exchange);

private:
  void refuse(const HttpExchangePtr &Exchange, const RoutedRequest &Request,
              std::error_code Reason, std::string_view Sentence, Duration Left);

  RoutedWorld &m_World;
  std::function<bool()> m_IsCurrent;
};

} // namespace figturn

#endif // FIGTURN_NODE_ROUTEDDOOR_H

#ifndef FIGTURN_NODE_GOSSIPSOCKET_H
#define FIGTURN_NODE_GOSSIPSOCKET_H

/** Runs a FleetView over UDP: rounds, messages received, announcements. */

#include "coordination/FleetView.h"

#include <QObject>
#include <QTimer>
#include <QUdpSocket>

#include <functional>
#include <system_error>

namespace figturn {

/** Gossip of one VM; lives on one worker. */
class GossipSocket : public QObject {
public:
  /** \p OnChange runs after each message and round. */
  GossipSocket(FleetView &Fleet, std::function<void()> OnChange,
               QObject *Parent = nullptr);

  std::error_code open(const std::string &Address);
  /** Tells all known VMs at once what this VM says of itself. */
  void announce();

private:
  void beginRound();
  void send(const GossipMessage &Message);
  void receive();

  FleetView &m_Fleet;
  std::function<void()> m_OnChange;
  QUdpSocket m_Socket;
  QTimer m_Timer;
};

} // namespace figturn

#endif // FIGTURN_NODE_GOSSIPSOCKET_H

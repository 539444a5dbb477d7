#ifndef FIGTURN_NODE_GOSSIPSOCKET_H
#define FIGTURN_NODE_GOSSIPSOCKET_H

/** Runs a FleetView over UDP: rounds, messages received, announcements; and
 *  carries what VMs know of requests that crash targets. */

#include "coordination/FleetView.h"

#include <QObject>
#include <QTimer>
#include <QUdpSocket>

#include <system_error>

namespace figturn {

/** Gossip of one VM; lives on one worker. */
class GossipSocket : public QObject {
public:
  GossipSocket(FleetView &Fleet, CrashQuarantine &Crashes,
               QObject *Parent = nullptr);

  std::error_code open(const std::string &Address);
  /** Tells all known VMs at once what this VM says of itself. */
  void announce();

private:
  void beginRound();
  void send(const GossipMessage &Message);
  void receive();

  FleetView &m_Fleet;
  CrashQuarantine &m_Crashes;
  QUdpSocket m_Socket;
  QTimer m_Timer;
};

} // namespace figturn

#endif // FIGTURN_NODE_GOSSIPSOCKET_H

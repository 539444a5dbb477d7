#ifndef FIGTURN_NODE_GOSSIPSOCKET_H
#define FIGTURN_NODE_GOSSIPSOCKET_H

/**
 * Runs the gossip protocol of a FleetView over UDP: periodic rounds, received
 * messages and announcements. Also distributes records of requests that crash
 * targets.
 */

#include "coordination/FleetView.h"

#include <QObject>
#include <QTimer>
#include <QUdpSocket>

#include <system_error>

namespace figturn {

/** Gossip of one VM; confined to one worker. */
class GossipSocket : public QObject {
public:
  GossipSocket(FleetView &Fleet, CrashQuarantine &Crashes,
               QObject *Parent = nullptr);

  /** Binds to \p Address ("IP:port") and begins the rounds. */
  std::error_code open(const std::string &Address);
  /** Sends this VM's own record to all live peers immediately. */
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

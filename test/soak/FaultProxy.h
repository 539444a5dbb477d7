#ifndef FIGTURN_SOAK_FAULTPROXY_H
#define FIGTURN_SOAK_FAULTPROXY_H

/**
 * TCP proxy to one loopback port that injects faults on request: it delays
 * bytes, drops them in one direction or both, or resets the connections.
 */

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace figturn::soak {

/** Treatment of the bytes of a connection. */
enum class ProxyMode {
  Forward,
  Delay,        ///< Deliver later, in order.
  DropRequests, ///< Drop bytes from the client.
  DropReplies,  ///< Drop bytes to the client.
  Silent        ///< Drop all bytes and don't propagate a close.
};

/** Confined to one thread with an event loop. */
class FaultProxy {
public:
  explicit FaultProxy(std::uint16_t TargetPort);

  /** Address that clients connect to, as "IP:port". */
  std::string address() const;
  /** Applies to open and future connections, except silenced ones. */
  void setMode(ProxyMode Mode);
  /** Silences open connections permanently; new ones aren't affected. */
  void silenceOpenConnections();
  void resetOpenConnections();

private:
  struct ProxiedConnection {
    QTcpSocket *m_Client = nullptr; ///< Accepted connection.
    QTcpSocket *m_Upstream = nullptr;
    ProxyMode m_Mode = ProxyMode::Forward;
  };
  using ProxiedConnectionPtr = std::shared_ptr<ProxiedConnection>;

  void accept();
  void forward(const ProxiedConnectionPtr &Connection, QTcpSocket *Source,
               QTcpSocket *Destination, ProxyMode DropMode);

  std::uint16_t m_TargetPort;
  QTcpServer m_Server;
  ProxyMode m_Mode = ProxyMode::Forward;
  std::vector<ProxiedConnectionPtr> m_Connections;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_FAULTPROXY_H

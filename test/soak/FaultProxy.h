#ifndef FIGTURN_SOAK_FAULTPROXY_H
#define FIGTURN_SOAK_FAULTPROXY_H

/**
 * Passes connections on to one address of loopback and spoils them on demand:
 * bytes are delayed, dropped one way or both, or the connections are reset.
 */

#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace figturn::soak {

/** What happens to the bytes of a connection. */
enum class ProxyMode {
  Forward,
  Delay,        ///< They arrive later, in their order.
  DropRequests, ///< Nothing passes from the side that connected.
  DropReplies,  ///< Nothing passes to the side that connected.
  Silent        ///< Nothing passes, and nobody is told.
};

/** The proxy; lives on a thread with an event loop. */
class FaultProxy {
public:
  explicit FaultProxy(std::uint16_t TargetPort);

  /** "IP:port" to connect to. */
  std::string address() const;
  /** Holds for open connections and those to come. */
  void setMode(ProxyMode Mode);
  /** Open connections go silent for good; new ones pass. */
  void silenceOpenConnections();
  void resetOpenConnections();

private:
  struct ProxiedConnection {
    QTcpSocket *m_Client = nullptr; ///< Of the side that connected.
    QTcpSocket *m_Upstream = nullptr;
    ProxyMode m_Mode = ProxyMode::Forward;
  };
  using ProxiedConnectionPtr = std::shared_ptr<ProxiedConnection>;

  void accept();
  void forward(const ProxiedConnectionPtr &Of, QTcpSocket *From, QTcpSocket *To,
               ProxyMode Dropping);

  std::uint16_t m_TargetPort;
  QTcpServer m_Server;
  ProxyMode m_Mode = ProxyMode::Forward;
  std::vector<ProxiedConnectionPtr> m_Connections;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_FAULTPROXY_H

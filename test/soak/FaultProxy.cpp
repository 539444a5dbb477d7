#include "soak/FaultProxy.h"

#include <QTimer>

#include <fmt/format.h>
#include <sys/socket.h>

namespace figturn::soak {

namespace {

constexpr std::chrono::milliseconds ForwardDelay{150};

void reset(QTcpSocket *Socket) {
  const linger Immediate{.l_onoff = 1, .l_linger = 0};
  if (Socket->socketDescriptor() >= 0)
    ::setsockopt(static_cast<int>(Socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &Immediate, sizeof(Immediate));
  Socket->abort();
}

/** Discards \p Bytes if the socket is no longer connected. */
void write(QTcpSocket *Destination, const QByteArray &Bytes) {
  if (Destination->state() == QAbstractSocket::ConnectedState)
    Destination->write(Bytes);
}

} // namespace

FaultProxy::FaultProxy(std::uint16_t TargetPort) : m_TargetPort(TargetPort) {
  m_Server.listen(QHostAddress::LocalHost);
  QObject::connect(&m_Server, &QTcpServer::newConnection, &m_Server,
                   [this] { accept(); });
}

std::string FaultProxy::address() const {
  return fmt::format("127.0.0.1:{}", m_Server.serverPort());
}

void FaultProxy::setMode(ProxyMode Mode) {
  m_Mode = Mode;
  for (const ProxiedConnectionPtr &Each : m_Connections)
    if (Each->m_Mode != ProxyMode::Silent)
      Each->m_Mode = Mode;
}

void FaultProxy::silenceOpenConnections() {
  for (const ProxiedConnectionPtr &Each : m_Connections)
    Each->m_Mode = ProxyMode::Silent;
}

void FaultProxy::resetOpenConnections() {
  for (const ProxiedConnectionPtr &Each : m_Connections) {
    reset(Each->m_Client);
    reset(Each->m_Upstream);
  }
  m_Connections.clear();
}

void FaultProxy::accept() {
  while (QTcpSocket *Client = m_Server.nextPendingConnection()) {
    const auto Connection = std::make_shared<ProxiedConnection>();
    Connection->m_Client = Client;
    Connection->m_Upstream = new QTcpSocket(&m_Server); // NOLINT: parent owns
    Connection->m_Mode = m_Mode;
    m_Connections.push_back(Connection);
    QObject::connect(Client, &QTcpSocket::readyRead, Client,
                     [this, Connection] {
                       forward(Connection, Connection->m_Client,
                               Connection->m_Upstream, ProxyMode::DropRequests);
                     });
    QObject::connect(Connection->m_Upstream, &QTcpSocket::readyRead, Client,
                     [this, Connection] {
                       forward(Connection, Connection->m_Upstream,
                               Connection->m_Client, ProxyMode::DropReplies);
                     });
    QObject::connect(Client, &QTcpSocket::disconnected, Connection->m_Upstream,
                     [Connection] {
                       if (Connection->m_Mode != ProxyMode::Silent)
                         Connection->m_Upstream->disconnectFromHost();
                     });
    QObject::connect(Connection->m_Upstream, &QTcpSocket::disconnected, Client,
                     [Connection] {
                       if (Connection->m_Mode != ProxyMode::Silent)
                         Connection->m_Client->disconnectFromHost();
                     });
    // Resets the client on any upstream error, such as a refused connection.
    QObject::connect(Connection->m_Upstream, &QTcpSocket::errorOccurred, Client,
                     [Connection] { reset(Connection->m_Client); });
    QObject::connect(Connection->m_Upstream, &QTcpSocket::connected, Client,
                     [this, Connection] {
                       forward(Connection, Connection->m_Client,
                               Connection->m_Upstream, ProxyMode::DropRequests);
                     });
    Connection->m_Upstream->connectToHost(QHostAddress::LocalHost,
                                          m_TargetPort);
  }
}

void FaultProxy::forward(const ProxiedConnectionPtr &Connection,
                         QTcpSocket *Source, QTcpSocket *Destination,
                         ProxyMode DropMode) {
  // Bytes that arrive before the destination is connected are read later.
  if (Destination->state() == QAbstractSocket::HostLookupState ||
      Destination->state() == QAbstractSocket::ConnectingState)
    return;
  const QByteArray Bytes = Source->readAll();
  if (Connection->m_Mode == ProxyMode::Silent || Connection->m_Mode == DropMode)
    return;
  if (Connection->m_Mode != ProxyMode::Delay) {
    write(Destination, Bytes);
    return;
  }
  QTimer::singleShot(ForwardDelay, Destination,
                     [Connection, Destination, Bytes] {
                       if (Connection->m_Mode != ProxyMode::Silent)
                         write(Destination, Bytes);
                     });
}

} // namespace figturn::soak

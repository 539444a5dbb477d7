#include "soak/FaultProxy.h"

#include <QTimer>

#include <fmt/format.h>
#include <sys/socket.h>

namespace figturn::soak {

namespace {

constexpr std::chrono::milliseconds ForwardDelay{150};

void reset(QTcpSocket *Socket) {
  const linger Now{.l_onoff = 1, .l_linger = 0};
  if (Socket->socketDescriptor() >= 0)
    ::setsockopt(static_cast<int>(Socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &Now, sizeof(Now));
  Socket->abort();
}

/** Bytes to a side that has gone are lost. */
void write(QTcpSocket *To, const QByteArray &Bytes) {
  if (To->state() == QAbstractSocket::ConnectedState)
    To->write(Bytes);
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
  while (QTcpSocket *Near = m_Server.nextPendingConnection()) {
    const auto Made = std::make_shared<ProxiedConnection>();
    Made->m_Client = Near;
    Made->m_Upstream = new QTcpSocket(&m_Server); // NOLINT: owned by the server
    Made->m_Mode = m_Mode;
    m_Connections.push_back(Made);
    QObject::connect(Near, &QTcpSocket::readyRead, Near, [this, Made] {
      forward(Made, Made->m_Client, Made->m_Upstream, ProxyMode::DropRequests);
    });
    QObject::connect(Made->m_Upstream, &QTcpSocket::readyRead, Near,
                     [this, Made] {
                       forward(Made, Made->m_Upstream, Made->m_Client,
                               ProxyMode::DropReplies);
                     });
    QObject::connect(Near, &QTcpSocket::disconnected, Made->m_Upstream, [Made] {
      if (Made->m_Mode != ProxyMode::Silent)
        Made->m_Upstream->disconnectFromHost();
    });
    QObject::connect(Made->m_Upstream, &QTcpSocket::disconnected, Near, [Made] {
      if (Made->m_Mode != ProxyMode::Silent)
        Made->m_Client->disconnectFromHost();
    });
    // A target that refuses connections has the near side reset.
    QObject::connect(Made->m_Upstream, &QTcpSocket::errorOccurred, Near,
                     [Made] { reset(Made->m_Client); });
    QObject::connect(Made->m_Upstream, &QTcpSocket::connected, Near,
                     [this, Made] {
                       forward(Made, Made->m_Client, Made->m_Upstream,
                               ProxyMode::DropRequests);
                     });
    Made->m_Upstream->connectToHost(QHostAddress::LocalHost, m_TargetPort);
  }
}

void FaultProxy::forward(const ProxiedConnectionPtr &Of, QTcpSocket *From,
                         QTcpSocket *To, ProxyMode Dropping) {
  // What came before the other side is connected is read once it is.
  if (To->state() == QAbstractSocket::HostLookupState ||
      To->state() == QAbstractSocket::ConnectingState)
    return;
  const QByteArray Bytes = From->readAll();
  if (Of->m_Mode == ProxyMode::Silent || Of->m_Mode == Dropping)
    return;
  if (Of->m_Mode != ProxyMode::Delay) {
    write(To, Bytes);
    return;
  }
  QTimer::singleShot(ForwardDelay, To, [Of, To, Bytes] {
    if (Of->m_Mode != ProxyMode::Silent)
      write(To, Bytes);
  });
}

} // namespace figturn::soak

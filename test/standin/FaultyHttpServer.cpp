#include "standin/FaultyHttpServer.h"

#include "standin/FaultyConnection.h"

#include <QTcpSocket>
#include <QUrlQuery>
#include <algorithm>

namespace figturn::standin {

std::string StandinRequest::queryValue(const std::string &Name) const {
  return QUrlQuery(QString::fromStdString(m_Query))
      .queryItemValue(QString::fromStdString(Name), QUrl::FullyDecoded)
      .toStdString();
}

StandinExchange::StandinExchange(StandinRequest Request,
                                 std::shared_ptr<FaultyConnection *> Connection)
    : m_Request(std::make_shared<StandinRequest>(std::move(Request))),
      m_Connection(std::move(Connection)),
      m_ConnectionNumber((*m_Connection)->number()) {}

void StandinExchange::respond(const StandinReply &Reply) const {
  if (*m_Connection != nullptr)
    (*m_Connection)->respond(Reply);
}

void StandinExchange::respondTruncated(const StandinReply &Reply) const {
  if (*m_Connection != nullptr)
    (*m_Connection)->respondTruncated(Reply);
}

void StandinExchange::close() const {
  if (*m_Connection != nullptr)
    (*m_Connection)->close();
}

FaultyHttpServer::FaultyHttpServer(std::size_t ConnectionLimit,
                                   Handler OnRequest)
    : m_ConnectionLimit(ConnectionLimit), m_OnRequest(std::move(OnRequest)) {
  QObject::connect(&m_Server, &QTcpServer::newConnection, &m_Server,
                   [this] { acceptPending(); });
}

FaultyHttpServer::~FaultyHttpServer() {
  for (FaultyConnection *Connection : connections())
    delete Connection;
}

std::vector<FaultyConnection *> FaultyHttpServer::connections() const {
  std::vector<FaultyConnection *> Connections;
  for (QObject *Child : m_Server.children())
    if (auto *Connection = dynamic_cast<FaultyConnection *>(Child))
      Connections.push_back(Connection);
  return Connections;
}

std::size_t FaultyHttpServer::countConnected() const {
  const auto Open = connections();
  return static_cast<std::size_t>(
      std::count_if(Open.begin(), Open.end(), [](const FaultyConnection *C) {
        return !C->hasPeerClosed();
      }));
}

bool FaultyHttpServer::listen(std::uint16_t Port) {
  m_Server.setMaxPendingConnections(1024);
  return m_Server.listen(QHostAddress::LocalHost, Port);
}

std::uint16_t FaultyHttpServer::port() const { return m_Server.serverPort(); }

void FaultyHttpServer::acceptPending() {
  while (QTcpSocket *Socket = m_Server.nextPendingConnection())
    accept(Socket);
}

void FaultyHttpServer::accept(QTcpSocket *Socket) {
  ++m_Counters.m_Accepted;
  const bool IsFull = m_ConnectionLimit != 0 &&
                      m_Counters.m_Open >= m_ConnectionLimit &&
                      countConnected() >= m_ConnectionLimit;
  if (IsFull) {
    ++m_Counters.m_Violations;
    Socket->abort();
    Socket->deleteLater();
    return;
  }
  ++m_Counters.m_Open;
  m_Counters.m_MaxOpen = std::max(m_Counters.m_MaxOpen, m_Counters.m_Open);
  auto *Connection = new FaultyConnection(*this, Socket, m_Counters.m_Accepted);
  Connection->setParent(&m_Server);
}

void FaultyHttpServer::closeConnections() {
  for (FaultyConnection *Connection : connections())
    Connection->close();
}

void FaultyHttpServer::silenceConnections() {
  for (FaultyConnection *Connection : connections())
    Connection->silence();
}

} // namespace figturn::standin

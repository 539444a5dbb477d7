#include "standin/FaultyConnection.h"

#include <QTimer>
#include <boost/asio/buffer.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

namespace figturn::standin {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t MaxBodyBytes = std::uint64_t{8} << 20;

constexpr unsigned NoContent = 204;

std::string encodeHeader(const StandinReply &Reply) {
  const std::string Reason(
      http::obsolete_reason(http::int_to_status(Reply.m_Status)));
  std::string Header =
      fmt::format("HTTP/1.1 {} {}\r\n", Reply.m_Status, Reason);
  if (Reply.m_Status != NoContent)
    Header += fmt::format("Content-Type: application/json\r\n"
                          "Content-Length: {}\r\n",
                          Reply.m_Body.size());
  for (const auto &[Name, Value] : Reply.m_Headers)
    Header += fmt::format("{}: {}\r\n", Name, Value);
  return Header + "\r\n";
}

} // namespace

FaultyConnection::FaultyConnection(FaultyHttpServer &Server, QTcpSocket *Socket,
                                   std::uint64_t Number)
    : m_Server(Server), m_Socket(Socket), m_Number(Number),
      m_Self(std::make_shared<FaultyConnection *>(this)) {
  Socket->setParent(this);
  Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(Socket, &QTcpSocket::readyRead, this, [this] { readBytes(); });
  connect(Socket, &QTcpSocket::disconnected, this,
          [this] { onDisconnected(); });
  if (Socket->state() != QAbstractSocket::ConnectedState)
    onDisconnected();
  else
    QTimer::singleShot(0, this, [this] { readBytes(); });
}

FaultyConnection::~FaultyConnection() {
  *m_Self = nullptr;
  if (!m_IsDisconnected)
    --m_Server.m_Counters.m_Open;
}

void FaultyConnection::onDisconnected() {
  if (m_IsDisconnected)
    return;
  m_IsDisconnected = true;
  --m_Server.m_Counters.m_Open;
  deleteLater();
}

bool FaultyConnection::hasPeerClosed() const {
  char Byte = 0;
  const auto Descriptor = static_cast<int>(m_Socket->socketDescriptor());
  return m_IsDisconnected ||
         ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void FaultyConnection::readBytes() {
  if (m_IsSilent)
    return;
  m_Unparsed += m_Socket->readAll();
  if (!m_AwaitsReply)
    parseNext();
}

void FaultyConnection::parseNext() {
  if (m_Unparsed.isEmpty())
    return;
  if (!m_Parser) {
    m_Parser.emplace();
    m_Parser->eager(true);
    m_Parser->body_limit(MaxBodyBytes);
  }
  boost::system::error_code Error;
  const std::size_t Consumed = m_Parser->put(
      boost::asio::buffer(m_Unparsed.constData(),
                          static_cast<std::size_t>(m_Unparsed.size())),
      Error);
  m_Unparsed.remove(0, static_cast<qsizetype>(Consumed));
  if (Error && Error != http::error::need_more)
    return close();
  if (!m_Parser->is_done())
    return;
  m_AwaitsReply = true;
  m_Server.m_OnRequest(StandinExchange(takeRequest(), m_Self));
}

StandinRequest FaultyConnection::takeRequest() {
  const auto Message = m_Parser->release();
  m_Parser.reset();
  const std::string Target(Message.target());
  const std::size_t QuestionMark = Target.find('?');
  return {.m_Method = std::string(Message.method_string()),
          .m_Path = Target.substr(0, QuestionMark),
          .m_Query = QuestionMark == std::string::npos
                         ? ""
                         : Target.substr(QuestionMark + 1),
          .m_IfMatch = std::string(Message[http::field::if_match]),
          .m_IfNoneMatch = std::string(Message[http::field::if_none_match]),
          .m_Body = Message.body()};
}

void FaultyConnection::respond(const StandinReply &Reply) {
  if (m_IsSilent || !m_AwaitsReply)
    return;
  m_Socket->write(
      QByteArray::fromStdString(encodeHeader(Reply) + Reply.m_Body));
  m_AwaitsReply = false;
  QTimer::singleShot(0, this, [this] { readBytes(); });
}

void FaultyConnection::respondTruncated(const StandinReply &Reply) {
  if (m_IsSilent || !m_AwaitsReply)
    return;
  const std::string Half = Reply.m_Body.substr(0, Reply.m_Body.size() / 2);
  m_Socket->write(QByteArray::fromStdString(encodeHeader(Reply) + Half));
  m_Socket->disconnectFromHost();
}

void FaultyConnection::close() {
  m_AwaitsReply = false;
  m_Socket->abort();
}

} // namespace figturn::standin

#include "transport/TargetConnection.h"

#include "state/Errc.h"
#include "state/Event.h"

#include <utility>

namespace figturn {

namespace {

constexpr const char *HelloPath = "/v1/hello";
constexpr const char *BootHeader = "X-Boot-Id";

/** Interim replies, and replies to other requests, before a call's own. */
constexpr std::size_t MaxSkippedReplies = 100;

bool isInterim(const HttpReply &Reply) {
  return Reply.m_Status >= 100 && Reply.m_Status < 200;
}

} // namespace

TargetConnection::TargetConnection(const TargetEndpoint &Endpoint,
                                   Listener &Observer)
    : m_Endpoint(Endpoint), m_Listener(Observer),
      m_Socket(
          {.m_OnConnected = [this] { onConnected(); },
           .m_OnReadable =
               [this] {
                 m_LastProgress = Clock::now();
                 parseReplies();
               },
           .m_OnClosed =
               [this](StreamCloseReason Reason) { onSocketClosed(Reason); }},
          Endpoint.m_Timeouts),
      m_Reader(Endpoint.m_ReplyLimit), m_LastProgress(Clock::now()) {}

TargetConnection::~TargetConnection() { close(); }

void TargetConnection::open() {
  m_Socket.connectTo(m_Endpoint.m_Host, m_Endpoint.m_Port);
}

void TargetConnection::onConnected() {
  m_Connected = true;
  if (m_Endpoint.m_SendsHello) {
    sendHello();
    return;
  }
  m_HandshakeComplete = true;
  m_LastProgress = Clock::now();
  m_Listener.onHandshakeComplete(*this);
}

void TargetConnection::sendHello() {
  m_RequestId.clear();
  write(serializeRequest("GET", HelloPath, m_Endpoint.m_HostHeader, {}));
}

void TargetConnection::post(const std::string &Path, const std::string &Body) {
  m_RequestId.clear();
  write(serializeRequest("POST", Path, m_Endpoint.m_HostHeader, Body));
}

void TargetConnection::exchange(std::string Bytes, std::string RequestId,
                                bool IsHead) {
  if (IsHead)
    m_Reader.expectNoBody();
  m_RequestId = std::move(RequestId);
  write(std::move(Bytes));
}

void TargetConnection::write(std::string Bytes) {
  m_ExchangeInProgress = true;
  m_LastProgress = Clock::now();
  m_Socket.write(std::move(Bytes));
}

bool TargetConnection::isForeignReply(const HttpReply &Reply) const {
  if (m_RequestId.empty() || m_Endpoint.m_RequestIdHeader.empty())
    return false;
  const std::string ReplyRequestId = Reply.header(m_Endpoint.m_RequestIdHeader);
  return !ReplyRequestId.empty() && ReplyRequestId != m_RequestId;
}

void TargetConnection::parseReplies() {
  std::string &Input = m_Socket.input();
  while (!m_Closed && !Input.empty()) {
    if (!m_ExchangeInProgress) {
      reportLost(Errc::BadReply);
      return;
    }
    const std::size_t Consumed = m_Reader.feed(Input);
    Input.erase(0, Consumed);
    if (m_Reader.hasFailed()) {
      reportLost(Errc::BadReply);
      return;
    }
    if (!m_Reader.isComplete()) {
      if (!updateHeldBytes()) {
        logEvent(Event::ReplyMemoryFull, "target_address={} bytes={}",
                 m_Endpoint.m_HostHeader, m_HeldBytes);
        reportLost(Errc::BadReply);
      }
      return;
    }
    HttpReply Reply = m_Reader.takeMessage();
    updateHeldBytes();
    if (isInterim(Reply) || isForeignReply(Reply)) {
      m_ReceivedForeignReply = m_ReceivedForeignReply || !isInterim(Reply);
      if (++m_SkippedReplies <= MaxSkippedReplies)
        continue;
      reportLost(Errc::BadReply);
      return;
    }
    m_SkippedReplies = 0;
    m_ExchangeInProgress = false;
    // The connection can't be reused if bytes follow the reply, since they
    // belong to no call, or if the target replied before it received the
    // complete request, since it would parse the rest as a new request.
    Reply.m_KeepAlive = Reply.m_KeepAlive && Input.empty() &&
                        !m_ReceivedForeignReply && m_Socket.isFlushed();
    if (m_HandshakeComplete) {
      m_Listener.onReply(*this, std::move(Reply));
      return;
    }
    if (Reply.m_Status != 200 || !Reply.m_KeepAlive) {
      reportLost(Errc::ConnectFailed);
      return;
    }
    m_HandshakeComplete = true;
    m_BootId = BootId(Reply.header(BootHeader));
    m_Listener.onHandshakeComplete(*this);
    return;
  }
}

bool TargetConnection::updateHeldBytes() {
  const std::size_t Before = std::exchange(
      m_HeldBytes,
      m_Closed ? 0 : m_Reader.bodySize() + m_Socket.input().size());
  return m_Endpoint.m_ReplyMemory->resize(Before, m_HeldBytes);
}

void TargetConnection::onSocketClosed(StreamCloseReason Reason) {
  if (m_Closed)
    return;
  if (!m_ExchangeInProgress || !m_Reader.hasStarted()) {
    reportLost(Errc::ConnectionClosed);
    return;
  }
  // An orderly close ends a reply without a Content-Length; after a reset the
  // reply may be incomplete.
  if (Reason == StreamCloseReason::Closed)
    m_Reader.feedEof();
  if (Reason != StreamCloseReason::Closed || !m_Reader.isComplete() ||
      !m_HandshakeComplete) {
    reportLost(Errc::TruncatedReply);
    return;
  }
  HttpReply Reply = m_Reader.takeMessage();
  if (isForeignReply(Reply)) {
    reportLost(Errc::ConnectionClosed);
    return;
  }
  Reply.m_KeepAlive = false;
  m_ExchangeInProgress = false;
  m_Listener.onReply(*this, std::move(Reply));
}

void TargetConnection::reportLost(std::error_code Error) {
  const bool HadHandshake = m_HandshakeComplete;
  close();
  m_Listener.onLost(*this, HadHandshake ? Error : Errc::ConnectFailed);
}

void TargetConnection::close() {
  m_Closed = true;
  updateHeldBytes();
  m_Socket.close();
}

void TargetConnection::reset() {
  m_Socket.discardOnClose();
  close();
}

bool TargetConnection::isIdleAndOpen() const {
  return !m_Closed && m_Socket.isIdleAndOpen();
}

} // namespace figturn

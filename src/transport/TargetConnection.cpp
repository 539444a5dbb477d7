#include "transport/TargetConnection.h"

#include "state/Errc.h"

#include <utility>

namespace figturn {

namespace {

constexpr const char *HelloPath = "/v1/hello";
constexpr const char *BootHeader = "X-Boot-Id";

bool isInterim(const HttpReply &Reply) {
  return Reply.m_Status >= 100 && Reply.m_Status < 200;
}

} // namespace

TargetConnection::TargetConnection(const TargetEndpoint &Endpoint,
                                   Listener &Owner)
    : m_Endpoint(Endpoint), m_Owner(Owner),
      m_Socket({.m_OnConnected = [this] { onConnected(); },
                .m_OnBytes =
                    [this] {
                      m_LastProgress = Clock::now();
                      takeReplies();
                    },
                .m_OnEnd = [this](StreamEnd How) { onEnd(How); }},
               Endpoint.m_Timeouts),
      m_Reader(Endpoint.m_ReplyLimit), m_LastProgress(Clock::now()) {}

TargetConnection::~TargetConnection() { close(); }

void TargetConnection::open() {
  m_Socket.connectTo(m_Endpoint.m_Host, m_Endpoint.m_Port);
}

void TargetConnection::onConnected() {
  m_Connected = true;
  if (m_Endpoint.m_Greets) {
    greet();
    return;
  }
  m_Greeted = true;
  m_LastProgress = Clock::now();
  m_Owner.onGreeted(*this);
}

void TargetConnection::greet() {
  m_RequestId.clear();
  write(writeRequest("GET", HelloPath, m_Endpoint.m_HostHeader, {}));
}

void TargetConnection::post(const std::string &Path, const std::string &Body) {
  m_RequestId.clear();
  write(writeRequest("POST", Path, m_Endpoint.m_HostHeader, Body));
}

void TargetConnection::exchange(std::string Bytes, std::string RequestId,
                                bool IsHead) {
  if (IsHead)
    m_Reader.expectNoBody();
  m_RequestId = std::move(RequestId);
  write(std::move(Bytes));
}

void TargetConnection::write(std::string Bytes) {
  m_Expecting = true;
  m_LastProgress = Clock::now();
  m_Socket.write(std::move(Bytes));
}

bool TargetConnection::isForeign(const HttpReply &Reply) const {
  if (m_RequestId.empty() || m_Endpoint.m_RequestIdHeader.empty())
    return false;
  const std::string Named = Reply.header(m_Endpoint.m_RequestIdHeader);
  return !Named.empty() && Named != m_RequestId;
}

void TargetConnection::takeReplies() {
  std::string &Input = m_Socket.input();
  while (!m_Closed && !Input.empty()) {
    if (!m_Expecting) {
      lose(Errc::BadReply);
      return;
    }
    const std::size_t Used = m_Reader.feed(Input);
    Input.erase(0, Used);
    if (m_Reader.hasFailed()) {
      lose(Errc::BadReply);
      return;
    }
    if (!m_Reader.isComplete())
      return;
    HttpReply Reply = m_Reader.take();
    if (isInterim(Reply))
      continue;
    if (isForeign(Reply)) {
      m_Tainted = true;
      continue;
    }
    m_Expecting = false;
    // Bytes behind a reply belong to no call, and a target that answered
    // before it had the whole request would take the rest for a new one.
    Reply.m_KeepAlive = Reply.m_KeepAlive && Input.empty() && !m_Tainted &&
                        m_Socket.isFlushed();
    if (m_Greeted) {
      m_Owner.onReply(*this, std::move(Reply));
      return;
    }
    if (Reply.m_Status != 200 || !Reply.m_KeepAlive) {
      lose(Errc::ConnectFailed);
      return;
    }
    m_Greeted = true;
    m_BootId = BootId(Reply.header(BootHeader));
    m_Owner.onGreeted(*this);
    return;
  }
}

void TargetConnection::onEnd(StreamEnd How) {
  if (m_Closed)
    return;
  if (!m_Expecting || !m_Reader.hasStarted()) {
    lose(Errc::ConnectionClosed);
    return;
  }
  // A reply without a length ends with its connection, but one that was
  // reset may lack its end.
  if (How == StreamEnd::Closed)
    m_Reader.feedEnd();
  if (How != StreamEnd::Closed || !m_Reader.isComplete() || !m_Greeted) {
    lose(Errc::TruncatedReply);
    return;
  }
  HttpReply Reply = m_Reader.take();
  if (isForeign(Reply)) {
    lose(Errc::ConnectionClosed);
    return;
  }
  Reply.m_KeepAlive = false;
  m_Expecting = false;
  m_Owner.onReply(*this, std::move(Reply));
}

void TargetConnection::lose(std::error_code Why) {
  const bool WasGreeted = m_Greeted;
  close();
  m_Owner.onLost(*this, WasGreeted ? Why : Errc::ConnectFailed);
}

void TargetConnection::close() {
  m_Closed = true;
  m_Socket.close();
}

bool TargetConnection::isQuietAndOpen() const {
  return !m_Closed && m_Socket.isQuietAndOpen();
}

} // namespace figturn

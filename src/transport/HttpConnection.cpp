#include "transport/HttpConnection.h"

#include "state/Event.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace figturn {

namespace {

/** Unread answer bytes at which no further request is read. */
constexpr qint64 WriteBacklogLimit = 1048576;

/** Bytes that a paused connection takes from the kernel. */
constexpr qint64 ReadBufferSize = 65536;

/** How long an ended connection still drains what its caller sends: closing
 *  with unread bytes would reset it and lose the answer on its way. */
constexpr milliseconds LingerTime{1000};

/** The only thing that a kept exchange knows of its connection. */
struct ConnectionLink {
  HttpConnection *m_Connection = nullptr; ///< Touched by its worker only.
};

const char *refusalReason(unsigned Status) {
  switch (Status) {
  case 408:
    return "header-timeout";
  case 413:
    return "body-too-large";
  default:
    return "bad-request";
  }
}

const char *refusalSentence(unsigned Status) {
  switch (Status) {
  case 408:
    return "The request did not arrive in time; send it again in full.";
  case 413:
    return "The body is larger than the limit; send a smaller one.";
  case 431:
    return "The header is larger than the limit; send fewer or shorter "
           "fields.";
  default:
    return "The bytes received are no HTTP/1.1 request; check the request "
           "line, the header fields and the body's length.";
  }
}

HttpResponse refusalResponse(unsigned Status) {
  return {.m_Status = Status,
          .m_Body = fmt::format(R"({{"requestId":"","verdict":"not-run",)"
                                R"("reason":"{}","message":"{}"}})",
                                refusalReason(Status), refusalSentence(Status)),
          .m_CloseConnection = true};
}

} // namespace

class HttpConnection::Exchange
    : public HttpExchange,
      public std::enable_shared_from_this<HttpConnection::Exchange> {
public:
  Exchange(HttpConnection *Connection, std::uint64_t Number,
           HttpRequest Request)
      : m_State(Connection->m_State), m_Worker(Connection->m_Worker),
        m_Connection(Connection), m_Number(Number),
        m_Request(std::move(Request)), m_ReceivedAt(Clock::now()) {}

  const HttpRequest &request() const override { return m_Request; }
  std::size_t worker() const override { return m_Worker; }
  TimePoint receivedAt() const override { return m_ReceivedAt; }

  void respond(HttpResponse Response) override {
    if (m_Responded.exchange(true))
      return;
    if (m_State->isOnWorker(m_Worker)) {
      give(std::move(Response));
      return;
    }
    m_State->post(m_Worker, [Self = shared_from_this(),
                             Response = std::move(Response)]() mutable {
      Self->give(std::move(Response));
    });
  }

  void onCallerGone(std::function<void()> Callback) override {
    if (m_State->isOnWorker(m_Worker)) {
      addCallback(std::move(Callback));
      return;
    }
    m_State->post(m_Worker, [Self = shared_from_this(),
                             Callback = std::move(Callback)]() mutable {
      Self->addCallback(std::move(Callback));
    });
  }

  /** The answer is written: nothing is left to be told. */
  void close() {
    m_Connection = nullptr;
    m_OnGone.clear();
  }

  /** The caller left before the answer was written. */
  void callerLeft() {
    m_Connection = nullptr;
    m_CallerGone = true;
    const auto Callbacks = std::exchange(m_OnGone, {});
    for (const auto &Each : Callbacks)
      Each();
  }

private:
  void give(HttpResponse Response) {
    if (m_Connection)
      m_Connection->answer(m_Number, std::move(Response));
  }

  void addCallback(std::function<void()> Callback) {
    if (m_CallerGone)
      Callback();
    else if (m_Connection)
      m_OnGone.push_back(std::move(Callback));
  }

  std::shared_ptr<HttpServerState> m_State;
  std::size_t m_Worker;
  // The members below are touched by the worker only.
  HttpConnection *m_Connection;
  bool m_CallerGone = false;
  std::vector<std::function<void()>> m_OnGone;
  std::uint64_t m_Number;
  HttpRequest m_Request;
  TimePoint m_ReceivedAt;
  std::atomic<bool> m_Responded = false;
};

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> State,
                               std::size_t Worker, qintptr Descriptor,
                               QObject *Parent)
    : QObject(Parent), m_State(std::move(State)), m_Worker(Worker),
      m_Reader(m_State->m_Options.m_HeaderLimit,
               m_State->m_Options.m_BodyLimit) {
  m_State->m_ByWorker[m_Worker].insert(this);
  m_Timer.setSingleShot(true);
  connect(&m_Timer, &QTimer::timeout, this, &HttpConnection::onTimeout);
  connect(&m_Socket, &QTcpSocket::readyRead, this, &HttpConnection::readSocket);
  connect(&m_Socket, &QTcpSocket::bytesWritten, this,
          &HttpConnection::onBytesWritten);
  connect(&m_Socket, &QTcpSocket::disconnected, this,
          &HttpConnection::onCallerLeft);
  m_Socket.setReadBufferSize(ReadBufferSize);
  m_Socket.setSocketDescriptor(Descriptor);
  m_Socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  armTimer();
}

HttpConnection::~HttpConnection() {
  m_Socket.disconnect(this);
  for (auto &Each : m_Slots)
    Each.m_Exchange->close();
  m_State->m_Pending -= m_Slots.size() + m_Unflushed;
  m_State->m_ByWorker[m_Worker].erase(this);
  --m_State->m_Connections;
}

void HttpConnection::readSocket() {
  if (m_Lingering || m_StopReading) {
    m_Socket.skip(m_Socket.bytesAvailable());
    return;
  }
  readRequests();
}

bool HttpConnection::mayRead() const {
  if (m_StopReading || m_Ended)
    return false;
  // What was read before a planned stop is answered; the last answer ends
  // the connection, so nothing may be read behind it.
  if (m_State->m_CloseAfterAnswers && !m_Slots.empty())
    return false;
  return m_Slots.size() < m_State->m_Options.m_MaxPipelined &&
         m_Socket.bytesToWrite() < WriteBacklogLimit;
}

void HttpConnection::readRequests() {
  if (m_Busy)
    return;
  m_Busy = true;
  bool Again = true;
  while (Again && !m_Ended) {
    const bool WasPaused = !mayRead();
    const bool Parsed = parseInput();
    writeAnswers();
    // Answers written may end a pause, with requests already in the buffer.
    Again = (Parsed || WasPaused) && mayRead();
  }
  m_Busy = false;
}

bool HttpConnection::parseInput() {
  bool Parsed = false;
  while (mayRead()) {
    const QByteArray Fresh = m_Socket.readAll();
    m_Input.append(Fresh.constData(), static_cast<std::size_t>(Fresh.size()));
    const std::size_t Used = m_Reader.feed(m_Input);
    m_Input.erase(0, Used);
    m_InRequest = m_Reader.hasStarted();
    if (m_Reader.refusalStatus() != 0)
      refuse(m_Reader.refusalStatus());
    else if (m_Reader.isComplete())
      dispatch();
    if (Used == 0)
      break;
    Parsed = true;
  }
  return Parsed;
}

void HttpConnection::dispatch() {
  const std::uint64_t Number = m_FirstSlot + m_Slots.size();
  Slot New;
  New.m_Framing.m_Close = !m_Reader.keepsAlive();
  m_StopReading = m_StopReading || New.m_Framing.m_Close;
  HttpRequest Request = m_Reader.take();
  m_InRequest = false;
  m_RequestTimed = false;
  m_ContinueDone = false;
  New.m_Framing.m_OmitBody = Request.m_Method == "HEAD";
  New.m_Exchange = std::make_shared<Exchange>(this, Number, std::move(Request));
  HttpExchangePtr Handed = New.m_Exchange;
  m_Slots.push_back(std::move(New));
  ++m_State->m_Pending;
  m_State->m_Handler(std::move(Handed));
}

void HttpConnection::refuse(unsigned Status) {
  logEvent(Event::RequestRefusedUnread, "status={} reason={}", Status,
           refusalReason(Status));
  m_StopReading = true;
  m_InRequest = false;
  m_Input.clear();
  const std::uint64_t Number = m_FirstSlot + m_Slots.size();
  Slot New;
  New.m_Exchange = std::make_shared<Exchange>(this, Number, HttpRequest{});
  New.m_Answer = refusalResponse(Status);
  m_Slots.push_back(std::move(New));
  ++m_State->m_Pending;
}

void HttpConnection::answer(std::uint64_t Request, HttpResponse Response) {
  m_Slots.at(Request - m_FirstSlot).m_Answer = std::move(Response);
  if (!m_Busy)
    readRequests();
}

void HttpConnection::writeAnswers() {
  while (!m_Ended && !m_Lingering && !m_Slots.empty() &&
         m_Slots.front().m_Answer)
    writeNext();
  if (m_Ended)
    return;
  writeContinue();
  m_Socket.flush();
  settleWrites();
  armTimer();
}

void HttpConnection::writeNext() {
  Slot Next = std::move(m_Slots.front());
  m_Slots.pop_front();
  ++m_FirstSlot;
  ++m_Unflushed;
  Next.m_Exchange->close();
  ResponseFraming Framing = Next.m_Framing;
  Framing.m_Close = Framing.m_Close || Next.m_Answer->m_CloseConnection ||
                    (m_State->m_CloseAfterAnswers && m_Slots.empty());
  const std::string Bytes = writeResponse(*Next.m_Answer, Framing);
  m_Socket.write(Bytes.data(), static_cast<qint64>(Bytes.size()));
  if (Framing.m_Close)
    beginLinger();
}

void HttpConnection::writeContinue() {
  // An interim response stands in the place of the answer to its request, so
  // it waits for the answers before it.
  if (m_Lingering || m_StopReading || m_ContinueDone || !m_Slots.empty() ||
      !m_Reader.wantsContinue())
    return;
  m_ContinueDone = true;
  m_Socket.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpConnection::onBytesWritten() {
  if (m_Ended)
    return;
  settleWrites();
  if (m_Lingering)
    return;
  armTimer();
  readRequests();
}

void HttpConnection::settleWrites() {
  if (m_Ended)
    return;
  if (m_Socket.bytesToWrite() > 0) {
    if (m_Lingering)
      m_Timer.start(m_State->m_Options.m_IdleTimeout);
    return;
  }
  m_State->m_Pending -= m_Unflushed;
  m_Unflushed = 0;
  if (!m_Lingering || m_ShutDown)
    return;
  m_ShutDown = true;
  ::shutdown(static_cast<int>(m_Socket.socketDescriptor()), SHUT_WR);
  m_Timer.start(LingerTime);
}

void HttpConnection::armTimer() {
  const auto &Options = m_State->m_Options;
  if (m_Lingering || m_Ended)
    return;
  if (m_InRequest) {
    // Runs from the first byte, so further bytes don't restart it.
    if (!m_RequestTimed)
      m_Timer.start(Options.m_RequestTimeout);
    m_RequestTimed = true;
    return;
  }
  m_RequestTimed = false;
  if (m_Slots.empty())
    m_Timer.start(Options.m_IdleTimeout);
  else
    m_Timer.stop();
}

void HttpConnection::onTimeout() {
  if (!m_InRequest || m_Lingering) {
    end();
    return;
  }
  refuse(408);
  writeAnswers();
}

void HttpConnection::beginLinger() {
  // Requests read behind the answer that ends the connection are dropped
  // like those of a caller who left; none can be answered any more.
  m_Lingering = true;
  m_StopReading = true;
  m_Input.clear();
  const auto Dropped = std::exchange(m_Slots, {});
  m_State->m_Pending -= Dropped.size();
  for (const auto &Each : Dropped)
    Each.m_Exchange->callerLeft();
}

bool HttpConnection::hasUnparsedBytes() const {
  if (!m_Input.empty() || m_Socket.bytesAvailable() > 0)
    return true;
  char Byte = 0;
  return ::recv(static_cast<int>(m_Socket.socketDescriptor()), &Byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpConnection::closeIfIdle() {
  if (m_Ended || m_Lingering || m_InRequest || !m_Slots.empty() ||
      hasUnparsedBytes())
    return;
  beginLinger();
  settleWrites();
}

void HttpConnection::onCallerLeft() {
  const auto Dropped = std::exchange(m_Slots, {});
  m_State->m_Pending -= Dropped.size();
  for (const auto &Each : Dropped)
    Each.m_Exchange->callerLeft();
  end();
}

void HttpConnection::end() {
  if (m_Ended)
    return;
  m_Ended = true;
  m_Timer.stop();
  m_Socket.disconnect(this);
  m_Socket.abort();
  deleteLater();
}

} // namespace figturn

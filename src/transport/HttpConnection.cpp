#include "transport/HttpConnection.h"

#include "state/Event.h"

#include <QPointer>

#include <algorithm>
#include <atomic>
#include <functional>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace figturn {

namespace {

/** Buffered answer bytes at which reading of requests pauses. */
constexpr qint64 WriteBacklogLimit = 1048576;

/** Bytes that Qt buffers on a connection whose reading is paused. */
constexpr qint64 ReadBufferSize = 16384;

/** Capacity in bytes that an empty input buffer may keep. */
constexpr std::size_t MaxIdleCapacity = 4096;

/** Bytes that a request in progress takes besides its header and body. */
constexpr std::size_t RequestOverhead = 4096;

/** Retry-After in seconds of requests refused before they were read: the
 *  caller's deadline is usually not known, as its header is incomplete. */
constexpr const char *UnreadRetryAfter = "0.3";

/** Longer paths are cut in the log. */
constexpr std::size_t MaxLoggedPath = 200;

/** How long a closing connection discards input. Closing a socket with unread
 *  bytes resets it, and the caller would lose the answer in transit. */
constexpr milliseconds LingerTimeout{1000};

/** An exchange's reference to its connection. */
struct ConnectionLink {
  HttpConnection *m_Connection = nullptr; ///< Accessed by its worker only.
};

} // namespace

/** How a request is refused that wasn't read completely. */
struct HttpConnection::ReadRefusal {
  unsigned m_Status;
  const char *m_Reason; ///< In the answer.
  const char *m_Message;
  const char *m_RetryAfterSeconds = nullptr;
};

namespace {

using ReadRefusal = HttpConnection::ReadRefusal;

constexpr ReadRefusal HeaderTimeout{
    .m_Status = 408,
    .m_Reason = "header-timeout",
    .m_Message =
        "The request was not received in time; send it again in full."};
constexpr ReadRefusal Overloaded{
    .m_Status = 503,
    .m_Reason = "overloaded",
    .m_Message = "The VM has no memory left for this request, which was not "
                 "processed; send it again later.",
    .m_RetryAfterSeconds = UnreadRetryAfter};
constexpr ReadRefusal LimitsUnknown{
    .m_Status = 503,
    .m_Reason = "not-ready",
    .m_Message = "The VM doesn't know whether the limits in force allow this "
                 "request, which was not processed; send it again later.",
    .m_RetryAfterSeconds = UnreadRetryAfter};

ReadRefusal refusalFor(RequestDefect Defect) {
  const unsigned Status = requestDefectStatus(Defect);
  switch (Status) {
  case 413:
    return {.m_Status = Status,
            .m_Reason = "body-too-large",
            .m_Message =
                "The request body exceeds the size limit; send a smaller one."};
  case 431:
    return {.m_Status = Status,
            .m_Reason = "bad-request",
            .m_Message = "The request header exceeds the size limit; send "
                         "fewer or shorter fields."};
  default:
    return {.m_Status = Status,
            .m_Reason = "bad-request",
            .m_Message = "The input is not a valid HTTP/1.1 request; check the "
                         "request line, the header fields and the body "
                         "length."};
  }
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
        m_Charge(m_State->m_Connections, Connection->m_Client, m_Worker),
        m_Request(std::move(Request)), m_ReceivedAt(Clock::now()) {}

  const HttpRequest &request() const override { return m_Request; }
  std::size_t worker() const override { return m_Worker; }
  TimePoint receivedAt() const override { return m_ReceivedAt; }
  bool reserveMemory(std::size_t Bytes) override {
    return m_Charge.add(Bytes, Clock::now());
  }

  void respond(HttpResponse Response) override {
    if (m_HasResponded.exchange(true))
      return;
    if (m_State->isOnWorker(m_Worker)) {
      deliverAnswer(std::move(Response));
      return;
    }
    m_State->post(m_Worker, [Self = shared_from_this(),
                             Response = std::move(Response)]() mutable {
      Self->deliverAnswer(std::move(Response));
    });
  }

  void onCallerDisconnect(std::function<void()> Callback) override {
    if (m_State->isOnWorker(m_Worker)) {
      addCallback(std::move(Callback));
      return;
    }
    m_State->post(m_Worker, [Self = shared_from_this(),
                             Callback = std::move(Callback)]() mutable {
      Self->addCallback(std::move(Callback));
    });
  }

  /** Called when the answer is written or the connection is destroyed;
   *  discards the disconnect callbacks. */
  void close() {
    m_Connection = nullptr;
    m_DisconnectCallbacks.clear();
  }

  /** Called if the connection is closed before the answer is written. */
  void notifyDisconnected() {
    m_Connection = nullptr;
    m_CallerDisconnected = true;
    const auto Callbacks = std::exchange(m_DisconnectCallbacks, {});
    for (const auto &Each : Callbacks)
      Each();
  }

private:
  void deliverAnswer(HttpResponse Response) {
    if (m_Connection)
      m_Connection->setAnswer(m_Number, std::move(Response));
  }

  void addCallback(std::function<void()> Callback) {
    if (m_CallerDisconnected)
      Callback();
    else if (m_Connection)
      m_DisconnectCallbacks.push_back(std::move(Callback));
  }

  std::shared_ptr<HttpServerState> m_State;
  std::size_t m_Worker;
  // The next three members are accessed by the worker only; the others don't
  // change or are atomic.
  HttpConnection *m_Connection;
  bool m_CallerDisconnected = false;
  std::vector<std::function<void()>> m_DisconnectCallbacks;
  std::uint64_t m_Number;
  RequestCharge m_Charge;
  HttpRequest m_Request;
  TimePoint m_ReceivedAt;
  std::atomic<bool> m_HasResponded = false;
};

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> State,
                               std::size_t Worker, qintptr Descriptor,
                               std::string Client,
                               CallerConnections::ConnectionId Id,
                               QObject *Parent)
    : QObject(Parent), m_State(std::move(State)), m_Worker(Worker),
      m_Client(std::move(Client)), m_Id(Id),
      m_Reader(m_State->m_Options.m_HeaderLimit,
               m_State->m_Options.m_BodyLimit) {
  m_State->m_ConnectionsByWorker[m_Worker].insert(this);
  m_State->m_Connections->setEvictor(
      m_Id,
      [Shared = m_State, Worker, Self = QPointer(this)](EvictionKind Kind) {
        if (Shared->isOnWorker(Worker))
          return Self ? Self->evict(Kind) : EvictionResult::Done;
        Shared->post(Worker, [Self, Kind] {
          if (Self)
            Self->evict(Kind);
        });
        return EvictionResult::Later;
      });
  m_Timer.setSingleShot(true);
  connect(&m_Timer, &QTimer::timeout, this, &HttpConnection::onTimeout);
  connect(&m_Socket, &QTcpSocket::readyRead, this, &HttpConnection::readSocket);
  connect(&m_Socket, &QTcpSocket::bytesWritten, this,
          &HttpConnection::onBytesWritten);
  connect(&m_Socket, &QTcpSocket::disconnected, this,
          &HttpConnection::onDisconnected);
  m_Socket.setReadBufferSize(ReadBufferSize);
  m_Socket.setSocketDescriptor(Descriptor);
  m_Socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  armTimer();
}

HttpConnection::~HttpConnection() {
  m_Closed = true;
  countIncompleteRequest();
  m_Socket.disconnect(this);
  for (auto &Each : m_Pipeline)
    Each.m_Exchange->close();
  m_State->m_Connections->close(m_Id);
  m_State->m_PendingRequests -= m_Pipeline.size() + m_UnflushedAnswers;
  m_State->m_ConnectionsByWorker[m_Worker].erase(this);
  --m_State->m_OpenConnections;
}

void HttpConnection::readSocket() {
  if (m_Lingering || m_StopReading) {
    m_Socket.skip(m_Socket.bytesAvailable());
    return;
  }
  readRequests();
}

bool HttpConnection::canReadMore() const {
  if (m_StopReading || m_Closed)
    return false;
  // During a planned stop, the requests already read are answered and the last
  // answer closes the connection, so no further request may be read.
  if (m_State->m_CloseAfterAnswers && !m_Pipeline.empty())
    return false;
  return m_Pipeline.size() < m_State->m_Options.m_MaxPipelined &&
         m_Socket.bytesToWrite() < WriteBacklogLimit;
}

void HttpConnection::readRequests() {
  if (m_ProcessingInput)
    return;
  m_ProcessingInput = true;
  bool ReadMore = true;
  while (ReadMore && !m_Closed) {
    const bool WasPaused = !canReadMore();
    const bool Parsed = parseInput();
    writeAnswers();
    // Writing answers may end a pause while requests are already buffered.
    ReadMore = (Parsed || WasPaused) && canReadMore();
  }
  m_ProcessingInput = false;
  updateUse();
}

bool HttpConnection::parseInput() {
  bool Parsed = false;
  while (canReadMore()) {
    if (!m_Reader.hasStarted())
      m_Reader.setLimits(m_State->m_Options.m_HeaderLimit,
                         m_State->m_Options.m_BodyLimit);
    const QByteArray Received = m_Socket.readAll();
    m_HasProgressed = m_HasProgressed || !Received.isEmpty();
    m_Input.append(Received.constData(),
                   static_cast<std::size_t>(Received.size()));
    const std::size_t Consumed = m_Reader.feed(m_Input);
    m_Input.erase(0, Consumed);
    if (m_Input.empty() && m_Input.capacity() > MaxIdleCapacity)
      m_Input = std::string();
    m_RequestStarted = m_Reader.hasStarted();
    if (m_Reader.defect() != RequestDefect::None)
      refuseUnreadable(m_Reader.defect());
    else if (m_Reader.isComplete())
      dispatchRequest();
    if (Consumed == 0)
      break;
    Parsed = true;
  }
  return Parsed;
}

void HttpConnection::dispatchRequest() {
  const std::uint64_t Number = m_FirstRequestNumber + m_Pipeline.size();
  PipelinedRequest Pipelined;
  Pipelined.m_Framing.m_Close = !m_Reader.isKeepAlive();
  m_StopReading = m_StopReading || Pipelined.m_Framing.m_Close;
  HttpRequest Request = m_Reader.takeMessage();
  m_RequestStarted = false;
  m_RequestTimerRunning = false;
  m_IdleTimerRunning = false;
  m_ContinueSent = false;
  Pipelined.m_Framing.m_OmitBody = Request.m_Method == "HEAD";
  Pipelined.m_Exchange =
      std::make_shared<Exchange>(this, Number, std::move(Request));
  if (!Pipelined.m_Exchange->reserveMemory(
          heldBytes(Pipelined.m_Exchange->request()) + RequestOverhead)) {
    refuseRequest(Overloaded, Overloaded.m_Reason,
                  Pipelined.m_Exchange->request().m_Target);
    m_Pipeline.back().m_Framing.m_OmitBody = Pipelined.m_Framing.m_OmitBody;
    return;
  }
  HttpExchangePtr Handled = Pipelined.m_Exchange;
  m_Pipeline.push_back(std::move(Pipelined));
  ++m_State->m_PendingRequests;
  m_State->m_Handler(std::move(Handled));
}

void HttpConnection::refuseUnreadable(RequestDefect Defect) {
  const bool IsLimitUnknown =
      isLimitDefect(Defect) &&
      !m_State->m_Options.m_AreLimitsKnown(Clock::now());
  refuseRequest(IsLimitUnknown ? LimitsUnknown : refusalFor(Defect),
                requestDefectName(Defect), m_Reader.target());
}

void HttpConnection::refuseRequest(const ReadRefusal &Refusal) {
  refuseRequest(Refusal, Refusal.m_Reason, m_Reader.target());
}

void HttpConnection::refuseRequest(const ReadRefusal &Refusal,
                                   std::string_view Cause,
                                   std::string_view Target) {
  m_State->countRefusal(Refusal.m_Status, Cause);
  logEvent(Event::RequestRefusedUnread,
           "status={} reason={} cause={} path={} client={} header_limit={} "
           "body_limit={}",
           Refusal.m_Status, Refusal.m_Reason, Cause,
           Target.substr(0, std::min(Target.find('?'), MaxLoggedPath)),
           m_Client, m_State->m_Options.m_HeaderLimit,
           m_State->m_Options.m_BodyLimit);
  m_StopReading = true;
  m_RequestStarted = false;
  m_Input = std::string();
  m_Socket.skip(m_Socket.bytesAvailable());
  const std::uint64_t Number = m_FirstRequestNumber + m_Pipeline.size();
  PipelinedRequest Pipelined;
  Pipelined.m_Exchange =
      std::make_shared<Exchange>(this, Number, HttpRequest{});
  Pipelined.m_Answer = answerFor(Refusal, Target);
  m_Reader.discard();
  m_Pipeline.push_back(std::move(Pipelined));
  ++m_State->m_PendingRequests;
}

HttpResponse HttpConnection::answerFor(const ReadRefusal &Refusal,
                                       std::string_view Target) const {
  HttpResponse Refused{.m_Status = Refusal.m_Status, .m_CloseConnection = true};
  const char *Verdict = "not-run";
  if (Refusal.m_RetryAfterSeconds) {
    Refused.m_Headers.emplace_back("Retry-After", Refusal.m_RetryAfterSeconds);
    if (m_State->m_Options.m_MayHaveRunBefore(Target))
      Verdict = "may-have-run";
  }
  Refused.m_Body = fmt::format(
      R"({{"requestId":"","verdict":"{}","reason":"{}","message":"{}"}})",
      Verdict, Refusal.m_Reason, Refusal.m_Message);
  return Refused;
}

// What the connection holds.

bool HttpConnection::hasPendingRequest() const {
  return std::any_of(m_Pipeline.begin(), m_Pipeline.end(),
                     [](const auto &Each) { return !Each.m_Answer; });
}

std::size_t HttpConnection::answerBytes() const {
  auto Bytes = static_cast<std::size_t>(m_Socket.bytesToWrite());
  for (const auto &Each : m_Pipeline)
    if (Each.m_Answer)
      Bytes += Each.m_Answer->m_Body.size();
  return Bytes;
}

std::size_t HttpConnection::requestBytes() const {
  const auto Unread =
      m_StopReading ? 0 : static_cast<std::size_t>(m_Socket.bytesAvailable());
  const std::size_t Input = m_Input.capacity() > MaxIdleCapacity
                                ? m_Input.capacity()
                                : m_Input.size();
  return m_Reader.heldBytes() + Input + Unread;
}

ConnectionPhase HttpConnection::phase() const {
  if (hasPendingRequest())
    return ConnectionPhase::Pending;
  if (!m_Pipeline.empty() || m_Socket.bytesToWrite() > 0)
    return ConnectionPhase::Sending;
  if (m_RequestStarted)
    return ConnectionPhase::Receiving;
  return m_Lingering ? ConnectionPhase::Closing : ConnectionPhase::Idle;
}

ConnectionUse HttpConnection::currentUse() const {
  return {.m_Phase = phase(), .m_Bytes = requestBytes() + answerBytes()};
}

void HttpConnection::countIncompleteRequest() {
  const bool IsIncomplete = m_RequestStarted && !m_Lingering && !m_Closed;
  if (std::exchange(m_IsCountedIncomplete, IsIncomplete) == IsIncomplete)
    return;
  if (IsIncomplete)
    ++m_State->m_IncompleteRequests;
  else
    --m_State->m_IncompleteRequests;
}

void HttpConnection::updateUse() {
  countIncompleteRequest();
  if (m_Closed)
    return;
  const ConnectionUse Use = currentUse();
  if (m_Use && Use.m_Phase == m_Use->m_Phase && Use.m_Bytes == m_Use->m_Bytes &&
      !m_HasProgressed)
    return;
  m_Use = Use;
  if (!m_State->m_Connections->update(
          m_Id, Use, std::exchange(m_HasProgressed, false), Clock::now()))
    releaseMemory();
}

EvictionResult HttpConnection::evict(EvictionKind Kind) {
  if (m_Closed)
    return EvictionResult::Done;
  if (m_ProcessingInput) {
    QMetaObject::invokeMethod(
        this, [this, Kind] { evict(Kind); }, Qt::QueuedConnection);
    return EvictionResult::Later;
  }
  if (Kind == EvictionKind::Connection)
    return closeUnlessInUse();
  releaseMemory();
  return EvictionResult::Done;
}

void HttpConnection::releaseMemory() {
  const std::size_t AnswerBytes = answerBytes();
  if (AnswerBytes > 0 && AnswerBytes >= requestBytes()) {
    onDisconnected();
  } else if (requestBytes() > 0) {
    // The input may also belong to requests that wait for the answers to
    // earlier ones.
    refuseRequest(Overloaded);
    writeAnswers();
  }
  if (m_Closed)
    return;
  countIncompleteRequest();
  m_Use = currentUse();
  m_State->m_Connections->record(m_Id, *m_Use);
}

EvictionResult HttpConnection::closeUnlessInUse() {
  if (hasPendingRequest())
    return EvictionResult::InUse;
  const bool IsIdle = !m_RequestStarted && !m_Lingering && m_Pipeline.empty();
  if (IsIdle && hasUnparsedBytes())
    return EvictionResult::InUse;
  if (m_RequestStarted) {
    refuseRequest(Overloaded);
    writeAnswers();
  }
  closeNow();
  return EvictionResult::Done;
}

void HttpConnection::setAnswer(std::uint64_t Request, HttpResponse Response) {
  m_Pipeline.at(Request - m_FirstRequestNumber).m_Answer = std::move(Response);
  if (!m_ProcessingInput)
    readRequests();
}

void HttpConnection::writeAnswers() {
  while (!m_Closed && !m_Lingering && !m_Pipeline.empty() &&
         m_Pipeline.front().m_Answer)
    writeNextAnswer();
  if (m_Closed)
    return;
  writeContinue();
  m_Socket.flush();
  handleWriteProgress();
  armTimer();
}

void HttpConnection::writeNextAnswer() {
  PipelinedRequest Next = std::move(m_Pipeline.front());
  m_Pipeline.pop_front();
  ++m_FirstRequestNumber;
  ++m_UnflushedAnswers;
  Next.m_Exchange->close();
  ResponseFraming Framing = Next.m_Framing;
  Framing.m_Close = Framing.m_Close || Next.m_Answer->m_CloseConnection ||
                    (m_State->m_CloseAfterAnswers && m_Pipeline.empty());
  const std::string Bytes = serializeResponse(*Next.m_Answer, Framing);
  m_Socket.write(Bytes.data(), static_cast<qint64>(Bytes.size()));
  if (Framing.m_Close)
    beginLinger();
}

void HttpConnection::writeContinue() {
  // An interim response must follow the answers to all earlier requests.
  if (m_Lingering || m_StopReading || m_ContinueSent || !m_Pipeline.empty() ||
      !m_Reader.wantsContinue())
    return;
  m_ContinueSent = true;
  m_Socket.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpConnection::onBytesWritten() {
  if (m_Closed)
    return;
  m_HasProgressed = true;
  m_IdleTimerRunning = false;
  handleWriteProgress();
  if (m_Lingering) {
    updateUse();
    return;
  }
  armTimer();
  readRequests();
}

void HttpConnection::handleWriteProgress() {
  if (m_Closed)
    return;
  if (m_Socket.bytesToWrite() > 0) {
    if (m_Lingering)
      m_Timer.start(m_State->m_Options.m_IdleTimeout);
    return;
  }
  m_State->m_PendingRequests -= m_UnflushedAnswers;
  m_UnflushedAnswers = 0;
  if (!m_Lingering || m_WriteSideClosed)
    return;
  m_WriteSideClosed = true;
  ::shutdown(static_cast<int>(m_Socket.socketDescriptor()), SHUT_WR);
  m_Timer.start(LingerTimeout);
}

void HttpConnection::armTimer() {
  const auto &Options = m_State->m_Options;
  if (m_Lingering || m_Closed)
    return;
  if (m_RequestStarted) {
    // The timeout counts from the first byte; further bytes don't restart it.
    if (!m_RequestTimerRunning)
      m_Timer.start(Options.m_RequestTimeout);
    m_RequestTimerRunning = true;
    m_IdleTimerRunning = false;
    return;
  }
  m_RequestTimerRunning = false;
  // Empty lines between requests don't restart the idle timeout.
  if (!m_Pipeline.empty())
    m_Timer.stop();
  else if (!m_IdleTimerRunning)
    m_Timer.start(Options.m_IdleTimeout);
  m_IdleTimerRunning = m_Pipeline.empty();
}

void HttpConnection::onTimeout() {
  if (!m_RequestStarted || m_Lingering) {
    closeNow();
    return;
  }
  refuseRequest(HeaderTimeout);
  writeAnswers();
  updateUse();
}

void HttpConnection::beginLinger() {
  // Requests pipelined after the answer that closes the connection can't be
  // answered any more; discard them as if the caller had disconnected.
  m_Lingering = true;
  m_StopReading = true;
  m_Input = std::string();
  const auto Dropped = std::exchange(m_Pipeline, {});
  m_State->m_PendingRequests -= Dropped.size();
  for (const auto &Each : Dropped)
    Each.m_Exchange->notifyDisconnected();
}

bool HttpConnection::hasUnparsedBytes() const {
  if (!m_Input.empty() || m_Socket.bytesAvailable() > 0)
    return true;
  char Byte = 0;
  return ::recv(static_cast<int>(m_Socket.socketDescriptor()), &Byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpConnection::closeIfIdle() {
  if (m_Closed || m_Lingering || m_RequestStarted || !m_Pipeline.empty() ||
      hasUnparsedBytes())
    return;
  beginLinger();
  handleWriteProgress();
  updateUse();
}

void HttpConnection::onDisconnected() {
  const auto Dropped = std::exchange(m_Pipeline, {});
  m_State->m_PendingRequests -= Dropped.size();
  for (const auto &Each : Dropped)
    Each.m_Exchange->notifyDisconnected();
  closeNow();
}

void HttpConnection::closeNow() {
  if (m_Closed)
    return;
  m_Closed = true;
  countIncompleteRequest();
  m_State->m_Connections->close(m_Id);
  m_Timer.stop();
  m_Socket.disconnect(this);
  m_Socket.abort();
  deleteLater();
}

} // namespace figturn

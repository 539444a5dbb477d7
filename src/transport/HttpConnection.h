#ifndef FIGTURN_TRANSPORT_HTTPCONNECTION_H
#define FIGTURN_TRANSPORT_HTTPCONNECTION_H

/**
 * One caller's connection. Requests are read and handed on as they come, and
 * their answers are written in the order of the requests, whichever is ready
 * first. Reading pauses while too many requests or unread answer bytes are
 * outstanding, so that a caller can't make the VM buffer without limit.
 */

#include "transport/HttpCodec.h"
#include "transport/HttpServerState.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace figturn {

/** Lives on one worker and deletes itself when the connection has ended. */
class HttpConnection : public QObject {
public:
  /** Takes over the open socket \p Descriptor. */
  HttpConnection(std::shared_ptr<HttpServerState> State, std::size_t Worker,
                 qintptr Descriptor, QObject *Parent);
  ~HttpConnection() override;

  /** Ends the connection if it waits for a next request. */
  void closeIfIdle();

  /** Gives the answer to request number \p Request of this connection. */
  void setAnswer(std::uint64_t Request, HttpResponse Response);

private:
  class Exchange;

  /** A request that was handed on, and its answer once there is one. */
  struct PipelinedRequest {
    std::shared_ptr<Exchange> m_Exchange;
    std::optional<HttpResponse> m_Answer;
    ResponseFraming m_Framing;
  };

  void readSocket();
  void readRequests();
  bool parseInput();
  bool canReadMore() const;
  bool hasUnparsedBytes() const;
  void dispatchRequest();
  void refuseRequest(unsigned Status);
  void writeAnswers();
  void writeNextAnswer();
  void writeContinue();
  void onBytesWritten();
  void handleWriteProgress();
  void armTimer();
  void onTimeout();
  void beginLinger();
  void onDisconnected();
  void closeNow();

  std::shared_ptr<HttpServerState> m_State;
  std::size_t m_Worker;
  QTcpSocket m_Socket;
  QTimer m_Timer;
  HttpRequestReader m_Reader;
  std::string m_Input;           ///< Bytes that the reader hasn't used up.
  bool m_RequestStarted = false; ///< A first byte came, the last not yet.
  bool m_RequestTimerRunning =
      false;                   ///< The timer runs for the current request.
  bool m_ContinueSent = false; ///< The current request got its 100.
  std::deque<PipelinedRequest> m_Pipeline; ///< In the order of the requests.
  std::uint64_t m_FirstRequestNumber =
      0;                              ///< Request number of the oldest slot.
  std::size_t m_UnflushedAnswers = 0; ///< Answers whose bytes aren't all out.
  bool m_StopReading = false;         ///< No further request is accepted.
  bool m_ProcessingInput = false;     ///< Within readRequests().
  bool m_Lingering = false;           ///< All is written; waits for the caller.
  bool m_WriteSideClosed = false;     ///< Our half of the connection is closed.
  bool m_Closed = false;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPCONNECTION_H

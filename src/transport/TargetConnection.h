#ifndef FIGTURN_TRANSPORT_TARGETCONNECTION_H
#define FIGTURN_TRANSPORT_TARGETCONNECTION_H

/**
 * One connection to a target: greets it once, where the target's protocol has
 * a greeting, then carries one exchange at a time. It decides nothing; the
 * pool that owns it says what to write and when to give up.
 */

#include "state/Ids.h"
#include "state/Time.h"
#include "transport/HttpCodec.h"
#include "transport/StreamSocket.h"

#include <QHostAddress>
#include <QObject>

#include <string>
#include <system_error>

namespace figturn {

/** Where a connection goes and what it bears. */
struct TargetEndpoint {
  QHostAddress m_Host;
  std::uint16_t m_Port = 0;
  std::string m_HostHeader;
  std::size_t m_ReplyLimit = 0; ///< Bytes of one reply body.
  StreamTimeouts m_Timeouts;
  /** Whether a connection is greeted before its first exchange. */
  bool m_SendsHello = true;
  /** Header by which targets name the request that a reply answers; a reply
   *  that names another one is dropped. Empty: replies name none. */
  std::string m_RequestIdHeader;
};

/** Reports to its listener until close() is called or it was lost. */
class TargetConnection : public QObject {
public:
  /** Told from the event loop, never from within a call to the connection. */
  class Listener {
  public:
    virtual ~Listener() = default;
    /** The target answered the greeting; bootId() is known. */
    virtual void onHandshakeComplete(TargetConnection &From) = 0;
    virtual void onReply(TargetConnection &From, HttpReply Reply) = 0;
    /** ConnectFailed before the greeting was answered; later
     *  ConnectionClosed, TruncatedReply or BadReply. */
    virtual void onLost(TargetConnection &From, std::error_code Why) = 0;
  };

  TargetConnection(const TargetEndpoint &Endpoint, Listener &Owner);
  ~TargetConnection() override;

  /** Starts to connect. */
  void open();
  /** Writes a POST; only once greeted and with no exchange under way. */
  void post(const std::string &Path, const std::string &Body);
  /** Writes a whole request; the reply is the one to \p RequestId and, if
   *  the request is a HEAD, has no body. */
  void exchange(std::string Bytes, std::string RequestId, bool IsHead);
  /** Writes a greeting as an exchange of its own. */
  void sendHello();
  /** Ends the connection without a report. */
  void close();

  /** Whether the target has neither closed nor sent anything unasked. */
  bool isIdleAndOpen() const;
  /** Whether bytes that were written are not yet acknowledged. */
  bool hasUnacknowledgedBytes() const {
    return m_Socket.hasUnacknowledgedBytes();
  }
  /** Whether part of the reply under way has come. */
  bool hasPartialReply() const { return m_Reader.hasStarted(); }
  bool isConnected() const { return m_Connected; }
  const BootId &bootId() const { return m_BootId; }
  /** When the exchange was written or the last byte of its reply came. */
  TimePoint lastProgress() const { return m_LastProgress; }

private:
  void onConnected();
  void onSocketClosed(StreamCloseReason How);
  void parseReplies();
  bool isForeign(const HttpReply &Reply) const;
  void reportLost(std::error_code Why);
  void write(std::string Bytes);

  TargetEndpoint m_Endpoint;
  Listener &m_Owner;
  StreamSocket m_Socket;
  HttpReplyReader m_Reader;
  std::string m_RequestId; ///< Of the exchange under way.
  BootId m_BootId;
  TimePoint m_LastProgress;
  bool m_Connected = false;
  bool m_HandshakeComplete = false;
  bool m_ExchangeInProgress = false; ///< An exchange is under way.
  bool m_ReceivedForeignReply =
      false; ///< A foreign reply came; not to be reused.
  bool m_Closed = false;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_TARGETCONNECTION_H

#ifndef FIGTURN_TRANSPORT_TARGETCONNECTION_H
#define FIGTURN_TRANSPORT_TARGETCONNECTION_H

/**
 * One connection to a target. Performs the hello handshake if the target's
 * protocol has one, then carries one exchange at a time. The owning pool
 * decides what to write and when to close the connection.
 */

#include "state/Ids.h"
#include "state/Time.h"
#include "transport/HttpCodec.h"
#include "transport/ReplyMemory.h"
#include "transport/StreamSocket.h"

#include <QHostAddress>
#include <QObject>

#include <memory>
#include <string>
#include <system_error>

namespace figturn {

/** Address and options of a connection. */
struct TargetEndpoint {
  QHostAddress m_Host;
  std::uint16_t m_Port = 0;
  std::string m_HostHeader;
  std::size_t m_ReplyLimit = 0; ///< Maximum bytes of a reply body.
  /** Shared by all connections of the process; never null. */
  std::shared_ptr<ReplyMemory> m_ReplyMemory;
  StreamTimeouts m_Timeouts;
  /** Whether a hello request precedes the first exchange. */
  bool m_SendsHello = true;
  /** Reply header with the ID of the request that the reply answers; a reply
   *  to another request is discarded. Empty: replies carry no ID. */
  std::string m_RequestIdHeader;
};

/** Reports to its listener until it is closed or lost. */
class TargetConnection : public QObject {
public:
  /** Notified from the event loop, never from within a member function called
   *  by the owner. */
  class Listener {
  public:
    virtual ~Listener() = default;
    /** The connection is ready. After a hello, bootId() is known. */
    virtual void onHandshakeComplete(TargetConnection &Connection) = 0;
    virtual void onReply(TargetConnection &Connection, HttpReply Reply) = 0;
    /** \p Error is ConnectFailed before the handshake is complete; afterwards
     *  ConnectionClosed, TruncatedReply or BadReply. */
    virtual void onLost(TargetConnection &Connection,
                        std::error_code Error) = 0;
  };

  TargetConnection(const TargetEndpoint &Endpoint, Listener &Observer);
  ~TargetConnection() override;

  /** Starts to connect. */
  void open();
  /** Writes a POST. The handshake must be complete and no exchange in
   *  progress. */
  void post(const std::string &Path, const std::string &Body);
  /** Writes the serialized request \p Bytes, whose reply carries \p RequestId
   *  and has no body if \p IsHead. */
  void exchange(std::string Bytes, std::string RequestId, bool IsHead);
  /** Writes a hello request as an exchange of its own. */
  void sendHello();
  /** Closes the connection without notifying the listener. */
  void close();

  /** Whether the connection is open and has no unread input. */
  bool isIdleAndOpen() const;
  /** Whether sent bytes are not yet acknowledged by the target. */
  bool hasUnacknowledgedBytes() const {
    return m_Socket.hasUnacknowledgedBytes();
  }
  /** Whether bytes of a request may still reach the target. */
  bool hasUnsentBytes() const {
    return !m_Socket.isFlushed() || m_Socket.hasUnacknowledgedBytes();
  }
  /** Closes the connection so that bytes not yet received are not delivered. */
  void reset();
  /** Whether part of the current reply was received. */
  bool hasPartialReply() const { return m_Reader.hasStarted(); }
  bool isConnected() const { return m_Connected; }
  const BootId &bootId() const { return m_BootId; }
  /** When the current exchange was written or bytes were last received,
   *  whichever is later. */
  TimePoint lastProgress() const { return m_LastProgress; }

private:
  void onConnected();
  void onSocketClosed(StreamCloseReason Reason);
  void parseReplies();
  bool isForeignReply(const HttpReply &Reply) const;
  /** Updates the bytes held for the current reply; returns whether it may be
   *  received further. */
  bool updateHeldBytes();
  void reportLost(std::error_code Error);
  void write(std::string Bytes);

  TargetEndpoint m_Endpoint;
  Listener &m_Listener;
  StreamSocket m_Socket;
  HttpReplyReader m_Reader;
  std::size_t m_HeldBytes = 0; ///< Counted in the endpoint's ReplyMemory.
  std::string m_RequestId;     ///< Of the current exchange.
  BootId m_BootId;
  TimePoint m_LastProgress;
  bool m_Connected = false;
  bool m_HandshakeComplete = false;
  bool m_ExchangeInProgress = false;
  /** A reply to another request was received; prevents reuse. */
  bool m_ReceivedForeignReply = false;
  /** Replies received instead of the one that the call waits for. */
  std::size_t m_SkippedReplies = 0;
  bool m_Closed = false;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_TARGETCONNECTION_H

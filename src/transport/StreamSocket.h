#ifndef FIGTURN_TRANSPORT_STREAMSOCKET_H
#define FIGTURN_TRANSPORT_STREAMSOCKET_H

/**
 * Outgoing TCP connection on Qt's event loop, without Qt's buffering.
 * QTcpSocket isn't used because it doesn't distinguish a reset from an orderly
 * close, so that a truncated reply without a Content-Length would look
 * complete, and because it makes more system calls per message.
 */

#include "state/Time.h"

#include <QHostAddress>
#include <QObject>
#include <QSocketNotifier>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace figturn {

/** Why a connection was closed. */
enum class StreamCloseReason {
  Refused, ///< The connection was not established.
  Closed,  ///< The remote end closed it in an orderly way.
  Broken   ///< The connection was reset or timed out.
};

/** Timeouts after which the kernel aborts a connection. */
struct StreamTimeouts {
  /** How long bytes may stay unacknowledged (TCP_USER_TIMEOUT); 0: kernel
   *  default. */
  milliseconds m_UserTimeout{};
  /** Interval of keep-alive probes on an idle connection, which is aborted
   *  after three unanswered probes; 0: no probes. */
  seconds m_KeepAliveInterval{};
};

/** One connection. Handlers run from the event loop, never from within a
 *  member function called by the owner, and not after close(). */
class StreamSocket : public QObject {
public:
  struct Handlers {
    std::function<void()> m_OnConnected;
    std::function<void()> m_OnReadable; ///< input() has new bytes.
    std::function<void(StreamCloseReason)> m_OnClosed;
  };

  StreamSocket(Handlers Callbacks, StreamTimeouts Timeouts);
  ~StreamSocket() override;

  void connectTo(const QHostAddress &Host, std::uint16_t Port);
  /** Sends \p Bytes, or queues those that can't be sent yet. */
  void write(std::string Bytes);
  /** Bytes received and not yet consumed; the reader erases what it consumes.
   */
  std::string &input() { return m_Input; }
  void close();
  /** Makes close() reset the connection and discard what the kernel has not
   *  sent yet. */
  void discardOnClose() const;

  bool isConnected() const { return m_Connected && m_Descriptor >= 0; }
  /** Whether all written bytes were passed to the kernel. */
  bool isFlushed() const { return m_Output.empty(); }
  /** Whether the connection is open and has no unread input. */
  bool isIdleAndOpen() const;
  /** Whether sent bytes are not yet acknowledged by the remote end. */
  bool hasUnacknowledgedBytes() const;

private:
  void onWritable();
  void onReadable();
  void flush();
  void closeLater(StreamCloseReason Reason);
  void closeWithReason(StreamCloseReason Reason);
  void applyOptions() const;

  Handlers m_Handlers;
  StreamTimeouts m_Timeouts;
  int m_Descriptor = -1;
  bool m_Connected = false;
  bool m_WasClosed = false;
  bool m_WasReset = false; ///< Noticed when writing.
  std::string m_Input;
  std::string m_Output;
  std::unique_ptr<QSocketNotifier> m_ReadNotifier;
  std::unique_ptr<QSocketNotifier> m_WriteNotifier;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_STREAMSOCKET_H

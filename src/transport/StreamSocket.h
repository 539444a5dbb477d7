#ifndef FIGTURN_TRANSPORT_STREAMSOCKET_H
#define FIGTURN_TRANSPORT_STREAMSOCKET_H

/**
 * An outgoing TCP connection on Qt's event loop, without Qt's buffers. It
 * exists beside QTcpSocket because that one reports a reset like an orderly
 * close, so that a reply without a length could not be told from one that was
 * cut, and because it takes more system calls a message.
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

/** How a connection ended. */
enum class StreamCloseReason {
  Refused, ///< It was never established.
  Closed,  ///< The other end closed it in order.
  Broken   ///< It was reset or timed out.
};

/** When the kernel gives a connection up. */
struct StreamTimeouts {
  /** Unacknowledged bytes break the connection after so long; 0: never. */
  milliseconds m_UserTimeout{};
  /** A connection without traffic is probed each so often, and is broken
   *  after three probes without an answer; 0: never. */
  seconds m_KeepAliveInterval{};
};

/** The connection. Its handlers run from the event loop, never from within a
 *  call to it, and none runs after close(). */
class StreamSocket : public QObject {
public:
  struct Handlers {
    std::function<void()> m_OnConnected;
    std::function<void()> m_OnReadable; ///< New bytes stand in input().
    std::function<void(StreamCloseReason)> m_OnClosed;
  };

  StreamSocket(Handlers To, StreamTimeouts Timeouts);
  ~StreamSocket() override;

  void connectTo(const QHostAddress &Host, std::uint16_t Port);
  /** Sends or queues \p Bytes. */
  void write(std::string Bytes);
  /** Bytes received and not yet used; the reader erases what it used. */
  std::string &input() { return m_Input; }
  void close();

  bool isConnected() const { return m_Connected && m_Descriptor >= 0; }
  /** Whether all that was written has been handed to the kernel. */
  bool isFlushed() const { return m_Output.empty(); }
  /** Whether the other end has neither closed nor sent anything. */
  bool isIdleAndOpen() const;
  /** Whether bytes that were written are not yet acknowledged. */
  bool hasUnacknowledgedBytes() const;

private:
  void onWritable();
  void onReadable();
  void flush();
  void closeLater(StreamCloseReason How);
  void closeWithReason(StreamCloseReason How);
  void applyOptions() const;

  Handlers m_Handlers;
  StreamTimeouts m_Timeouts;
  int m_Descriptor = -1;
  bool m_Connected = false;
  bool m_WasClosed = false;
  std::string m_Input;
  std::string m_Output;
  std::unique_ptr<QSocketNotifier> m_ReadNotifier;
  std::unique_ptr<QSocketNotifier> m_WriteNotifier;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_STREAMSOCKET_H

#include "transport/StreamSocket.h"

#include <QPointer>

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace figturn {

namespace {

/** Bytes per read call; a shard's reply with its header usually fits. */
constexpr std::size_t ReadSize = 16384;

/** Unanswered keep-alive probes after which the kernel aborts a connection. */
constexpr int KeepAliveProbes = 3;

bool fillAddress(const QHostAddress &Host, std::uint16_t Port,
                 sockaddr_storage &Storage, socklen_t &Length) {
  if (Host.protocol() == QAbstractSocket::IPv6Protocol) {
    auto &Address = reinterpret_cast<sockaddr_in6 &>(Storage);
    Address.sin6_family = AF_INET6;
    Address.sin6_port = htons(Port);
    const Q_IPV6ADDR Bytes = Host.toIPv6Address();
    std::memcpy(&Address.sin6_addr, &Bytes, sizeof(Bytes));
    Length = sizeof(sockaddr_in6);
    return true;
  }
  if (Host.protocol() != QAbstractSocket::IPv4Protocol)
    return false;
  auto &Address = reinterpret_cast<sockaddr_in &>(Storage);
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(Host.toIPv4Address());
  Length = sizeof(sockaddr_in);
  return true;
}

void setOption(int Descriptor, int Level, int Name, int Value) {
  ::setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

} // namespace

StreamSocket::StreamSocket(Handlers Callbacks, StreamTimeouts Timeouts)
    : m_Handlers(std::move(Callbacks)), m_Timeouts(Timeouts) {}

StreamSocket::~StreamSocket() { close(); }

void StreamSocket::connectTo(const QHostAddress &Host, std::uint16_t Port) {
  sockaddr_storage Storage{};
  socklen_t Length = 0;
  if (!fillAddress(Host, Port, Storage, Length)) {
    closeLater(StreamCloseReason::Refused);
    return;
  }
  m_Descriptor = ::socket(Storage.ss_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_Descriptor < 0) {
    closeLater(StreamCloseReason::Refused);
    return;
  }
  applyOptions();
  const int Result = ::connect(
      m_Descriptor, reinterpret_cast<const sockaddr *>(&Storage), Length);
  if (Result != 0 && errno != EINPROGRESS) {
    closeLater(StreamCloseReason::Refused);
    return;
  }
  m_WriteNotifier =
      std::make_unique<QSocketNotifier>(m_Descriptor, QSocketNotifier::Write);
  connect(m_WriteNotifier.get(), &QSocketNotifier::activated, this,
          &StreamSocket::onWritable);
}

void StreamSocket::applyOptions() const {
  setOption(m_Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  if (m_Timeouts.m_UserTimeout.count() > 0)
    setOption(m_Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(m_Timeouts.m_UserTimeout.count()));
  if (m_Timeouts.m_KeepAliveInterval.count() <= 0)
    return;
  const auto Interval =
      static_cast<int>(m_Timeouts.m_KeepAliveInterval.count());
  setOption(m_Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(m_Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, Interval);
  setOption(m_Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, Interval);
  setOption(m_Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void StreamSocket::write(std::string Bytes) {
  if (m_WasClosed)
    return;
  if (m_Output.empty())
    m_Output = std::move(Bytes);
  else
    m_Output += Bytes;
  if (m_Connected)
    flush();
}

void StreamSocket::flush() {
  while (!m_Output.empty()) {
    const auto SentCount =
        ::send(m_Descriptor, m_Output.data(), m_Output.size(), MSG_NOSIGNAL);
    if (SentCount < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (SentCount < 0) {
      // Input received before the error is still read; the read notifier then
      // reports the close. It doesn't see the error, which this call has taken.
      // EPIPE: the remote end had closed the connection before.
      m_WasReset = m_WasReset || errno != EPIPE;
      m_Output.clear();
      break;
    }
    m_Output.erase(0, static_cast<std::size_t>(SentCount));
  }
  if (m_WriteNotifier)
    m_WriteNotifier->setEnabled(!m_Output.empty());
}

void StreamSocket::onWritable() {
  if (m_Connected) {
    flush();
    return;
  }
  int Error = 0;
  socklen_t Size = sizeof(Error);
  ::getsockopt(m_Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
  if (Error != 0) {
    closeWithReason(StreamCloseReason::Refused);
    return;
  }
  m_Connected = true;
  m_ReadNotifier =
      std::make_unique<QSocketNotifier>(m_Descriptor, QSocketNotifier::Read);
  connect(m_ReadNotifier.get(), &QSocketNotifier::activated, this,
          &StreamSocket::onReadable);
  flush();
  m_Handlers.m_OnConnected();
}

void StreamSocket::onReadable() {
  std::array<char, ReadSize> Buffer; // NOLINT: filled by recv
  const QPointer<StreamSocket> Self(this);
  while (Self && m_Descriptor >= 0) {
    const auto ReadCount =
        ::recv(m_Descriptor, Buffer.data(), Buffer.size(), 0);
    if (ReadCount < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (ReadCount <= 0) {
      closeWithReason(ReadCount == 0 && !m_WasReset
                          ? StreamCloseReason::Closed
                          : StreamCloseReason::Broken);
      return;
    }
    m_Input.append(Buffer.data(), static_cast<std::size_t>(ReadCount));
    m_Handlers.m_OnReadable();
    // A short read has emptied the kernel's buffer. Returning here instead of
    // reading again takes one system call for most messages.
    if (static_cast<std::size_t>(ReadCount) < Buffer.size())
      return;
  }
}

void StreamSocket::closeLater(StreamCloseReason Reason) {
  QMetaObject::invokeMethod(
      this, [this, Reason] { closeWithReason(Reason); }, Qt::QueuedConnection);
}

void StreamSocket::closeWithReason(StreamCloseReason Reason) {
  if (m_WasClosed)
    return;
  close();
  m_Handlers.m_OnClosed(Reason);
}

void StreamSocket::close() {
  m_WasClosed = true;
  // A notifier may be the sender of the signal being handled, so it is not
  // deleted immediately.
  for (auto *Notifier : {&m_ReadNotifier, &m_WriteNotifier})
    if (*Notifier) {
      (*Notifier)->setEnabled(false);
      (*Notifier)->disconnect(this);
      Notifier->release()->deleteLater();
    }
  if (m_Descriptor >= 0)
    ::close(std::exchange(m_Descriptor, -1));
  m_Connected = false;
}

void StreamSocket::discardOnClose() const {
  const linger Immediate{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(m_Descriptor, SOL_SOCKET, SO_LINGER, &Immediate,
               sizeof(Immediate));
}

bool StreamSocket::isIdleAndOpen() const {
  if (!isConnected() || !m_Input.empty())
    return false;
  char Byte = 0;
  const auto PeekCount =
      ::recv(m_Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return PeekCount < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool StreamSocket::hasUnacknowledgedBytes() const {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (m_Descriptor < 0 ||
      ::getsockopt(m_Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return false;
  return Info.tcpi_unacked > 0;
}

} // namespace figturn

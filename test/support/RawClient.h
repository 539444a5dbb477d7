#ifndef FIGTURN_TEST_SUPPORT_RAWCLIENT_H
#define FIGTURN_TEST_SUPPORT_RAWCLIENT_H

/**
 * A blocking TCP client that sends arbitrary bytes, for tests of callers that
 * violate the protocol. Reads time out after 20 s.
 */

#include "transport/HttpCodec.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace figturn::test {

class RawClient {
public:
  /** Connects to \p Port of the loopback address \p Host, which is in host
   *  byte order. */
  explicit RawClient(std::uint16_t Port, std::uint32_t Host = INADDR_LOOPBACK)
      : m_Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const timeval Timeout{.tv_sec = 20};
    ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(Host);
    m_HasConnected = ::connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                               sizeof(Address)) == 0;
  }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient() { close(); }

  /** Whether connecting succeeded; stays true after the connection ends. */
  bool hasConnected() const { return m_HasConnected; }

  /** Sends all of \p Bytes; returns false if the connection is closed. */
  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const auto Sent =
          ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  /** Returns the next reply; none if the connection ends first, the reply is
   *  malformed or a read times out. */
  std::optional<HttpReply> receive() {
    while (true) {
      m_Input.erase(0, m_Reader.feed(m_Input));
      if (m_Reader.isComplete())
        return m_Reader.takeMessage();
      if (m_Reader.hasFailed() || !readMore())
        return std::nullopt;
    }
  }

  /** Returns whether the server closes the connection cleanly without sending
   *  another byte. */
  bool isClosedByServer() {
    return m_Input.empty() && !readMore() && m_WasClosedCleanly;
  }

  void close() {
    if (m_Socket >= 0)
      ::close(m_Socket);
    m_Socket = -1;
  }

private:
  bool readMore() {
    char Buffer[65536];
    const auto Received = ::recv(m_Socket, Buffer, sizeof(Buffer), 0);
    m_WasClosedCleanly = Received == 0;
    if (Received <= 0)
      return false;
    m_Input.append(Buffer, static_cast<std::size_t>(Received));
    return true;
  }

  int m_Socket;
  bool m_HasConnected = false;
  bool m_WasClosedCleanly = false;
  std::string m_Input;
  HttpReplyReader m_Reader{67108864};
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_RAWCLIENT_H

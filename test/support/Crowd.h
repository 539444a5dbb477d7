#ifndef FIGTURN_TEST_SUPPORT_CROWD_H
#define FIGTURN_TEST_SUPPORT_CROWD_H

/**
 * Many callers that send the same bytes at the same time and keep their
 * connections open, for tests of callers that don't behave.
 */

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace figturn::test {

/** \p Count times \p Text. */
inline std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Repeated;
  Repeated.reserve(Text.size() * Count);
  for (std::size_t I = 0; I < Count; ++I)
    Repeated += Text;
  return Repeated;
}

/** \p Body in chunks of \p ChunkSize bytes, without the last chunk. */
inline std::string chunked(const std::string &Body, std::size_t ChunkSize) {
  std::string Chunks;
  for (std::size_t At = 0; At < Body.size(); At += ChunkSize) {
    const std::string Data = Body.substr(At, ChunkSize);
    char Size[32];
    const int Length =
        std::snprintf(Size, sizeof(Size), "%zx\r\n", Data.size());
    Chunks.append(Size, static_cast<std::size_t>(Length));
    Chunks += Data + "\r\n";
  }
  return Chunks;
}

/** The connections of the crowd; closed by the destructor. */
class Crowd {
public:
  /** Opens \p Count connections to \p Port of the loopback interface. */
  Crowd(std::uint16_t Port, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      // The server then can't pass much of its answers to the kernel.
      const int ReceiveBuffer = 4096;
      ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                   sizeof(ReceiveBuffer));
      sockaddr_in Address{};
      Address.sin_family = AF_INET;
      Address.sin_port = htons(Port);
      Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const bool IsConnected =
          ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0;
      ::fcntl(Socket, F_SETFL, O_NONBLOCK);
      m_Members.push_back({.m_Socket = Socket, .m_IsOpen = IsConnected});
    }
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd() {
    for (const Member &Each : m_Members)
      ::close(Each.m_Socket);
  }

  /** Sends \p Bytes on all connections at the same time; returns when each has
   *  sent them or is closed by the server. */
  void send(const std::string &Bytes) { sendTo(openMembers(), Bytes); }

  /** Sends \p Bytes on one connection after the other, and waits each time
   *  until the first bytes of an answer, or the end of the connection, arrived.
   *  Reads nothing. */
  void sendInTurn(const std::string &Bytes) {
    for (Member *Each : openMembers()) {
      sendTo({Each}, Bytes);
      await({Each}, POLLIN, [](Member &) { return true; });
    }
  }

private:
  struct Member {
    int m_Socket;
    bool m_IsOpen;
    std::size_t m_Sent = 0;
  };

  std::vector<Member *> openMembers() {
    std::vector<Member *> Open;
    for (Member &Each : m_Members)
      if (Each.m_IsOpen)
        Open.push_back(&Each);
    return Open;
  }

  static void sendTo(const std::vector<Member *> &Senders,
                     const std::string &Bytes) {
    for (Member *Each : Senders)
      Each->m_Sent = 0;
    await(Senders, POLLOUT, [&](Member &Each) {
      const auto Count =
          ::send(Each.m_Socket, Bytes.data() + Each.m_Sent,
                 Bytes.size() - Each.m_Sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Count > 0)
        Each.m_Sent += static_cast<std::size_t>(Count);
      else if (errno != EAGAIN)
        Each.m_IsOpen = false;
      return Each.m_Sent == Bytes.size();
    });
  }

  /** Calls \p Step whenever one of \p Events occurs on a connection, until it
   *  has returned true or the connection is closed. Gives up after a minute. */
  template <typename Function>
  static void await(std::vector<Member *> Waiting, short Events,
                    Function Step) {
    const auto GiveUpAt =
        std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!Waiting.empty() && std::chrono::steady_clock::now() < GiveUpAt) {
      std::vector<pollfd> Polled;
      Polled.reserve(Waiting.size());
      for (const Member *Each : Waiting)
        Polled.push_back({.fd = Each->m_Socket, .events = Events});
      ::poll(Polled.data(), Polled.size(), 1000);
      std::vector<Member *> Remaining;
      for (std::size_t I = 0; I < Waiting.size(); ++I)
        if (Polled[I].revents == 0 ||
            (!Step(*Waiting[I]) && Waiting[I]->m_IsOpen))
          Remaining.push_back(Waiting[I]);
      Waiting = std::move(Remaining);
    }
  }

  std::vector<Member> m_Members;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_CROWD_H

/** Tests how a connection's end is told while bytes wait to be written. */

#include "transport/StreamSocket.h"
#include "support/EventLoop.h"

#include <QHostAddress>
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace figturn;

namespace {

/** More than the kernel buffers for a peer that reads nothing. */
constexpr std::size_t UnreadSize = 64U << 20;

/** A connection whose peer has read none of the bytes that it is sent. The peer
 *  acts only while the socket's event loop doesn't run, so that all of its
 * steps are seen in one round. */
struct Fixture {
  Fixture()
      : m_Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
        m_Socket({.m_OnConnected = [] {},
                  .m_OnReadable = [] {},
                  .m_OnClosed =
                      [this](StreamCloseReason Reason) { m_Reason = Reason; }},
                 {}) {
    ensureQtApplication();
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    BOOST_REQUIRE(::bind(m_Listener, Generic, Size) == 0);
    BOOST_REQUIRE(::listen(m_Listener, 1) == 0);
    BOOST_REQUIRE(::getsockname(m_Listener, Generic, &Size) == 0);
    m_Socket.connectTo(QHostAddress(QHostAddress::LocalHost),
                       ntohs(Address.sin_port));
    m_Peer = ::accept(m_Listener, nullptr, nullptr);
    BOOST_REQUIRE(runUntil([this] { return m_Socket.isConnected(); }));
    m_Socket.write(std::string(UnreadSize, 'x'));
    BOOST_REQUIRE(!m_Socket.isFlushed());
    const std::string Answer = "answer";
    BOOST_REQUIRE(::send(m_Peer, Answer.data(), Answer.size(), 0) == 6);
  }
  ~Fixture() { ::close(m_Listener); }

  /** Closes the peer's socket, which resets it as it has unread bytes. */
  void resetPeer() const { ::close(m_Peer); }

  int m_Listener;
  int m_Peer = -1;
  std::optional<StreamCloseReason> m_Reason;
  StreamSocket m_Socket;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamSocketTest, Fixture)

// Regression: writing took the error of the reset, and reading then found an
// orderly end.
BOOST_AUTO_TEST_CASE(Peer_resetWhileBytesWait_isBroken) {
  resetPeer();
  BOOST_REQUIRE(runUntil([this] { return m_Reason.has_value(); }));
  BOOST_TEST((*m_Reason == StreamCloseReason::Broken));
  BOOST_TEST(m_Socket.input() == "answer");
}

// The peer had sent all that it wanted to.
BOOST_AUTO_TEST_CASE(Peer_resetAfterItsEnd_isClosed) {
  ::shutdown(m_Peer, SHUT_WR);
  resetPeer();
  BOOST_REQUIRE(runUntil([this] { return m_Reason.has_value(); }));
  BOOST_TEST((*m_Reason == StreamCloseReason::Closed));
  BOOST_TEST(m_Socket.input() == "answer");
}

BOOST_AUTO_TEST_SUITE_END()

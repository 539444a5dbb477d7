#include "transport/PeerNetwork.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace figturn;

namespace {

/** Answers requests at once, except for calls of the path "/slow". */
class RecordingHandler : public PeerHandler {
public:
  void onHeartbeat(PeerHeartbeat Heartbeat,
                   PeerResponder<PeerHeartbeat> Respond) override {
    Respond({.m_Sender = {.m_Vm = VmName("b")},
             .m_Lease = {.m_Epoch = Heartbeat.m_Lease.m_Epoch}});
  }
  void
  onPullDocuments(std::vector<std::string> Paths,
                  PeerResponder<std::vector<PeerDocument>> Respond) override {
    Respond({{.m_Path = Paths.at(0), .m_Version = 7, .m_Body = "{}"}});
  }
  void onRunCall(PeerCall Call,
                 PeerResponder<PeerCallResult> Respond) override {
    if (Call.m_Path == "/slow") {
      m_SlowCallReceived.set_value();
      return;
    }
    Respond(
        {.m_Status = 200, .m_Body = Call.m_Body, .m_Verdict = RunVerdict::Ran});
  }
  void onCallCancelled(VmName, CallId Call) override {
    if (Call == CallId(2))
      m_CancelledCall.set_value(Call);
  }
  void onAskCanary(Fingerprint, PeerResponder<CanaryAnswer> Respond) override {
    Respond({.m_Verdict = CanaryVerdict::Quarantined});
  }
  void onReportCanary(Fingerprint, std::uint64_t, CanaryOutcome,
                      PeerResponder<bool> Respond) override {
    Respond(true);
  }
  void onCrashNotice(CrashNotice, PeerResponder<bool> Respond) override {
    Respond(true);
  }
  void onAwaitSingleRun(AttemptToken, milliseconds,
                        PeerResponder<HolderReply> Respond) override {
    Respond({.m_Kind = HolderReply::Kind::Settled});
  }

  std::promise<void> m_SlowCallReceived;
  std::promise<CallId> m_CancelledCall;
};

/** A listening socket whose connections are never accepted or answered. */
class UnresponsiveListener {
public:
  UnresponsiveListener() : m_Fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int Bound =
        ::bind(m_Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
    BOOST_REQUIRE(Bound == 0);
    ::listen(m_Fd, 8);
    socklen_t Size = sizeof Address;
    ::getsockname(m_Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
  }
  ~UnresponsiveListener() { release(); }
  /** Closes the socket and returns its address. */
  std::string release() {
    if (m_Fd >= 0)
      ::close(std::exchange(m_Fd, -1));
    return address();
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", m_Port); }

private:
  int m_Fd;
  std::uint16_t m_Port = 0;
};

struct TwoPeers {
  TwoPeers()
      : m_Address(UnresponsiveListener().release()),
        m_Server({.m_Address = m_Address}, m_Handler),
        m_Client({.m_Address = UnresponsiveListener().release()},
                 m_ClientHandler) {
    BOOST_REQUIRE(!m_Server.start());
    BOOST_REQUIRE(!m_Client.start());
  }

  std::error_code heartbeat(const std::string &Address) {
    std::promise<std::error_code> Done;
    m_Client.sendHeartbeat(
        Address,
        {.m_Sender = {.m_Vm = VmName("a")}, .m_Lease = {.m_Epoch = Epoch(3)}},
        milliseconds(300),
        [&](std::error_code Error, PeerHeartbeat) { Done.set_value(Error); });
    return Done.get_future().get();
  }

  RecordingHandler m_Handler;
  RecordingHandler m_ClientHandler;
  std::string m_Address;
  PeerNetwork m_Server;
  PeerNetwork m_Client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerNetworkTest, TwoPeers)

BOOST_AUTO_TEST_CASE(Call_toALivePeer_returnsItsResult) {
  std::promise<PeerCallResult> Done;
  m_Client.runCall(
      m_Address, {.m_Origin = VmName("a"), .m_Call = CallId(1), .m_Body = "x"},
      seconds(5), [&](std::error_code Error, PeerCallResult R) {
        BOOST_TEST(!Error);
        Done.set_value(R);
      });
  const PeerCallResult Result = Done.get_future().get();
  BOOST_TEST(Result.m_Body == "x");
  BOOST_TEST((Result.m_Verdict == RunVerdict::Ran));
}

BOOST_AUTO_TEST_CASE(Call_cancelledBySender_isReportedToTheReceiver) {
  const auto Handle = m_Client.runCall(
      m_Address,
      {.m_Origin = VmName("a"), .m_Call = CallId(2), .m_Path = "/slow"},
      seconds(30), [](std::error_code, const PeerCallResult &) {});
  m_Handler.m_SlowCallReceived.get_future().wait();
  m_Client.cancelCall(Handle);
  BOOST_TEST((m_Handler.m_CancelledCall.get_future().get() == CallId(2)));
}

BOOST_AUTO_TEST_CASE(
    Heartbeat_toAnUnresponsivePeer_timesOutWithoutAffectingOthers) {
  const UnresponsiveListener Unresponsive;
  BOOST_TEST((heartbeat(Unresponsive.address()) == Errc::DeadlineExceeded));
  BOOST_TEST(!heartbeat(m_Address));
}

BOOST_AUTO_TEST_CASE(Heartbeat_toARestartedPeer_reconnects) {
  BOOST_TEST(!heartbeat(m_Address));
  m_Server.stop();
  BOOST_TEST((heartbeat(m_Address) == Errc::PeerUnavailable));
  RecordingHandler RestartedHandler;
  PeerNetwork RestartedServer({.m_Address = m_Address}, RestartedHandler);
  BOOST_REQUIRE(!RestartedServer.start());
  BOOST_TEST(!heartbeat(m_Address));
  RestartedServer.stop();
}

BOOST_AUTO_TEST_CASE(Documents_pulled_carryTheirVersions) {
  std::promise<std::vector<PeerDocument>> Done;
  m_Client.pullDocuments(
      m_Address, {"config"}, seconds(5),
      [&](std::error_code, std::vector<PeerDocument> D) { Done.set_value(D); });
  const auto Documents = Done.get_future().get();
  BOOST_REQUIRE(Documents.size() == 1);
  BOOST_TEST(Documents[0].m_Version == 7);
}

BOOST_AUTO_TEST_SUITE_END()

#include "transport/PeerNetwork.h"

#include "protocol/PeerCodec.h"
#include "transport/KjTaskQueue.h"
#include "transport/PeerService.h"

#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/async-io.h>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds ConnectTimeout{1000};

kj::Duration toKjDuration(milliseconds Time) {
  return Time.count() * kj::MILLISECONDS;
}

} // namespace

/** State of the peer thread. All members but m_Queue, m_NextHandle and m_Thread
 *  are accessed on that thread only. */
class PeerNetwork::Impl : private kj::TaskSet::ErrorHandler {
public:
  Impl(PeerNetworkOptions Options, PeerHandler &Handler)
      : m_Options(std::move(Options)), m_Handler(Handler),
        m_Queue(std::make_shared<KjTaskQueue>()) {}

  std::error_code start();
  void stop();

  /**
   * Sends one request. \p Start creates it on the peer's capability and
   * returns a promise of the decoded reply. If \p CloseLinkOnTimeout is set, a
   * timeout closes the link.
   */
  template <typename Reply, typename StartRequest>
  PeerCallHandle call(const std::string &Address, milliseconds Timeout,
                      StartRequest Start, PeerReplyHandler<Reply> OnReply,
                      bool CloseLinkOnTimeout = false) {
    const PeerCallHandle Handle = m_NextHandle.fetch_add(1);
    m_Queue->post([this, Address, Timeout, Start = std::move(Start),
                   OnReply = std::move(OnReply), Handle, CloseLinkOnTimeout] {
      startCall<Reply>(Address, Timeout, Start, OnReply, Handle,
                       CloseLinkOnTimeout);
    });
    return Handle;
  }

  void cancel(PeerCallHandle Handle) {
    m_Queue->post([this, Handle] { m_InFlight.erase(Handle); });
  }

private:
  /** A peer's capability; connects at the first request. */
  struct PeerLink {
    explicit PeerLink(rpc::Peer::Client Peer) : m_Peer(kj::mv(Peer)) {}
    rpc::Peer::Client m_Peer;
  };

  /** Objects that must live as long as a connection is open. */
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> Stream)
        : m_Stream(kj::mv(Stream)), m_Client(*m_Stream) {}
    kj::Own<kj::AsyncIoStream> m_Stream;
    capnp::TwoPartyClient m_Client;
  };

  template <typename Reply, typename StartRequest>
  void startCall(const std::string &Address, milliseconds Timeout,
                 const StartRequest &Start,
                 const PeerReplyHandler<Reply> &OnReply, PeerCallHandle Handle,
                 bool CloseLinkOnTimeout) {
    auto Peer = linkedPeer(Address);
    auto Request = kj::evalNow([&] { return Start(Peer); });
    auto Promise =
        m_Io->provider->getTimer()
            .timeoutAfter(toKjDuration(Timeout), kj::mv(Request))
            .then(
                [this, OnReply, Handle](Reply Answer) {
                  releaseCall(Handle);
                  OnReply({}, std::move(Answer));
                },
                [this, OnReply, Handle, Address,
                 CloseLinkOnTimeout](kj::Exception &&Error) {
                  releaseCall(Handle);
                  const bool TimedOut =
                      Error.getType() == kj::Exception::Type::OVERLOADED;
                  if (!TimedOut || CloseLinkOnTimeout)
                    closeLink(Address);
                  OnReply(TimedOut ? Errc::DeadlineExceeded
                                   : Errc::PeerUnavailable,
                          Reply{});
                })
            .eagerlyEvaluate(nullptr);
    m_InFlight.emplace(Handle, kj::mv(Promise));
  }

  /** Removes a call from within its own continuation. A continuation must not
   *  destroy its own promise, so its destruction is deferred to the next
   *  iteration of the event loop. */
  void releaseCall(PeerCallHandle Handle) {
    auto Node = m_InFlight.find(Handle);
    if (Node == m_InFlight.end())
      return;
    auto Done = kj::heap<kj::Promise<void>>(kj::mv(Node->second));
    m_InFlight.erase(Node);
    m_Tasks->add(kj::evalLater([Done = kj::mv(Done)]() {}));
  }

  rpc::Peer::Client linkedPeer(const std::string &Address);
  kj::Promise<rpc::Peer::Client> connect(const std::string &Address);
  void closeLink(const std::string &Address);
  void closeLinkIfCurrent(const std::string &Address,
                          const Connection *DisconnectedConnection);
  void runLoop(std::promise<std::error_code> &Started);
  void taskFailed(kj::Exception && /*Error*/) override {}

  PeerNetworkOptions m_Options;
  PeerHandler &m_Handler;
  std::shared_ptr<KjTaskQueue> m_Queue;
  std::atomic<PeerCallHandle> m_NextHandle{1};
  kj::AsyncIoContext *m_Io = nullptr;
  kj::TaskSet *m_Tasks = nullptr;
  std::map<std::string, PeerLink> m_Links;
  std::map<std::string, kj::Own<Connection>> m_Connections;
  std::unordered_map<PeerCallHandle, kj::Promise<void>> m_InFlight;
  std::thread m_Thread;
};

std::error_code PeerNetwork::Impl::start() {
  std::promise<std::error_code> Started;
  auto Result = Started.get_future();
  m_Thread = std::thread([this, &Started] { runLoop(Started); });
  return Result.get();
}

void PeerNetwork::Impl::stop() {
  m_Queue->close();
  if (m_Thread.joinable())
    m_Thread.join();
}

void PeerNetwork::Impl::runLoop(std::promise<std::error_code> &Started) {
  auto Io = kj::setupAsyncIo();
  kj::TaskSet Tasks(*this);
  m_Io = &Io;
  m_Tasks = &Tasks;
  kj::Own<kj::ConnectionReceiver> Receiver;
  auto Error = kj::runCatchingExceptions([&] {
    auto Address = Io.provider->getNetwork()
                       .parseAddress(m_Options.m_Address)
                       .wait(Io.waitScope);
    Receiver = Address->listen();
  });
  if (Error != nullptr) {
    Started.set_value(std::make_error_code(std::errc::address_in_use));
    return;
  }
  capnp::TwoPartyServer Server(kj::heap<PeerService>(m_Handler, m_Queue));
  Tasks.add(Server.listen(*Receiver));
  Started.set_value({});
  m_Queue->run(Io.unixEventPort).wait(Io.waitScope);
  m_InFlight.clear();
  m_Links.clear();
  m_Connections.clear();
}

rpc::Peer::Client PeerNetwork::Impl::linkedPeer(const std::string &Address) {
  auto Found = m_Links.find(Address);
  if (Found != m_Links.end())
    return Found->second.m_Peer;
  rpc::Peer::Client Peer(connect(Address));
  m_Links.emplace(Address, PeerLink(Peer));
  return Peer;
}

kj::Promise<rpc::Peer::Client>
PeerNetwork::Impl::connect(const std::string &Address) {
  auto &Network = m_Io->provider->getNetwork();
  auto Connecting = Network.parseAddress(Address).then(
      [](kj::Own<kj::NetworkAddress> Parsed) {
        auto Promise = Parsed->connect();
        return Promise.attach(kj::mv(Parsed));
      });
  return m_Io->provider->getTimer()
      .timeoutAfter(toKjDuration(ConnectTimeout), kj::mv(Connecting))
      .then([this, Address](kj::Own<kj::AsyncIoStream> Stream) {
        auto NewConnection = kj::heap<Connection>(kj::mv(Stream));
        auto Peer = NewConnection->m_Client.bootstrap().castAs<rpc::Peer>();
        const Connection *DisconnectedConnection = NewConnection.get();
        m_Tasks->add(NewConnection->m_Client.onDisconnect().then(
            [this, Address, DisconnectedConnection] {
              closeLinkIfCurrent(Address, DisconnectedConnection);
            }));
        m_Connections.insert_or_assign(Address, kj::mv(NewConnection));
        return Peer;
      });
}

void PeerNetwork::Impl::closeLinkIfCurrent(
    const std::string &Address, const Connection *DisconnectedConnection) {
  const auto Found = m_Connections.find(Address);
  if (Found != m_Connections.end() &&
      Found->second.get() == DisconnectedConnection)
    closeLink(Address);
}

void PeerNetwork::Impl::closeLink(const std::string &Address) {
  // Called from continuations of the connection's own promises, so the
  // connection is destroyed in the next iteration of the event loop.
  m_Links.erase(Address);
  auto Node = m_Connections.extract(Address);
  if (!Node.empty())
    m_Tasks->add(kj::evalLater([Closed = kj::mv(Node.mapped())]() {}));
}

PeerNetwork::PeerNetwork(PeerNetworkOptions Options, PeerHandler &Handler)
    : m_Impl(std::make_unique<Impl>(std::move(Options), Handler)) {}

PeerNetwork::~PeerNetwork() { stop(); }

std::error_code PeerNetwork::start() { return m_Impl->start(); }

void PeerNetwork::stop() { m_Impl->stop(); }

void PeerNetwork::sendHeartbeat(const std::string &Address,
                                PeerHeartbeat Heartbeat, milliseconds Timeout,
                                PeerReplyHandler<PeerHeartbeat> OnReply) {
  auto Start = [Heartbeat = std::move(Heartbeat)](rpc::Peer::Client &Peer) {
    auto Request = Peer.heartbeatRequest();
    encode(Heartbeat, Request.initBeat());
    return Request.send().then(
        [](auto &&Response) { return decode(Response.getReply()); });
  };
  m_Impl->call<PeerHeartbeat>(Address, Timeout, std::move(Start),
                              std::move(OnReply), true);
}

void PeerNetwork::pullDocuments(
    const std::string &Address, std::vector<std::string> Paths,
    milliseconds Timeout, PeerReplyHandler<std::vector<PeerDocument>> OnReply) {
  auto Start = [Paths = std::move(Paths)](rpc::Peer::Client &Peer) {
    auto Request = Peer.pullDocumentsRequest();
    auto List = Request.initPaths(static_cast<unsigned>(Paths.size()));
    for (std::size_t I = 0; I < Paths.size(); ++I)
      List.set(static_cast<unsigned>(I), Paths[I]);
    return Request.send().then([](auto &&Response) {
      std::vector<PeerDocument> Documents;
      for (auto Document : Response.getDocuments())
        Documents.push_back(decode(Document));
      return Documents;
    });
  };
  m_Impl->call<std::vector<PeerDocument>>(Address, Timeout, std::move(Start),
                                          std::move(OnReply));
}

PeerCallHandle PeerNetwork::runCall(const std::string &Address, PeerCall Call,
                                    milliseconds Timeout,
                                    PeerReplyHandler<PeerCallResult> OnReply) {
  auto Start = [Call = std::move(Call)](rpc::Peer::Client &Peer) {
    auto Request = Peer.runCallRequest();
    encode(Call, Request.initCall());
    return Request.send().then(
        [](auto &&Response) { return decode(Response.getResult()); });
  };
  return m_Impl->call<PeerCallResult>(Address, Timeout, std::move(Start),
                                      std::move(OnReply));
}

void PeerNetwork::cancelCall(PeerCallHandle Handle) { m_Impl->cancel(Handle); }

void PeerNetwork::askCanary(const std::string &Address, Fingerprint Request,
                            milliseconds Timeout,
                            PeerReplyHandler<CanaryAnswer> OnReply) {
  auto Start = [Request](rpc::Peer::Client &Peer) {
    auto Query = Peer.askCanaryRequest();
    Query.setFingerprint(Request.value());
    return Query.send().then([](auto &&Response) {
      return CanaryAnswer{.m_Verdict = decode(Response.getVerdict()),
                          .m_Canary = Response.getCanary(),
                          .m_Remaining =
                              milliseconds(Response.getRemainingMs())};
    });
  };
  m_Impl->call<CanaryAnswer>(Address, Timeout, std::move(Start),
                             std::move(OnReply));
}

void PeerNetwork::reportCanary(const std::string &Address, Fingerprint Request,
                               std::uint64_t Canary, CanaryOutcome Outcome,
                               milliseconds Timeout,
                               PeerReplyHandler<bool> OnReply) {
  auto Start = [Request, Canary, Outcome](rpc::Peer::Client &Peer) {
    auto Report = Peer.reportCanaryRequest();
    Report.setFingerprint(Request.value());
    Report.setCanary(Canary);
    Report.setOutcome(encode(Outcome));
    return Report.send().then([](auto &&) { return true; });
  };
  m_Impl->call<bool>(Address, Timeout, std::move(Start), std::move(OnReply));
}

void PeerNetwork::sendCrashNotice(const std::string &Address,
                                  CrashNotice Notice, milliseconds Timeout,
                                  PeerReplyHandler<bool> OnReply) {
  auto Start = [Notice](rpc::Peer::Client &Peer) {
    auto Request = Peer.learnCrashRequest();
    encode(Notice, Request.initNotice());
    return Request.send().then([](auto &&) { return true; });
  };
  m_Impl->call<bool>(Address, Timeout, std::move(Start), std::move(OnReply));
}

void PeerNetwork::awaitSingleRun(const std::string &Address, AttemptToken Token,
                                 milliseconds Wait,
                                 PeerReplyHandler<HolderReply> OnReply) {
  auto Start = [Token = std::move(Token), Wait](rpc::Peer::Client &Peer) {
    auto Request = Peer.awaitSingleRunRequest();
    Request.setToken(Token.value());
    Request.setWaitMs(static_cast<std::uint32_t>(Wait.count()));
    return Request.send().then(
        [](auto &&Response) { return decode(Response.getReply()); });
  };
  constexpr milliseconds Margin{500};
  m_Impl->call<HolderReply>(Address, Wait + Margin, std::move(Start),
                            std::move(OnReply));
}

} // namespace figturn

#include "node/CanaryClient.h"

#include "state/Event.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds StatusTimeout{300};
constexpr milliseconds TellTimeout{300};
/** The home answers a report only after its peers did. */
constexpr milliseconds ReportTimeout{800};

} // namespace

CanaryClient::CanaryClient(VmName Self, WorkerPool &Workers,
                           MembershipTable &Membership, PeerNetwork &Peers)
    : m_Self(std::move(Self)), m_Workers(Workers), m_Membership(Membership),
      m_Peers(Peers), m_Registry({}) {}

std::optional<Member> CanaryClient::remoteHome(Fingerprint Request) const {
  const auto Home = m_Membership.home(Request.value());
  return Home && Home->m_Vm != m_Self ? Home : std::nullopt;
}

void CanaryClient::ask(Fingerprint Request, std::size_t Worker,
                       AnswerHandler OnAnswer) {
  const auto Home = remoteHome(Request);
  if (!Home) {
    const CanaryAnswer Answer = onAsk(Request);
    m_Workers.post(Worker, [OnAnswer, Answer] { OnAnswer(Answer); });
    return;
  }
  {
    const std::lock_guard Lock(m_Mutex);
    if (m_Registry.quarantined(Request, Clock::now())) {
      m_Workers.post(Worker, [OnAnswer] {
        OnAnswer({.m_Verdict = CanaryVerdict::Quarantined});
      });
      return;
    }
  }
  // Without its home a request is judged here, so that a lost VM holds up no
  // caller; the member list names another home soon.
  m_Peers.askCanary(Home->m_PeerAddress, Request, StatusTimeout,
                    [this, Request, Worker, OnAnswer](std::error_code Error,
                                                      CanaryAnswer Answer) {
                      if (Error)
                        Answer = onAsk(Request);
                      m_Workers.post(Worker,
                                     [OnAnswer, Answer] { OnAnswer(Answer); });
                    });
}

void CanaryClient::report(Fingerprint Request, std::uint64_t Canary,
                          CanaryOutcome Outcome, std::size_t Worker,
                          DoneHandler OnDone) {
  auto Back = [this, Worker, OnDone = std::move(OnDone)] {
    m_Workers.post(Worker, OnDone);
  };
  const auto Home = remoteHome(Request);
  if (!Home) {
    onReport(Request, Canary, Outcome, std::move(Back));
    return;
  }
  m_Peers.reportCanary(
      Home->m_PeerAddress, Request, Canary, Outcome, ReportTimeout,
      [this, Request, Outcome, Back](std::error_code Error, bool) {
        if (Error)
          onReport(Request, 0, Outcome, Back);
        else
          Back();
      });
}

CanaryAnswer CanaryClient::onAsk(Fingerprint Request) {
  const std::lock_guard Lock(m_Mutex);
  return m_Registry.ask(Request, Clock::now());
}

void CanaryClient::onReport(Fingerprint Request, std::uint64_t Canary,
                            CanaryOutcome Outcome, DoneHandler OnDone) {
  std::optional<CrashNotice> Notice;
  {
    const std::lock_guard Lock(m_Mutex);
    Notice = m_Registry.report(Request, Canary, Outcome, Clock::now());
  }
  if (Notice)
    tellPeers(*Notice, std::move(OnDone));
  else
    OnDone();
}

void CanaryClient::tellPeers(const CrashNotice &Notice, DoneHandler OnDone) {
  logEvent(Event::RequestCrashed, "fingerprint={:016x} crashes={}",
           Notice.m_Fingerprint, Notice.m_Crashes);
  const MemberListPtr List = m_Membership.members();
  std::vector<std::string> Addresses;
  for (const Member &Peer : List->m_Members)
    if (Peer.m_Vm != m_Self)
      Addresses.push_back(Peer.m_PeerAddress);
  if (Addresses.empty()) {
    OnDone();
    return;
  }
  auto Left = std::make_shared<std::atomic<std::size_t>>(Addresses.size());
  for (const std::string &Address : Addresses)
    m_Peers.learnCrash(Address, Notice, TellTimeout,
                       [Left, OnDone](std::error_code, bool) {
                         if (Left->fetch_sub(1) == 1)
                           OnDone();
                       });
}

void CanaryClient::onLearn(const CrashNotice &Notice) {
  const std::lock_guard Lock(m_Mutex);
  m_Registry.learn(Notice, Clock::now());
}

} // namespace figturn

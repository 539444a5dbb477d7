#include "node/CanaryClient.h"

#include "state/Event.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace figturn {

namespace {

constexpr milliseconds AskTimeout{300};
constexpr milliseconds NotifyTimeout{300};
/** The owner VM replies to the report of a crash only after its peers have
 *  replied or timed out. */
constexpr milliseconds ReportTimeout{800};

} // namespace

CanaryClient::CanaryClient(VmName Self, WorkerPool &Workers,
                           MembershipTable &Membership, PeerNetwork &Peers)
    : m_Self(std::move(Self)), m_Workers(Workers), m_Membership(Membership),
      m_Peers(Peers), m_Registry({}) {}

std::optional<Member> CanaryClient::remoteOwner(Fingerprint Request) const {
  const auto Owner = m_Membership.ownerVm(Request.value());
  return Owner && Owner->m_Vm != m_Self ? Owner : std::nullopt;
}

void CanaryClient::ask(Fingerprint Request, std::size_t Worker,
                       AnswerHandler OnAnswer) {
  const auto Owner = remoteOwner(Request);
  if (!Owner) {
    const CanaryAnswer Answer = onAsk(Request);
    m_Workers.post(Worker, [OnAnswer, Answer] { OnAnswer(Answer); });
    return;
  }
  {
    const std::lock_guard Lock(m_Mutex);
    if (m_Registry.quarantineRemaining(Request, Clock::now())) {
      m_Workers.post(Worker, [OnAnswer] {
        OnAnswer({.m_Verdict = CanaryVerdict::Quarantined});
      });
      return;
    }
  }
  // If the owner VM is unreachable, this VM decides, so that a failed VM delays
  // a caller by at most AskTimeout. The member list soon assigns another owner.
  m_Peers.askCanary(Owner->m_PeerAddress, Request, AskTimeout,
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
  auto PostDone = [this, Worker, OnDone = std::move(OnDone)] {
    m_Workers.post(Worker, OnDone);
  };
  const auto Owner = remoteOwner(Request);
  if (!Owner) {
    onReport(Request, Canary, Outcome, std::move(PostDone));
    return;
  }
  m_Peers.reportCanary(
      Owner->m_PeerAddress, Request, Canary, Outcome, ReportTimeout,
      [this, Request, Outcome, PostDone](std::error_code Error, bool) {
        if (Error)
          onReport(Request, 0, Outcome, PostDone);
        else
          PostDone();
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
    notifyPeers(*Notice, std::move(OnDone));
  else
    OnDone();
}

void CanaryClient::notifyPeers(const CrashNotice &Notice, DoneHandler OnDone) {
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
  auto RemainingPeers =
      std::make_shared<std::atomic<std::size_t>>(Addresses.size());
  for (const std::string &Address : Addresses)
    m_Peers.sendCrashNotice(Address, Notice, NotifyTimeout,
                            [RemainingPeers, OnDone](std::error_code, bool) {
                              if (RemainingPeers->fetch_sub(1) == 1)
                                OnDone();
                            });
}

void CanaryClient::onCrashNotice(const CrashNotice &Notice) {
  const std::lock_guard Lock(m_Mutex);
  m_Registry.onCrashNotice(Notice, Clock::now());
}

} // namespace figturn

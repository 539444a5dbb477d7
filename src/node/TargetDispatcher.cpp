#include "node/TargetDispatcher.h"

#include "state/RendezvousHash.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <utility>

namespace figturn {

namespace {

/** Collects values from several workers under one lock. */
template <typename Value> struct Collector {
  std::mutex m_Mutex;
  Value m_Value;
};

} // namespace

TargetDispatcher::TargetDispatcher(VmName Self, WorkerPool &Workers,
                                   RoutingTable &Routing,
                                   MembershipTable &Membership,
                                   TargetStatusTable &Status,
                                   PeerNetwork &Peers)
    : m_Self(std::move(Self)), m_Workers(Workers), m_Routing(Routing),
      m_Membership(Membership), m_Status(Status), m_Peers(Peers),
      m_Runners(Workers.size()) {}

TargetDispatcher::~TargetDispatcher() = default;

void TargetDispatcher::setRegressNoticeHandler(
    std::function<void(const VmName &, RegressNotice)> SendRegressNotice) {
  m_SendRegressNotice = std::move(SendRegressNotice);
}

std::size_t TargetDispatcher::workerFor(const TargetName &Target) const {
  return stableHash(Target.value()) % m_Workers.size();
}

void TargetDispatcher::configure() {
  const ConfigurationPtr Config = m_Routing.configuration();
  if (!Config)
    return;
  m_Status.configure(*Config);
  for (std::size_t I = 0; I < m_Workers.size(); ++I)
    m_Workers.post(I, [this, I, Config] { configureWorker(I, Config); });
}

void TargetDispatcher::configureWorker(std::size_t Worker,
                                       const ConfigurationPtr &Config) {
  Runners &WorkerRunners = m_Runners[Worker];
  for (const auto &[Name, Target] : Config->m_Targets) {
    if (workerFor(Name) != Worker)
      continue;
    std::unique_ptr<TargetRunner> &Runner = WorkerRunners[Name];
    if (Runner && !Runner->differsFrom(Target))
      continue;
    // An address or a limit changed: calls in flight finish on the runner that
    // started them.
    if (Runner)
      Runner.release()->deleteWhenIdle();
    Runner = std::make_unique<TargetRunner>(
        Name, Target,
        TargetRunnerContext{
            .m_Self = m_Self,
            .m_Membership = m_Membership,
            .m_Status = m_Status,
            .m_Peers = m_Peers,
            .m_ReplyMemory = m_ReplyMemory,
            .m_SendRegressNotice = m_SendRegressNotice,
            .m_Post = [this, Worker](std::function<void()> Task) {
              m_Workers.post(Worker, std::move(Task));
            }});
  }
  for (auto It = WorkerRunners.begin(); It != WorkerRunners.end();) {
    if (Config->m_Targets.contains(It->first)) {
      ++It;
      continue;
    }
    It->second.release()->deleteWhenIdle();
    It = WorkerRunners.erase(It);
  }
}

void TargetDispatcher::shutDown() {
  std::promise<void> Done;
  runOnAllWorkers([](Runners &WorkerRunners) { WorkerRunners.clear(); },
                  [&Done] { Done.set_value(); });
  Done.get_future().wait();
}

TargetRunner *TargetDispatcher::find(const TargetName &Target) {
  Runners &WorkerRunners = m_Runners[workerFor(Target)];
  const auto Found = WorkerRunners.find(Target);
  return Found == WorkerRunners.end() ? nullptr : Found->second.get();
}

void TargetDispatcher::run(CallRequest Request, std::size_t Worker,
                           CallResultHandler OnResult) {
  const std::size_t TargetWorker = workerFor(Request.m_Target);
  auto SendResult = [this, Worker,
                     OnResult = std::move(OnResult)](CallResult R) {
    m_Workers.post(Worker, [OnResult, R = std::move(R)] { OnResult(R); });
  };
  m_Workers.post(TargetWorker, [this, Request = std::move(Request),
                                SendResult = std::move(SendResult)]() mutable {
    if (TargetRunner *Runner = find(Request.m_Target))
      Runner->run(std::move(Request), std::move(SendResult));
    else
      SendResult({.m_Error = Errc::NoTarget, .m_Verdict = RunVerdict::NotRun});
  });
}

void TargetDispatcher::cancel(const TargetName &Target, CallId Call) {
  m_Workers.post(workerFor(Target), [this, Target, Call] {
    if (TargetRunner *Runner = find(Target))
      Runner->cancel(Call);
  });
}

void TargetDispatcher::runOnAllWorkers(std::function<void(Runners &)> Task,
                                       std::function<void()> OnDone) {
  auto RemainingWorkers =
      std::make_shared<std::atomic<std::size_t>>(m_Workers.size());
  for (std::size_t I = 0; I < m_Workers.size(); ++I)
    m_Workers.post(I, [this, I, Task, OnDone, RemainingWorkers] {
      Task(m_Runners[I]);
      if (RemainingWorkers->fetch_sub(1) == 1 && OnDone)
        OnDone();
    });
}

void TargetDispatcher::onMembership() {
  runOnAllWorkers(
      [](Runners &WorkerRunners) {
        for (auto &[Name, Runner] : WorkerRunners)
          Runner->onMembership();
      },
      nullptr);
}

void TargetDispatcher::collectReports(
    std::function<void(std::map<VmName, std::vector<RampReport>>)> OnReports) {
  using Reports = std::map<VmName, std::vector<RampReport>>;
  auto Collected = std::make_shared<Collector<Reports>>();
  runOnAllWorkers(
      [Collected](Runners &WorkerRunners) {
        const std::lock_guard Lock(Collected->m_Mutex);
        for (auto &[Name, Runner] : WorkerRunners)
          if (auto Report = Runner->makeReport())
            Collected->m_Value[Runner->authority()].push_back(
                std::move(*Report));
      },
      [Collected, OnReports = std::move(OnReports)] {
        OnReports(std::move(Collected->m_Value));
      });
}

void TargetDispatcher::onReports(
    std::vector<RampReport> Reports,
    std::function<void(std::vector<RampGrant>)> OnGrants) {
  if (Reports.empty()) {
    OnGrants({});
    return;
  }
  auto Shared = std::make_shared<std::vector<RampReport>>(std::move(Reports));
  auto Collected = std::make_shared<Collector<std::vector<RampGrant>>>();
  runOnAllWorkers(
      [Shared, Collected](Runners &WorkerRunners) {
        const std::lock_guard Lock(Collected->m_Mutex);
        for (const RampReport &Report : *Shared) {
          const auto Found = WorkerRunners.find(Report.m_Target);
          if (Found == WorkerRunners.end())
            continue;
          if (auto Grant = Found->second->onReport(Report))
            Collected->m_Value.push_back(std::move(*Grant));
        }
      },
      [Collected, OnGrants = std::move(OnGrants)] {
        OnGrants(std::move(Collected->m_Value));
      });
}

void TargetDispatcher::onGrants(std::vector<RampGrant> Grants, VmName Sender,
                                TimePoint SentAt) {
  for (RampGrant &Grant : Grants) {
    const std::size_t TargetWorker = workerFor(Grant.m_Target);
    m_Workers.post(TargetWorker,
                   [this, Grant = std::move(Grant), Sender, SentAt] {
                     if (TargetRunner *Runner = find(Grant.m_Target))
                       Runner->onGrant(Grant, Sender, SentAt);
                   });
  }
}

void TargetDispatcher::onRegressNotices(
    const std::vector<RegressNotice> &Notices) {
  for (const RegressNotice &Notice : Notices)
    m_Workers.post(workerFor(Notice.m_Target), [this, Notice] {
      if (TargetRunner *Runner = find(Notice.m_Target))
        Runner->onRegressNotice(Notice);
    });
}

void TargetDispatcher::collectLastCallEndTime(
    std::function<void(TimePoint)> OnCollected) {
  auto Latest = std::make_shared<Collector<TimePoint>>();
  Latest->m_Value = TimePoint::min();
  runOnAllWorkers(
      [Latest](Runners &WorkerRunners) {
        const std::lock_guard Lock(Latest->m_Mutex);
        for (auto &[Name, Runner] : WorkerRunners)
          if (const auto EndTime = Runner->lastCallEndTime())
            Latest->m_Value = std::max(Latest->m_Value, *EndTime);
      },
      [Latest, OnCollected = std::move(OnCollected)] {
        OnCollected(Latest->m_Value);
      });
}

} // namespace figturn

#include "node/TargetDispatcher.h"

#include "state/RendezvousHash.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <utility>

namespace figturn {

namespace {

/** Collects parts from several workers under one lock. */
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

void TargetDispatcher::onRegress(
    std::function<void(const VmName &, RegressNotice)> SendRegress) {
  m_SendRegress = std::move(SendRegress);
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
  Runners &Mine = m_Runners[Worker];
  for (const auto &[Name, Target] : Config->m_Targets) {
    if (workerFor(Name) != Worker)
      continue;
    std::unique_ptr<TargetRunner> &Runner = Mine[Name];
    if (Runner && !Runner->differsFrom(Target))
      continue;
    // An address or a limit changed: what is in flight ends with the runner
    // that began it.
    if (Runner)
      Runner.release()->deleteWhenIdle();
    Runner = std::make_unique<TargetRunner>(
        Name, Target,
        TargetRunnerContext{
            .m_Self = m_Self,
            .m_Membership = m_Membership,
            .m_Status = m_Status,
            .m_Peers = m_Peers,
            .m_SendRegress = m_SendRegress,
            .m_Post = [this, Worker](std::function<void()> Task) {
              m_Workers.post(Worker, std::move(Task));
            }});
  }
  for (auto It = Mine.begin(); It != Mine.end();) {
    if (Config->m_Targets.contains(It->first)) {
      ++It;
      continue;
    }
    It->second.release()->deleteWhenIdle();
    It = Mine.erase(It);
  }
}

void TargetDispatcher::shutDown() {
  std::promise<void> Done;
  runOnAllWorkers([](Runners &Mine) { Mine.clear(); },
                  [&Done] { Done.set_value(); });
  Done.get_future().wait();
}

TargetRunner *TargetDispatcher::find(const TargetName &Target) {
  Runners &Mine = m_Runners[workerFor(Target)];
  const auto Found = Mine.find(Target);
  return Found == Mine.end() ? nullptr : Found->second.get();
}

void TargetDispatcher::run(CallRequest Request, std::size_t Worker,
                           CallResultHandler OnResult) {
  const std::size_t Home = workerFor(Request.m_Target);
  auto Back = [this, Worker, OnResult = std::move(OnResult)](CallResult R) {
    m_Workers.post(Worker, [OnResult, R = std::move(R)] { OnResult(R); });
  };
  m_Workers.post(Home, [this, Request = std::move(Request),
                        Back = std::move(Back)]() mutable {
    if (TargetRunner *Runner = find(Request.m_Target))
      Runner->run(std::move(Request), std::move(Back));
    else
      Back({.m_Error = Errc::NoTarget, .m_Verdict = RunVerdict::NotRun});
  });
}

void TargetDispatcher::cancel(const TargetName &Target, CallId Call) {
  m_Workers.post(workerFor(Target), [this, Target, Call] {
    if (TargetRunner *Runner = find(Target))
      Runner->cancel(Call);
  });
}

void TargetDispatcher::runOnAllWorkers(std::function<void(Runners &)> Task,
                                       std::function<void()> Done) {
  auto Left = std::make_shared<std::atomic<std::size_t>>(m_Workers.size());
  for (std::size_t I = 0; I < m_Workers.size(); ++I)
    m_Workers.post(I, [this, I, Task, Done, Left] {
      Task(m_Runners[I]);
      if (Left->fetch_sub(1) == 1 && Done)
        Done();
    });
}

void TargetDispatcher::onMembership() {
  runOnAllWorkers(
      [](Runners &Mine) {
        for (auto &[Name, Runner] : Mine)
          Runner->onMembership();
      },
      nullptr);
}

void TargetDispatcher::collectReports(
    std::function<void(std::map<VmName, std::vector<RampReport>>)> OnReports) {
  using Reports = std::map<VmName, std::vector<RampReport>>;
  auto All = std::make_shared<Collector<Reports>>();
  runOnAllWorkers(
      [All](Runners &Mine) {
        const std::lock_guard Lock(All->m_Mutex);
        for (auto &[Name, Runner] : Mine)
          if (auto Report = Runner->makeReport())
            All->m_Value[Runner->authority()].push_back(std::move(*Report));
      },
      [All, OnReports = std::move(OnReports)] {
        OnReports(std::move(All->m_Value));
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
  auto All = std::make_shared<Collector<std::vector<RampGrant>>>();
  runOnAllWorkers(
      [Shared, All](Runners &Mine) {
        const std::lock_guard Lock(All->m_Mutex);
        for (const RampReport &Report : *Shared) {
          const auto Found = Mine.find(Report.m_Target);
          if (Found == Mine.end())
            continue;
          if (auto Grant = Found->second->onReport(Report))
            All->m_Value.push_back(std::move(*Grant));
        }
      },
      [All, OnGrants = std::move(OnGrants)] {
        OnGrants(std::move(All->m_Value));
      });
}

void TargetDispatcher::onGrants(std::vector<RampGrant> Grants, VmName From,
                                TimePoint SentAt) {
  for (RampGrant &Grant : Grants) {
    const std::size_t Home = workerFor(Grant.m_Target);
    m_Workers.post(Home, [this, Grant = std::move(Grant), From, SentAt] {
      if (TargetRunner *Runner = find(Grant.m_Target))
        Runner->onGrant(Grant, From, SentAt);
    });
  }
}

void TargetDispatcher::onRegresses(const std::vector<RegressNotice> &Notices) {
  for (const RegressNotice &Notice : Notices)
    m_Workers.post(workerFor(Notice.m_Target), [this, Notice] {
      if (TargetRunner *Runner = find(Notice.m_Target))
        Runner->onRegress(Notice);
    });
}

void TargetDispatcher::collectDrainTime(
    std::function<void(TimePoint)> OnDrained) {
  auto Last = std::make_shared<Collector<TimePoint>>();
  Last->m_Value = TimePoint::min();
  runOnAllWorkers(
      [Last](Runners &Mine) {
        const std::lock_guard Lock(Last->m_Mutex);
        for (auto &[Name, Runner] : Mine)
          if (const auto Drained = Runner->drainedBy())
            Last->m_Value = std::max(Last->m_Value, *Drained);
      },
      [Last, OnDrained = std::move(OnDrained)] { OnDrained(Last->m_Value); });
}

} // namespace figturn

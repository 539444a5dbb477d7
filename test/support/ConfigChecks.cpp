#include "support/ConfigChecks.h"

#include "protocol/JsonConvert.h"

#include <QJsonArray>

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <tuple>

namespace figturn::test {

using std::chrono::floor;
using std::chrono::milliseconds;

namespace {

constexpr const char *Rule = "CONFIG";
constexpr unsigned NotFound = 404;
/** How much longer a slowed VM may take to stay on a version. */
constexpr int SlowedFactor = 8;

constexpr std::size_t MinAddedRequests = 20;
constexpr std::size_t AddedRouteFactor = 4; ///< Served a quarter as often.

/** After a route's time-out. */
constexpr milliseconds AnswerSlack{500};
constexpr std::size_t MinLateAnswers = 8;

constexpr std::size_t ShareWindow = 200; ///< Requests.
/** With room for the rounding of sums of weights. */
constexpr double ShareTolerance = 0.2 + 1e-9;

struct ServedCount {
  std::size_t m_Served = 0;
  std::size_t m_Total = 0;
};

} // namespace

std::vector<CheckedRoute> checkedRoutes(const QJsonObject &Config) {
  std::vector<CheckedRoute> Routes;
  const QJsonArray Listed = Config["routes"].toArray();
  for (const auto &Each : Listed) {
    const QJsonObject Described = Each.toObject();
    const QJsonArray Parts = Described["traffic_split"].toArray();
    const QJsonArray Shards = Described["gather"].toArray();
    CheckedRoute &Route = Routes.emplace_back(CheckedRoute{
        .m_Prefix = stringAt(Described, "path_prefix"),
        .m_Parts = {},
        .m_Timeout = milliseconds(Described["timeout_ms"].toInteger()),
        .m_IsSplit = !Parts.isEmpty()});
    for (const auto &Part : Parts)
      Route.m_Parts.push_back(
          {.m_Service = stringAt(Part.toObject(), "service"),
           .m_Weight = Part.toObject()["weight"].toDouble()});
    for (const auto &Shard : Shards)
      Route.m_Parts.push_back({.m_Service = Shard.toString().toStdString()});
    if (Described.contains("service"))
      Route.m_Parts.push_back({.m_Service = stringAt(Described, "service")});
  }
  return Routes;
}

// Events.

void ConfigChecks::onPublished(int Number, std::vector<CheckedRoute> Routes,
                               Time SentAt) {
  const std::lock_guard Lock(m_Mutex);
  m_Versions.try_emplace(Number, Version{.m_Number = Number,
                                         .m_Routes = std::move(Routes),
                                         .m_SentAt = SentAt,
                                         .m_AckAt = std::nullopt});
}

void ConfigChecks::onAcknowledged(int Number, Time AckAt) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Versions.find(Number);
  if (Found != m_Versions.end() && !Found->second.m_AckAt)
    Found->second.m_AckAt = AckAt;
}

void ConfigChecks::onForeignPublished(int Number,
                                      std::vector<CheckedRoute> Routes,
                                      Time SentAt) {
  const std::lock_guard Lock(m_Mutex);
  m_Foreign.push_back({.m_Number = Number,
                       .m_Routes = std::move(Routes),
                       .m_SentAt = SentAt,
                       .m_AckAt = std::nullopt});
}

void ConfigChecks::onSent(const std::string &Vm, const std::string &RequestId,
                          const std::string &Path, Time SentAt) {
  const std::lock_guard Lock(m_Mutex);
  m_Requests.try_emplace(RequestId, Request{.m_Id = RequestId,
                                            .m_Vm = Vm,
                                            .m_Path = Path,
                                            .m_SentAt = SentAt,
                                            .m_Handlings = {}});
}

void ConfigChecks::onArrival(const std::string &RequestId,
                             const std::string &Service, Time At) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Requests.find(RequestId);
  if (Found != m_Requests.end())
    Found->second.m_Handlings.push_back({.m_Service = Service, .m_At = At});
}

void ConfigChecks::onAnswered(const std::string &RequestId, unsigned Status,
                              Time At) {
  end(RequestId, Ending::Answered, Status, At);
}

void ConfigChecks::onClosed(const std::string &RequestId, Time At) {
  end(RequestId, Ending::Closed, 0, At);
}

void ConfigChecks::onAbandoned(const std::string &RequestId, Time At) {
  end(RequestId, Ending::Abandoned, 0, At);
}

void ConfigChecks::end(const std::string &RequestId, Ending How,
                       unsigned Status, Time At) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Requests.find(RequestId);
  if (Found == m_Requests.end() || Found->second.m_Ending != Ending::None)
    return;
  Request &Ended = Found->second;
  Ended.m_Ending = How;
  Ended.m_Status = Status;
  Ended.m_EndedAt = At;
  if (Status == NotFound)
    Ended.m_Handlings.push_back({.m_Service = "", .m_At = At});
}

void ConfigChecks::onVmStarted(const std::string &Vm, Time At) {
  const std::lock_guard Lock(m_Mutex);
  m_Starts[Vm].push_back(At);
}

// Versions.

const CheckedRoute *ConfigChecks::findRoute(const Version &Searched,
                                            std::string_view Path) {
  const CheckedRoute *Longest = nullptr;
  for (const CheckedRoute &Each : Searched.m_Routes)
    if (Path.starts_with(Each.m_Prefix) &&
        (!Longest || Longest->m_Prefix.size() < Each.m_Prefix.size()))
      Longest = &Each;
  return Longest;
}

bool ConfigChecks::allows(const Version &Candidate, const Request &Handled,
                          const Handling &How) {
  const CheckedRoute *Route = findRoute(Candidate, Handled.m_Path);
  if (!Route || How.m_Service.empty())
    return !Route && How.m_Service.empty();
  return std::any_of(Route->m_Parts.begin(), Route->m_Parts.end(),
                     [&](const CheckedRoute::Part &Each) {
                       return Each.m_Service == How.m_Service;
                     });
}

std::string ConfigChecks::describe(const Request &Handled,
                                   const Handling &How) {
  return fmt::format(
      "{}: request {} on {} was {}", Handled.m_Vm, Handled.m_Id, Handled.m_Path,
      How.m_Service.empty() ? "refused with 404" : "sent to " + How.m_Service);
}

bool ConfigChecks::holds(const Predicate &Optional, bool Default,
                         const Request &Handled, Time Until) {
  return Optional ? Optional(Handled.m_Vm, Handled.m_SentAt, Until) : Default;
}

auto ConfigChecks::oldestAllowing(const Request &Handled,
                                  const Handling &How) const
    -> const Version * {
  for (const auto &[Number, Each] : m_Versions)
    if (Each.m_SentAt <= How.m_At && allows(Each, Handled, How))
      return &Each;
  return nullptr;
}

auto ConfigChecks::newestAllowing(const Request &Handled,
                                  const Handling &How) const
    -> const Version * {
  for (auto Each = m_Versions.rbegin(); Each != m_Versions.rend(); ++Each)
    if (Each->second.m_SentAt <= How.m_At && allows(Each->second, Handled, How))
      return &Each->second;
  return nullptr;
}

auto ConfigChecks::dueVersion(Time SentAt, Milliseconds Bound) const
    -> const Version * {
  for (auto Each = m_Versions.rbegin(); Each != m_Versions.rend(); ++Each)
    if (Each->second.m_AckAt && SentAt - *Each->second.m_AckAt > Bound)
      return &Each->second;
  return nullptr;
}

auto ConfigChecks::steadyVersion(const Request &Handled) const
    -> const Version * {
  const Version *Due =
      dueVersion(Handled.m_SentAt, m_Options.m_ConfigurationTime);
  if (!Due || Handled.m_Ending == Ending::None)
    return nullptr;
  const bool IsOnly =
      std::none_of(m_Versions.upper_bound(Due->m_Number), m_Versions.end(),
                   [&](const auto &Each) {
                     return Each.second.m_SentAt <= Handled.m_EndedAt;
                   });
  return IsOnly &&
                 m_Options.m_IsInTouch(Handled.m_Vm, Handled.m_SentAt,
                                       Handled.m_EndedAt) &&
                 holds(m_Options.m_IsSteady, true, Handled, Handled.m_EndedAt)
             ? Due
             : nullptr;
}

std::size_t ConfigChecks::startsUntil(const std::string &Vm, Time At) const {
  const auto Found = m_Starts.find(Vm);
  if (Found == m_Starts.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(Found->second.begin(), Found->second.end(),
                    [&](Time Each) { return Each <= At; }));
}

// Checks.

std::vector<ConfigViolation> ConfigChecks::violations(Time Now) const {
  const std::lock_guard Lock(m_Mutex);
  Violations Found;
  checkHandlings(Found);
  checkAddedRoutes(Found);
  checkTimeouts(Now, Found);
  checkShares(Found);
  return Found;
}

auto ConfigChecks::effects() const -> EffectLog {
  EffectLog Seen;
  for (const auto &[Id, Each] : m_Requests)
    for (const Handling &How : Each.m_Handlings) {
      const Version *Oldest =
          How.m_Service.empty() ? nullptr : oldestAllowing(Each, How);
      if (Oldest)
        Seen[{Each.m_Vm, startsUntil(Each.m_Vm, Each.m_SentAt)}].push_back(
            {.m_SeenAt = How.m_At, .m_Version = Oldest->m_Number});
    }
  for (auto &[Boot, Effects] : Seen) {
    std::sort(Effects.begin(), Effects.end(),
              [](const Effect &Left, const Effect &Right) {
                return Left.m_SeenAt < Right.m_SeenAt;
              });
    for (std::size_t I = 1; I < Effects.size(); ++I)
      Effects[I].m_Version =
          std::max(Effects[I].m_Version, Effects[I - 1].m_Version);
  }
  return Seen;
}

void ConfigChecks::checkHandlings(Violations &Found) const {
  const EffectLog Seen = effects();
  for (const auto &[Id, Each] : m_Requests)
    for (const Handling &How : Each.m_Handlings) {
      checkOutdated(Each, How, Found);
      checkForeign(Each, How, Found);
      checkRegression(Each, How, Seen, Found);
    }
}

void ConfigChecks::checkOutdated(const Request &Handled, const Handling &How,
                                 Violations &Found) const {
  // What no version ever allowed breaks another rule.
  const Version *Seen = newestAllowing(Handled, How);
  if (!Seen)
    return;
  const std::pair<const Predicate &, Milliseconds> Bounds[] = {
      {m_Options.m_IsInTouch, m_Options.m_ConfigurationTime},
      {m_Options.m_IsInOuterTouch,
       m_Options.m_ConfigurationTime + m_Options.m_OuterTime}};
  for (const auto &[IsBound, Bound] : Bounds) {
    const Version *Due = dueVersion(Handled.m_SentAt, Bound);
    if (!Due || Seen->m_Number >= Due->m_Number ||
        !holds(IsBound, false, Handled, How.m_At))
      continue;
    // The first one that the VM missed is the one that it is latest for.
    auto Missed = m_Versions.upper_bound(Seen->m_Number);
    while (!Missed->second.m_AckAt)
      ++Missed;
    Found.push_back(
        {.m_Rule = Rule,
         .m_Fault = ConfigFault::OutdatedVersion,
         .m_Message = fmt::format(
             "{} as only version {} or older allows; version {} is due, and it "
             "was sent {} ms after the ack of version {} (bound {} ms)",
             describe(Handled, How), Seen->m_Number, Due->m_Number,
             floor<milliseconds>(Handled.m_SentAt - *Missed->second.m_AckAt)
                 .count(),
             Missed->first, Bound.count())});
    return;
  }
}

void ConfigChecks::checkForeign(const Request &Handled, const Handling &How,
                                Violations &Found) const {
  if (newestAllowing(Handled, How))
    return;
  const auto Source =
      std::find_if(m_Foreign.begin(), m_Foreign.end(), [&](const auto &Each) {
        return Each.m_SentAt <= How.m_At && allows(Each, Handled, How);
      });
  if (Source == m_Foreign.end())
    return;
  Found.push_back(
      {.m_Rule = Rule,
       .m_Fault = ConfigFault::ForbiddenVersion,
       .m_Message = fmt::format(
           "{} as only another writer's document with version {} allows, {} ms "
           "after it was sent",
           describe(Handled, How), Source->m_Number,
           floor<milliseconds>(How.m_At - Source->m_SentAt).count())});
}

void ConfigChecks::checkRegression(const Request &Handled, const Handling &How,
                                   const EffectLog &Seen,
                                   Violations &Found) const {
  const auto Boot =
      Seen.find({Handled.m_Vm, startsUntil(Handled.m_Vm, Handled.m_SentAt)});
  const Version *Newest = newestAllowing(Handled, How);
  if (Boot == Seen.end() || !Newest)
    return;
  Milliseconds Slack = m_Options.m_RollbackSlack;
  if (holds(m_Options.m_IsSlowed, false, Handled, How.m_At))
    Slack *= SlowedFactor;
  const std::vector<Effect> &Effects = Boot->second;
  const auto Later = std::partition_point(
      Effects.begin(), Effects.end(), [&](const Effect &Each) {
        return Handled.m_SentAt - Each.m_SeenAt > Slack;
      });
  if (Later == Effects.begin() || Newest->m_Number >= (Later - 1)->m_Version)
    return;
  // The first effect of a version that is newer.
  const auto First = std::find_if(Effects.begin(), Later, [&](const auto &E) {
    return E.m_Version > Newest->m_Number;
  });
  Found.push_back(
      {.m_Rule = Rule,
       .m_Fault = ConfigFault::Regression,
       .m_Message = fmt::format(
           "{} as only version {} or older allows, in the same boot as version "
           "{}; it was sent {} ms after a target saw the effect of version {} "
           "(bound {} ms)",
           describe(Handled, How), Newest->m_Number, (Later - 1)->m_Version,
           floor<milliseconds>(Handled.m_SentAt - First->m_SeenAt).count(),
           First->m_Version, Slack.count())});
}

void ConfigChecks::checkAddedRoutes(Violations &Found) const {
  if (m_Versions.empty())
    return;
  std::set<std::string> FirstRoutes;
  for (const CheckedRoute &Each : m_Versions.begin()->second.m_Routes)
    FirstRoutes.insert(Each.m_Prefix);
  ServedCount First;
  ServedCount Added;
  const Request *Unserved = nullptr;
  for (const auto &[Id, Each] : m_Requests) {
    const Version *InForce = steadyVersion(Each);
    const CheckedRoute *Route =
        InForce ? findRoute(*InForce, Each.m_Path) : nullptr;
    if (!Route)
      continue;
    const bool IsFirst = FirstRoutes.contains(Route->m_Prefix);
    ServedCount &Counted = IsFirst ? First : Added;
    ++Counted.m_Total;
    if (Each.wasServed())
      ++Counted.m_Served;
    else if (!IsFirst)
      Unserved = &Each;
  }
  if (Added.m_Total < MinAddedRequests ||
      Added.m_Served * First.m_Total * AddedRouteFactor >=
          First.m_Served * Added.m_Total)
    return;
  Found.push_back(
      {.m_Rule = Rule,
       .m_Fault = ConfigFault::UnservedRoutes,
       .m_Message = fmt::format(
           "{} of {} requests on routes that were added later are served, {} "
           "of {} on the first ones; {}: request {} on {} got status {}",
           Added.m_Served, Added.m_Total, First.m_Served, First.m_Total,
           Unserved->m_Vm, Unserved->m_Id, Unserved->m_Path,
           Unserved->m_Status)});
}

void ConfigChecks::checkTimeouts(Time Now, Violations &Found) const {
  std::size_t Overlong = 0;
  std::size_t Late = 0;
  const Request *Example = nullptr;
  Milliseconds ExampleTimeout{0};
  int ExampleVersion = 0;
  for (const auto &[Id, Each] : m_Requests) {
    // While several versions may be in force, the longest time-out counts.
    const Version *Due =
        dueVersion(Each.m_SentAt, m_Options.m_ConfigurationTime);
    Milliseconds Timeout{0};
    int Number = 0;
    for (auto Candidate = Due ? m_Versions.find(Due->m_Number)
                              : m_Versions.begin();
         Candidate != m_Versions.end(); ++Candidate) {
      const CheckedRoute *Route = findRoute(Candidate->second, Each.m_Path);
      if (Route && Route->m_Timeout > Timeout &&
          Candidate->second.m_SentAt <= Each.m_SentAt + Timeout) {
        Timeout = Route->m_Timeout;
        Number = Candidate->first;
      }
    }
    const Time Limit = Each.m_SentAt + Timeout;
    const Time LastTime = Limit + AnswerSlack;
    const bool IsGivenUp =
        Each.m_Ending == Ending::Abandoned && Each.m_EndedAt <= LastTime;
    if (Timeout.count() == 0 || LastTime > Now || Each.m_EndedAt <= Limit ||
        IsGivenUp || !m_Options.m_IsInTouch(Each.m_Vm, Each.m_SentAt, LastTime))
      continue;
    ++Overlong;
    if (Each.m_Ending == Ending::Answered && Each.m_EndedAt <= LastTime)
      continue;
    ++Late;
    Example = &Each;
    ExampleTimeout = Timeout;
    ExampleVersion = Number;
  }
  if (!Example)
    return;
  const Time Until = std::min(Now, Example->m_EndedAt);
  const std::string Message = fmt::format(
      "{} of {} requests that were unanswered at their time-out had no answer "
      "{} ms later; {}: request {} on {} by version {} ({} ms) {} {} ms after "
      "its time-out",
      Late, Overlong, AnswerSlack.count(), Example->m_Vm, Example->m_Id,
      Example->m_Path, ExampleVersion, ExampleTimeout.count(),
      Example->m_Ending == Ending::Closed     ? "was closed"
      : Example->m_Ending == Ending::Answered ? "was answered"
                                              : "was still open",
      floor<milliseconds>(Until - Example->m_SentAt - ExampleTimeout).count());
  if (2 * Late > Overlong)
    Found.push_back({.m_Rule = Rule,
                     .m_Fault = ConfigFault::MostlyUnanswered,
                     .m_Message = Message});
  if (Late >= MinLateAnswers && 4 * Late > Overlong)
    Found.push_back({.m_Rule = Rule,
                     .m_Fault = ConfigFault::OftenUnanswered,
                     .m_Message = Message});
}

void ConfigChecks::checkShares(Violations &Found) const {
  struct Split {
    const CheckedRoute *m_Route = nullptr;
    std::vector<const Request *> m_Requests;
  };
  std::vector<Split> Splits;
  for (const auto &[Id, Each] : m_Requests) {
    const Version *InForce = steadyVersion(Each);
    const CheckedRoute *Route =
        InForce ? findRoute(*InForce, Each.m_Path) : nullptr;
    if (!Route || !Route->m_IsSplit || Route->m_HasHomes)
      continue;
    auto Same = std::find_if(Splits.begin(), Splits.end(), [&](const Split &S) {
      return S.m_Route->m_Prefix == Route->m_Prefix &&
             S.m_Route->m_Parts == Route->m_Parts;
    });
    if (Same == Splits.end())
      Same = Splits.insert(Same, {.m_Route = Route, .m_Requests = {}});
    Same->m_Requests.push_back(&Each);
  }
  for (Split &Each : Splits) {
    std::sort(Each.m_Requests.begin(), Each.m_Requests.end(),
              [](const Request *Left, const Request *Right) {
                return Left->m_SentAt < Right->m_SentAt;
              });
    checkShares(*Each.m_Route, Each.m_Requests, Found);
  }
}

void ConfigChecks::checkShares(const CheckedRoute &Route,
                               const std::vector<const Request *> &Requests,
                               Violations &Found) {
  double WeightSum = 0;
  for (const CheckedRoute::Part &Each : Route.m_Parts)
    WeightSum += Each.m_Weight;
  for (const CheckedRoute::Part &Each : Route.m_Parts) {
    const auto Arrived = [&](const Request &Counted) {
      return std::any_of(
          Counted.m_Handlings.begin(), Counted.m_Handlings.end(),
          [&](const Handling &How) { return How.m_Service == Each.m_Service; });
    };
    const double Due = Each.m_Weight / WeightSum;
    std::size_t Here = 0;
    // A request that reached no part may have been rejected for want of room
    // at any of them.
    std::size_t Nowhere = 0;
    double WorstMiss = ShareTolerance;
    double WorstShare = 0;
    std::size_t WorstEnd = 0;
    for (std::size_t I = 0; I < Requests.size(); ++I) {
      Here += Arrived(*Requests[I]) ? 1 : 0;
      Nowhere += Requests[I]->m_Handlings.empty() ? 1 : 0;
      if (I >= ShareWindow) {
        const Request &Left = *Requests[I - ShareWindow];
        Here -= Arrived(Left) ? 1 : 0;
        Nowhere -= Left.m_Handlings.empty() ? 1 : 0;
      }
      if (I + 1 < ShareWindow)
        continue;
      const double Share = static_cast<double>(Here) / ShareWindow;
      const double Most = static_cast<double>(Here + Nowhere) / ShareWindow;
      const double Miss = std::max(Share - Due, Due - Most);
      if (Miss > WorstMiss) {
        WorstMiss = Miss;
        WorstShare = Share;
        WorstEnd = I;
      }
    }
    if (WorstEnd == 0)
      continue;
    const Request &First = *Requests[WorstEnd + 1 - ShareWindow];
    const Request &Last = *Requests[WorstEnd];
    Found.push_back(
        {.m_Rule = Rule,
         .m_Fault = ConfigFault::SplitShare,
         .m_Message = fmt::format(
             "{} got {:.3f} of {} requests on {}, its weight's share is "
             "{:.3f}; from {} at {} to {} at {}",
             Each.m_Service, WorstShare, ShareWindow, Route.m_Prefix, Due,
             First.m_Id, First.m_Vm, Last.m_Id, Last.m_Vm)});
  }
}

// Report.

std::vector<LastOldAct> ConfigChecks::lastOldActs() const {
  const std::lock_guard Lock(m_Mutex);
  return collectLastOldActs();
}

std::vector<LastOldAct> ConfigChecks::collectLastOldActs() const {
  std::map<std::tuple<std::string, int, bool>, LastOldAct> Latest;
  for (const auto &[Id, Each] : m_Requests)
    for (const Handling &How : Each.m_Handlings) {
      const Version *Seen = newestAllowing(Each, How);
      if (!Seen)
        continue;
      for (auto Missed = m_Versions.upper_bound(Seen->m_Number);
           Missed != m_Versions.end(); ++Missed) {
        const Version &Newer = Missed->second;
        if (!Newer.m_AckAt || *Newer.m_AckAt >= Each.m_SentAt)
          continue;
        const auto Lateness =
            floor<milliseconds>(Each.m_SentAt - *Newer.m_AckAt);
        const bool IsInTouch =
            m_Options.m_IsInTouch(Each.m_Vm, Each.m_SentAt, How.m_At);
        LastOldAct &Last = Latest[{Each.m_Vm, Missed->first, IsInTouch}];
        if (Last.m_Vm.empty() || Last.m_Lateness < Lateness)
          Last = {.m_Vm = Each.m_Vm,
                  .m_Version = Missed->first,
                  .m_RequestId = Id,
                  .m_Lateness = Lateness,
                  .m_WasInTouch = IsInTouch};
      }
    }
  std::vector<LastOldAct> All;
  All.reserve(Latest.size());
  for (const auto &[Key, Each] : Latest)
    All.push_back(Each);
  return All;
}

std::string ConfigChecks::summary() const {
  const std::lock_guard Lock(m_Mutex);
  std::map<std::string, LastOldAct> WorstByVm;
  std::optional<LastOldAct> Worst;
  std::optional<LastOldAct> WorstOutOfTouch;
  for (const auto &[Id, Each] : m_Requests)
    WorstByVm.try_emplace(Each.m_Vm);
  for (const LastOldAct &Each : collectLastOldActs()) {
    std::optional<LastOldAct> &Overall =
        Each.m_WasInTouch ? Worst : WorstOutOfTouch;
    if (!Overall || Overall->m_Lateness < Each.m_Lateness)
      Overall = Each;
    LastOldAct &OfVm = WorstByVm[Each.m_Vm];
    if (Each.m_WasInTouch && OfVm.m_Lateness < Each.m_Lateness)
      OfVm = Each;
  }
  const auto Describe = [](const std::optional<LastOldAct> &Act) {
    return Act ? fmt::format("{} ms ({}, version {}, {})",
                             Act->m_Lateness.count(), Act->m_Vm, Act->m_Version,
                             Act->m_RequestId)
               : std::string("none");
  };
  std::string Text = fmt::format(
      "last act on an older configuration, in touch: {}, bound {} ms; out of "
      "touch: {}; by VM:",
      Describe(Worst), m_Options.m_ConfigurationTime.count(),
      Describe(WorstOutOfTouch));
  for (const auto &[Vm, Each] : WorstByVm)
    Text += fmt::format(" {} {} ms", Vm, Each.m_Lateness.count());
  return Text;
}

} // namespace figturn::test

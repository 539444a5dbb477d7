#include "coordination/ColdStartRamp.h"

#include <algorithm>

namespace figturn {

namespace {

/** Number of warm latencies from which the median is computed. */
constexpr std::size_t LatencySamples = 31;

Duration medianOf(std::vector<Duration> Samples) {
  auto Middle =
      Samples.begin() + static_cast<std::ptrdiff_t>(Samples.size()) / 2;
  std::nth_element(Samples.begin(), Middle, Samples.end());
  return *Middle;
}

} // namespace

ColdStartRamp::ColdStartRamp(ColdStartRampOptions Options, TargetName Target,
                             VmName Self)
    : m_Options(Options), m_Target(std::move(Target)), m_Self(std::move(Self)),
      m_Level(std::min(Options.m_ColdSlots, Options.m_WarmSlots)) {}

void ColdStartRamp::setAuthority(const VmName &Authority, TimePoint Now) {
  if (Authority == m_Authority)
    return;
  if (isAuthority() && !m_Boot.value().empty()) {
    m_Grant = RampGrant{m_Target, m_Boot, m_Level, 0};
    m_GrantExpires = Now + m_Options.m_GrantLifetime;
  }
  m_Authority = Authority;
  // Counts refer to the sequence numbers of one authority and mean nothing to
  // another.
  m_GrantSuccesses = 0;
  if (!isAuthority()) {
    if (m_Grant)
      m_Grant->m_Sequence = 0;
    return;
  }
  if (holdsGrant(Now))
    setLevel(m_Grant->m_Level, Now);
  else
    dropToCold(Now);
}

std::optional<RegressNotice> ColdStartRamp::onHello(const BootId &Boot) {
  if (Boot == m_Boot)
    return std::nullopt;
  const bool WasKnown = !m_Boot.value().empty();
  m_Boot = Boot;
  // A grant carries its boot id, so a grant for another process is ignored.
  m_Level = std::min(m_Options.m_ColdSlots, m_Options.m_WarmSlots);
  ++m_Sequence;
  m_OwnSuccesses = 0;
  m_PeerSuccesses.clear();
  m_WarmLatencies.clear();
  m_ConsecutiveSlow = 0;
  return WasKnown ? notice() : std::nullopt;
}

std::optional<RegressNotice> ColdStartRamp::onColdSignal(ColdSignal Signal,
                                                         TimePoint Now) {
  dropToCold(Now);
  m_RegressedAt = Now;
  std::optional<RegressNotice> Notice = notice();
  const bool MayHaveEnded = Signal == ColdSignal::ConnectRefused ||
                            Signal == ColdSignal::AllConnectionsLost;
  if (MayHaveEnded)
    m_Boot = BootId();
  return Notice;
}

std::optional<RegressNotice>
ColdStartRamp::onSuccess(const BootId &Boot, Duration Latency, TimePoint Now) {
  if (Boot != m_Boot)
    return std::nullopt;
  if (isLatencyRegression(Latency, Now))
    return onColdSignal(ColdSignal::LatencyIncrease, Now);
  if (isAuthority()) {
    ++m_OwnSuccesses;
    raiseLevelIfDue(Now);
  } else if (holdsGrant(Now)) {
    ++m_GrantSuccesses;
  }
  return std::nullopt;
}

void ColdStartRamp::onRegress(const RegressNotice &Notice, TimePoint Now) {
  if (Notice.m_Target == m_Target)
    dropToCold(Now);
}

std::optional<RampReport> ColdStartRamp::makeReport() const {
  if (isAuthority() || m_Authority.value().empty() || m_Boot.value().empty())
    return std::nullopt;
  return RampReport{.m_Target = m_Target,
                    .m_Sender = m_Self,
                    .m_Boot = m_Boot,
                    .m_Sequence = m_Grant ? m_Grant->m_Sequence : 0,
                    .m_Successes = m_GrantSuccesses,
                    .m_Regressed = m_RegressedAt.has_value()};
}

std::optional<RampGrant> ColdStartRamp::onReport(const RampReport &Report,
                                                 TimePoint Now) {
  if (!isAuthority() || m_Boot.value().empty())
    return std::nullopt;
  if (Report.m_Regressed)
    dropToCold(Now);
  if (Report.m_Boot == m_Boot && Report.m_Sequence == m_Sequence) {
    // Counts are cumulative, so a duplicate report has no effect.
    std::uint64_t &Known = m_PeerSuccesses[Report.m_Sender];
    Known = std::max(Known, Report.m_Successes);
    raiseLevelIfDue(Now);
  }
  return RampGrant{.m_Target = m_Target,
                   .m_Boot = m_Boot,
                   .m_Level = m_Level,
                   .m_Sequence = m_Sequence};
}

void ColdStartRamp::onGrant(const RampGrant &Grant, const VmName &Sender,
                            TimePoint ReportSent, TimePoint Now) {
  const bool PredatesRegression = m_RegressedAt && ReportSent <= *m_RegressedAt;
  const TimePoint Expires = ReportSent + m_Options.m_GrantLifetime;
  if (Sender != m_Authority || PredatesRegression || Now >= Expires)
    return;
  if (m_Grant && Expires < m_GrantExpires)
    return;
  const bool IsSameSequence = m_Grant && m_Grant->m_Boot == Grant.m_Boot &&
                              m_Grant->m_Sequence == Grant.m_Sequence;
  if (!IsSameSequence)
    m_GrantSuccesses = 0;
  m_RegressedAt.reset();
  m_Grant = Grant;
  m_GrantExpires = Expires;
}

std::uint32_t ColdStartRamp::usableLevel(TimePoint Now) const {
  const std::uint32_t ColdLevel =
      std::min(m_Options.m_ColdSlots, m_Options.m_WarmSlots);
  if (m_Boot.value().empty())
    return ColdLevel;
  if (isAuthority())
    return std::min(m_Level, m_Options.m_WarmSlots);
  if (!holdsGrant(Now))
    return ColdLevel;
  return std::clamp(m_Grant->m_Level, ColdLevel, m_Options.m_WarmSlots);
}

RampState ColdStartRamp::state(TimePoint Now) const {
  if (m_Boot.value().empty())
    return RampState::Unknown;
  const std::uint32_t Level = usableLevel(Now);
  if (Level >= m_Options.m_WarmSlots)
    return RampState::Warm;
  return Level > m_Options.m_ColdSlots ? RampState::Ramping : RampState::Cold;
}

void ColdStartRamp::dropToCold(TimePoint Now) {
  m_Grant.reset();
  m_GrantSuccesses = 0;
  m_WarmLatencies.clear();
  m_ConsecutiveSlow = 0;
  setLevel(std::min(m_Options.m_ColdSlots, m_Options.m_WarmSlots), Now);
}

void ColdStartRamp::setLevel(std::uint32_t Level, TimePoint Now) {
  m_Level = Level;
  // Using the clock keeps a restarted authority from reusing a sequence number
  // for which slot owners still hold counts.
  const auto ClockValue =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  m_Sequence = std::max(m_Sequence + 1, ClockValue);
  m_OwnSuccesses = 0;
  m_PeerSuccesses.clear();
}

void ColdStartRamp::raiseLevelIfDue(TimePoint Now) {
  if (m_Level >= m_Options.m_WarmSlots)
    return;
  std::uint64_t Successes = m_OwnSuccesses;
  for (const auto &[Vm, Count] : m_PeerSuccesses)
    Successes += Count;
  if (Successes < m_Options.m_RampSuccesses)
    return;
  setLevel(std::min(std::max(m_Level, 1U) * 2, m_Options.m_WarmSlots), Now);
}

bool ColdStartRamp::holdsGrant(TimePoint Now) const {
  return m_Grant && m_Grant->m_Boot == m_Boot && !m_Boot.value().empty() &&
         Now < m_GrantExpires;
}

bool ColdStartRamp::isLatencyRegression(Duration Latency, TimePoint Now) {
  if (state(Now) != RampState::Warm)
    return false;
  if (m_WarmLatencies.size() == LatencySamples) {
    const bool IsSlow =
        Latency > m_Options.m_SlowLatencyFactor * medianOf(m_WarmLatencies);
    m_ConsecutiveSlow = IsSlow ? m_ConsecutiveSlow + 1 : 0;
    if (m_ConsecutiveSlow >= m_Options.m_MaxConsecutiveSlow)
      return true;
    if (!IsSlow) {
      m_WarmLatencies[m_NextLatency] = Latency;
      m_NextLatency = (m_NextLatency + 1) % LatencySamples;
    }
    return false;
  }
  m_WarmLatencies.push_back(Latency);
  return false;
}

std::optional<RegressNotice> ColdStartRamp::notice() const {
  if (isAuthority() || m_Authority.value().empty())
    return std::nullopt;
  return RegressNotice{
      .m_Target = m_Target, .m_Sender = m_Self, .m_Boot = m_Boot};
}

} // namespace figturn

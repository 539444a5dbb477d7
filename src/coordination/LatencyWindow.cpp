#include "coordination/LatencyWindow.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace figturn {

LatencyWindow::LatencyWindow(LatencyWindowOptions Options)
    : m_Options(Options) {}

void LatencyWindow::record(Duration Latency, TimePoint Now) {
  decay(Now);
  ++m_Counts[bucketOf(Latency)];
  ++m_Total;
}

std::optional<Duration> LatencyWindow::quantile(double Fraction) const {
  if (m_Total < m_Options.m_MinSamples || m_Total == 0)
    return std::nullopt;
  const double Clamped = std::clamp(Fraction, 0.0, 1.0);
  const auto Rank = static_cast<std::uint64_t>(
      std::ceil(Clamped * static_cast<double>(m_Total)));
  std::uint64_t Seen = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    Seen += m_Counts[Bucket];
    if (Seen >= std::max<std::uint64_t>(Rank, 1))
      return upperBound(Bucket);
  }
  return upperBound(Buckets - 1);
}

std::size_t LatencyWindow::bucketOf(Duration Latency) {
  const auto Micros = std::chrono::duration_cast<microseconds>(Latency).count();
  const auto Value = static_cast<std::uint64_t>(std::max<long long>(Micros, 1));
  const auto Octave = static_cast<std::size_t>(std::bit_width(Value) - 1);
  const std::uint64_t Step =
      ((Value << 3U) >> Octave) - StepsPerOctave; // 0..7 within the octave
  return std::min(Octave * StepsPerOctave + Step, Buckets - 1);
}

Duration LatencyWindow::upperBound(std::size_t Bucket) {
  const std::size_t Octave = Bucket / StepsPerOctave;
  const std::uint64_t Step = Bucket % StepsPerOctave + 1 + StepsPerOctave;
  const std::uint64_t Eighths = Step << Octave;
  return std::chrono::duration_cast<Duration>(microseconds(Eighths)) /
         static_cast<int>(StepsPerOctave);
}

void LatencyWindow::decay(TimePoint Now) {
  if (!m_NextDecay)
    m_NextDecay = Now + m_Options.m_HalfLife;
  if (Now < *m_NextDecay)
    return;
  const auto HalfLives = (Now - *m_NextDecay) / m_Options.m_HalfLife + 1;
  constexpr long long MaxHalvings = 32; // Counts have 32 bits.
  for (long long I = 0; I < std::min<long long>(HalfLives, MaxHalvings); ++I)
    halve();
  *m_NextDecay += HalfLives * m_Options.m_HalfLife;
}

void LatencyWindow::halve() {
  m_Total = 0;
  for (std::uint32_t &Count : m_Counts) {
    Count /= 2;
    m_Total += Count;
  }
}

} // namespace figturn

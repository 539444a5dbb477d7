#include "coordination/LatencyHistogram.h"

#include <algorithm>
#include <fmt/format.h>

namespace figturn {

void LatencyHistogram::record(Duration Latency) {
  const auto Millis = std::chrono::duration_cast<milliseconds>(Latency).count();
  const auto Bucket = static_cast<std::size_t>(
      std::lower_bound(BoundsMs.begin(), BoundsMs.end(), Millis) -
      BoundsMs.begin());
  ++m_Counts[Bucket];
  m_SumSeconds += std::chrono::duration<double>(Latency).count();
}

std::string LatencyHistogram::text(const std::string &Name,
                                   const std::string &Labels) const {
  std::string Text;
  std::uint64_t CumulativeCount = 0;
  for (std::size_t I = 0; I < m_Counts.size(); ++I) {
    CumulativeCount += m_Counts[I];
    const std::string Bound =
        I < BoundsMs.size()
            ? fmt::format("{:g}", static_cast<double>(BoundsMs[I]) / 1000)
            : "+Inf";
    Text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", Name, Labels, Bound,
                        CumulativeCount);
  }
  Text += fmt::format("{}_sum{{{}}} {:.6f}\n{}_count{{{}}} {}\n", Name, Labels,
                      m_SumSeconds, Name, Labels, CumulativeCount);
  return Text;
}

} // namespace figturn

#include "coordination/RecordMerge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace figturn {

std::string mergeTopRecords(std::span<const std::string_view> Parts,
                            std::size_t Top) {
  std::vector<std::string_view> Records;
  for (const std::string_view Part : Parts)
    for (std::size_t At = 0; At + RecordSizeBytes <= Part.size();
         At += RecordSizeBytes)
      Records.push_back(Part.substr(At, RecordSizeBytes));
  // char_traits<char> compares as unsigned bytes.
  const std::size_t Kept = std::min(Top, Records.size());
  std::partial_sort(Records.begin(),
                    Records.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Records.end(), std::greater<>());
  std::string Merged;
  Merged.reserve(Kept * RecordSizeBytes);
  for (std::size_t I = 0; I < Kept; ++I)
    Merged += Records[I];
  return Merged;
}

} // namespace figturn

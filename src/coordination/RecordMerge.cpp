#include "coordination/RecordMerge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace figturn {

std::string mergeTopRecords(std::span<const std::string_view> Parts,
                            std::size_t MaxRecords) {
  std::vector<std::string_view> Records;
  for (const std::string_view Part : Parts)
    for (std::size_t Offset = 0; Offset + RecordSizeBytes <= Part.size();
         Offset += RecordSizeBytes)
      Records.push_back(Part.substr(Offset, RecordSizeBytes));
  // char_traits<char> compares as unsigned bytes.
  const std::size_t Kept = std::min(MaxRecords, Records.size());
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

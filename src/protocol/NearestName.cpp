#include "protocol/NearestName.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <numeric>

namespace figturn {

namespace {

bool equalIgnoringCase(char Left, char Right) {
  return std::tolower(static_cast<unsigned char>(Left)) ==
         std::tolower(static_cast<unsigned char>(Right));
}

/** Levenshtein distance, computed one row at a time. */
std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < Right.size(); ++J) {
      const std::size_t Substitution =
          Diagonal + (equalIgnoringCase(Left[I], Right[J]) ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Substitution, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row.back();
}

} // namespace

std::string nearestName(std::string_view Name,
                        const std::vector<std::string> &Known) {
  std::string Best;
  std::size_t BestDistance = std::numeric_limits<std::size_t>::max();
  for (const std::string &Candidate : Known) {
    const std::size_t Distance = editDistance(Name, Candidate);
    if (Distance >= BestDistance)
      continue;
    Best = Candidate;
    BestDistance = Distance;
  }
  return Best;
}

} // namespace figturn

/// \file
/// Which namings of a model's weights are kept.
#ifndef FERRY_LIBCORE_NAMINGHISTORY_H
#define FERRY_LIBCORE_NAMINGHISTORY_H

#include <chrono>
#include <cstddef>
#include <iterator>
#include <vector>

namespace ferry {

/// Namings that are kept for one model; equal on all replicas of a log.
inline constexpr size_t MaxNamings = 32;
/// Time in which the deadline of superseded weights passes.
inline constexpr std::chrono::seconds NamingHorizon{60};

/// Drops one of \p Namings, which rise, if there are more than MaxNamings. For
/// any weights the first newer naming that is kept is no later than before,
/// unless it was followed by others for NamingHorizon.
/// \param GapBetween returns the time between two namings.
template <typename NamingType, typename GapFunction>
void limitNamings(std::vector<NamingType> &Namings, GapFunction GapBetween) {
  if (Namings.size() <= MaxNamings)
    return;
  if (GapBetween(Namings[1], Namings.back()) >= NamingHorizon) {
    Namings.erase(Namings.begin());
    return;
  }
  size_t Closest = 1;
  for (size_t Index = 2; Index + 2 < Namings.size(); ++Index)
    if (GapBetween(Namings[Index], Namings[Index + 1]) <
        GapBetween(Namings[Closest], Namings[Closest + 1]))
      Closest = Index;
  // The later one counts from the time of the earlier one from now on.
  Namings[Closest].Weights = Namings[Closest + 1].Weights;
  Namings.erase(std::next(Namings.begin(), std::ptrdiff_t(Closest) + 1));
}

} // namespace ferry

#endif

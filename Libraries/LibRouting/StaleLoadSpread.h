/// \file
/// The choice among targets whose load is known only from old reports.
#ifndef FERRY_LIBROUTING_STALELOADSPREAD_H
#define FERRY_LIBROUTING_STALELOADSPREAD_H

#include "LibCore/Random.h"
#include <cstddef>
#include <vector>

namespace ferry::routing {

/// Draws a target at random, the more often the less loaded it seems.
///
/// Answers the load of a large fleet: digests are some hundred milliseconds
/// old, so that all routers see the same free target at once. If each chose the
/// least loaded one, all requests of that time would go there, and the other
/// targets would run empty. Instead each router assumes that the fleet sends
/// UnseenSeconds of work for each target before it sees the effect, and that
/// this work fills up the least loaded targets first, to a common level. The
/// probability of a target is its share of that work. A target above the level
/// gets none.
class StaleLoadSpread {
public:
  /// Work that routers send to a target on average before they see its effect.
  static constexpr double UnseenSeconds = 0.15;

  /// \param Seconds of each target, the expected time to the first byte with
  /// penalties; at least one.
  /// \returns the index of the drawn target.
  static size_t draw(const std::vector<double> &Seconds,
                     RandomGenerator &Random);
};

} // namespace ferry::routing

#endif

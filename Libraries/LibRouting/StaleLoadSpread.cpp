#include "LibRouting/StaleLoadSpread.h"
#include <algorithm>
#include <numeric>

namespace ferry::routing {

static constexpr uint64_t DrawSteps = 1 << 30;

size_t StaleLoadSpread::draw(const std::vector<double> &Seconds,
                             RandomGenerator &Random) {
  std::vector<size_t> Order(Seconds.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return Seconds[Left] < Seconds[Right];
  });
  double Work = UnseenSeconds * double(Seconds.size());
  // Targets join in the order of their load until the level of those that have
  // joined is below the next one.
  double JoinedWork = 0;
  double Level = 0;
  size_t Joined = 0;
  while (Joined < Order.size() &&
         (Joined == 0 || Level > Seconds[Order[Joined]])) {
    JoinedWork += Seconds[Order[Joined++]];
    Level = (Work + JoinedWork) / double(Joined);
  }
  double Drawn =
      Work * double(randomBelow(Random, DrawSteps)) / double(DrawSteps);
  for (size_t Position = 0; Position < Joined; ++Position) {
    Drawn -= Level - Seconds[Order[Position]];
    if (Drawn < 0)
      return Order[Position];
  }
  return Order.front();
}

} // namespace ferry::routing

#include "LibRouting/StaleLoadSpread.h"
#include <algorithm>
#include <numeric>

namespace ferry::routing {

static constexpr uint64_t DrawSteps = 1 << 30;

size_t StaleLoadSpread::draw(const std::vector<Option> &Options,
                             RandomGenerator &Random) {
  std::vector<size_t> Order(Options.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    return Options[Left].Seconds < Options[Right].Seconds;
  });
  double Speeds = 0;
  for (const Option &Each : Options)
    Speeds += Each.Speed;
  double Work = UnseenSeconds * Speeds;
  // Targets join in the order of their load until the level of those that have
  // joined is below the next one.
  double JoinedSpeeds = 0;
  double JoinedWork = 0;
  double Level = 0;
  size_t Joined = 0;
  while (Joined < Order.size() &&
         (Joined == 0 || Level > Options[Order[Joined]].Seconds)) {
    const Option &Next = Options[Order[Joined++]];
    JoinedSpeeds += Next.Speed;
    JoinedWork += Next.Speed * Next.Seconds;
    Level = (Work + JoinedWork) / JoinedSpeeds;
  }
  double Drawn =
      Work * double(randomBelow(Random, DrawSteps)) / double(DrawSteps);
  for (size_t Position = 0; Position < Joined; ++Position) {
    const Option &Each = Options[Order[Position]];
    Drawn -= Each.Speed * (Level - Each.Seconds);
    if (Drawn < 0)
      return Order[Position];
  }
  return Order.front();
}

} // namespace ferry::routing

/// \file
/// Sums over the recent past.
#ifndef FERRY_LIBADMISSION_RECENTSUM_H
#define FERRY_LIBADMISSION_RECENTSUM_H

#include "LibCore/Time.h"
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace ferry::admission {

/// The sum of what was added within a span of time, counted in \p SlotCount
/// slots.
template <size_t SlotCount> class RecentSum {
public:
  explicit RecentSum(Duration Span)
      : SlotWidth(Span / static_cast<int64_t>(SlotCount)) {}

  void add(double Amount, Timestamp Now) {
    int64_t Number = numberOf(Now);
    Slot &Current = Slots[static_cast<size_t>(Number) % SlotCount];
    if (Current.Number != Number)
      Current = {Number, 0};
    Current.Sum += Amount;
  }

  double sum(Timestamp Now) const {
    int64_t Number = numberOf(Now);
    double Total = 0;
    for (const Slot &Each : Slots)
      if (Each.Number > Number - static_cast<int64_t>(SlotCount))
        Total += Each.Sum;
    return Total;
  }

private:
  struct Slot {
    int64_t Number = -1;
    double Sum = 0;
  };

  int64_t numberOf(Timestamp Now) const {
    return std::max<int64_t>(0, Now.time_since_epoch() / SlotWidth);
  }

  Duration SlotWidth;
  std::array<Slot, SlotCount> Slots = {};
};

} // namespace ferry::admission

#endif

/// \file
/// Counts what arrives at targets in spans of time.
#ifndef FERRY_TESTS_SOAK_ARRIVALLOG_H
#define FERRY_TESTS_SOAK_ARRIVALLOG_H

#include "LibCore/Time.h"
#include <algorithm>
#include <mutex>
#include <optional>
#include <vector>

namespace ferry::soak {

/// Times of arrivals. Safe from any thread.
class ArrivalLog {
public:
  void note() {
    std::lock_guard Lock(Mutex);
    Times.push_back(steadyNow());
  }

  size_t countFrom(Timestamp From) const {
    std::lock_guard Lock(Mutex);
    return static_cast<size_t>(
        std::count_if(Times.begin(), Times.end(),
                      [From](Timestamp At) { return At >= From; }));
  }

  /// \returns the largest number in any \p Span from \p From on.
  size_t mostIn(Duration Span, Timestamp From) const {
    std::lock_guard Lock(Mutex);
    std::vector<Timestamp> Sorted;
    std::copy_if(Times.begin(), Times.end(), std::back_inserter(Sorted),
                 [From](Timestamp At) { return At >= From; });
    std::sort(Sorted.begin(), Sorted.end());
    size_t Most = 0;
    for (size_t First = 0, Each = 0; Each < Sorted.size(); ++Each) {
      while (Sorted[Each] - Sorted[First] >= Span)
        ++First;
      Most = std::max(Most, Each - First + 1);
    }
    return Most;
  }

  /// \returns when the \p Number-th arrival came, counted from one, or the
  /// latest if there are fewer; nothing if there is none.
  std::optional<Timestamp> timeOf(size_t Number) const {
    std::lock_guard Lock(Mutex);
    if (Times.empty())
      return std::nullopt;
    std::vector<Timestamp> Sorted = Times;
    std::sort(Sorted.begin(), Sorted.end());
    return Sorted[std::min(Number, Sorted.size()) - 1];
  }

  size_t size() const { return countFrom(Timestamp::min()); }

private:
  mutable std::mutex Mutex;
  std::vector<Timestamp> Times;
};

} // namespace ferry::soak

#endif

/// \file
/// Points in time. Decision code never reads a clock: its caller passes a
/// Timestamp.
#ifndef FERRY_LIBCORE_TIME_H
#define FERRY_LIBCORE_TIME_H

#include <chrono>
#include <cstdint>

namespace ferry {

/// A duration in microseconds, for constants and arithmetic only. State stores
/// deadlines instead.
using Duration = std::chrono::microseconds;

/// A reading of the monotonic clock of this process, or of a test's virtual
/// clock. Comparable only within one process.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds since the Unix epoch, for values exchanged between processes.
struct UnixMillis {
  int64_t Value = 0;
  auto operator<=>(const UnixMillis &) const = default;
};

/// A deadline that is never reached.
inline constexpr Timestamp NeverExpires = Timestamp::max();

/// Reads the monotonic clock.
inline Timestamp steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Reads the wall clock, in milliseconds since the Unix epoch.
inline UnixMillis unixNow() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
              .count()};
}

/// \returns the whole milliseconds from \p Now to \p Deadline, at least 0.
inline int64_t millisUntil(Timestamp Deadline, Timestamp Now) {
  if (Deadline <= Now)
    return 0;
  return std::chrono::duration_cast<std::chrono::milliseconds>(Deadline - Now)
      .count();
}

} // namespace ferry

#endif

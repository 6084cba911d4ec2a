/// \file
/// Units and times of caps that owners and holders compute alike.
#ifndef FERRY_LIBADMISSION_CAPAMOUNTS_H
#define FERRY_LIBADMISSION_CAPAMOUNTS_H

#include "LibCore/Time.h"
#include <algorithm>
#include <cmath>

namespace ferry::admission {

/// Upper bound of the retry times, which also keeps them within the range of
/// the wire format.
inline constexpr Duration MaxRetry = std::chrono::minutes(10);

inline double secondsOf(Duration Span) { return double(Span.count()) / 1e6; }

/// \returns the time in which \p PerSecond gives \p Units, MaxRetry at most.
inline Duration timeFor(double Units, double PerSecond) {
  double Micros = std::ceil(std::max(0.0, Units / PerSecond) * 1e6);
  return Duration(
      static_cast<int64_t>(std::min(Micros, double(MaxRetry.count()))));
}

/// \returns whether \p Units, which another router sent, may be an amount.
inline bool isAmount(double Units) {
  return std::isfinite(Units) && Units >= 0;
}

} // namespace ferry::admission

#endif

/// \file
/// Bounds retries by a percentage of the first tries.
#ifndef FERRY_LIBROUTING_RETRYBUDGET_H
#define FERRY_LIBROUTING_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace ferry::routing {

/// A token bucket that earns a fraction of a retry with each first try and
/// spends one per retry, so that retries add at most this fraction to the load
/// of a failing deployment.
class RetryBudget {
public:
  /// Counts a first try, which earns \p Percent hundredths of a retry.
  void earn(uint32_t Percent) {
    Hundredths = std::min<uint64_t>(Hundredths + Percent, MaxHundredths);
  }

  /// Spends one retry. \returns whether one was available.
  [[nodiscard]] bool spend() {
    if (Hundredths < HundredthsPerRetry)
      return false;
    Hundredths -= HundredthsPerRetry;
    return true;
  }

  /// \returns the retries that may be made now.
  uint64_t available() const { return Hundredths / HundredthsPerRetry; }

  /// Retries that a router may make before its first tries have earned any.
  static constexpr uint64_t InitialRetries = 3;

private:
  static constexpr uint64_t HundredthsPerRetry = 100;
  static constexpr uint64_t MaxHundredths = 50 * HundredthsPerRetry;

  uint64_t Hundredths = InitialRetries * HundredthsPerRetry;
};

} // namespace ferry::routing

#endif

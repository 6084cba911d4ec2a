/// \file
/// Random numbers from a seed. Decision code gets a generator or a seed from
/// its caller, so that tests can repeat a run.
#ifndef FERRY_LIBCORE_RANDOM_H
#define FERRY_LIBCORE_RANDOM_H

#include <cstdint>
#include <random>

namespace ferry {

/// The only random generator in use; the same seed gives the same run.
using RandomGenerator = std::mt19937_64;

/// \returns a number in [0, \p Bound); 0 if \p Bound is 0.
inline uint64_t randomBelow(RandomGenerator &Generator, uint64_t Bound) {
  if (Bound == 0)
    return 0;
  return std::uniform_int_distribution<uint64_t>(0, Bound - 1)(Generator);
}

/// \returns a seed from the operating system, never 0.
inline uint64_t systemSeed() {
  std::random_device Device;
  uint64_t High = Device();
  return ((High << 32) | Device()) | 1;
}

} // namespace ferry

#endif

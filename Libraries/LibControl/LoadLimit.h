/// \file
/// The limit of loads of weights for fleets without a setting of their own.
#ifndef FERRY_LIBCONTROL_LOADLIMIT_H
#define FERRY_LIBCONTROL_LOADLIMIT_H

#include <algorithm>
#include <cstdint>

namespace ferry::control {

/// \returns how many of \p Engines may load weights at a time; the others serve
/// their requests meanwhile. Loads take longer while more than a fifth of the
/// engines load. A quarter of a small fleet loads nevertheless, as each round
/// of loads begins with a wait for requests and messages.
constexpr uint32_t weightsLoadLimit(uint32_t Engines) {
  constexpr uint32_t MinLoads = 2;
  constexpr uint32_t SmallFleetLoads = 4;
  return std::max(
      {MinLoads, std::min(Engines / 4, SmallFleetLoads), Engines / 5});
}

} // namespace ferry::control

#endif

/// \file
/// The load of fleets in virtual time, and the bounds that it is checked
/// against.
#ifndef FERRY_LIBADMISSION_CAPFLEETLOAD_H
#define FERRY_LIBADMISSION_CAPFLEETLOAD_H

#include "LibAdmission/CapFleet.h"
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

namespace ferry::admission {

inline constexpr Timestamp Start = CapFleet::Start;
/// The bounds of docs/design/22-demanding-load.md.
inline constexpr double LeastAdmitted = 0.97;
inline constexpr double MostBytesPerSecond = 4096;

struct FleetSize {
  size_t Routers;
  size_t Workspaces;
  Duration Span;
  uint64_t Seeds;
};

inline std::ostream &operator<<(std::ostream &Out, const FleetSize &Of) {
  return Out << Of.Routers << " routers, " << Of.Workspaces << " workspaces";
}

inline const std::vector<FleetSize> FleetSizes = {
    {7, 16, std::chrono::seconds(24), 5},
    {71, 73, std::chrono::seconds(24), 3},
    {400, 730, std::chrono::seconds(12), 1}};

/// A large workspace requests 7.5 times its usual load, half more than its cap,
/// from 3 s until \p OverloadEnd; its callers are at two routers and move each
/// 2 s. Another one is at 0.9 of its cap, a third one sends bursts of 0.9 of
/// its burst, and a small one requests three times its cap from all routers.
inline void addLoad(CapFleet &Fleet, Timestamp OverloadEnd) {
  using namespace std::chrono_literals;
  Fleet.Workspaces[1].Load *= 4.5;
  Fleet.Workspaces[3].Load *= 15;
  Fleet.at(Start + 3s, [&Fleet] { Fleet.Workspaces[0].Load *= 7.5; });
  Fleet.at(OverloadEnd, [&Fleet] { Fleet.Workspaces[0].Load /= 7.5; });
  for (auto Time = 1s; Time < 24s; Time += 2s)
    Fleet.at(Start + Time, [&Fleet] { Fleet.moveCallers(0); });
  for (auto Time = 2s; Time < 24s; Time += 4s)
    Fleet.at(Start + Time,
             [&Fleet] { Fleet.burst(2, Fleet.Workspaces[2].Cap.Burst * 0.9); });
}

inline std::string reportOf(const CapFleet &Fleet) {
  std::ostringstream Out;
  Out << Fleet.Requests << " requests, worst window " << Fleet.worstWindow()
      << " of allowed, below caps " << Fleet.admittedBelowCaps()
      << " of owed, hot " << Fleet.admittedOf(0) << ", near cap "
      << Fleet.admittedOf(1) << ", bursts " << Fleet.admittedOf(2)
      << ", small above cap " << Fleet.admittedOf(3) << ", "
      << Fleet.meanBytesPerSecond() << " bytes/s a router, "
      << Fleet.greatestBytesPerSecond() << " at most, " << Fleet.fallbacks()
      << " fallbacks, waited up to " << Fleet.LongestWait.count() / 1000
      << " ms";
  return Out.str();
}

} // namespace ferry::admission

#endif

/// \file
/// Plays faults in fleets in virtual time and checks the bounds.
#ifndef FERRY_LIBADMISSION_CAPFLEETPLAY_H
#define FERRY_LIBADMISSION_CAPFLEETPLAY_H

#include "LibAdmission/CapFleetLoad.h"
#include <boost/test/unit_test.hpp>
#include <string>

namespace ferry::admission {

inline void check(const CapFleet &Fleet) {
  BOOST_TEST(Fleet.worstWindow() <= 1.0);
  BOOST_TEST(Fleet.admittedBelowCaps() >= LeastAdmitted);
  BOOST_TEST(Fleet.LongestWait <= CapHolder::LongestWait);
}

using Trouble = void (*)(CapFleet &);

/// \p AddTrouble happens while one large workspace and a small one stay above
/// their caps.
inline void play(const std::string &Name, const FleetSize &Of,
                 Trouble AddTrouble) {
  for (uint64_t Seed = 1; Seed <= Of.Seeds; ++Seed) {
    CapFleet Fleet(Of.Routers, Of.Workspaces, Seed);
    addLoad(Fleet, /*OverloadEnd=*/Start + std::chrono::seconds(24));
    AddTrouble(Fleet);
    Fleet.runUntil(Start + Of.Span);
    BOOST_TEST_MESSAGE(Name << ": " << Of << ", seed " << Seed << ": "
                            << reportOf(Fleet));
    check(Fleet);
  }
}

} // namespace ferry::admission

#endif

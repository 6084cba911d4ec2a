// Routers that each admit by what they know must together stay within the cap
// of a workspace, and must not reject what a token bucket in one place would
// admit. Each failure of a router, a message or a view may break one of the
// two: units that are granted twice, or units that nobody may use any more.
#include "LibAdmission/CapFleetPlay.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

// Equal shares of the caps reject most of what callers at two routers are owed.
BOOST_DATA_TEST_CASE(skewed_load_is_admitted_up_to_the_cap,
                     data::make(FleetSizes), Of) {
  for (uint64_t Seed = 1; Seed <= Of.Seeds; ++Seed) {
    CapFleet Fleet(Of.Routers, Of.Workspaces, Seed);
    addLoad(Fleet, /*OverloadEnd=*/Start + 9s);
    Fleet.runUntil(Start + Of.Span);
    BOOST_TEST_MESSAGE("skew: " << Of << ", seed " << Seed << ": "
                                << reportOf(Fleet));
    check(Fleet);
    // Of the three large workspaces, the first requests more than its cap, and
    // the others up to 0.9 of it.
    for (size_t Index = 0; Index < 3; ++Index)
      BOOST_TEST(Fleet.admittedOf(Index) >= LeastAdmitted);
    BOOST_TEST(Fleet.meanBytesPerSecond() < MostBytesPerSecond);
  }
}

// The owner's bucket is lost; its successor must not grant a second burst, and
// callers must not be rejected until there is one.
BOOST_DATA_TEST_CASE(an_owner_is_killed, data::make(FleetSizes), Of) {
  play("owner killed", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 4s, [&Fleet] {
      size_t Gone = Fleet.ownerOf(0);
      Fleet.kill(Gone);
      Fleet.setViewsWithout(Gone, Fleet.Now + 1s);
    });
    Fleet.at(Start + 8s, [&Fleet] {
      size_t Back = Fleet.ownerOf(0);
      Fleet.begin(Back);
      Fleet.setViewsWithAll(Back, Fleet.Now);
    });
  });
}

// For a second, some routers ask one router and some another; only one of them
// may grant the rate.
BOOST_DATA_TEST_CASE(views_differ, data::make(FleetSizes), Of) {
  play("views differ", Of, [](CapFleet &Fleet) {
    Fleet.leave(Fleet.ownerOf(0), Start + 4s, Start + 13s);
  });
}

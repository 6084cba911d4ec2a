// Compares the ways to share a cap in the same load; see
// docs/design/23-workspace-caps.md. The simple ways break a bound each; if a
// change of the load no longer showed this, the other tests of fleets would be
// too weak.
#include "LibAdmission/CapFleetLoad.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE(equal_shares_reject_skewed_load, data::make(FleetSizes),
                     Of) {
  CapFleet Fleet(Of.Routers, Of.Workspaces, 1, CapWay::EqualShares);
  addLoad(Fleet, /*OverloadEnd=*/Start + 24s);
  Fleet.runUntil(Start + Of.Span);
  BOOST_TEST_MESSAGE("equal shares: " << Of << ": " << reportOf(Fleet));
  BOOST_TEST(Fleet.admittedOf(0) < LeastAdmitted);
}

BOOST_DATA_TEST_CASE(digests_of_use_are_late, data::make(FleetSizes), Of) {
  CapFleet Fleet(Of.Routers, Of.Workspaces, 1, CapWay::DigestedUse);
  addLoad(Fleet, /*OverloadEnd=*/Start + 24s);
  Fleet.runUntil(Start + Of.Span);
  BOOST_TEST_MESSAGE("digests: " << Of << ": " << reportOf(Fleet));
}

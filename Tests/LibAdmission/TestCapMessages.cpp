// The owner of a workspace that is requested at many routers answers all of
// them; its messages must not take the link of a small router.
#include "LibAdmission/CapFleetLoad.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE(every_router_sends_little, data::make(FleetSizes), Of) {
  CapFleet Fleet(Of.Routers, Of.Workspaces, 1);
  addLoad(Fleet, /*OverloadEnd=*/Start + 9s);
  Fleet.runUntil(Start + Of.Span);
  BOOST_TEST_MESSAGE(Of << ": " << reportOf(Fleet));
  BOOST_TEST(Fleet.greatestBytesPerSecond() < MostBytesPerSecond);
}

// A frozen owner wakes with a bucket that has filled and with questions that
// were decided without it.
#include "LibAdmission/CapFleetPlay.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE(an_owner_is_frozen, data::make(FleetSizes), Of) {
  play("owner frozen", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 5s, [&Fleet] { Fleet.freeze(Fleet.ownerOf(0), 3s); });
  });
}

// As before, but the others choose another owner in the meantime.
BOOST_DATA_TEST_CASE(an_owner_is_frozen_and_replaced, data::make(FleetSizes),
                     Of) {
  play("owner replaced", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 5s, [&Fleet] {
      size_t Frozen = Fleet.ownerOf(0);
      Fleet.freeze(Frozen, 3s);
      Fleet.setViewsWithout(Frozen, Fleet.Now + 1s);
      Fleet.setViewsWithAll(Frozen, Fleet.Now + 3s);
    });
  });
}

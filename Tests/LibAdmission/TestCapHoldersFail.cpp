// Holders of grants stop, are cut off or frozen, and others start with nothing.
#include "LibAdmission/CapFleetPlay.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

BOOST_DATA_TEST_CASE(holders_fail, data::make(FleetSizes), Of) {
  play("holders fail", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 4s,
             [&Fleet] { Fleet.freeze(Fleet.Workspaces[0].Entries[0], 3s); });
    Fleet.at(Start + 5s, [&Fleet] {
      size_t CutOff = Fleet.Workspaces[0].Entries[1];
      Fleet.setCutOff(CutOff, true);
      // Both sides notice.
      Fleet.setViewsWithout(CutOff, Fleet.Now + 1s);
      Fleet.at(Start + 6s, [&Fleet, CutOff] { Fleet.setViewAlone(CutOff); });
      Fleet.at(Start + 10s,
               [&Fleet, CutOff] { Fleet.setCutOff(CutOff, false); });
    });
    size_t Gone = Fleet.randomRouter();
    Fleet.at(Start + 11s, [&Fleet, Gone] {
      Fleet.kill(Gone);
      Fleet.setViewsWithout(Gone, Fleet.Now + 1s);
    });
    Fleet.at(Start + 14s, [&Fleet, Gone] {
      Fleet.begin(Gone);
      Fleet.setViewsWithAll(Gone, Fleet.Now);
    });
  });
}

/// \file
/// Guards against work on overdue weights in fleets whose hosts disagree on
/// which others are silent, and against refusals where no control host works.
#include "LibRouting/NamingFleet.h"
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// In a fleet of 300 hosts, a host calls this share of the others silent by
/// mistake, and more of the control hosts.
constexpr uint64_t SilentPercent = 5;
constexpr uint64_t MissedPercent = 5;
constexpr uint64_t SeedCount = 3;
const std::vector<size_t> FleetSizes = {7, 300};

} // namespace

BOOST_DATA_TEST_CASE(no_router_in_touch_uses_overdue_weights,
                     data::make(FleetSizes), Count) {
  for (uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      NamingFleet Fleet(Count, SilentPercent, Seed);
      Fleet.MissedPercent = MissedPercent;
      Fleet.runFor(10s);
      Fleet.name();
      // A request may be placed up to a second before the deadline.
      Fleet.runFor(NamingFleet::WeightsDeadline - 3s);
      BOOST_TEST(Fleet.routersThatPlace().size() == Count);
      Fleet.runFor(3s);
      std::set<HostId> Late;
      for (int Round = 0; Round < 20; ++Round, Fleet.runFor(500ms))
        Late.merge(Fleet.routersThatPlace());
      BOOST_TEST(Late.size() == 0U);
    }
  }
}

BOOST_DATA_TEST_CASE(old_weights_serve_where_no_control_host_works,
                     data::make(FleetSizes), Count) {
  NamingFleet Fleet(Count, SilentPercent, 1);
  Fleet.MissedPercent = MissedPercent;
  Fleet.runFor(10s);
  Fleet.name();
  Fleet.runFor(5s);
  Fleet.ControlHostsWork = false;
  Fleet.runFor(20s);
  BOOST_TEST(Fleet.routersThatPlace().size() == Count);
  // The time with control hosts counts on.
  Fleet.ControlHostsWork = true;
  Fleet.runFor(6s);
  BOOST_TEST(Fleet.routersThatPlace().size() == Count);
  Fleet.runFor(8s);
  BOOST_TEST(Fleet.routersThatPlace().size() == 0U);
}

BOOST_DATA_TEST_CASE(a_router_that_is_cut_off_goes_on_with_old_weights,
                     data::make(FleetSizes), Count) {
  NamingFleet Fleet(Count, SilentPercent, 1);
  Fleet.MissedPercent = MissedPercent;
  Fleet.runFor(10s);
  Fleet.name();
  Fleet.runFor(5s);
  HostId Alone = Fleet.ids()[Count / 2];
  Fleet.CutOff = {Alone};
  Fleet.runFor(15s);
  BOOST_TEST((Fleet.routersThatPlace() == std::set<HostId>{Alone}));
}

// Of the leader's groups, those whose relays had no power heard nothing until
// these were forgotten.
BOOST_DATA_TEST_CASE(relays_without_power_keep_no_names_from_others,
                     data::make(FleetSizes), Count) {
  for (uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      NamingFleet Fleet(Count, SilentPercent, Seed);
      Fleet.runFor(2s);
      std::vector<HostId> Ids = Fleet.ids();
      RandomGenerator Random(Seed);
      std::shuffle(Ids.begin(), Ids.end(), Random);
      Fleet.CutOff.insert(Ids.begin(), Ids.begin() + std::ptrdiff_t(Count / 3));
      Timestamp From = Fleet.now();
      Fleet.runFor(5s);
      // Longer than this counts as a sign that no control host works.
      BOOST_TEST((Fleet.longestSilence(From) <= 2s));
    }
  }
}

// The begin of a load that a relay passes on late must be followed by the end
// that the same relay passes on: a router takes the newest message as true.
BOOST_AUTO_TEST_CASE(loads_keep_their_relays) {
  std::vector<RouterBroadcast::KnownRouter> Known;
  for (int Index = 0; Index < 300; ++Index)
    Known.push_back({{{"r" + std::to_string(1000 + Index)},
                      {"dc" + std::to_string(Index % 6)}}});
  RouterBroadcast Loads(RelayChoice::Fixed);
  auto RelaysOf = [](const std::vector<RouterBroadcast::Receiver> &Receivers) {
    std::set<HostId> Relays;
    for (const RouterBroadcast::Receiver &Each : Receivers)
      Relays.insert(Each.To);
    return Relays;
  };
  std::set<HostId> Begin = RelaysOf(Loads.receivers(Known));
  BOOST_TEST((RelaysOf(Loads.receivers(Known)) == Begin));
}

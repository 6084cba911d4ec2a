/// \file
/// Guards against namings of weights that reach the last engines of a large
/// fleet too late, when weights are named faster than all engines load them.
#include "LibControl/RolloutWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ctime>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Time from a naming after which no request may begin on older weights, as the
/// users' page of their largest fleet has it, and the number of loads above
/// which one takes longer there.
constexpr Duration NamingBound = 15s;
constexpr int FastLoads = 32;
constexpr Duration FirstNaming = 3s;
constexpr Duration NamingPeriod = 6s;
constexpr int NamingCount = 5;

const RolloutWorld::Fleet LargeFleet{163, NamingBound, FastLoads};

/// The share of a core that control may take on a host, as the users ask for
/// the fleet that they plan.
constexpr double MaxCoreShare = 0.039;

/// Engines with the longest runs of their requests.
struct RunCase {
  const char *Name;
  Duration RunTime;
};

std::ostream &operator<<(std::ostream &Out, const RunCase &Case) {
  return Out << Case.Name;
}

const RunCase RunTable[] = {
    {"idle engines", 0s}, {"short requests", 500ms}, {"long requests", 6s}};

} // namespace

// Loads above a fifth of the engines made each other longer. A small fleet
// keeps the rounds that it had.
BOOST_AUTO_TEST_CASE(a_fifth_of_a_large_fleet_loads_at_a_time) {
  for (uint32_t Engines = 0; Engines <= 1000; ++Engines) {
    BOOST_TEST_CONTEXT("engines " << Engines) {
      uint32_t Limit = weightsLoadLimit(Engines);
      BOOST_TEST(Limit >= 2U);
      BOOST_TEST(Limit <= weightsLoadLimit(Engines + 1));
      if (Engines >= 20)
        BOOST_TEST(Limit == Engines / 5);
      else
        BOOST_TEST(Limit == std::max(2U, Engines / 4));
    }
  }
}

BOOST_DATA_TEST_CASE(each_naming_reaches_all_engines_in_time,
                     data::make(RunTable)) {
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RolloutWorld World(FirstNaming, Seed, LargeFleet);
      World.setRunTime(sample.RunTime);
      for (int Index = 1; Index < NamingCount; ++Index)
        World.nameNextAt(FirstNaming + NamingPeriod * Index);
      for (int Index = 0; Index < NamingCount; ++Index) {
        World.runUntil(FirstNaming + NamingPeriod * Index + NamingBound);
        BOOST_TEST(World.enginesBefore(Index + 2) == 0);
      }
      BOOST_TEST(World.outdatedEngines() == 0);
      BOOST_TEST(World.counts().SlowedSteps == 0U);
    }
  }
}

// Each step of the holder compared each engine with all others for each slot.
// That took a seventh of a core, and control hosts have little more.
BOOST_AUTO_TEST_CASE(a_rollout_takes_little_processor_time) {
  RolloutWorld World(FirstNaming, 1, LargeFleet);
  for (int Index = 1; Index < NamingCount; ++Index)
    World.nameNextAt(FirstNaming + NamingPeriod * Index);
  constexpr Duration Length = FirstNaming + NamingPeriod * NamingCount;
  std::clock_t Before = std::clock();
  World.runUntil(Length);
  double Seconds = static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  // The time of the simulation itself is in it too.
  BOOST_TEST(Seconds <
             MaxCoreShare * std::chrono::duration<double>(Length).count());
}

/// \file
/// Guards against rollouts of weights that stand still: slots for loads whose
/// holder was killed, or whose engine is gone, must reach other engines in
/// time.
#include "LibControl/RolloutWorld.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;

/// The strictest bounds of the users' deployments: the time from the naming of
/// weights from which requests may not begin on older ones, and the time with a
/// working holder after which all engines must have them.
static constexpr Duration WeightsDeadline = 10s;
static constexpr Duration RolloutDeadline = 14s;
static constexpr Duration NamedAt = 3s;

// A holder that is killed in each term shorter than the settle time never ended
// the slots of its first term.
BOOST_AUTO_TEST_CASE(a_rollout_goes_on_under_a_holder_that_restarts_often) {
  RolloutWorld World(NamedAt);
  World.killHolder(4s, 5600ms);
  World.killHolder(13s, 14300ms);
  World.killHolder(21700ms, 23s);
  World.runUntil(NamedAt + WeightsDeadline + 1600ms);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.MostLoads <= 3);
}

// With fewer engines known, the limit falls below the number of inherited
// slots, so that none of them could be confirmed.
BOOST_AUTO_TEST_CASE(inherited_slots_above_the_limit_are_confirmed) {
  RolloutWorld World(NamedAt);
  for (int Index = 9; Index < RolloutWorld::EngineCount; ++Index)
    World.removeEngine(Index, NamedAt - 400ms);
  World.killHolder(4s, 5600ms);
  World.killHolder(13s, 14300ms);
  World.runUntil(NamedAt + WeightsDeadline + 1600ms);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.MostLoads <= 3);
}

// Engines that were busy with an inherited load counted as unreachable, and
// others loaded beside them.
BOOST_AUTO_TEST_CASE(busy_engines_of_inherited_slots_count_against_the_limit) {
  RolloutWorld World(NamedAt);
  World.setLoadTime(3s);
  World.killHolder(4s, 4600ms);
  World.runUntil(NamedAt + RolloutDeadline + 600ms);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.MostLoads <= 3);
}

// Engines that are gone after a lost order held their slots for half a minute,
// and longer by each order that could not be sent.
BOOST_AUTO_TEST_CASE(a_rollout_goes_on_past_engines_that_are_gone) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index) {
    World.loseAnswers(Index, 20s);
    World.removeEngine(Index, NamedAt + 900ms);
  }
  World.runUntil(NamedAt + RolloutDeadline);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.MostLoads <= 3);
}

// Slots of engines that are gone were held anew by each new holder, as it
// counted their time from its own start.
BOOST_AUTO_TEST_CASE(
    slots_of_gone_engines_end_under_a_holder_that_restarts_often) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index)
    World.removeEngine(Index, NamedAt + 900ms);
  World.killHolder(4s, 5600ms);
  World.killHolder(13s, 14300ms);
  World.killHolder(21700ms, 23s);
  Duration WithoutHolder = 1600ms + 1300ms + 1300ms;
  World.runUntil(NamedAt + RolloutDeadline + WithoutHolder);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.MostLoads <= 3);
}

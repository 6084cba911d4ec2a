/// \file
/// Guards against rollouts of weights that miss their deadline because each
/// engine first ends the requests that run on it.
#include "LibControl/RolloutWorld.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;

static constexpr Duration WeightsDeadline = RolloutWorld::WeightsDeadline;
static constexpr Duration NamedAt = 3s;

// Engines that only ended their running requests held all slots, so that the
// last of twelve engines got its weights 28 s after the naming.
BOOST_AUTO_TEST_CASE(a_rollout_is_in_time_while_requests_run_long) {
  RolloutWorld World(NamedAt);
  World.setRunTime(6s);
  World.runUntil(NamedAt + WeightsDeadline);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// The same with a holder that is killed, whose slots the next one takes over.
BOOST_AUTO_TEST_CASE(a_rollout_is_in_time_after_its_holder_restarts) {
  RolloutWorld World(NamedAt);
  World.setRunTime(6s);
  World.killHolder(4s, 5400ms);
  World.runUntil(NamedAt + WeightsDeadline + 1400ms);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// Where the deadline leaves time for it, no load overtakes a request.
BOOST_AUTO_TEST_CASE(a_rollout_waits_for_requests_that_end_soon) {
  constexpr Duration NamedLater = 10s;
  RolloutWorld World(NamedLater);
  for (int Index = 6; Index < RolloutWorld::EngineCount; ++Index)
    World.removeEngine(Index, 1s);
  World.setRunTime(300ms);
  World.runUntil(NamedLater + WeightsDeadline);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.overtakingLoads() == 0U);
}

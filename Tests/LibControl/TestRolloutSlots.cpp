/// \file
/// Guards against slots for loads of weights that are held for too long or too
/// short a time after a holder or an engine has failed.
#include "LibControl/RolloutWorld.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;

static constexpr Duration NamedAt = 3s;
static constexpr Duration WeightsDeadline = RolloutWorld::WeightsDeadline;

// A new holder counts the time of an inherited slot anew. If the engine is
// gone, terms shorter than that time never end the slot.
BOOST_AUTO_TEST_CASE(a_rollout_goes_on_past_gone_engines_with_short_terms) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index) {
    World.loseAnswers(Index, 20s);
    World.removeEngine(Index, NamedAt + 900ms);
  }
  for (Duration Killed : {6s, 15s, 24s})
    World.killHolder(Killed, Killed + 1s);
  // 18 s in all, without the first 3 s after each start.
  World.runUntil(33s);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// After orders for two weights, of which the second had no answer, a slot
// stayed taken until the settle time had passed, although the engine could be
// reached and announced the weights.
BOOST_AUTO_TEST_CASE(
    a_second_naming_with_lost_answers_does_not_stop_a_rollout) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index)
    World.loseAnswers(Index, 20s);
  Duration NamedAgainAt = NamedAt + 800ms;
  World.nameNextAt(NamedAgainAt);
  World.runUntil(NamedAgainAt + RolloutWorld::RolloutDeadline);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// A host that takes the lease over counts the time of an inherited slot from
// when the slot was granted. The earlier holder's last order under it can be
// later, so that the slot of an engine that still loads is given to another
// one.
BOOST_AUTO_TEST_CASE(a_slot_outlasts_the_last_order_of_an_earlier_holder) {
  RolloutWorld World(NamedAt);
  World.loseOrders(0, 6600ms);
  World.freezeEngine(0, 7500ms, 30s);
  World.moveLease(9s);
  World.nameNextAt(12s);
  World.runUntil(17s);
  // The engine is silent for 9.5 s, less than the settle time.
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// Each naming of weights began the time of a busy engine's slot anew, so that
// hung engines held all slots for as long as weights were named.
BOOST_AUTO_TEST_CASE(hung_engines_lose_their_slots_while_weights_are_named) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index)
    World.hangEngine(Index);
  for (Duration At = NamedAt + 8s; At < 36s; At += 8s)
    World.nameNextAt(At);
  World.runUntil(36s + RolloutWorld::RolloutDeadline);
  BOOST_TEST(World.outdatedEngines() == 3);
}

// Slots of engines whose announcements ended, to which no order could be sent
// any more, were not seen as those of engines that can't be reached.
BOOST_AUTO_TEST_CASE(a_rollout_goes_on_past_engines_that_are_forgotten) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index) {
    World.loseAnswers(Index, 20s);
    World.removeEngine(Index, NamedAt + 900ms);
    World.forgetEngine(Index, NamedAt + 1s);
  }
  World.runUntil(NamedAt + 14s);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// Engines that could not be reached came back beside a load that had begun
// meanwhile, and all of them got their orders at once.
BOOST_AUTO_TEST_CASE(
    engines_that_come_back_wait_for_a_load_beside_their_slots) {
  RolloutWorld World(NamedAt);
  World.setLoadTime(3s);
  for (int Index = 0; Index < 3; ++Index) {
    World.loseOrders(Index, 4200ms);
    World.freezeEngine(Index, 4200ms, 7s);
  }
  World.runUntil(30s);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// A new holder got no answer to its orders under inherited slots. Engines that
// had carried them out and started again were not read any more, and kept their
// slots until the settle time had passed.
BOOST_AUTO_TEST_CASE(
    engines_that_start_again_with_the_weights_free_their_slots) {
  RolloutWorld World(NamedAt);
  for (int Index = 0; Index < 3; ++Index) {
    World.loseOrders(Index, 4500ms);
    World.loseAnswers(Index, 20s);
    World.restartEngine(Index, 6200ms, 7400ms);
  }
  World.killHolder(4s, 4600ms);
  World.runUntil(NamedAt + WeightsDeadline + 600ms);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// A new holder read no state for the length of a lease either, so that the
// slots of loads that had ended were freed only after that wait.
BOOST_AUTO_TEST_CASE(a_new_holder_reads_states_while_its_orders_wait) {
  constexpr uint32_t AtOnce = weightsLoadLimit(RolloutWorld::EngineCount);
  RolloutWorld World(NamedAt);
  World.checkNoFencing();
  World.killHolder(4s, 4600ms);
  Duration OrdersFrom = 4600ms + RolloutWorld::LeaseLength;
  World.runUntil(OrdersFrom);
  BOOST_TEST(World.counts().Accepted == AtOnce);
  World.runUntil(OrdersFrom + Reconciler::TickInterval +
                 3 * RolloutWorld::Step);
  BOOST_TEST(World.counts().Accepted == 2 * AtOnce);
  World.runUntil(OrdersFrom + 14s);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
  BOOST_TEST(World.counts().StaleOrders == 0U);
}

// Engines of inherited slots that asked for a pause while they loaded counted
// as unreachable, and another one loaded beside them.
BOOST_AUTO_TEST_CASE(engines_that_ask_for_a_pause_count_against_the_limit) {
  RolloutWorld World(NamedAt);
  World.setLoadTime(4s);
  for (int Index = 0; Index < 3; ++Index)
    World.pauseEngine(Index, 4500ms, 7500ms);
  World.killHolder(4s, 4600ms);
  World.runUntil(30s);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
}

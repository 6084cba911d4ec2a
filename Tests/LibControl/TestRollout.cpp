/// \file
/// Guards against rollouts of weights that stand still: slots for loads whose
/// holder was killed, or whose engine is gone, must reach other engines in
/// time. In the random schedules, holders change often, engines fall silent,
/// start again or are gone, and orders and answers are lost or late.
#include "LibControl/RolloutWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

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
  BOOST_TEST(World.counts().MostLoads <= 3);
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
  BOOST_TEST(World.counts().MostLoads <= 3);
}

// Engines that were busy with an inherited load counted as unreachable, and
// others loaded beside them.
BOOST_AUTO_TEST_CASE(busy_engines_of_inherited_slots_count_against_the_limit) {
  RolloutWorld World(NamedAt);
  World.setLoadTime(3s);
  World.killHolder(4s, 4600ms);
  World.runUntil(NamedAt + RolloutDeadline + 600ms);
  BOOST_TEST(World.outdatedEngines() == 0);
  BOOST_TEST(World.counts().MostLoads <= 3);
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
  BOOST_TEST(World.counts().MostLoads <= 3);
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
  BOOST_TEST(World.counts().MostLoads <= 3);
}

namespace {

const RolloutFaults FaultTable[] = {
    {.Name = "none"},
    {.Name = "holders change", .ShortTerms = true},
    {.Name = "weights named often", .FrequentNamings = true},
    {.Name = "weights named often, engines cut off",
     .FrequentNamings = true,
     .EngineCutOff = 0.01},
    {.Name = "engines start again", .ShortTerms = true, .EngineRestart = 0.02},
    {.Name = "engines cut off or frozen",
     .ShortTerms = true,
     .EngineCutOff = 0.01,
     .EngineFreeze = 0.01},
    {.Name = "engines gone", .ShortTerms = true, .EngineGone = 0.005},
    {.Name = "orders lost or late", .OrderLost = 0.1, .OrderLate = 0.2},
    {.Name = "answers lost", .AnswerLost = 0.3, .SlotAnswerLost = 0.1},
    {.Name = "requests run long", .RunTime = 6s},
    {.Name = "requests run long, weights named often",
     .FrequentNamings = true,
     .RunTime = 6s},
    {.Name = "requests run long, holders change",
     .ShortTerms = true,
     .RunTime = 6s},
    {.Name = "requests run long, engines cut off, answers lost",
     .EngineCutOff = 0.01,
     .AnswerLost = 0.3,
     .RunTime = 6s},
    {.Name = "all faults at once",
     .ShortTerms = true,
     .EngineRestart = 0.005,
     .EngineCutOff = 0.005,
     .EngineFreeze = 0.005,
     .EngineGone = 0.001,
     .OrderLost = 0.05,
     .OrderLate = 0.1,
     .AnswerLost = 0.1,
     .SlotAnswerLost = 0.05}};

} // namespace

// Announcements alone don't show that a load has ended to a holder that reads
// the engines' state, and an engine can carry an order out long after it.
BOOST_DATA_TEST_CASE(named_weights_reach_engines_in_time_under_faults,
                     data::make(FaultTable)) {
  RolloutWorld::Counts Sum;
  for (uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RolloutWorld World(Seed, sample, traceOf(Seed));
      World.runUntil(120s);
      World.endFaults();
      World.runUntil(180s);
      BOOST_TEST(World.outdatedEngines() == 0);
      // One engine of twelve may be late.
      BOOST_TEST(World.counts().MostOverdue <= 1);
      BOOST_TEST(World.counts().StaleOrders == 0u);
      BOOST_TEST(World.counts().ExcessLoads == 0u);
      Sum.Accepted += World.counts().Accepted;
      Sum.ArrivedLate += World.counts().ArrivedLate;
      Sum.Terms += World.counts().Terms;
      Sum.Restarts += World.counts().Restarts;
    }
  }
  // Makes sure that the faults occurred, and that there was something to do.
  BOOST_TEST(Sum.Accepted > 24 * seedCount());
  if (sample.ShortTerms)
    BOOST_TEST(Sum.Terms > 6 * seedCount());
  if (sample.OrderLate > 0)
    BOOST_TEST(Sum.ArrivedLate > seedCount());
  if (sample.EngineRestart > 0)
    BOOST_TEST(Sum.Restarts > seedCount());
}

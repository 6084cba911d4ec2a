// What targets ask for in their answers, by load patterns in virtual time: a
// rolling release, refusals under a burst, restarts under the same id.
#include "LibCore/Random.h"
#include "LibRouting/TargetSignals.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

static const TargetId Engine{"e1"};
static constexpr Timestamp Start{1000s};

BOOST_AUTO_TEST_CASE(a_leaving_target_stays_closed_until_it_restarts) {
  TargetSignals Signals;
  BOOST_TEST(!Signals.isLeaving(Engine, {5}));
  BOOST_TEST(Signals.noteLeaving(Engine, {5}));
  BOOST_TEST(!Signals.noteLeaving(Engine, {5}));
  BOOST_TEST(Signals.isLeaving(Engine, {5}));
  BOOST_TEST(Signals.isLeaving(Engine, {4}));
  BOOST_TEST(!Signals.isLeaving(Engine, {6}));
  BOOST_TEST(!Signals.isLeaving({"e2"}, {5}));
}

BOOST_AUTO_TEST_CASE(a_pause_ends_at_the_latest_time_that_was_asked_for) {
  TargetSignals Signals;
  BOOST_TEST(Signals.notePause(Engine, {1}, Start + 3s, Start));
  // A second answer that was written earlier asks for less.
  BOOST_TEST(!Signals.notePause(Engine, {1}, Start + 1s, Start));
  BOOST_TEST(Signals.isPaused(Engine, {1}, Start + 2999ms));
  BOOST_TEST(!Signals.isPaused(Engine, {1}, Start + 3s));
  BOOST_TEST(!Signals.isPaused(Engine, {2}, Start + 1s));
  BOOST_TEST((Signals.openFrom(Engine, {1}, Start + 1s) == Start + 3s));
}

BOOST_AUTO_TEST_CASE(an_endless_pause_is_cut) {
  TargetSignals Signals;
  Signals.notePause(Engine, {1}, NeverExpires, Start);
  BOOST_TEST(Signals.isPaused(Engine, {1}, Start + 23h));
  BOOST_TEST(!Signals.isPaused(Engine, {1}, Start + TargetSignals::MaxPause));
}

// All that has waited returns at the end of a pause. The target gets it in
// growing portions.
BOOST_AUTO_TEST_CASE(a_target_fills_in_steps_after_a_pause) {
  TargetSignals Signals;
  Timestamp End = Start + 2s;
  Signals.notePause(Engine, {1}, End, Start);
  std::vector<uint32_t> SentBy;
  uint32_t Sent = 0;
  for (Timestamp Now = Start; Now < End + 800ms; Now += 1ms) {
    if (Signals.openFrom(Engine, {1}, Now) <= Now) {
      Signals.noteSent(Engine, {1}, Now);
      ++Sent;
    }
    if ((Now - End) % 100ms == 99ms || Now == End - 1ms)
      SentBy.push_back(Sent);
  }
  // The last two steps are no longer limited: one request in each millisecond.
  const std::vector<uint32_t> Expected = {0, 1, 2, 4, 8, 16, 116, 216, 316};
  BOOST_TEST(SentBy == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_number_of_remembered_targets_is_bounded) {
  TargetSignals Signals;
  for (uint64_t Number = 0; Number < 2 * TargetSignals::MaxEntries; ++Number)
    Signals.noteLeaving({"e" + std::to_string(Number)}, {1});
  BOOST_TEST(Signals.size() == TargetSignals::MaxEntries);
  BOOST_TEST(Signals.isLeaving(
      {"e" + std::to_string(2 * TargetSignals::MaxEntries - 1)}, {1}));
}

// Leaves, pauses and restarts of a few targets in random order: no request is
// allowed that one of them has asked not to get.
BOOST_AUTO_TEST_CASE(no_request_is_allowed_against_what_was_asked) {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    RandomGenerator Random(Seed);
    TargetSignals Signals;
    struct Expected {
      uint64_t Incarnation = 1;
      uint64_t LeftUpTo = 0;
      Timestamp PausedUntil;
    };
    std::vector<Expected> Targets(3);
    Timestamp Now = Start;
    for (int Step = 0; Step < 300; ++Step) {
      size_t Index = randomBelow(Random, Targets.size());
      Expected &Each = Targets[Index];
      TargetId Id{"e" + std::to_string(Index)};
      Incarnation Current{Each.Incarnation};
      switch (randomBelow(Random, 8)) {
      case 0:
        Signals.noteLeaving(Id, Current);
        Each.LeftUpTo = Each.Incarnation;
        break;
      case 1: {
        Timestamp Until =
            Now + std::chrono::milliseconds(randomBelow(Random, 3000));
        Signals.notePause(Id, Current, Until, Now);
        Each.PausedUntil = std::max(Each.PausedUntil, Until);
        break;
      }
      case 2:
        ++Each.Incarnation;
        Each.PausedUntil = {};
        break;
      case 3:
        // A late answer of the incarnation before.
        Signals.noteLeaving(Id, {Each.Incarnation - 1});
        Signals.notePause(Id, {Each.Incarnation - 1}, Now + 9s, Now);
        break;
      default:
        Now += std::chrono::milliseconds(randomBelow(Random, 200));
      }
      bool Open = !Signals.isLeaving(Id, {Each.Incarnation}) &&
                  Signals.openFrom(Id, {Each.Incarnation}, Now) <= Now;
      bool Forbidden =
          Each.LeftUpTo >= Each.Incarnation || Now < Each.PausedUntil;
      BOOST_TEST(!(Open && Forbidden), "seed " << Seed << " step " << Step);
      if (Open)
        Signals.noteSent(Id, {Each.Incarnation}, Now);
    }
  }
}

// What one router makes of the limits that targets name, and of input that
// makes no sense.
#include "LibCore/Random.h"
#include "LibRouting/TargetLimits.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>
#include <string>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

static constexpr Timestamp Start{10'000s};
static const TargetId Target{"t"};

BOOST_AUTO_TEST_CASE(a_lone_router_spaces_its_requests) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, 2.0, Start, Start);
  BOOST_TEST(Limits.isLimited(Target, {1}));
  BOOST_TEST(!Limits.isLimited(Target, {2}));
  BOOST_TEST(!Limits.isLimited({"u"}, {1}));
  Timestamp Now = Start + 1s;
  BOOST_TEST((Limits.openFrom(Target, {1}, Now) <= Now));
  // Time without requests saves up a single one.
  for (int Hour = 0; Hour < 2; ++Hour) {
    Now += 1h;
    Limits.noteSent(Target, {1}, Now);
    BOOST_TEST((Limits.openFrom(Target, {1}, Now) <= Now));
    Limits.noteSent(Target, {1}, Now);
    BOOST_TEST((Limits.openFrom(Target, {1}, Now) == Now + 500ms));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_request_ends_no_limit) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, 2.0, Start, Start + 1s);
  Limits.noteAnswer(Target, {1}, std::nullopt, Start + 500ms, Start + 2s);
  BOOST_TEST(Limits.isLimited(Target, {1}));
  Limits.noteAnswer(Target, {1}, std::nullopt, Start + 1500ms, Start + 2s);
  BOOST_TEST(!Limits.isLimited(Target, {1}));
  BOOST_TEST(Limits.takeNews().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_limit_of_none_still_gets_a_request_now_and_then) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, 0.0, Start, Start);
  BOOST_TEST((Limits.openFrom(Target, {1}, Start) <= Start));
  Limits.noteSent(Target, {1}, Start);
  BOOST_TEST((Limits.openFrom(Target, {1}, Start) ==
              Start + TargetLimits::LongestSpacing));
}

BOOST_AUTO_TEST_CASE(only_changes_are_told) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, 4.0, Start, Start);
  BOOST_TEST(Limits.takeNews().size() == 1U);
  Limits.noteAnswer(Target, {1}, 4.0, Start, Start + 1s);
  Limits.noteAnswer(Target, {1}, 4.01, Start, Start + 2s);
  BOOST_TEST(!Limits.hasNews());
  Limits.noteAnswer(Target, {1}, 2.0, Start, Start + 3s);
  BOOST_REQUIRE(Limits.takeNews().size() == 1U);
  BOOST_TEST(Limits.takeChanges().size() == 2U);
}

BOOST_AUTO_TEST_CASE(what_others_tell_counts_if_it_is_newer) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, 4.0, Start, Start);
  Limits.apply({Target, {1}, std::nullopt, Start - 1s}, false, Start);
  BOOST_TEST(Limits.isLimited(Target, {1}));
  Limits.apply({Target, {1}, std::nullopt, Start + 1s}, false, Start + 1s);
  BOOST_TEST(!Limits.isLimited(Target, {1}));
  // An end that is told too late is not kept for ever.
  Limits.apply({{"u"}, {1}, std::nullopt, Start - 1h}, false, Start + 1s);
  BOOST_TEST(Limits.everything(Start + 1s).size() == 1U);
  BOOST_TEST(Limits.everything(Start + 1h).empty());
}

BOOST_AUTO_TEST_CASE(a_limit_that_nothing_renews_is_forgotten) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, 4.0, Start, Start);
  BOOST_TEST(Limits.everything(Start + TargetLimits::Lifetime - 1s).size() ==
             1U);
  BOOST_TEST(Limits.everything(Start + TargetLimits::Lifetime).empty());
}

BOOST_AUTO_TEST_CASE(senseless_limits_of_others_change_nothing) {
  TargetLimits Limits;
  for (double Value : {-1.0, std::numeric_limits<double>::infinity(),
                       std::numeric_limits<double>::quiet_NaN()})
    Limits.apply({Target, {1}, Value, Start}, true, Start);
  BOOST_TEST(Limits.everything(Start).empty());
  // A time in the future is cut to now.
  Limits.apply({Target, {1}, 1e308, Start + 24h}, true, Start);
  BOOST_TEST((Limits.openFrom(Target, {1}, Start + 1s) <= Start + 1s));
  Limits.noteAnswer(Target, {1}, std::nullopt, Start + 1s, Start + 2s);
  BOOST_TEST(!Limits.isLimited(Target, {1}));
}

BOOST_AUTO_TEST_CASE(the_number_of_limits_is_bounded) {
  TargetLimits Limits;
  for (int Number = 0; Number < 5000; ++Number)
    Limits.noteAnswer({std::to_string(Number)}, {1}, 4.0, Start,
                      Start + Duration(Number));
  BOOST_TEST(Limits.limitedTargets() <= TargetLimits::MaxTargets);
  BOOST_TEST(Limits.isLimited({"4999"}, {1}));
}

static std::vector<HostId> routersNamed(int Count) {
  std::vector<HostId> Names;
  for (int Number = 0; Number < Count; ++Number)
    Names.push_back({"r" + std::to_string(Number)});
  return Names;
}

// Several routers that each believe a brittle target to be free would send more
// requests than it runs, and the rejected ones crash it.
BOOST_AUTO_TEST_CASE(routers_together_fill_the_slots_of_a_brittle_target) {
  for (uint32_t Slots : {24U, 6U})
    for (size_t Count : {1U, 3U, 7U, 23U, 71U}) {
      std::vector<HostId> Routers = routersNamed(static_cast<int>(Count));
      uint32_t Sent = 0;
      std::set<HostId> Holders;
      for (const HostId &Self : Routers) {
        TargetLimits Limits;
        Limits.setRouters(Self, Routers, Start);
        Limits.noteAnswer(Target, {1}, std::nullopt, Start, Start, 3.0);
        TargetRoom Room{0, Slots};
        while (Limits.freeSlots(Target, Room) > 0)
          ++Room.Running;
        BOOST_TEST(!Limits.exceedsSlots(Target, Room));
        Sent += Room.Running;
        if (Room.Running > 0)
          Holders.insert(Self);
        ++Room.Running;
        BOOST_TEST(Limits.exceedsSlots(Target, Room));
      }
      BOOST_TEST(Sent == Slots);
      BOOST_TEST(Holders.size() == std::min<size_t>(Slots, Count));
      // Each router knows which others have the slots.
      for (const HostId &Self : Routers) {
        TargetLimits Limits;
        Limits.setRouters(Self, Routers, Start);
        std::vector<HostId> Named = Limits.otherHolders(Target, Slots);
        std::set<HostId> Others = Holders;
        Others.erase(Self);
        BOOST_TEST((std::set<HostId>(Named.begin(), Named.end()) == Others));
      }
    }
}

// The end of brittleness and of a limit come with the same answer.
BOOST_AUTO_TEST_CASE(an_answer_without_it_ends_brittleness) {
  TargetLimits Limits;
  Limits.noteAnswer(Target, {1}, std::nullopt, Start, Start, 3.0);
  BOOST_TEST(Limits.isBrittle(Target, {1}));
  BOOST_TEST(!Limits.isBrittle(Target, {2}));
  BOOST_TEST(!Limits.isLimited(Target, {1}));
  BOOST_TEST(Limits.takeNews().size() == 1U);
  Limits.noteAnswer(Target, {1}, std::nullopt, Start + 1s, Start + 2s);
  BOOST_TEST(!Limits.isBrittle(Target, {1}));
  BOOST_TEST(Limits.takeNews().size() == 1U);
  static constexpr double Infinite = std::numeric_limits<double>::infinity();
  Limits.apply({Target, {1}, std::nullopt, Start + 3s, Infinite}, false,
               Start + 3s);
  Limits.apply({Target, {1}, std::nullopt, Start + 3s, -1.0}, false,
               Start + 3s);
  BOOST_TEST(!Limits.isBrittle(Target, {1}));
}

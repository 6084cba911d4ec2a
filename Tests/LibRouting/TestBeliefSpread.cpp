// Crashes are seen at routers all over a fleet, and every router must refuse
// the part that causes them in time, in fleets of any size.
#include "LibRouting/BeliefFleet.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::routing;
namespace data = boost::unit_test::data;

namespace {

using namespace std::chrono_literals;

constexpr Timestamp Start = BeliefFleet::Start;
constexpr PartSet::value_type Lead = 1;
constexpr PartSet::value_type Crashing = 2;

const std::vector<size_t> Sizes = {7, 80, 400};

/// The users' bound on the spread after the fifth crash.
constexpr auto ContactTime = 3s;

} // namespace

BOOST_DATA_TEST_CASE(every_router_refuses_a_crashing_part_in_time,
                     data::make(Sizes), Size) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    BeliefFleet Subject(Size, Seed);
    // Few routers have served the first part lately.
    Subject.serveAt(0, {Lead, 10});
    std::optional<Timestamp> FifthAt;
    size_t Late = 0;
    while (Subject.Now < Start + 20s) {
      Subject.runUntil(Subject.Now + 120ms);
      if (!Subject.crashAt(Subject.randomRouter(), {Lead, Crashing}))
        continue;
      if (Subject.Crashes == 5)
        FifthAt = Subject.Now;
      Late += FifthAt && Subject.Now > *FifthAt + ContactTime;
    }
    BOOST_TEST(Late == 0U);
    BOOST_TEST(Subject.refusing({Lead, Crashing}) == Size);
    BOOST_TEST(Subject.refusing({Lead, 11}) == 0U);
    BOOST_TEST_MESSAGE(Size << " routers, seed " << Seed << ": "
                            << Subject.Crashes << " crashes, "
                            << Subject.Messages / Size << " messages a router");
  }
}

// The users allow three arrivals later than ContactTime after the third crash,
// trials included.
BOOST_DATA_TEST_CASE(every_router_refuses_a_crashing_request_in_time,
                     data::make(Sizes), Size) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    BeliefFleet Subject(Size, Seed);
    std::optional<Timestamp> ThirdAt;
    size_t Late = 0;
    while (Subject.Now < Start + 60s) {
      Subject.runUntil(Subject.Now + 120ms);
      if (!Subject.crashByRequestAt(Subject.randomRouter(), {requestIdOf(2)}))
        continue;
      if (Subject.Crashes == 3)
        ThirdAt = Subject.Now;
      Late += ThirdAt && Subject.Now > *ThirdAt + ContactTime;
    }
    BOOST_TEST(Late <= 3U);
    BOOST_TEST(Subject.refusing({requestIdOf(2)}) == Size);
    BOOST_TEST(Subject.refusing({requestIdOf(3)}) == 0U);
    BOOST_TEST_MESSAGE(Size << " routers, seed " << Seed << ": "
                            << Subject.Crashes << " crashes, " << Late
                            << " late, " << Subject.Messages / Size
                            << " messages a router");
  }
}

BOOST_DATA_TEST_CASE(a_router_that_restarts_learns_what_the_others_know,
                     data::make(Sizes), Size) {
  BeliefFleet Subject(Size, 3);
  Subject.serveAt(0, {Lead, 10});
  while (Subject.Now < Start + 4s) {
    Subject.runUntil(Subject.Now + 200ms);
    Subject.crashAt(Subject.randomRouter(), {Lead, Crashing});
  }
  Subject.runUntil(Start + 8s);
  BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == Size);
  // News are no longer fresh.
  Subject.runUntil(Start + 20s);
  Subject.restart(1);
  Subject.runUntil(Subject.Now + 1500ms);
  BOOST_TEST(Subject.refusing({Lead, Crashing}) == Size);
}

// Most answers to their questions come from routers that know as little.
BOOST_DATA_TEST_CASE(routers_that_restart_together_learn_from_one_that_stayed,
                     data::make({3, 9, 80}), Size) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    BeliefFleet Subject(Size, Seed);
    Subject.serveAt(0, {Lead, 10});
    while (Subject.Now < Start + 4s) {
      Subject.runUntil(Subject.Now + 200ms);
      Subject.crashAt(Subject.randomRouter(), {Lead, Crashing});
    }
    Subject.runUntil(Start + 20s);
    BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == size_t(Size));
    for (size_t Index = 1; Index < size_t(Size); ++Index)
      Subject.restart(Index);
    Subject.runUntil(Subject.Now + ContactTime);
    BOOST_TEST(Subject.refusing({Lead, Crashing}) == size_t(Size));
  }
}

// No router has a disk.
BOOST_DATA_TEST_CASE(routers_that_all_restart_learn_from_control_hosts,
                     data::make({3, 9, 80}), Size) {
  static constexpr size_t KeeperCount = 5;
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    BeliefFleet Subject(Size, Seed);
    Subject.addKeepers(KeeperCount);
    Subject.serveAt(0, {Lead, 10});
    while (Subject.Now < Start + 4s) {
      Subject.runUntil(Subject.Now + 200ms);
      Subject.crashAt(Subject.randomRouter(), {Lead, Crashing});
    }
    Subject.runUntil(Start + 20s);
    BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == size_t(Size));
    for (size_t Index = 0; Index < size_t(Size); ++Index)
      Subject.restart(Index);
    for (size_t Index = 0; Index < KeeperCount; ++Index)
      Subject.restartKeeper(Index);
    Subject.loseDisk(0);
    Subject.loseDisk(1);
    Subject.runUntil(Subject.Now + ContactTime);
    BOOST_TEST(Subject.refusing({Lead, Crashing}) == size_t(Size));
    BOOST_TEST(Subject.refusing({Lead, 11}) == 0U);
  }
}

// A set that has ended stays ended when a control host still has it in force.
BOOST_AUTO_TEST_CASE(an_ended_quarantine_does_not_come_back_with_a_restart) {
  BeliefFleet Subject(3, 6);
  Subject.addKeepers(3);
  while (Subject.Now < Start + 4s) {
    Subject.runUntil(Subject.Now + 200ms);
    Subject.crashAt(Subject.randomRouter(), {Lead, Crashing});
  }
  Subject.runUntil(Start + 8s);
  BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == 3U);
  Subject.serveAt(Subject.randomRouter(), {Lead, Crashing});
  Subject.runUntil(Subject.Now + ContactTime);
  for (size_t Index = 0; Index < 3; ++Index)
    Subject.restart(Index);
  Subject.runUntil(Subject.Now + ContactTime);
  BOOST_TEST(Subject.refusing({Lead, Crashing}) == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_asks_each_control_host_until_it_answers) {
  BeliefSpread Spread(1);
  std::vector<HostId> Keepers = {{"k1"}, {"k2"}};
  auto Asked = [&](Timestamp At) {
    return Spread.tick({{"a"}}, false, At, Keepers).KeeperQuestion.size();
  };
  Spread.noteAnswer();
  BOOST_TEST(Asked(Start) == 2U);
  Spread.noteKeeperAnswer({"k1"});
  BOOST_TEST(Asked(Start + 1s) == 1U);
  Spread.noteKeeperAnswer({"k2"});
  BOOST_TEST(Asked(Start + 2s) == 0U);
  Keepers.push_back({"k3"});
  BOOST_TEST(Asked(Start + 3s) == 1U);
}

BOOST_DATA_TEST_CASE(a_wrong_quarantine_ends_at_every_router, data::make(Sizes),
                     Size) {
  BeliefFleet Subject(Size, 4);
  while (Subject.Now < Start + 4s) {
    Subject.runUntil(Subject.Now + 200ms);
    Subject.crashAt(Subject.randomRouter(), {Lead, Crashing});
  }
  Subject.runUntil(Start + 8s);
  BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == Size);
  Subject.serveAt(Subject.randomRouter(), {Lead, Crashing});
  Subject.runUntil(Subject.Now + ContactTime);
  BOOST_TEST(Subject.refusing({Lead, Crashing}) == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_without_beliefs_sends_nothing_once_answered) {
  BeliefSpread Spread(1);
  std::vector<HostId> Others = {{"a"}, {"b"}};
  BOOST_TEST(Spread.tick(Others, false, Start).Question.size() == 2U);
  Spread.noteAnswer();
  auto Due = Spread.tick(Others, false, Start + 1s);
  BOOST_TEST(Due.Question.empty());
  BOOST_TEST(Due.Summary.empty());
  BOOST_TEST(Spread.tick({}, true, Start + 2s).Summary.empty());
}

// All routers of a fleet start at one moment.
BOOST_AUTO_TEST_CASE(routers_that_know_nothing_stop_asking_each_other) {
  BeliefSpread Spread(1);
  std::vector<HostId> Others = {{"a"}, {"b"}};
  for (auto Passed = 0s; Passed < BeliefSpread::SettleSpan; Passed += 1s) {
    BOOST_TEST(!Spread.tick(Others, false, Start + Passed).Question.empty());
    BOOST_TEST(!Spread.isSettled(Start + Passed));
  }
  Timestamp Settled = Start + BeliefSpread::SettleSpan;
  BOOST_TEST(Spread.tick(Others, false, Settled).Question.empty());
  BOOST_TEST(Spread.isSettled(Settled));
}

/// \returns the most requests that reached a target in four seconds.
static size_t mostInWindow(const std::vector<Timestamp> &Arrivals) {
  size_t Most = 0;
  auto Begin = Arrivals.begin();
  for (auto Each = Arrivals.begin(); Each != Arrivals.end(); ++Each) {
    while (*Each - *Begin >= 4s)
      ++Begin;
    Most = std::max(Most, static_cast<size_t>(Each - Begin) + 1);
  }
  return Most;
}

// Each router has more requests than its share of the limit.
BOOST_DATA_TEST_CASE(all_routers_together_keep_a_limit,
                     data::make(Sizes) *
                         data::make({0.0, 0.3, 1.0, 3.4, 4.7, 25.0, 120.0}),
                     Size, Limit) {
  BeliefFleet Subject(Size, 5);
  std::vector<Timestamp> Arrivals;
  std::optional<Timestamp> NamedAt;
  // Four requests a second and router.
  Duration Pause = std::chrono::microseconds(250'000 / Size);
  while (Subject.Now < Start + 20s) {
    Subject.runUntil(Subject.Now + Pause);
    if (!Subject.callAt(Subject.randomRouter(), {"t"}, Limit))
      continue;
    NamedAt = NamedAt.value_or(Subject.Now);
    if (Subject.Now >= *NamedAt + ContactTime)
      Arrivals.push_back(Subject.Now);
  }
  BOOST_TEST(Subject.limiting({"t"}) == Size);
  size_t Most = mostInWindow(Arrivals);
  BOOST_TEST(double(Most) <= 1.5 * 4 * Limit + 5);
  // What the limit allows is used, as far as the senders' load fills it, and
  // below one request a second too.
  double Used = std::min(Limit, 4.0 * double(Size));
  BOOST_TEST(double(Arrivals.size()) >= std::max(0.6 * Used * 16, 1.0));
}

BOOST_DATA_TEST_CASE(a_limit_that_ends_is_lifted_at_every_router,
                     data::make(Sizes), Size) {
  BeliefFleet Subject(Size, 6);
  auto CallFor = [&](Duration Span, std::optional<double> Limit) {
    for (Timestamp End = Subject.Now + Span; Subject.Now < End;) {
      Subject.runUntil(Subject.Now + 5ms);
      Subject.callAt(Subject.randomRouter(), {"t"}, Limit);
    }
  };
  CallFor(5s, 2.0);
  BOOST_TEST(Subject.limiting({"t"}) == Size);
  CallFor(4s, std::nullopt);
  BOOST_TEST(Subject.limiting({"t"}) == 0U);
  // A router that restarts meanwhile is not told of the old limit.
  Subject.restart(0);
  CallFor(2s, std::nullopt);
  BOOST_TEST(Subject.limiting({"t"}) == 0U);
}

// A router that starts in the middle, and some whose views differ.
BOOST_DATA_TEST_CASE(a_limit_holds_while_views_of_the_routers_differ,
                     data::make(Sizes), Size) {
  BeliefFleet Subject(Size, 7);
  std::vector<Timestamp> Arrivals;
  while (Subject.Now < Start + 20s) {
    Subject.runUntil(Subject.Now + 2ms);
    if (Subject.callAt(Subject.randomRouter(), {"t"}, 4.0) &&
        Subject.Now >= Start + ContactTime)
      Arrivals.push_back(Subject.Now);
    if (Subject.Now - Start == 8s)
      for (size_t Index = 1; Index < Size; Index += 2)
        Subject.forgetRouterAt(Index, 0);
    if (Subject.Now - Start == 12s)
      Subject.restart(2);
  }
  BOOST_TEST(Subject.limiting({"t"}) == Size);
  BOOST_TEST(double(mostInWindow(Arrivals)) <= 1.5 * 4 * 4.0 + 5);
}

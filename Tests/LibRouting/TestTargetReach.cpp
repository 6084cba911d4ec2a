// A router that reaches no target must notice it soon, and not for targets that
// fail for reasons of their own.
#include "LibRouting/TargetReach.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp Start{10'000s};

TargetId target(size_t Number) { return {"i-" + std::to_string(Number)}; }

struct Router {
  explicit Router(size_t KnownTargets) { Reach.setKnownTargets(KnownTargets); }

  /// Connections to \p Count targets fail, one each \p Pause.
  void fail(size_t First, size_t Count, Duration Pause) {
    for (size_t Number = First; Number < First + Count; ++Number) {
      Reach.noteUnreachable(target(Number), Now);
      Now += Pause;
    }
  }

  Timestamp Now = Start;
  TargetReach Reach{1};
};

} // namespace

BOOST_AUTO_TEST_CASE(different_targets_that_fail_mean_a_cut) {
  Router Subject(16);
  Subject.fail(0, 5, 50ms);
  BOOST_TEST(!Subject.Reach.isCutOff());
  Subject.fail(5, 1, 50ms);
  BOOST_TEST(Subject.Reach.isCutOff());
  BOOST_TEST(Subject.Reach.awaitsHelpers(Subject.Now));
  BOOST_TEST(!Subject.Reach.awaitsHelpers(Subject.Now + 100ms));
}

BOOST_AUTO_TEST_CASE(one_target_that_fails_again_and_again_is_no_cut) {
  Router Subject(16);
  for (int Call = 0; Call < 100; ++Call)
    Subject.fail(3, 1, 20ms);
  BOOST_TEST(!Subject.Reach.isCutOff());
}

BOOST_AUTO_TEST_CASE(a_single_target_tells_nothing) {
  Router Subject(1);
  Subject.fail(0, 1, 10ms);
  Subject.fail(1, 1, 10ms);
  BOOST_TEST(!Subject.Reach.isCutOff());
}

// A rack of a large service dies; calls to the rest are connected meanwhile.
BOOST_AUTO_TEST_CASE(a_rack_that_dies_is_no_cut) {
  Router Subject(40);
  for (size_t Round = 0; Round < 20; ++Round) {
    Subject.fail(0, 5, 10ms);
    Subject.Reach.noteConnected(Subject.Now);
    Subject.fail(5, 5, 10ms);
    Subject.Reach.noteConnected(Subject.Now);
  }
  BOOST_TEST(!Subject.Reach.isCutOff());
}

// A service rolls out slowly: each target fails for a while, all in the end.
BOOST_AUTO_TEST_CASE(failures_far_apart_are_no_cut) {
  Router Subject(16);
  Subject.fail(0, 16, 800ms);
  BOOST_TEST(!Subject.Reach.isCutOff());
}

// Connections are accepted and reset: being connected tells nothing then.
BOOST_AUTO_TEST_CASE(connections_that_are_reset_mean_a_cut) {
  Router Subject(8);
  for (size_t Number = 0; Number < 4; ++Number) {
    Subject.Reach.noteConnected(Subject.Now);
    Subject.Now += 5ms;
    Subject.Reach.noteBroken(target(Number), Subject.Now);
  }
  BOOST_TEST(Subject.Reach.isCutOff());
}

BOOST_AUTO_TEST_CASE(an_answer_on_a_newer_connection_clears_broken_ones) {
  Router Subject(8);
  for (size_t Round = 0; Round < 10; ++Round) {
    for (size_t Number = 0; Number < 2; ++Number)
      Subject.Reach.noteBroken(target(Number), Subject.Now);
    Subject.Reach.noteAnswered(Subject.Now, Subject.Now);
    Subject.Now += 20ms;
    Subject.Reach.noteBroken(target(5), Subject.Now);
  }
  BOOST_TEST(!Subject.Reach.isCutOff());
}

// Two of three targets break off all requests at one moment, the third one
// answers.
BOOST_AUTO_TEST_CASE(targets_that_break_beside_one_that_answers_are_no_cut) {
  Router Subject(3);
  for (size_t Round = 0; Round < 100; ++Round) {
    Subject.Reach.noteConnected(Subject.Now);
    Subject.Reach.noteAnswered(Subject.Now, Subject.Now);
    Subject.Now += 5ms;
    Subject.Reach.noteBroken(target(0), Subject.Now);
    Subject.Reach.noteBroken(target(1), Subject.Now);
    Subject.Now += 5ms;
  }
  BOOST_TEST(!Subject.Reach.isCutOff());
  // It is cut off with them.
  Subject.Now += TargetReach::QuietSpan;
  Subject.Reach.noteBroken(target(0), Subject.Now);
  Subject.Reach.noteBroken(target(2), Subject.Now);
  BOOST_TEST(Subject.Reach.isCutOff());
}

BOOST_AUTO_TEST_CASE(
    entries_that_lead_nowhere_beside_a_sound_target_are_no_cut) {
  Router Subject(4);
  for (size_t Round = 0; Round < 100; ++Round) {
    Subject.Reach.noteConnected(Subject.Now);
    Subject.Now += 5ms;
    Subject.fail(0, 3, 1ms);
  }
  BOOST_TEST(!Subject.Reach.isCutOff());
  Subject.Now += TargetReach::QuietSpan;
  Subject.fail(0, 3, 1ms);
  BOOST_TEST(Subject.Reach.isCutOff());
}

// Streams live on while new connections are refused.
BOOST_AUTO_TEST_CASE(an_answer_on_an_older_connection_clears_nothing) {
  Router Subject(8);
  Timestamp ConnectedAt = Subject.Now;
  Subject.Now += 100ms;
  for (size_t Number = 0; Number < 4; ++Number) {
    Subject.fail(Number, 1, 10ms);
    Subject.Reach.noteAnswered(ConnectedAt, Subject.Now);
  }
  BOOST_TEST(Subject.Reach.isCutOff());
}

BOOST_AUTO_TEST_CASE(two_probes_in_a_row_end_a_cut) {
  Router Subject(8);
  Subject.Reach.noteHelper({"a"}, {true, "key-a"}, Subject.Now);
  Subject.fail(0, 4, 10ms);
  BOOST_REQUIRE(Subject.Reach.isCutOff());
  Subject.Reach.noteProbe(true, Subject.Now);
  Subject.Reach.noteProbe(false, Subject.Now);
  Subject.Reach.noteProbe(true, Subject.Now);
  BOOST_TEST(Subject.Reach.isCutOff());
  Subject.Reach.noteProbe(true, Subject.Now);
  BOOST_TEST(!Subject.Reach.isCutOff());
  // Old failures are no evidence any more.
  Subject.fail(0, 3, 10ms);
  BOOST_TEST(!Subject.Reach.isCutOff());
}

// Probes find connections whole that requests do not.
BOOST_AUTO_TEST_CASE(each_relapse_takes_more_probes_to_end) {
  Router Subject(8);
  for (size_t Needed : {2U, 4U, 8U, 8U}) {
    Subject.Reach.noteHelper({"a"}, {true, "key-a"}, Subject.Now);
    Subject.fail(0, 4, 10ms);
    BOOST_REQUIRE(Subject.Reach.isCutOff());
    for (size_t Probe = 0; Probe < Needed; ++Probe) {
      BOOST_TEST(Subject.Reach.isCutOff());
      Subject.Reach.noteProbe(true, Subject.Now);
    }
    BOOST_TEST(!Subject.Reach.isCutOff());
    Subject.Now += 1s;
  }
  Subject.Now += TargetReach::RelapseSpan;
  Subject.Reach.noteHelper({"a"}, {true, "key-a"}, Subject.Now);
  Subject.fail(0, 4, 10ms);
  Subject.Reach.noteProbe(true, Subject.Now);
  Subject.Reach.noteProbe(true, Subject.Now);
  BOOST_TEST(!Subject.Reach.isCutOff());
}

// All targets are down, as seen from every router, and come back.
BOOST_AUTO_TEST_CASE(one_probe_suffices_where_nobody_reached_targets) {
  Router Subject(8);
  for (int Time = 0; Time < 4; ++Time) {
    Subject.Reach.noteHelper({"a"}, {false, "key-a"}, Subject.Now);
    Subject.fail(0, 4, 10ms);
    BOOST_REQUIRE(Subject.Reach.isCutOff());
    Subject.Reach.noteProbe(true, Subject.Now);
    BOOST_TEST(!Subject.Reach.isCutOff());
  }
}

BOOST_AUTO_TEST_CASE(only_routers_that_reach_targets_help) {
  Router Subject(8);
  Subject.Reach.noteHelper({"a"}, {true, "key-a"}, Subject.Now);
  Subject.Reach.noteHelper({"b"}, {false, "key-b"}, Subject.Now);
  Subject.Reach.noteHelper({"c"}, {true, ""}, Subject.Now);
  auto Chosen = Subject.Reach.chooseHelper({}, Subject.Now);
  BOOST_REQUIRE(Chosen.has_value());
  BOOST_TEST(Chosen->Id.Value == "a");
  BOOST_TEST(Chosen->PassKey == "key-a");
  BOOST_TEST(!Subject.Reach.chooseHelper({{"a"}}, Subject.Now).has_value());
  Subject.Reach.noteHelper({"a"}, {false, "key-a"}, Subject.Now);
  BOOST_TEST(!Subject.Reach.chooseHelper({}, Subject.Now).has_value());
  Subject.Reach.noteHelper({"a"}, {true, "key-a"}, Subject.Now);
  Subject.Now += TargetReach::HelperLifetime;
  BOOST_TEST(!Subject.Reach.chooseHelper({}, Subject.Now).has_value());
}

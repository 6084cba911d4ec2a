// An owner that counts an answer twice, or takes what it is told for true,
// grants more than the cap or rejects what is owed.
#include "LibAdmission/CapOwner.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp Start{10'000s};
const WorkspaceId Acme{"acme"};
constexpr double Rate = 1000;

config::WorkspaceCap cap(double PerSecond = Rate) {
  return {PerSecond, PerSecond, config::CapUnit::Tokens, 100};
}

/// Number of question \p Count of router \p Router.
uint64_t number(uint32_t Router, uint32_t Count) {
  return uint64_t{Router} << 32 | Count;
}

struct Fixture {
  Fixture() { Owner.setCaps({{Acme, cap()}}, Start); }

  CapReply ask(uint32_t Router, uint32_t Count, double Needed, Timestamp Now,
               double Wanted = 0, double Returned = 0) {
    return Owner.answer({Acme, number(Router, Count), Needed, Wanted, Returned},
                        Now);
  }

  CapOwner Owner{CapTolerance{}};
};

} // namespace

// A restart must not let a burst through twice.
BOOST_FIXTURE_TEST_CASE(a_new_owner_begins_with_a_quarter_of_a_second,
                        Fixture) {
  BOOST_TEST(*Owner.level(Acme, Start) == Rate / 4);
  BOOST_TEST(*Owner.level(Acme, Start + 100ms) == Rate / 4 + 100);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == Rate);
}

BOOST_FIXTURE_TEST_CASE(without_tolerance_just_rate_and_burst_are_granted,
                        Fixture) {
  double Granted = 0;
  for (int Tick = 0; Tick <= 1000; ++Tick)
    Granted += ask(1, uint32_t(Tick), 20, Start + 10s + Tick * 10ms).Granted;
  // One request may take the bucket below zero.
  BOOST_TEST(Granted <= 10 * Rate + Rate + 20);
  BOOST_TEST(Granted >= 10 * Rate + Rate - 20);
}

BOOST_AUTO_TEST_CASE(half_of_the_tolerance_is_used) {
  CapOwner Owner(CapTolerance{8, 0.1, 600});
  Owner.setCaps({{Acme, cap()}}, Start);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == Rate * 1.05 + 300);
}

// Small requests at other routers must not keep a large one waiting for ever.
BOOST_FIXTURE_TEST_CASE(a_large_request_may_take_the_bucket_below_zero,
                        Fixture) {
  BOOST_TEST(ask(1, 1, 900, Start + 10ms).Granted == 900);
  BOOST_TEST(*Owner.level(Acme, Start + 10ms) < 0);
  BOOST_TEST(ask(2, 1, 1, Start + 20ms).Granted == 0);
}

// Callers that all come back at the same time would be rejected again.
BOOST_FIXTURE_TEST_CASE(retry_times_rise_with_each_rejection, Fixture) {
  ask(1, 1, 900, Start);
  Duration Last{};
  for (uint32_t Router = 2; Router < 8; ++Router) {
    CapReply Reply = ask(Router, 1, 100, Start + 1ms);
    BOOST_TEST(Reply.Granted == 0);
    BOOST_TEST(Reply.RetryIn > Last);
    Last = Reply.RetryIn;
  }
  BOOST_TEST(ask(2, 2, 100, Start + 2s).Granted == 100);
}

BOOST_FIXTURE_TEST_CASE(more_than_needed_is_granted_while_half_full, Fixture) {
  CapReply Full = ask(1, 1, 100, Start + 10s, 200);
  BOOST_TEST(Full.Granted == 300);
  BOOST_TEST(Full.Lifetime == CapOwner::GrantLifetime);
  ask(1, 2, 400, Start + 10s);
  BOOST_TEST(ask(1, 3, 100, Start + 10s, 200).Granted == 100);
}

// Units that routers hold must not be granted a second time as a full bucket.
BOOST_FIXTURE_TEST_CASE(units_held_in_advance_count_against_the_burst,
                        Fixture) {
  double Held = ask(1, 1, 0, Start + 10s, 300).Granted;
  BOOST_TEST(Held == 300);
  BOOST_TEST(*Owner.level(Acme, Start + 10s + 900ms) == Rate - Held);
}

// A lost reply is asked for again.
BOOST_FIXTURE_TEST_CASE(a_repeated_question_is_counted_once, Fixture) {
  CapReply First = ask(1, 1, 100, Start + 10s);
  double Level = *Owner.level(Acme, Start + 10s);
  CapReply Again = ask(1, 1, 100, Start + 10s + 45ms);
  BOOST_TEST(Again.Granted == First.Granted);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == Level);
}

// Messages may overtake each other.
BOOST_FIXTURE_TEST_CASE(a_late_question_is_granted_nothing, Fixture) {
  ask(1, 2, 100, Start + 10s);
  CapReply Late = ask(1, 1, 100, Start + 10s);
  BOOST_TEST(Late.Granted == 0);
  BOOST_TEST((Late.RetryIn == Duration()));
}

BOOST_FIXTURE_TEST_CASE(returned_units_fill_the_bucket_up_to_its_depth,
                        Fixture) {
  ask(1, 1, 500, Start + 10s);
  ask(1, 2, 0, Start + 10s, 0, 300);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == 800);
  ask(1, 3, 0, Start + 10s, 0, 1e9);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) <= Rate);
}

BOOST_FIXTURE_TEST_CASE(invalid_questions_change_nothing, Fixture) {
  using Limits = std::numeric_limits<double>;
  double Level = *Owner.level(Acme, Start + 10s);
  uint32_t Count = 0;
  for (double Bad : {-1.0, Limits::infinity(), Limits::quiet_NaN()}) {
    BOOST_TEST(ask(1, ++Count, Bad, Start + 10s).Granted == 0);
    BOOST_TEST(ask(1, ++Count, 1, Start + 10s, Bad).Granted == 0);
    BOOST_TEST(ask(1, ++Count, 1, Start + 10s, 0, Bad).Granted == 0);
  }
  BOOST_TEST(Owner.invalidQuestions() == 9U);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == Level);
}

BOOST_FIXTURE_TEST_CASE(a_lowered_cap_takes_effect_at_once, Fixture) {
  Owner.setCaps({{Acme, cap(100)}}, Start + 10s);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == 100);
  Owner.setCaps({{Acme, cap(5000)}}, Start + 10s);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == 100);
  BOOST_TEST(*Owner.level(Acme, Start + 20s) == 5000);
}

BOOST_FIXTURE_TEST_CASE(a_removed_cap_is_forgotten, Fixture) {
  Owner.setCaps({}, Start);
  BOOST_TEST(!Owner.level(Acme, Start));
  CapReply Reply = ask(1, 1, 10, Start);
  BOOST_TEST(Reply.Granted == 0);
  BOOST_TEST((Reply.RetryIn == Duration()));
}

BOOST_AUTO_TEST_CASE(a_rate_that_is_no_positive_number_is_no_cap) {
  CapOwner Owner{CapTolerance{}};
  using Limits = std::numeric_limits<double>;
  for (double Bad : {0.0, -1.0, Limits::infinity(), Limits::quiet_NaN()}) {
    Owner.setCaps({{Acme, cap(Bad)}}, Start);
    BOOST_TEST(Owner.ownedWorkspaces() == 0U);
  }
}

// Two routers that both grant the rate would double it.
BOOST_FIXTURE_TEST_CASE(only_the_owner_grants, Fixture) {
  std::vector<HostId> Both = {{"a"}, {"b"}};
  HostId Chosen = *capOwnerOf(Acme, Both);
  HostId Other = Chosen == Both[0] ? Both[1] : Both[0];
  Owner.setRouters(Other, Both, Start);
  BOOST_TEST(ask(1, 1, 10, Start).Granted == 0);
  Owner.setRouters(Chosen, Both, Start + 10s);
  BOOST_TEST(*Owner.level(Acme, Start + 10s) == Rate / 4);
  BOOST_TEST(ask(1, 2, 10, Start + 10s).Granted == 10);
  // Others may still ask the former owner.
  BOOST_TEST(*Owner.level(Acme, Start + 10s + 100ms) == Rate / 4 - 10 + 50);
}

// Both parts of a fleet that is cut in two would grant the whole rate.
BOOST_FIXTURE_TEST_CASE(a_small_part_of_the_fleet_has_no_owner, Fixture) {
  std::vector<HostId> All = {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
  Owner.setRouters({"a"}, All, Start);
  Owner.setRouters({"a"}, {{"a"}}, Start + 1s);
  BOOST_TEST(Owner.ownedWorkspaces() == 0U);
  Owner.setRouters({"a"}, All, Start + 2s);
  // Those that have gone no longer count after a while.
  Owner.setRouters({"a"}, {{"a"}, {"b"}}, Start + 3s);
  Owner.setRouters({"a"}, {{"a"}}, Start + 3s + ServingRouters::CutOffLifetime);
  BOOST_TEST(Owner.ownedWorkspaces() == 1U);
}

// A frozen owner's bucket has filled by the clock, while others were admitted
// without it.
BOOST_FIXTURE_TEST_CASE(an_owner_that_was_frozen_begins_anew, Fixture) {
  Timestamp Now = Start + 10s;
  for (uint32_t Count = 1; Count <= 30; ++Count, Now += 20ms)
    ask(1, Count, 100, Now);
  Now += 3s;
  CapReply Reply = ask(1, 31, 100, Now);
  BOOST_TEST(Reply.Granted == 100);
  BOOST_TEST(*Owner.level(Acme, Now) <= Rate / 4);
}

BOOST_FIXTURE_TEST_CASE(a_clock_that_stands_or_goes_back_grants_nothing_more,
                        Fixture) {
  ask(1, 1, 1000, Start + 10s);
  BOOST_TEST(ask(1, 2, 10, Start + 5s).Granted == 0);
  BOOST_TEST(ask(1, 3, 10, Start + 10s).Granted == 0);
}

// A holder that trusts a late, repeated or wrong reply admits more than the
// cap, and one that waits for a lost reply rejects or delays what is owed.
#include "LibAdmission/CapHolder.h"
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

struct Fixture {
  Fixture() {
    Holder.setCaps({{Acme, cap()}}, Start);
    std::vector<HostId> All = {{"a"}, {"b"}, {"c"}, {"d"}};
    Owner = *capOwnerOf(Acme, All);
    Self = Owner == All[0] ? All[1] : All[0];
    Holder.setRouters(Self, All, Start);
  }

  /// A request waits, and its question is sent.
  CapQuestion await(double Units, Timestamp Now) {
    CapAnswer Answer = Holder.admit(Acme, Units, Now);
    BOOST_TEST((Answer.Decision == CapDecision::Awaiting));
    Ticket = Answer.Ticket;
    std::vector<CapHolder::Outgoing> Out = Holder.takeQuestions(Now);
    BOOST_REQUIRE(Out.size() == 1U);
    BOOST_TEST(Out[0].To == Owner);
    return Out[0].Question;
  }

  void grant(const CapQuestion &Question, double Units, Timestamp Now) {
    Holder.apply(Owner, {Acme, Question.Number, Units, 1s, {}}, Now);
  }

  CapDecision settled(Timestamp Now) {
    std::vector<CapHolder::Settled> All = Holder.takeSettled(Now);
    BOOST_REQUIRE(All.size() == 1U);
    BOOST_TEST(All[0].Ticket == Ticket);
    return All[0].Answer.Decision;
  }

  CapDecision admit(double Units, Timestamp Now) {
    return Holder.admit(Acme, Units, Now).Decision;
  }

  double balance(Timestamp Now) { return Holder.status(Now).at(0).Balance; }

  HostId Self;
  HostId Owner;
  uint64_t Ticket = 0;
  CapHolder Holder{CapTolerance{}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_workspace_without_cap_is_admitted, Fixture) {
  CapAnswer Answer = Holder.admit({"free"}, 1e12, Start);
  BOOST_TEST((Answer.Decision == CapDecision::Admitted));
  BOOST_TEST((Holder.nextDue() == NeverExpires));
}

BOOST_FIXTURE_TEST_CASE(a_grant_admits_what_waits_and_what_follows, Fixture) {
  CapQuestion Question = await(100, Start);
  BOOST_TEST(Question.Needed == 100);
  grant(Question, Question.Needed + Question.Wanted, Start + 5ms);
  BOOST_TEST((settled(Start + 5ms) == CapDecision::Admitted));
  BOOST_TEST((admit(Question.Wanted, Start + 6ms) == CapDecision::Admitted));
  BOOST_TEST((admit(1, Start + 6ms) == CapDecision::Awaiting));
}

// A request larger than the bucket would wait for ever.
BOOST_FIXTURE_TEST_CASE(a_request_above_the_cap_gets_no_retry_time, Fixture) {
  CapAnswer Answer = Holder.admit(Acme, Rate + 1, Start);
  BOOST_TEST((Answer.Decision == CapDecision::Rejected));
  BOOST_TEST(!Answer.RetryAt);
  using Limits = std::numeric_limits<double>;
  for (double Bad : {-1.0, Limits::infinity(), Limits::quiet_NaN()})
    BOOST_TEST((admit(Bad, Start) == CapDecision::Rejected));
}

BOOST_FIXTURE_TEST_CASE(rejected_requests_get_rising_times, Fixture) {
  CapQuestion Question = await(100, Start);
  Holder.admit(Acme, 100, Start);
  Holder.apply(Owner, {Acme, Question.Number, 0, {}, 300ms}, Start + 5ms);
  std::vector<CapHolder::Settled> All = Holder.takeSettled(Start + 5ms);
  BOOST_REQUIRE(All.size() == 2U);
  BOOST_TEST((All[0].Answer.RetryAt == Start + 305ms));
  BOOST_TEST((All[1].Answer.RetryAt == Start + 405ms));
  CapAnswer Next = Holder.admit(Acme, 100, Start + 6ms);
  BOOST_TEST((Next.Decision == CapDecision::Rejected));
  BOOST_TEST((Next.RetryAt == Start + 505ms));
  BOOST_TEST(Holder.takeQuestions(Start + 100ms).empty());
  // The owner is asked again at the time that it named.
  BOOST_TEST((admit(100, Start + 305ms) == CapDecision::Awaiting));
}

// Without the return, what is not used would be lost to the workspace.
BOOST_FIXTURE_TEST_CASE(an_expired_grant_is_returned, Fixture) {
  CapQuestion First = await(100, Start);
  grant(First, 150, Start + 5ms);
  BOOST_TEST(balance(Start + 5ms) == 50);
  // The lifetime counts from the question, whenever the reply came.
  BOOST_TEST(balance(Start + 1s) == 0);
  CapQuestion Second = await(20, Start + 1s);
  BOOST_TEST(Second.Returned == 50);
}

// After a freeze the clock has gone on, and the grant must not be used.
BOOST_FIXTURE_TEST_CASE(a_frozen_router_wakes_without_its_grant, Fixture) {
  grant(await(100, Start), 200, Start + 5ms);
  BOOST_TEST((admit(50, Start + 3s) == CapDecision::Awaiting));
}

BOOST_FIXTURE_TEST_CASE(a_reply_that_comes_late_admits_nothing, Fixture) {
  CapQuestion Question = await(100, Start);
  BOOST_TEST(Holder.takeSettled(Start + 150ms).size() == 1U);
  grant(Question, 100, Start + 3s);
  BOOST_TEST(balance(Start + 3s) == 0);
}

BOOST_FIXTURE_TEST_CASE(a_repeated_reply_counts_once, Fixture) {
  CapQuestion Question = await(100, Start);
  grant(Question, 150, Start + 5ms);
  grant(Question, 150, Start + 6ms);
  BOOST_TEST(balance(Start + 6ms) == 50);
}

BOOST_FIXTURE_TEST_CASE(a_reply_of_another_router_is_ignored, Fixture) {
  CapQuestion Question = await(100, Start);
  Holder.apply({"x"}, {Acme, Question.Number, 100, 1s, {}}, Start + 5ms);
  BOOST_TEST(Holder.takeSettled(Start + 5ms).empty());
  // The owner leaves, and its reply comes after that.
  Holder.setRouters(Self, {Self}, Start + 6ms);
  grant(Question, 100, Start + 7ms);
  BOOST_TEST(balance(Start + 7ms) == 0);
}

BOOST_FIXTURE_TEST_CASE(invalid_replies_change_nothing, Fixture) {
  CapQuestion Question = await(100, Start);
  using Limits = std::numeric_limits<double>;
  for (double Bad : {-1.0, 1e9, Limits::infinity(), Limits::quiet_NaN()})
    grant(Question, Bad, Start + 5ms);
  Holder.apply(Owner, {Acme, Question.Number, 100, -1s, {}}, Start + 5ms);
  Holder.apply(Owner, {Acme, Question.Number, 0, {}, -1s}, Start + 5ms);
  Holder.apply(Owner, {Acme, Question.Number, 0, {}, 24h}, Start + 5ms);
  BOOST_TEST(Holder.invalidReplies() == 7U);
  BOOST_TEST(Holder.takeSettled(Start + 5ms).empty());
  grant(Question, 100, Start + 6ms);
  BOOST_TEST((settled(Start + 6ms) == CapDecision::Admitted));
}

BOOST_FIXTURE_TEST_CASE(a_question_is_repeated_unchanged, Fixture) {
  CapQuestion Question = await(100, Start);
  BOOST_TEST((Holder.nextDue() == Start + CapHolder::RepeatInterval));
  std::vector<CapHolder::Outgoing> Again =
      Holder.takeQuestions(Start + CapHolder::RepeatInterval);
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST(Again[0].Question.Number == Question.Number);
}

// No caller waits longer for an owner that has ended.
BOOST_FIXTURE_TEST_CASE(without_the_owner_an_equal_share_is_admitted, Fixture) {
  await(100, Start);
  BOOST_TEST((settled(Start + 150ms) == CapDecision::Admitted));
  double Admitted = 100;
  for (int Tick = 0; Tick < 1000; ++Tick)
    if (admit(10, Start + 150ms + Tick * 10ms) == CapDecision::Admitted)
      Admitted += 10;
  BOOST_TEST(Admitted > 10 * Rate / 4 * 0.9);
  BOOST_TEST(Admitted < 10 * Rate / 4 * 1.1);
  BOOST_TEST(Holder.status(Start).at(0).InFallback);
}

// What was admitted without the owner is charged when it replies again.
BOOST_FIXTURE_TEST_CASE(admitted_without_the_owner_is_owed_to_it, Fixture) {
  CapQuestion First = await(100, Start);
  settled(Start + 150ms);
  grant(First, 100, Start + 200ms);
  BOOST_TEST(balance(Start + 200ms) == 0);
}

BOOST_FIXTURE_TEST_CASE(units_of_requests_not_run_come_back, Fixture) {
  grant(await(100, Start), 100, Start + 5ms);
  Holder.giveBack(Acme, 100, Start + 20ms);
  BOOST_TEST((admit(100, Start + 30ms) == CapDecision::Admitted));
  Holder.giveBack(Acme, std::numeric_limits<double>::quiet_NaN(), Start + 40ms);
  Holder.giveBack(Acme, -5, Start + 40ms);
  BOOST_TEST(balance(Start + 40ms) == 0);
  Holder.giveBack(Acme, 1e9, Start + 40ms);
  BOOST_TEST(balance(Start + 40ms) <= Rate);
}

BOOST_FIXTURE_TEST_CASE(a_lowered_cap_cuts_the_balance, Fixture) {
  grant(await(100, Start), 100, Start + 5ms);
  Holder.giveBack(Acme, 100, Start + 5ms);
  Holder.setCaps({{Acme, cap(30)}}, Start + 6ms);
  BOOST_TEST(balance(Start + 6ms) == 30);
  BOOST_TEST((admit(31, Start + 7ms) == CapDecision::Rejected));
}

BOOST_FIXTURE_TEST_CASE(a_removed_cap_admits_what_waits, Fixture) {
  await(100, Start);
  Holder.setCaps({}, Start + 5ms);
  BOOST_TEST((settled(Start + 5ms) == CapDecision::Admitted));
  BOOST_TEST(Holder.status(Start).empty());
}

BOOST_FIXTURE_TEST_CASE(the_owner_itself_sends_no_message, Fixture) {
  CapOwner Local{CapTolerance{}};
  Local.setCaps({{Acme, cap()}}, Start);
  Local.setRouters(Owner, {Owner}, Start);
  CapHolder Subject{CapTolerance{}};
  Subject.setLocalOwner(&Local);
  Subject.setCaps({{Acme, cap()}}, Start);
  Subject.setRouters(Owner, {Owner}, Start);
  BOOST_TEST(
      (Subject.admit(Acme, 250, Start).Decision == CapDecision::Admitted));
  CapAnswer Answer = Subject.admit(Acme, 250, Start);
  BOOST_TEST((Answer.Decision == CapDecision::Rejected));
  BOOST_TEST(Answer.RetryAt.has_value());
  BOOST_TEST(Subject.takeQuestions(Start).empty());
}

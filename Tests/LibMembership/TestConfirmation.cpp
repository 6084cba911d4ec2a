// A router must not use an old description number after a newer one was
// accepted. Answers that are late, doubled, from learners or to an earlier
// incarnation's query, and time that a host spent frozen, must not prolong a
// confirmation.
#include "LibCore/Visit.h"
#include "LibMembership/Confirmation.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace ferry;
using namespace ferry::membership;
using namespace std::chrono_literals;

static const std::vector<HostId> Controls = {{"c1"}, {"c2"}, {"c3"}};

static Timestamp at(Duration Since) { return Timestamp(100s) + Since; }

static Confirmation makeRouter(uint64_t Number, uint64_t Seed = 7) {
  return Confirmation({Controls, {Number}, Seed});
}

/// Sends a tick and returns the query that goes to all control hosts.
static wire::ConfirmationQuery sendQuery(Confirmation &Router, Timestamp Now) {
  auto Effects = Router.step(ConfirmationTick{}, Now);
  BOOST_REQUIRE(Effects.size() == Controls.size());
  return std::get<ConfirmationSend>(Effects.front()).Query;
}

static std::vector<ConfirmationEffect>
answer(Confirmation &Router, const std::string &From,
       const wire::ConfirmationQuery &Query, uint64_t Number, Timestamp Now,
       bool Voter = true) {
  return Router.step(
      ConfirmationAnswered{{From}, answerQuery(Query, {Number}, Voter)}, Now);
}

struct AnswerCase {
  const char *Name;
  /// Number in the answer of c1, c2 and c3; negative if the host is no voter,
  /// absent if it does not answer.
  std::optional<int> Numbers[3];
  bool Confirmed;
  bool Fetches;
};

static std::ostream &operator<<(std::ostream &Out, const AnswerCase &Case) {
  return Out << Case.Name;
}

static const AnswerCase AnswerCases[] = {
    {"all equal", {5, 5, 5}, true, false},
    {"a quorum", {5, 5, {}}, true, false},
    {"one alone", {5, {}, {}}, false, false},
    {"older logs", {3, 4, {}}, true, false},
    {"a greater number in the quorum", {5, 6, {}}, false, true},
    {"a greater number at one that can't commit it", {5, 5, 6}, true, true},
    {"a greater number at a quorum", {5, 6, 6}, false, true},
    {"a host that lost its disk", {5, -5, {}}, false, false},
    {"a voter and two learners", {5, -5, -5}, false, false},
    {"nobody", {{}, {}, {}}, false, false}};

BOOST_DATA_TEST_CASE(answers_of_a_quorum_confirm,
                     boost::unit_test::data::make(AnswerCases), Case) {
  Confirmation Router = makeRouter(5);
  auto Query = sendQuery(Router, at(0s));
  bool Fetched = false;
  for (size_t Index = 0; Index < 3; ++Index) {
    if (!Case.Numbers[Index])
      continue;
    int Number = *Case.Numbers[Index];
    for (const auto &Effect : answer(Router, Controls[Index].Value, Query,
                                     std::abs(Number), at(10ms), Number >= 0))
      Fetched |= std::holds_alternative<FetchDescription>(Effect);
  }
  BOOST_TEST(Router.isConfirmed(at(20ms)) == Case.Confirmed);
  BOOST_TEST(Fetched == Case.Fetches);
  if (Case.Confirmed)
    BOOST_TEST((Router.confirmedUntil() == at(2s)));
}

BOOST_AUTO_TEST_CASE(one_host_counts_once_however_often_it_answers) {
  Confirmation Router = makeRouter(5);
  auto Query = sendQuery(Router, at(0s));
  for (int Copy = 0; Copy < 3; ++Copy)
    answer(Router, "c1", Query, 5, at(10ms));
  answer(Router, "stranger", Query, 5, at(10ms));
  BOOST_TEST(!Router.isConfirmed(at(20ms)));
  // Of two answers across a restart the greater one counts.
  answer(Router, "c1", Query, 6, at(10ms));
  answer(Router, "c1", Query, 5, at(11ms));
  answer(Router, "c2", Query, 5, at(12ms));
  BOOST_TEST(!Router.isConfirmed(at(20ms)));
}

BOOST_AUTO_TEST_CASE(late_answers_count_from_their_own_query) {
  Confirmation Router = makeRouter(5);
  auto First = sendQuery(Router, at(0s));
  auto Second = sendQuery(Router, at(500ms));
  answer(Router, "c1", First, 5, at(1900ms));
  answer(Router, "c2", First, 5, at(1900ms));
  BOOST_TEST((Router.confirmedUntil() == at(2s)));
  // One answer to each of two queries is no quorum for the later one.
  answer(Router, "c3", Second, 5, at(1900ms));
  BOOST_TEST((Router.confirmedUntil() == at(2s)));
}

BOOST_AUTO_TEST_CASE(a_host_that_was_frozen_is_no_longer_confirmed) {
  Confirmation Router = makeRouter(5);
  auto Query = sendQuery(Router, at(0s));
  answer(Router, "c1", Query, 5, at(10ms));
  answer(Router, "c2", Query, 5, at(10ms));
  BOOST_TEST(Router.isConfirmed(at(1999ms)));
  BOOST_TEST(!Router.isConfirmed(at(1h)));
  // An answer that waited in its buffers for the hour confirms nothing.
  answer(Router, "c3", Query, 5, at(1h));
  BOOST_TEST(!Router.isConfirmed(at(1h)));
}

BOOST_AUTO_TEST_CASE(answers_to_an_earlier_incarnation_are_ignored) {
  Confirmation Before = makeRouter(5, 7);
  auto Old = sendQuery(Before, at(0s));
  Confirmation After = makeRouter(5, 8);
  sendQuery(After, at(1s));
  answer(After, "c1", Old, 5, at(1s));
  answer(After, "c2", Old, 5, at(1s));
  BOOST_TEST(!After.isConfirmed(at(1s)));
}

BOOST_AUTO_TEST_CASE(
    a_fetched_description_confirms_from_the_time_of_the_query) {
  Confirmation Router = makeRouter(5);
  auto Query = sendQuery(Router, at(0s));
  answer(Router, "c1", Query, 6, at(10ms));
  answer(Router, "c2", Query, 6, at(10ms));
  BOOST_TEST(!Router.isConfirmed(at(20ms)));
  Router.step(ConfirmationApplied{{6}}, at(300ms));
  BOOST_TEST((Router.confirmedUntil() == at(2s)));
  // The number never decreases.
  Router.step(ConfirmationApplied{{4}}, at(400ms));
  BOOST_TEST(Router.number().Value == 6u);
}

BOOST_AUTO_TEST_CASE(a_relayed_confirmation_counts_from_its_own_time) {
  Confirmation Router = makeRouter(5);
  Router.step(ConfirmationRelayed{{5}, at(-500ms), {"r2"}}, at(0s));
  BOOST_TEST((Router.confirmedUntil() == at(1500ms)));
  // Neither an older confirmation counts, nor one for a number that this host
  // does not have yet.
  Router.step(ConfirmationRelayed{{5}, at(-900ms), {"r3"}}, at(1ms));
  auto Effects = Router.step(ConfirmationRelayed{{6}, at(0s), {"r3"}}, at(1ms));
  BOOST_TEST((Router.confirmedUntil() == at(1500ms)));
  BOOST_REQUIRE(Effects.size() == 1u);
  BOOST_TEST(std::holds_alternative<FetchDescription>(Effects.front()));
}

BOOST_AUTO_TEST_CASE(no_query_is_sent_after_a_fresh_relayed_confirmation) {
  Confirmation Router({Controls, {5}, 7, QueryPolicy::WhenStale});
  Router.step(ConfirmationRelayed{{5}, at(0s), {"r2"}}, at(0s));
  BOOST_TEST(Router.step(ConfirmationTick{}, at(1s)).empty());
  Timestamp Old = at(Confirmation::MaxRelayAge);
  BOOST_TEST(Router.step(ConfirmationTick{}, Old).size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_newer_number_is_fetched_at_a_limited_rate) {
  Confirmation Router = makeRouter(5);
  size_t Fetches = 0;
  for (int Step = 0; Step < 100; ++Step)
    Fetches += Router.step(ConfirmationNumberSeen{{6}, {"r2"}}, at(Step * 10ms))
                   .size();
  BOOST_TEST(Fetches == 4u);
}

// Voters answer from memory also while they have no leader, and nothing can be
// ordered then.
BOOST_AUTO_TEST_CASE(a_quorum_without_a_leader_is_no_sign_of_work) {
  Confirmation Router = makeRouter(5);
  auto Answer = [&](bool KnowsLeader, Timestamp Now) {
    auto Query = sendQuery(Router, Now);
    for (const char *Id : {"c1", "c2"})
      Router.step(
          ConfirmationAnswered{{Id},
                               answerQuery(Query, {5}, /*Voter=*/true,
                                           /*VoterCount=*/3, KnowsLeader)},
          Now + 10ms);
  };
  Answer(true, at(0s));
  BOOST_TEST((Router.answeredAsOf() == at(0s)));
  Answer(false, at(1s));
  BOOST_TEST((Router.answeredAsOf() == at(0s)));
  BOOST_TEST(Router.isConfirmed(at(2s)));
  Answer(true, at(2s));
  BOOST_TEST((Router.answeredAsOf() == at(2s)));
}

// The number in force lags: a newer one is in all logs and not fetched yet.
BOOST_AUTO_TEST_CASE(a_quorum_with_a_greater_number_is_a_sign_of_work) {
  Confirmation Router = makeRouter(5);
  auto Query = sendQuery(Router, at(0s));
  for (const char *Id : {"c1", "c2"})
    answer(Router, Id, Query, 6, at(10ms));
  BOOST_TEST(!Router.isConfirmed(at(20ms)));
  BOOST_TEST((Router.answeredAsOf() == at(0s)));
}

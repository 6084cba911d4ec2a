// Admission, placement and the contract of the Scheduler: each submitted
// request gets one dispatch per try and at most one refusal, in any order of
// events.
#include "SchedulerFixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>

using namespace ferry;
using namespace ferry::routing;
using namespace ferry::routing::test;

namespace {
struct RefusalCase {
  const char *Name;
  std::function<void(SchedulerFixture &)> Change;
  RefusalKind Expected;
};
} // namespace

// The preconditions of a decision, violated one at a time.
static const RefusalCase RefusalCases[] = {
    {"no description",
     [](SchedulerFixture &F) { F.View.Description = nullptr; },
     RefusalKind::NoDescription},
    {"confirmation passed",
     [](SchedulerFixture &F) { F.View.ConfirmedUntil = F.Now; },
     RefusalKind::Unconfirmed},
    {"own standing unconfirmed",
     [](SchedulerFixture &F) {
       F.View.OwnStanding = HostStanding::Unconfirmed;
     },
     RefusalKind::Unconfirmed},
    {"own standing draining",
     [](SchedulerFixture &F) { F.View.OwnStanding = HostStanding::Draining; },
     RefusalKind::Draining},
    {"workspace removed",
     [](SchedulerFixture &F) { F.Description->Workspaces.clear(); },
     RefusalKind::UnknownWorkspace},
    {"service removed",
     [](SchedulerFixture &F) { F.Description->Services.clear(); },
     RefusalKind::UnknownService},
    {"target leaving",
     [](SchedulerFixture &F) {
       F.View.Targets[0].Phase = TargetPhase::Leaving;
     },
     RefusalKind::NoTarget},
    {"target starting",
     [](SchedulerFixture &F) {
       F.View.Targets[0].Phase = TargetPhase::Starting;
     },
     RefusalKind::NoTarget},
    {"target silent",
     [](SchedulerFixture &F) { F.View.Targets[0].UsableUntil = F.Now; },
     RefusalKind::NoTarget},
    {"older weights",
     [](SchedulerFixture &F) { F.View.Targets[0].Weights = WeightsVersion{2}; },
     RefusalKind::NoTarget},
    {"another adapter",
     [](SchedulerFixture &F) { F.View.Targets[0].Adapter = AdapterId{"a"}; },
     RefusalKind::NoTarget},
};

BOOST_AUTO_TEST_CASE(each_violated_precondition_refuses_at_once_with_its_kind) {
  for (const RefusalCase &Case : RefusalCases) {
    BOOST_TEST_CONTEXT(Case.Name) {
      SchedulerFixture F(1);
      Case.Change(F);
      F.publish();
      RequestId Id = F.prompt({1, 2});
      BOOST_TEST(F.Dispatches.empty());
      BOOST_REQUIRE(F.refusalOf(Id));
      BOOST_TEST(enumName(F.refusalOf(Id)->Kind) == enumName(Case.Expected));
      BOOST_TEST((F.refusalOf(Id)->RetryAt > F.Now));
    }
  }
}

BOOST_AUTO_TEST_CASE(validity_is_checked_by_the_clock_not_by_the_last_view) {
  SchedulerFixture F(1);
  F.View.ConfirmedUntil = F.Now + seconds(2);
  F.View.Targets[0].UsableUntil = F.Now + seconds(1);
  F.publish();
  BOOST_TEST(F.dispatchOf(F.prompt({1})));
  F.Now += seconds(1);
  BOOST_TEST((F.refusalOf(F.prompt({1}))->Kind == RefusalKind::NoTarget));
  F.Now += seconds(1);
  BOOST_TEST((F.refusalOf(F.prompt({1}))->Kind == RefusalKind::Unconfirmed));
}

BOOST_AUTO_TEST_CASE(serve_reads_policy_keeps_an_unconfirmed_router_serving) {
  SchedulerFixture F(1);
  F.Description->WhenUnconfirmed = config::UnconfirmedPolicy::ServeReads;
  F.View.ConfirmedUntil = F.Now;
  F.publish();
  BOOST_TEST(F.dispatchOf(F.prompt({1})));
}

BOOST_AUTO_TEST_CASE(waiting_request_is_refused_when_the_confirmation_ends) {
  SchedulerFixture F(1, 1);
  F.View.ConfirmedUntil = F.Now + seconds(1);
  F.publish();
  RequestId Last;
  for (int Index = 0; Index < 3; ++Index)
    Last = F.call();
  BOOST_TEST(F.Machine.queuedRequests() == 1u);
  F.Now += seconds(1);
  F.step(SchedulerTick{});
  BOOST_REQUIRE(F.refusalOf(Last));
  BOOST_TEST((F.refusalOf(Last)->Kind == RefusalKind::Unconfirmed));
}

BOOST_AUTO_TEST_CASE(plain_calls_go_where_concurrency_is_free) {
  SchedulerFixture F(0, 3);
  std::map<TargetId, int> Counts;
  for (int Index = 0; Index < 6; ++Index)
    ++Counts[F.dispatchOf(F.call())->Target];
  BOOST_TEST(Counts.size() == 3u);
  for (const auto &[Target, Count] : Counts)
    BOOST_TEST(Count == 2);
  RequestId Waiting = F.call();
  BOOST_TEST(!F.dispatchOf(Waiting));
  F.end(F.Dispatches.front().Id);
  BOOST_TEST(F.dispatchOf(Waiting)->Target == F.Dispatches.front().Target);
}

BOOST_AUTO_TEST_CASE(failing_plain_target_is_avoided) {
  SchedulerFixture F(0, 2);
  TargetId Bad{"s0"};
  int Failures = 0;
  for (int Index = 0; Index < 100; ++Index) {
    F.Now += milliseconds(10);
    RequestId Id = F.call();
    if (F.dispatchOf(Id)->Target == Bad) {
      ++Failures;
      F.end(Id, TryOutcome::Failed);
    }
    F.end(Id);
  }
  BOOST_TEST(Failures <= 5);
}

BOOST_AUTO_TEST_CASE(all_routers_place_equal_prompts_on_the_same_engine) {
  std::set<std::string> Used;
  for (uint64_t Block = 1; Block <= 40; ++Block) {
    SchedulerFixture First;
    SchedulerFixture Second;
    std::reverse(Second.View.Targets.begin(), Second.View.Targets.end());
    Second.publish();
    auto Home = First.dispatchOf(First.prompt({Block}))->Target;
    BOOST_TEST(Home == Second.dispatchOf(Second.prompt({Block}))->Target);
    Used.insert(Home.Value);
  }
  BOOST_TEST(Used.size() == 4u);
}

BOOST_AUTO_TEST_CASE(duplicate_id_is_refused_and_the_first_request_goes_on) {
  SchedulerFixture F(1);
  SubmitRequest Event = F.makePrompt({1});
  F.step(Event);
  F.step(Event);
  BOOST_TEST(F.Dispatches.size() == 1u);
  BOOST_TEST((F.Refusals.at(0).Kind == RefusalKind::DuplicateRequest));
  F.end(Event.Id, TryOutcome::Failed);
  BOOST_TEST((F.Refusals.at(1).Kind == RefusalKind::NoTarget));
}

BOOST_AUTO_TEST_CASE(events_of_unknown_requests_are_ignored) {
  SchedulerFixture F;
  F.step(FirstByte{RequestId{"x"}, 100});
  F.end(RequestId{"x"});
  F.step(Withdraw{RequestId{"x"}});
  RequestId Id = F.prompt({1});
  F.end(Id);
  F.end(Id, TryOutcome::Failed);
  BOOST_TEST(F.Dispatches.size() == 1u);
  BOOST_TEST(F.Refusals.empty());
}

BOOST_AUTO_TEST_CASE(withdrawn_request_leaves_the_queue) {
  SchedulerFixture F(0, 1);
  F.call();
  F.call();
  RequestId Withdrawn = F.call();
  RequestId Following = F.call();
  F.step(Withdraw{Withdrawn});
  F.end(F.Dispatches.front().Id);
  BOOST_TEST(!F.dispatchOf(Withdrawn));
  BOOST_TEST(F.dispatchOf(Following));
}

// Random sequences of events, one per seed. A request must get at most one
// refusal, and must not be sent twice to the same target.
BOOST_DATA_TEST_CASE(random_events_keep_the_contract,
                     boost::unit_test::data::xrange(20), Seed) {
  RandomGenerator Random(Seed);
  SchedulerFixture F(5, 3);
  std::vector<RequestId> Ids;
  for (int Round = 0; Round < 2000; ++Round) {
    F.Now += milliseconds(randomBelow(Random, 30));
    uint64_t Choice = randomBelow(Random, 10);
    if (Choice < 4)
      Ids.push_back(F.prompt({randomBelow(Random, 4), 9},
                             "w" + std::to_string(randomBelow(Random, 8))));
    else if (Choice < 5)
      Ids.push_back(F.call());
    else if (Choice < 9 && !Ids.empty())
      F.end(Ids[randomBelow(Random, Ids.size())],
            static_cast<TryOutcome>(randomBelow(Random, 5)));
    else {
      TargetRecord &Target =
          F.View.Targets[randomBelow(Random, F.View.Targets.size())];
      Target.Incarnation.Value += randomBelow(Random, 2);
      Target.Phase = static_cast<TargetPhase>(randomBelow(Random, 3));
      F.publish();
    }
  }
  std::map<RequestId, std::set<TargetId>> Tries;
  for (const Dispatch &Each : F.Dispatches)
    BOOST_TEST(Tries[Each.Id].insert(Each.Target).second);
  std::set<RequestId> Refused;
  for (const Refusal &Each : F.Refusals)
    BOOST_TEST(Refused.insert(Each.Id).second);
}

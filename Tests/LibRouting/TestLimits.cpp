// Limits of the Scheduler: fair shares, the bounded queue, deadlines, the retry
// budget and the concurrency limit of targets. They keep one workspace, a slow
// target or resending callers from taking the capacity of the others.
#include "SchedulerFixture.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

using namespace ferry;
using namespace ferry::routing;
using namespace ferry::routing::test;

namespace {
/// One plain target with two slots; each call runs for 100 ms.
struct BusyFixture : SchedulerFixture {
  std::multimap<Timestamp, RequestId> Running;
  size_t SeenDispatches = 0;
  std::map<std::string, int> Served;
  std::map<RequestId, std::string> Flow;
  std::map<RequestId, Timestamp> Deadlines;

  BusyFixture() : SchedulerFixture(0, 1) {}

  void submit(const std::string &Workspace, Priority Level,
              Timestamp Deadline = NeverExpires) {
    RequestId Id = nextId();
    Flow[Id] = Workspace + (Level == Priority::Batch ? "/batch" : "");
    Deadlines[Id] = Deadline;
    step(SubmitCall{Id, WorkspaceId{Workspace}, App, Level, Deadline});
  }

  void advance() {
    Now += milliseconds(10);
    while (!Running.empty() && Running.begin()->first <= Now) {
      RequestId Id = Running.begin()->second;
      Running.erase(Running.begin());
      Served[Flow[Id]] += Now <= Deadlines[Id];
      end(Id);
    }
    step(SchedulerTick{});
    for (; SeenDispatches < Dispatches.size(); ++SeenDispatches)
      Running.emplace(Now + milliseconds(100), Dispatches[SeenDispatches].Id);
  }
};
} // namespace

BOOST_AUTO_TEST_CASE(one_flooding_workspace_leaves_the_others_their_share) {
  // The capacity is 20 calls per second. Seven workspaces submit 1 call per
  // second each, the eighth 63: nine tenths of the load.
  BusyFixture F;
  for (int Step = 0; Step < 3000; ++Step) {
    for (int Each = 1; Each < 8; ++Each)
      if (Step % 100 == Each)
        F.submit("w" + std::to_string(Each), Priority::Interactive,
                 F.Now + seconds(2));
    if (Step % 16 < 10)
      F.submit("w0", Priority::Interactive, F.Now + seconds(2));
    F.advance();
  }
  for (int Each = 1; Each < 8; ++Each)
    BOOST_TEST(F.Served["w" + std::to_string(Each)] >= 29);
  // The eighth workspace gets the rest of the capacity.
  BOOST_TEST(F.Served["w0"] >= 350);
}

BOOST_AUTO_TEST_CASE(shares_divide_a_backlog) {
  BusyFixture F;
  F.Description->Workspaces[0].Share = 3;
  F.publish();
  for (int Step = 0; Step < 2000; ++Step) {
    F.submit("w0", Priority::Interactive);
    F.submit("w1", Priority::Interactive);
    F.advance();
  }
  double Ratio = F.Served["w0"] / static_cast<double>(F.Served["w1"]);
  BOOST_TEST(Ratio > 2.7);
  BOOST_TEST(Ratio < 3.3);
}

BOOST_AUTO_TEST_CASE(interactive_requests_go_first_and_batch_does_not_starve) {
  BusyFixture F;
  for (int Step = 0; Step < 2000; ++Step) {
    F.submit("w0", Priority::Interactive);
    F.submit("w0", Priority::Batch);
    F.advance();
  }
  BOOST_TEST(F.Served["w0"] > 5 * F.Served["w0/batch"]);
  BOOST_TEST(F.Served["w0/batch"] >= 30);
}

BOOST_AUTO_TEST_CASE(full_queue_admits_a_workspace_below_its_share) {
  BusyFixture F;
  F.Description->Limits.MaxQueued = 20;
  F.publish();
  for (int Index = 0; Index < 100; ++Index)
    F.submit("w0", Priority::Interactive);
  BOOST_TEST(F.Machine.queuedRequests() == 20u);
  BOOST_TEST(F.Refusals.size() == 78u);
  BOOST_TEST((F.Refusals.back().Kind == RefusalKind::QueueFull));
  F.submit("w1", Priority::Interactive);
  BOOST_TEST(F.Machine.queuedRequests() == 20u);
  BOOST_TEST(F.Flow[F.Refusals.back().Id] == "w0");
  BOOST_TEST((F.Refusals.back().Kind == RefusalKind::ShareExceeded));
}

BOOST_AUTO_TEST_CASE(refusal_comes_within_the_step_with_a_later_retry_time) {
  BusyFixture F;
  F.Description->Limits.MaxQueued = 50;
  F.publish();
  for (int Step = 0; Step < 500; ++Step) {
    size_t Before = F.Refusals.size();
    size_t Waiting = F.Machine.queuedRequests();
    F.submit("w0", Priority::Interactive);
    bool Refused = F.Refusals.size() > Before;
    BOOST_TEST((Refused || F.Machine.queuedRequests() == Waiting + 1 ||
                F.Dispatches.back().Id ==
                    RequestId{"q" + std::to_string(F.NextId - 1)}));
    F.advance();
  }
  BOOST_REQUIRE(!F.Refusals.empty());
  // 50 requests wait and 20 leave per second: 2.5 s, lengthened by up to half.
  for (const Refusal &Each : F.Refusals)
    BOOST_TEST((Each.RetryAt > Timestamp{seconds(100)}));
  Duration Last = F.Refusals.back().RetryAt - F.Now;
  BOOST_TEST((Last > milliseconds(1500)));
  BOOST_TEST((Last < milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(deadline_that_cannot_be_met_is_refused_at_submission) {
  BusyFixture F;
  for (int Step = 0; Step < 300; ++Step) {
    F.submit("w0", Priority::Interactive);
    F.advance();
  }
  size_t Before = F.Refusals.size();
  F.submit("w0", Priority::Interactive, F.Now + seconds(1));
  BOOST_REQUIRE(F.Refusals.size() == Before + 1);
  BOOST_TEST((F.Refusals.back().Kind == RefusalKind::DeadlineTooNear));
}

BOOST_AUTO_TEST_CASE(prompt_too_long_for_its_deadline_is_refused) {
  SchedulerFixture F;
  // 80,000 tokens take 4 s at the initial rate.
  SubmitRequest Event = F.makePrompt(std::vector<uint64_t>(40, 1));
  Event.Deadline = F.Now + seconds(1);
  F.step(Event);
  BOOST_REQUIRE(F.refusalOf(Event.Id));
  BOOST_TEST((F.refusalOf(Event.Id)->Kind == RefusalKind::DeadlineTooNear));
}

BOOST_AUTO_TEST_CASE(estimates_that_refuse_all_are_tested_by_a_probe) {
  SchedulerFixture F;
  uint64_t Block = 1;
  auto NewBlocks = [&Block] {
    Block += 5;
    return std::vector<uint64_t>{Block, Block + 1, Block + 2, Block + 3,
                                 Block + 4};
  };
  // From slow answers the router learns that a prompt takes far longer than its
  // deadline.
  for (int Index = 0; Index < 200; ++Index) {
    RequestId Id = F.prompt(NewBlocks());
    F.Now += seconds(20);
    F.step(FirstByte{Id, 0});
    F.end(Id);
  }
  int Dispatched = 0;
  for (int Index = 0; Index < 600; ++Index) {
    F.Now += seconds(1);
    SubmitRequest Event = F.makePrompt(NewBlocks());
    Event.Deadline = F.Now + seconds(5);
    F.step(Event);
    Dispatched += F.dispatchOf(Event.Id) != nullptr;
    F.Now += milliseconds(100);
    F.step(FirstByte{Event.Id, 0});
    F.end(Event.Id);
  }
  BOOST_TEST(F.Refusals.size() > 0u);
  BOOST_TEST(Dispatched > 300);
}

BOOST_AUTO_TEST_CASE(request_waiting_past_its_deadline_is_refused_at_the_tick) {
  BusyFixture F;
  for (int Index = 0; Index < 3; ++Index)
    F.submit("w0", Priority::Interactive, F.Now + milliseconds(50));
  BOOST_TEST(F.Machine.queuedRequests() == 1u);
  F.Now += milliseconds(50);
  F.step(SchedulerTick{});
  BOOST_TEST(F.Machine.queuedRequests() == 0u);
  BOOST_TEST((F.Refusals.at(0).Kind == RefusalKind::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_a_tenth_of_first_tries) {
  SchedulerFixture F(0, 8);
  for (int Index = 0; Index < 1000; ++Index) {
    F.Now += seconds(10);
    RequestId Id = F.call();
    while (!F.refusalOf(Id))
      F.end(Id, TryOutcome::Failed);
  }
  uint64_t Retried = F.Machine.status(F.Now).Counters.Retried;
  BOOST_TEST(Retried <= 100 + RetryBudget::InitialRetries);
  BOOST_TEST(Retried >= 90u);
  BOOST_TEST((F.Refusals.back().Kind == RefusalKind::RetryBudgetSpent));
}

BOOST_AUTO_TEST_CASE(retry_goes_to_an_untried_target_only) {
  SchedulerFixture F(0, 3);
  RequestId Id = F.call();
  std::set<TargetId> Tried;
  for (int Try = 0; Try < 3; ++Try) {
    BOOST_TEST(Tried.insert(F.dispatchOf(Id)->Target).second);
    F.end(Id, TryOutcome::Rejected);
  }
  BOOST_TEST((F.refusalOf(Id)->Kind == RefusalKind::NoTarget));
}

BOOST_AUTO_TEST_CASE(request_that_must_not_repeat_is_not_retried) {
  for (TryOutcome Outcome :
       {TryOutcome::Rejected, TryOutcome::NotSent, TryOutcome::Failed}) {
    SchedulerFixture F(0, 3);
    RequestId Id = F.call();
    F.end(Id, Outcome, TryEnded::Repeat::Forbidden);
    BOOST_TEST(F.Dispatches.size() == 1u);
    BOOST_REQUIRE(F.refusalOf(Id));
    BOOST_TEST((F.refusalOf(Id)->Kind == RefusalKind::RepeatForbidden));
  }
}

BOOST_AUTO_TEST_CASE(limit_shrinks_on_rejections_and_grows_back) {
  SchedulerFixture F(0, 1);
  F.Description->Services[1].MaxConcurrent = 20;
  F.publish();
  for (int Index = 0; Index < 10; ++Index) {
    F.Now += seconds(1);
    F.end(F.call(), TryOutcome::Rejected);
  }
  BOOST_TEST(F.Machine.status(F.Now).Targets.at(0).Limit < 2.0);
  for (int Index = 0; Index < 400; ++Index) {
    F.Now += seconds(1);
    F.end(F.call());
  }
  BOOST_TEST(F.Machine.status(F.Now).Targets.at(0).Limit == 20.0);
}

BOOST_AUTO_TEST_CASE(resends_of_refused_callers_do_not_lower_the_served_load) {
  // Refused callers resend at once and ignore RetryAt.
  auto CountServed = [](int ResendsPerRefusal) {
    BusyFixture F;
    F.Description->Limits.MaxQueued = 40;
    F.publish();
    size_t SeenRefusals = 0;
    for (int Step = 0; Step < 3000; ++Step) {
      F.submit("w" + std::to_string(Step % 8), Priority::Interactive,
               F.Now + seconds(2));
      size_t End = F.Refusals.size();
      for (; SeenRefusals < End; ++SeenRefusals)
        for (int Resend = 0;
             Resend < ResendsPerRefusal && F.Flow.size() < 60'000; ++Resend)
          F.submit(F.Flow[F.Refusals[SeenRefusals].Id], Priority::Interactive,
                   F.Now + seconds(2));
      F.advance();
    }
    int Served = 0;
    for (const auto &[Flow, Count] : F.Served)
      Served += Count;
    return Served;
  };
  int WithoutResends = CountServed(0);
  BOOST_TEST(WithoutResends >= 560);
  BOOST_TEST(CountServed(1) >= WithoutResends * 97 / 100);
}

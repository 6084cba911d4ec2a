/// \file
/// Checks that orders are sent only under a lease and a confirmed description,
/// and that engines reach what the description wants. In the random schedules,
/// two hosts can send orders to one engine or exceed the limit of loads when
/// hosts freeze or are partitioned, or orders and answers are lost or late.
#include "LibControl/ControlWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

const Faults FaultTable[] = {
    {.Name = "none"},
    {.Name = "partition", .Partition = 0.1, .AdapterChange = 3},
    {.Name = "freeze", .Freeze = 0.1, .AdapterChange = 3},
    {.Name = "lost orders and answers", .OrderLost = 0.3, .AnswerLost = 0.3},
    {.Name = "duplicated and slow orders",
     .OrderDuplicated = 0.5,
     .OrderSlow = 0.3},
    {.Name = "cold starts", .ColdStart = 0.05},
    {.Name = "description changes during a rollout", .DescriptionChange = 0.3},
    {.Name = "all faults at once",
     .Partition = 0.08,
     .Freeze = 0.08,
     .ColdStart = 0.03,
     .DescriptionChange = 0.1,
     .AdapterChange = 0.2,
     .OrderLost = 0.1,
     .AnswerLost = 0.1,
     .OrderDuplicated = 0.2,
     .OrderSlow = 0.2}};

} // namespace

/// A view of engines of one service; \p Weights holds what each announces.
static ViewChanged viewOf(Timestamp Now, FencingCheck Fencing,
                          const std::vector<uint64_t> &Weights) {
  auto Described = std::make_shared<config::Description>();
  config::Service Service;
  Service.Id = {"lm"};
  Service.Model = {"m"};
  Service.Weights = {2};
  Described->Services = {Service};
  auto View = std::make_shared<routing::RoutingView>();
  View->Description = Described;
  View->ConfirmedUntil = Now + std::chrono::seconds(2);
  for (uint64_t Announced : Weights) {
    TargetRecord Record;
    Record.Id = {"engine-" + std::to_string(View->Targets.size())};
    Record.Service = {"lm"};
    Record.Model = {"m"};
    // An engine with the wanted weights gets a wrong adapter instead.
    Record.Weights = {Announced};
    Record.Adapter = {Announced == 2 ? "old" : ""};
    Record.Fencing = Fencing;
    Record.UsableUntil = Now + std::chrono::seconds(3);
    View->Targets.push_back(Record);
  }
  return {View};
}

/// \returns the number of slots that are requested for \p Target.
static int loadsIn(const std::vector<ReconcilerEffect> &Effects,
                   const std::string &Target) {
  return static_cast<int>(std::count_if(
      Effects.begin(), Effects.end(), [&](const ReconcilerEffect &Effect) {
        const auto *Begin = std::get_if<BeginLoad>(&Effect);
        return Begin && Begin->Slot.Target.Value == Target;
      }));
}

static int ordersIn(const std::vector<ReconcilerEffect> &Effects) {
  return static_cast<int>(std::count_if(
      Effects.begin(), Effects.end(), [](const ReconcilerEffect &Effect) {
        return std::holds_alternative<SendOrder>(Effect);
      }));
}

namespace {

/// How long the lease and the confirmation last, and how many orders may start.
struct LeaseCase {
  const char *Name;
  FencingCheck Fencing;
  int LeaseMillis;
  int ConfirmedMillis;
  int Engines;
  int Orders;
};

std::ostream &operator<<(std::ostream &Out, const LeaseCase &Case) {
  return Out << Case.Name;
}

constexpr int TimeoutMillis = 1000;

const LeaseCase LeaseTable[] = {
    {"unchecked, lease as long as the order", FencingCheck::Unchecked,
     TimeoutMillis, 2000, 1, 1},
    {"unchecked, lease too short", FencingCheck::Unchecked, TimeoutMillis - 1,
     2000, 1, 0},
    {"checked, short lease", FencingCheck::Checked, 1, 2000, 1, 1},
    {"no lease left", FencingCheck::Checked, 0, 2000, 1, 0},
    {"not confirmed", FencingCheck::Checked, 5000, 0, 1, 0},
    {"one of three engines stays unchanged", FencingCheck::Checked, 5000, 2000,
     3, 2}};

} // namespace

BOOST_DATA_TEST_CASE(orders_start_only_under_a_lease_and_a_confirmation,
                     data::make(LeaseTable)) {
  static_assert(Reconciler::OrderTimeout ==
                std::chrono::milliseconds(TimeoutMillis));
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  auto View =
      viewOf(Now, sample.Fencing, std::vector<uint64_t>(sample.Engines, 2));
  auto Changed = std::make_shared<routing::RoutingView>(*View.View);
  Changed->ConfirmedUntil =
      Now + std::chrono::milliseconds(sample.ConfirmedMillis);
  HostReconciler.step(ViewChanged{Changed}, Now);
  Timestamp Until = Now + std::chrono::milliseconds(sample.LeaseMillis);
  HostReconciler.step(LeaseHeld{{1}, Until}, Now);
  BOOST_TEST(ordersIn(HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now)) ==
             sample.Orders);
}

BOOST_AUTO_TEST_CASE(a_load_waits_for_its_slot) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  HostReconciler.step(viewOf(Now, FencingCheck::Checked, {1, 1, 1, 1}), Now);
  HostReconciler.step(LeaseHeld{{1}, Now + std::chrono::seconds(5)}, Now);
  auto Effects = HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now);
  BOOST_TEST(Effects.size() == 2u);
  BOOST_TEST(ordersIn(Effects) == 0);
  registry::LoadSlot Slot = std::get<BeginLoad>(Effects.at(0)).Slot;
  using Verdict = LoadSlotAnswered::Verdict;
  BOOST_TEST(ordersIn(HostReconciler.step(
                 LoadSlotAnswered{Slot, Verdict::Granted}, Now)) == 1);
}

/// The same as viewOf(), and engines with the wanted weights need no order.
static ViewChanged viewBesideCurrent(Timestamp Now,
                                     const std::vector<uint64_t> &Weights) {
  auto View = std::make_shared<routing::RoutingView>(
      *viewOf(Now, FencingCheck::Checked, Weights).View);
  for (TargetRecord &Target : View->Targets)
    Target.Adapter = {};
  return {View};
}

// Requests of one holder can overtake each other on their way to the log, which
// refuses those that come late. Their engines then had to wait as if the limit
// of loads was reached.
BOOST_AUTO_TEST_CASE(an_overtaken_request_for_a_slot_is_made_again_at_once) {
  Timestamp Now{std::chrono::seconds(100)};
  registry::OrderLeases Log;
  Log.apply(registry::AcquireOrderLease{
      std::string(registry::DeploymentLease), {"a"}, {1}, {}, 0});
  Reconciler HostReconciler;
  HostReconciler.step(viewBesideCurrent(Now, {1, 1, 2}), Now);
  HostReconciler.step(LeaseHeld{{1}, Now + std::chrono::seconds(5)}, Now);
  auto Effects = HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now);
  BOOST_REQUIRE(Effects.size() == 2u);
  auto First = std::get<BeginLoad>(Effects[0]);
  auto Second = std::get<BeginLoad>(Effects[1]);
  auto Ask = [&](const BeginLoad &Asked) {
    return Log.apply(registry::BeginWeightsLoad{Asked.Slot, Asked.MaxLoads});
  };
  BOOST_TEST(std::holds_alternative<registry::LoadGranted>(Ask(Second)));
  BOOST_TEST(std::holds_alternative<registry::LoadStale>(Ask(First)));
  using Verdict = LoadSlotAnswered::Verdict;
  HostReconciler.step(LoadSlotAnswered{Second.Slot, Verdict::Granted}, Now);
  Effects =
      HostReconciler.step(LoadSlotAnswered{First.Slot, Verdict::Stale}, Now);
  BOOST_REQUIRE(Effects.size() == 1u);
  auto Again = std::get<BeginLoad>(Effects[0]);
  BOOST_TEST(std::holds_alternative<registry::LoadGranted>(Ask(Again)));
  BOOST_TEST(Log.loads().size() == 2u);
}

// A target whose requests are stale for another reason is not asked for without
// end.
BOOST_AUTO_TEST_CASE(a_slot_is_requested_again_at_once_only_once) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  HostReconciler.step(viewBesideCurrent(Now, {1, 2}), Now);
  HostReconciler.step(LeaseHeld{{1}, Now + std::chrono::seconds(5)}, Now);
  auto Effects = HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now);
  using Verdict = LoadSlotAnswered::Verdict;
  size_t Requests = 0;
  for (; Requests < 5; ++Requests) {
    auto Begin = std::find_if(Effects.begin(), Effects.end(), [](auto &Item) {
      return std::holds_alternative<BeginLoad>(Item);
    });
    if (Begin == Effects.end())
      break;
    Effects = HostReconciler.step(
        LoadSlotAnswered{std::get<BeginLoad>(*Begin).Slot, Verdict::Stale},
        Now);
  }
  BOOST_TEST(Requests <= 2u);
  BOOST_TEST(
      !HostReconciler.step(Tick{}, Now + Reconciler::RefusalBackoff).empty());
}

// A lost answer to the request for a slot left the slot unused for as long as
// the request may take.
BOOST_AUTO_TEST_CASE(a_load_begins_once_the_log_shows_its_slot) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  HostReconciler.step(viewOf(Now, FencingCheck::Checked, {1, 1, 1, 1}), Now);
  HostReconciler.step(LeaseHeld{{1}, Now + std::chrono::seconds(5)}, Now);
  auto Effects = HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now);
  registry::LoadSlot Slot = std::get<BeginLoad>(Effects.at(0)).Slot;
  BOOST_TEST(ordersIn(HostReconciler.step(ActiveLoadsUpdated{{{Slot}}, {1}},
                                          Now)) == 1);
}

static SendOrder orderOf(const std::vector<ReconcilerEffect> &Effects) {
  for (const ReconcilerEffect &Effect : Effects)
    if (const auto *Sent = std::get_if<SendOrder>(&Effect))
      return *Sent;
  BOOST_FAIL("no order");
  return {};
}

// An order that had waited for a sending thread until its deadline counted as
// one to an unreachable target: its slot was given back, and the target had to
// wait for its next order.
BOOST_AUTO_TEST_CASE(an_order_that_no_thread_took_is_sent_again_at_once) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  HostReconciler.step(viewOf(Now, FencingCheck::Checked, {1, 1, 1, 1}), Now);
  HostReconciler.step(LeaseHeld{{1}, Now + std::chrono::seconds(5)}, Now);
  auto Effects = HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now);
  registry::LoadSlot Slot = std::get<BeginLoad>(Effects.at(0)).Slot;
  using Verdict = LoadSlotAnswered::Verdict;
  SendOrder Sent = orderOf(
      HostReconciler.step(LoadSlotAnswered{Slot, Verdict::Granted}, Now));
  Now = Sent.Deadline;
  Effects = HostReconciler.step(
      OrderEnded{Sent.OrderId, OrderOutcome::NotTaken}, Now);
  BOOST_TEST(Effects.size() == 1u);
  BOOST_TEST(orderOf(Effects).Target == Slot.Target);
  BOOST_TEST((orderOf(Effects).Deadline == Now + Reconciler::OrderTimeout));
  BOOST_TEST(HostReconciler.counts(Now).OrdersFailed == 0u);
}

// The same for the question about a slot of an earlier term, whose target
// counted as unreachable.
BOOST_AUTO_TEST_CASE(a_question_that_no_thread_took_is_asked_again_at_once) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler::Options Options;
  Options.WatchLimit = std::chrono::seconds(4);
  Reconciler HostReconciler(Options);
  HostReconciler.step(viewOf(Now, FencingCheck::Checked, {1, 1, 1, 1}), Now);
  HostReconciler.step(LeaseHeld{{2}, Now + std::chrono::seconds(5)}, Now);
  registry::LoadSlot Slot{{"engine-0"}, {}, {2}, {1}, 1};
  SendOrder Asked =
      orderOf(HostReconciler.step(ActiveLoadsUpdated{{{Slot}}, {2}}, Now));
  BOOST_TEST(std::holds_alternative<ConfirmWeights>(Asked.Order));
  Now = Asked.Deadline;
  SendOrder Again = orderOf(HostReconciler.step(
      OrderEnded{Asked.OrderId, OrderOutcome::NotTaken}, Now));
  BOOST_TEST(std::holds_alternative<ConfirmWeights>(Again.Order));
  BOOST_TEST(Again.Target == Slot.Target);
}

// A holder whose copy of the log was older than its lease took the slots of the
// earlier term for free.
BOOST_AUTO_TEST_CASE(no_load_begins_before_the_slots_are_known) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  HostReconciler.step(viewOf(Now, FencingCheck::Checked, {1, 1, 1, 1}), Now);
  HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now);
  LeaseHeld Lease{{2}, Now + std::chrono::seconds(5)};
  BOOST_TEST(HostReconciler.step(Lease, Now).empty());
  BOOST_TEST(HostReconciler.step(ActiveLoadsUpdated{{}, {1}}, Now).empty());
  BOOST_TEST(HostReconciler.step(ActiveLoadsUpdated{{}, {2}}, Now).size() ==
             2u);
}

// A new holder ordered the second engine of a service of two while the first
// one still loaded under the earlier holder's order, so that none was left to
// serve.
BOOST_AUTO_TEST_CASE(
    a_load_of_an_earlier_term_keeps_the_other_engine_unchanged) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler({.WatchLimit = 4s});
  auto View = viewOf(Now, FencingCheck::Checked, {1, 1});
  HostReconciler.step(View, Now);
  HostReconciler.step(LeaseHeld{{2}, Now + 5s}, Now);
  registry::LoadSlot Slot{{"engine-0"}, {}, {2}, {1}, 1};
  BOOST_TEST(
      loadsIn(HostReconciler.step(ActiveLoadsUpdated{{{Slot}}, {2}}, Now),
              "engine-1") == 0);
  // The earlier term's load has ended.
  auto Ended = std::make_shared<routing::RoutingView>(*View.View);
  Ended->Targets[0].Weights = {2};
  HostReconciler.step(ViewChanged{Ended}, Now);
  BOOST_TEST(loadsIn(HostReconciler.step(ActiveLoadsUpdated{{}, {2}}, Now),
                     "engine-1") == 1);
}

// Two engines with slots of an earlier term must not wait for each other.
BOOST_AUTO_TEST_CASE(engines_that_both_have_slots_do_not_wait_for_each_other) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler HostReconciler;
  HostReconciler.step(viewOf(Now, FencingCheck::Checked, {1, 1}), Now);
  HostReconciler.step(LeaseHeld{{2}, Now + 5s}, Now);
  std::vector<registry::ActiveLoad> Active{
      {registry::LoadSlot{{"engine-0"}, {}, {2}, {1}, 1}},
      {registry::LoadSlot{{"engine-1"}, {}, {2}, {1}, 2}}};
  auto Effects = HostReconciler.step(ActiveLoadsUpdated{Active, {2}}, Now);
  BOOST_TEST(loadsIn(Effects, "engine-0") == 1);
}

BOOST_DATA_TEST_CASE(orders_never_overlap_and_engines_reach_the_description,
                     data::make(FaultTable)) {
  uint32_t Takeovers = 0;
  for (uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      ControlWorld World(Seed, sample);
      World.run(std::chrono::seconds(120), true);
      World.run(std::chrono::seconds(120), false);
      BOOST_TEST(World.converged());
      BOOST_TEST(World.Overlaps == 0u);
      BOOST_TEST(World.StaleOrdersTaken == 0u);
      BOOST_TEST(World.ExcessLoads == 0u);
      BOOST_TEST(World.OrdersSent >= 6u);
      Takeovers += World.Takeovers;
    }
  }
  // Makes sure that leases of two hosts followed each other under faults.
  if (sample.Partition > 0 || sample.Freeze > 0)
    BOOST_TEST(Takeovers > 2 * seedCount());
}

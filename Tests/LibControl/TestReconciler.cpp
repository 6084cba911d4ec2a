#include "LibControl/ControlWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ferry;
using namespace ferry::control;
namespace data = boost::unit_test::data;

namespace {

const Faults FaultTable[] = {
    {.Name = "none"},
    {.Name = "cut", .Cut = 0.1, .AdapterChange = 3},
    {.Name = "freeze", .Freeze = 0.1, .AdapterChange = 3},
    {.Name = "lost orders and answers", .OrderLost = 0.3, .AnswerLost = 0.3},
    {.Name = "doubled and slow orders", .OrderDoubled = 0.5, .OrderSlow = 0.3},
    {.Name = "cold starts", .ColdStart = 0.05},
    {.Name = "changes in mid-rollout", .DescriptionChange = 0.3},
    {.Name = "all at once",
     .Cut = 0.08,
     .Freeze = 0.08,
     .ColdStart = 0.03,
     .DescriptionChange = 0.1,
     .AdapterChange = 0.2,
     .OrderLost = 0.1,
     .AnswerLost = 0.1,
     .OrderDoubled = 0.2,
     .OrderSlow = 0.2}};

} // namespace

/// A view of engines of one service; \p Weights holds what each announces.
static ViewChanged viewOf(Timestamp Now, FencingCheck Fencing,
                          const std::vector<uint64_t> &Weights) {
  auto Text = std::make_shared<config::Description>();
  config::Service Service;
  Service.Id = {"lm"};
  Service.Model = {"m"};
  Service.Weights = {2};
  Text->Services = {Service};
  auto View = std::make_shared<routing::RoutingView>();
  View->Description = Text;
  View->ConfirmedUntil = Now + std::chrono::seconds(2);
  for (uint64_t Announced : Weights) {
    TargetRecord Record;
    Record.Id = {"engine-" + std::to_string(View->Targets.size())};
    Record.Service = {"lm"};
    Record.Model = {"m"};
    // With the right weights, the adapter is what is wrong.
    Record.Weights = {Announced};
    Record.Adapter = {Announced == 2 ? "old" : ""};
    Record.Fencing = Fencing;
    Record.UsableUntil = Now + std::chrono::seconds(3);
    View->Targets.push_back(Record);
  }
  return {View};
}

static int ordersIn(const std::vector<ReconcilerEffect> &Effects) {
  return static_cast<int>(std::count_if(
      Effects.begin(), Effects.end(), [](const ReconcilerEffect &Effect) {
        return std::holds_alternative<SendOrder>(Effect);
      }));
}

namespace {

/// How long lease and confirmation last, and how many orders may start.
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
    {"unchecked, outlived", FencingCheck::Unchecked, TimeoutMillis, 2000, 1, 1},
    {"unchecked, too short", FencingCheck::Unchecked, TimeoutMillis - 1, 2000,
     1, 0},
    {"checked, short", FencingCheck::Checked, 1, 2000, 1, 1},
    {"no lease left", FencingCheck::Checked, 0, 2000, 1, 0},
    {"not confirmed", FencingCheck::Checked, 5000, 0, 1, 0},
    {"one of three is left alone", FencingCheck::Checked, 5000, 2000, 3, 2}};

} // namespace

BOOST_DATA_TEST_CASE(orders_start_only_under_a_lease_and_a_confirmation,
                     data::make(LeaseTable)) {
  static_assert(Reconciler::OrderTimeout ==
                std::chrono::milliseconds(TimeoutMillis));
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler Decider;
  auto View =
      viewOf(Now, sample.Fencing, std::vector<uint64_t>(sample.Engines, 2));
  auto Changed = std::make_shared<routing::RoutingView>(*View.View);
  Changed->ConfirmedUntil =
      Now + std::chrono::milliseconds(sample.ConfirmedMillis);
  Decider.step(ViewChanged{Changed}, Now);
  Timestamp Until = Now + std::chrono::milliseconds(sample.LeaseMillis);
  BOOST_TEST(ordersIn(Decider.step(LeaseHeld{{1}, Until}, Now)) ==
             sample.Orders);
}

BOOST_AUTO_TEST_CASE(a_load_waits_for_its_slot) {
  Timestamp Now{std::chrono::seconds(100)};
  Reconciler Decider;
  Decider.step(viewOf(Now, FencingCheck::Checked, {1, 1, 1, 1}), Now);
  auto Asked = Decider.step(LeaseHeld{{1}, Now + std::chrono::seconds(5)}, Now);
  BOOST_TEST(Asked.size() == 2u);
  BOOST_TEST(ordersIn(Asked) == 0);
  registry::LoadSlot Slot = std::get<BeginLoad>(Asked.at(0)).Slot;
  using Verdict = LoadSlotAnswered::Verdict;
  BOOST_TEST(ordersIn(Decider.step(LoadSlotAnswered{Slot, Verdict::Granted},
                                   Now)) == 1);
}

/// FERRY_LONG_SEEDS asks for a longer run by hand.
static uint64_t seedCount() {
  const char *Asked = std::getenv("FERRY_LONG_SEEDS");
  return Asked ? std::strtoull(Asked, nullptr, 10) : 25;
}

BOOST_DATA_TEST_CASE(orders_stay_safe_and_make_the_description_true,
                     data::make(FaultTable)) {
  uint32_t Takeovers = 0;
  for (uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      ControlWorld World(Seed, sample);
      World.run(std::chrono::seconds(120), true);
      World.run(std::chrono::seconds(120), false);
      BOOST_TEST(World.converged());
      BOOST_TEST(World.Overlaps == 0u);
      BOOST_TEST(World.Regressions == 0u);
      BOOST_TEST(World.ExcessLoads == 0u);
      BOOST_TEST(World.OrdersSent >= 6u);
      Takeovers += World.Takeovers;
    }
  }
  // Otherwise the faults would not have crossed two givers at all.
  if (sample.Cut > 0 || sample.Freeze > 0)
    BOOST_TEST(Takeovers > 2 * seedCount());
}

// Placement of prompts that share parts, by the load patterns it answers.
#include "LibRouting/PromptPlacement.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

namespace {

const ServiceId Lm{"lm"};
const ModelId Model{"m0"};
constexpr Duration Trust = 30s;

/// A deployment of engines in virtual time, with any number of routers.
class Engines {
public:
  explicit Engines(size_t Count, bool WithStore = false) {
    config::RouteTable::Parts Parts;
    Parts.Number = {1};
    config::RoutedService Service;
    Service.Id = Lm;
    Service.Engine =
        config::EngineCapacity{64, 180'000, 18'432, 370'000, {Model}};
    Parts.Services.push_back(Service);
    if (WithStore) {
      config::RoutedService Store;
      Store.Id = {"store"};
      Store.Store =
          config::CacheStorePlace{"10.9.0.1:80", {"dc"}, 2'900'000, 31'000};
      Parts.Services.push_back(Store);
    }
    View.Routes = config::RouteTable::create(std::move(Parts));
    for (size_t Index = 0; Index < Count; ++Index) {
      TargetRecord Record;
      Record.Id = {"e" + std::to_string(Index)};
      Record.Incarnation = {1};
      Record.Address = "10.0.0." + std::to_string(Index) + ":80";
      Record.DataCentre = {"dc"};
      Record.Service = Lm;
      Record.Model = Model;
      Record.Weights = {1};
      Record.Phase = TargetPhase::Ready;
      Record.Sequence = 1;
      Record.UsableUntil = Now + Trust;
      View.Targets.push_back(Record);
    }
  }

  PromptPlacement router(uint64_t Seed = 1) {
    PromptPlacement::Options Options;
    Options.Seed = Seed;
    Options.Trust = Trust;
    PromptPlacement Made(Options);
    Made.applyView(std::make_shared<const RoutingView>(View), Now);
    return Made;
  }

  PromptCall call(uint64_t Part, uint32_t Shared = 13'300,
                  uint32_t Own = 3'700) const {
    PromptCall Call;
    Call.Service = Lm;
    Call.Parts = {{Part, Shared}, {Part * 1000 + Fresh++, Own}};
    Call.PromptTokens = Shared + Own;
    Call.OutputTokens = 30;
    Call.Deadline = Now + 12s;
    return Call;
  }

  RoutingView View;
  Timestamp Now{1000s};
  mutable uint64_t Fresh = 1;
};

PlacedCall placed(std::variant<PlacedCall, TurnedAway> Outcome) {
  BOOST_REQUIRE(std::holds_alternative<PlacedCall>(Outcome));
  return std::get<PlacedCall>(Outcome);
}

/// Runs a request that was sent at \p Now to its end, as it was estimated.
void serve(PromptPlacement &Router, const PlacedCall &Placed, Timestamp Now) {
  Router.firstByte(Placed.Ticket, Now + Placed.Estimate);
  Router.ended(Placed.Ticket, CallEnd::Served, Now + Placed.Estimate);
}

} // namespace

BOOST_AUTO_TEST_CASE(routers_that_know_nothing_choose_the_same_home) {
  Engines World(12);
  std::set<std::string> Homes;
  for (uint64_t Seed = 1; Seed <= 9; ++Seed) {
    PromptPlacement Router = World.router(Seed);
    Homes.insert(placed(Router.place(World.call(7), World.Now)).Target.Value);
  }
  BOOST_TEST(Homes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_part_that_was_read_is_used_again) {
  Engines World(12);
  PromptPlacement Router = World.router();
  PlacedCall First = placed(Router.place(World.call(7), World.Now));
  serve(Router, First, World.Now);
  World.Now += 2s;
  PlacedCall Second = placed(Router.place(World.call(7), World.Now));
  BOOST_TEST(Second.Target == First.Target);
  BOOST_TEST(Second.CachedTokens == 13'300U);
  BOOST_TEST(Second.FetchFrom == "");
}

// The load pattern: one hot prompt, asked for at all routers at once. Each
// router alone would send all of it to its home; the digests spread it, and the
// others fetch the part from where it was read.
BOOST_AUTO_TEST_CASE(a_hot_part_spreads_and_is_fetched) {
  Engines World(12);
  PromptPlacement Left = World.router(1);
  PromptPlacement Right = World.router(2);
  PlacedCall First = placed(Left.place(World.call(7), World.Now));
  serve(Left, First, World.Now);
  World.Now += 400ms;
  std::vector<PlacedCall> Burst;
  for (int Count = 0; Count < 8; ++Count)
    Burst.push_back(placed(Left.place(World.call(7), World.Now)));
  Right.takeDigest({"left"}, Left.makeDigest(), World.Now + 40ms);
  PlacedCall Elsewhere = placed(Right.place(World.call(7), World.Now + 41ms));
  BOOST_TEST(Elsewhere.Target != First.Target);
  BOOST_TEST(Elsewhere.FetchFrom == First.Address);
  BOOST_TEST(Elsewhere.CachedTokens == 13'300U);
  // A fetch costs a small part of reading the shared part again.
  BOOST_TEST(Elsewhere.Estimate.count() < Duration(150ms).count());
}

// The load pattern: long prompts at several routers. Without the others' work,
// two routers choose the same idle engine.
BOOST_AUTO_TEST_CASE(work_of_other_routers_counts) {
  Engines World(2);
  PromptPlacement Left = World.router(1);
  PromptPlacement Right = World.router(2);
  PlacedCall Long = placed(Left.place(World.call(7, 30'000), World.Now));
  Right.takeDigest({"left"}, Left.makeDigest(), World.Now);
  for (int Count = 0; Count < 5; ++Count) {
    PlacedCall Short =
        placed(Right.place(World.call(100 + Count, 50, 250), World.Now));
    BOOST_TEST(Short.Target != Long.Target);
    serve(Right, Short, World.Now);
  }
  // What was told is void once its router has fallen silent.
  World.Now += 5s;
  Right.takeDigest({"third"}, {}, World.Now);
  std::set<std::string> Used;
  for (int Count = 0; Count < 20; ++Count)
    Used.insert(placed(Right.place(World.call(200 + Count, 50, 250), World.Now))
                    .Target.Value);
  BOOST_TEST(Used.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_engine_that_loads_weights_gets_nothing) {
  Engines World(4);
  PromptPlacement Router = World.router();
  PlacedCall Home = placed(Router.place(World.call(7), World.Now));
  serve(Router, Home, World.Now);
  Router.engineChanged({Home.Target, {1}, {2}, true}, World.Now);
  BOOST_TEST(placed(Router.place(World.call(7), World.Now)).Target !=
             Home.Target);
  // Once loaded, it has the new weights and none of its parts.
  Router.engineChanged({Home.Target, {1}, {2}, false}, World.Now);
  World.Now += 10ms;
  Router.weightsNamed({Model, {2}, World.Now - 3s}, World.Now);
  PlacedCall Again = placed(Router.place(World.call(7), World.Now));
  BOOST_TEST(Again.Target == Home.Target);
  BOOST_TEST(Again.Weights.Value == 2U);
  BOOST_TEST(Again.CachedTokens == 0U);
  BOOST_TEST(Again.FetchFrom == "");
}

BOOST_AUTO_TEST_CASE(a_message_about_an_earlier_life_changes_nothing) {
  Engines World(2);
  PromptPlacement Router = World.router();
  Router.engineChanged({{"e0"}, {0}, {9}, true}, World.Now);
  Router.engineChanged({{"e1"}, {0}, {9}, true}, World.Now);
  BOOST_TEST(Router.status(World.Now).Usable == 2U);
}

// The load pattern: weights named every few seconds. No request may begin on
// overtaken weights after the deadline, also if nothing else is left.
BOOST_AUTO_TEST_CASE(no_request_begins_on_overtaken_weights_past_the_deadline) {
  Engines World(3);
  World.View.Targets[2].Weights = {2};
  PromptPlacement Router = World.router();
  auto Pass = [&](Duration Span) {
    for (Timestamp End = World.Now + Span; World.Now < End; World.Now += 500ms)
      Router.weightsNamed({Model, {2}, World.Now}, World.Now);
  };
  Pass(11500ms);
  for (int Count = 0; Count < 6; ++Count)
    BOOST_TEST(
        placed(Router.place(World.call(Count), World.Now)).Target.Value ==
        "e2");
  Router.weightsNamed({Model, {3}, World.Now}, World.Now);
  // The newest engine is overtaken too, but not for long.
  BOOST_TEST(placed(Router.place(World.call(99), World.Now)).Target.Value ==
             "e2");
  Pass(11500ms);
  BOOST_TEST(std::holds_alternative<TurnedAway>(
      Router.place(World.call(99), World.Now)));
}

// A router that is restarted between the naming and the deadline.
BOOST_AUTO_TEST_CASE(a_restarted_router_keeps_the_deadline_of_weights) {
  Engines World(3);
  PromptPlacement Router = World.router();
  Router.weightsNamed({Model, {2}, World.Now - 11500ms}, World.Now);
  BOOST_TEST(std::holds_alternative<TurnedAway>(
      Router.place(World.call(1), World.Now)));
}

// Such a router is told all names, the oldest first: the first that overtook an
// engine counts, not the newest.
BOOST_AUTO_TEST_CASE(the_first_newer_weights_start_the_deadline) {
  Engines World(3);
  PromptPlacement Router = World.router();
  Router.weightsNamed({Model, {2}, World.Now - 11500ms}, World.Now);
  Router.weightsNamed({Model, {3}, World.Now - 2s}, World.Now);
  BOOST_TEST(std::holds_alternative<TurnedAway>(
      Router.place(World.call(1), World.Now)));
}

// The control hosts are lost after weights were named: engines serve on, and
// the time counts from the moment when orders can be given again.
BOOST_AUTO_TEST_CASE(overtaken_weights_serve_while_nobody_gives_orders) {
  Engines World(3);
  PromptPlacement Router = World.router();
  Router.weightsNamed({Model, {2}, World.Now}, World.Now);
  World.Now += 15s;
  placed(Router.place(World.call(1), World.Now));
  for (int Count = 0; Count < 10; ++Count, World.Now += 1s)
    Router.weightsNamed({Model, {2}, World.Now - 15s}, World.Now);
  placed(Router.place(World.call(2), World.Now));
  for (int Count = 0; Count < 3; ++Count, World.Now += 500ms)
    Router.weightsNamed({Model, {2}, World.Now - 25s}, World.Now);
  BOOST_TEST(std::holds_alternative<TurnedAway>(
      Router.place(World.call(3), World.Now)));
}

BOOST_AUTO_TEST_CASE(an_engine_out_of_reach_is_passed_over_and_tried_again) {
  Engines World(4);
  PromptPlacement Router = World.router();
  PlacedCall Home = placed(Router.place(World.call(7), World.Now));
  Router.ended(Home.Ticket, CallEnd::Unreachable, World.Now);
  BOOST_TEST(placed(Router.place(World.call(7), World.Now)).Target !=
             Home.Target);
  World.Now += 10s;
  for (TargetRecord &Record : World.View.Targets)
    Record.UsableUntil = World.Now + Trust;
  Router.applyView(std::make_shared<const RoutingView>(World.View), World.Now);
  BOOST_TEST(Router.status(World.Now).Usable == 4U);
}

// The load pattern: the control hosts are lost, and all announcements stop.
BOOST_AUTO_TEST_CASE(engines_are_used_when_all_announcements_stop) {
  Engines World(4);
  PromptPlacement Router = World.router();
  World.Now += 15s;
  BOOST_TEST(Router.status(World.Now).Usable == 0U);
  placed(Router.place(World.call(7), World.Now));
}

BOOST_AUTO_TEST_CASE(a_silent_engine_is_passed_over_while_others_announce) {
  Engines World(4);
  World.Now += 15s;
  for (size_t Index = 1; Index < 4; ++Index)
    World.View.Targets[Index].UsableUntil = World.Now + Trust;
  PromptPlacement Router = World.router();
  for (uint64_t Part = 0; Part < 30; ++Part) {
    PlacedCall Placed = placed(Router.place(World.call(Part), World.Now));
    BOOST_TEST(Placed.Target.Value != "e0");
    serve(Router, Placed, World.Now);
  }
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_twice_to_one_target) {
  Engines World(2);
  PromptPlacement Router = World.router();
  PromptCall Call = World.call(7);
  for (int Count = 0; Count < 2; ++Count) {
    PlacedCall Placed = placed(Router.place(Call, World.Now));
    Call.Tried.push_back(Placed.Target);
    Router.ended(Placed.Ticket, CallEnd::NotRun, World.Now);
  }
  auto Outcome = Router.place(Call, World.Now);
  BOOST_REQUIRE(std::holds_alternative<TurnedAway>(Outcome));
  BOOST_TEST(
      (std::get<TurnedAway>(Outcome).Reason == TurnAwayReason::NoneUsable));
  BOOST_TEST((std::get<TurnedAway>(Outcome).RetryAt > World.Now));
}

// The load pattern: more parts than the engines hold. A part that is read for
// the second time is saved, and the third time it comes from the store.
BOOST_AUTO_TEST_CASE(a_part_that_was_evicted_comes_from_the_store) {
  Engines World(2, /*WithStore=*/true);
  PromptPlacement Router = World.router();
  uint64_t Other = 1000;
  auto Evict = [&] {
    for (int Count = 0; Count < 40; ++Count) {
      PromptCall Filler = World.call(Other++);
      serve(Router, placed(Router.place(Filler, World.Now)), World.Now);
    }
  };
  PlacedCall First = placed(Router.place(World.call(7), World.Now));
  BOOST_TEST(First.SaveTo == "");
  serve(Router, First, World.Now);
  Evict();
  serve(Router, placed(Router.place(World.call(8), World.Now)), World.Now);
  Evict();
  for (uint64_t Part : {7, 8}) {
    PlacedCall Second = placed(Router.place(World.call(Part), World.Now));
    BOOST_TEST(Second.SaveTo == "10.9.0.1:80");
    serve(Router, Second, World.Now);
  }
  Evict();
  PlacedCall Third = placed(Router.place(World.call(7), World.Now));
  BOOST_TEST(Third.FetchFrom == "10.9.0.1:80");
  BOOST_TEST(Third.SaveTo == "");
  // The store was lost: the time was not spared, and it is left alone.
  Router.firstByte(Third.Ticket, World.Now + 900ms);
  Router.ended(Third.Ticket, CallEnd::Served, World.Now + 900ms);
  PlacedCall Fourth = placed(Router.place(World.call(8), World.Now + 1s));
  BOOST_TEST(Fourth.FetchFrom == "");
}

BOOST_AUTO_TEST_CASE(isolated_workspaces_share_nothing) {
  Engines World(2);
  PromptPlacement Router = World.router();
  PlacedCall First = placed(Router.place(World.call(7), World.Now));
  serve(Router, First, World.Now);
  PromptCall Walled = World.call(7);
  Walled.CacheScope = 99;
  PlacedCall Second = placed(Router.place(Walled, World.Now));
  BOOST_TEST(Second.CachedTokens == 0U);
  BOOST_TEST(Second.FetchFrom == "");
}

BOOST_AUTO_TEST_CASE(what_cannot_begin_in_time_is_turned_away_at_once) {
  Engines World(1);
  PromptPlacement Router = World.router();
  for (uint64_t Part = 0; Part < 40; ++Part)
    (void)Router.place(World.call(Part), World.Now);
  PromptCall Late = World.call(99);
  Late.Deadline = World.Now + 2s;
  auto Outcome = Router.place(Late, World.Now);
  BOOST_REQUIRE(std::holds_alternative<TurnedAway>(Outcome));
  BOOST_TEST((std::get<TurnedAway>(Outcome).Reason ==
              TurnAwayReason::DeadlineTooNear));
}

// The load pattern: more prompts than the engines can read. Those that would
// wait too long are turned away at once, whatever their size, and short prompts
// still get in: engines read them first.
BOOST_AUTO_TEST_CASE(at_overload_the_wait_is_bounded_and_short_prompts_pass) {
  Engines World(2);
  PromptPlacement Router = World.router();
  auto Long = [&](uint64_t Part, uint32_t Own) {
    PromptCall Call = World.call(Part, 13'300, Own);
    Call.TargetBy = World.Now + 800ms;
    return Router.place(Call, World.Now);
  };
  int Taken = 0;
  std::variant<PlacedCall, TurnedAway> Outcome = Long(0, 3'700);
  for (uint64_t Part = 1; std::holds_alternative<PlacedCall>(Outcome); ++Part) {
    ++Taken;
    BOOST_REQUIRE(Taken < 50);
    Outcome = Long(Part, 3'700);
  }
  // Two engines read some two of these prompts each in the time.
  BOOST_TEST(Taken >= 4);
  BOOST_TEST(Taken <= 8);
  BOOST_TEST((std::get<TurnedAway>(Outcome).Reason == TurnAwayReason::Full));
  BOOST_TEST((std::get<TurnedAway>(Outcome).RetryAt > World.Now));
  // A larger one would wait no longer.
  BOOST_TEST(std::holds_alternative<TurnedAway>(Long(98, 30'000)));
  PromptCall Short = World.call(99, 90, 290);
  Short.TargetBy = World.Now + 500ms;
  BOOST_TEST(
      std::holds_alternative<PlacedCall>(Router.place(Short, World.Now)));
}

BOOST_AUTO_TEST_CASE(a_prompt_that_is_long_itself_is_taken_by_an_idle_engine) {
  Engines World(2);
  PromptPlacement Router = World.router();
  PromptCall Call = World.call(1, 39'000, 53'000);
  Call.TargetBy = World.Now + 800ms;
  BOOST_TEST(std::holds_alternative<PlacedCall>(Router.place(Call, World.Now)));
}

// Engines that read at a third of the rate assumed at the start.
BOOST_AUTO_TEST_CASE(the_rate_of_reading_is_learnt) {
  Engines World(12);
  PromptPlacement Router = World.router();
  Duration Last = {};
  for (uint64_t Part = 0; Part < 60; ++Part) {
    World.Now += 5s;
    for (TargetRecord &Record : World.View.Targets)
      Record.UsableUntil = World.Now + Trust;
    Router.applyView(std::make_shared<const RoutingView>(World.View),
                     World.Now);
    PlacedCall Placed = placed(Router.place(World.call(Part), World.Now));
    Last = Placed.Estimate;
    Router.firstByte(Placed.Ticket, World.Now + 1070ms);
    Router.ended(Placed.Ticket, CallEnd::Served, World.Now + 1070ms);
  }
  BOOST_TEST(Last.count() > Duration(900ms).count());
  BOOST_TEST(Last.count() < Duration(1250ms).count());
}

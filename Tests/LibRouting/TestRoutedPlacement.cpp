// Placement on the routed interface, tested by load patterns: hot prompts, load
// from several routers, changes of weights, lost hosts and overload.
#include "LibCore/Random.h"
#include "LibRouting/RoutedDeployment.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(routers_that_know_nothing_choose_the_same_home) {
  TestDeployment Deployment(12);
  std::set<std::string> Homes;
  for (uint64_t Seed = 1; Seed <= 9; ++Seed) {
    RoutedPlacement Router = Deployment.router(Seed);
    Homes.insert(expectPlaced(Router.place(Deployment.call(7), Deployment.Now))
                     .Target.Value);
  }
  BOOST_TEST(Homes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_part_that_was_read_is_used_again) {
  TestDeployment Deployment(12);
  RoutedPlacement Router = Deployment.router();
  PlacedCall First =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  serve(Router, First, Deployment.Now);
  Deployment.Now += 2s;
  PlacedCall Second =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  BOOST_TEST(Second.Target == First.Target);
  BOOST_TEST(Second.CachedTokens == 13'300U);
  BOOST_TEST(Second.FetchFrom == "");
}

// Load pattern: requests with one hot part arrive at all routers at once.
// Without digests every router would send all of them to the same engine. With
// digests they spread, and the other engines fetch the part from the one that
// read it.
BOOST_AUTO_TEST_CASE(a_hot_part_spreads_and_is_fetched) {
  TestDeployment Deployment(12);
  RoutedPlacement Left = Deployment.router(1);
  RoutedPlacement Right = Deployment.router(2);
  PlacedCall First =
      expectPlaced(Left.place(Deployment.call(7), Deployment.Now));
  serve(Left, First, Deployment.Now);
  Deployment.Now += 400ms;
  std::vector<PlacedCall> Burst;
  for (int Count = 0; Count < 8; ++Count)
    Burst.push_back(
        expectPlaced(Left.place(Deployment.call(7), Deployment.Now)));
  Right.applyDigest({"left"}, Left.makeDigest(), Deployment.Now + 40ms);
  PlacedCall Elsewhere =
      expectPlaced(Right.place(Deployment.call(7), Deployment.Now + 41ms));
  BOOST_TEST(Elsewhere.Target != First.Target);
  BOOST_TEST(Elsewhere.FetchFrom == First.Address);
  BOOST_TEST(Elsewhere.CachedTokens == 13'300U);
  // A fetch takes a fraction of the time to read the shared part again.
  BOOST_TEST(Elsewhere.Estimate.count() < Duration(150ms).count());
}

// Load pattern: many routers send short prompts on many subjects. A part is too
// small to be worth a message between routers, but reading it at each engine
// would cost more than all own tokens.
BOOST_AUTO_TEST_CASE(routers_that_exchange_nothing_read_a_shared_part_once) {
  constexpr uint32_t LeadTokens = 340;
  constexpr uint32_t SubjectTokens = 230;
  constexpr uint64_t LeadCount = 5;
  constexpr uint64_t SubjectCount = 50;
  TestDeployment Deployment(12);
  std::vector<RoutedPlacement> Routers;
  for (uint64_t Seed = 1; Seed <= 9; ++Seed)
    Routers.push_back(Deployment.router(Seed));
  std::map<std::string, std::string> IdByAddress;
  for (const TargetRecord &Record : Deployment.View.Targets)
    IdByAddress[Record.Address] = Record.Id.Value;
  std::map<std::string, std::set<uint64_t>> CachedAt;
  std::set<uint64_t> ReadOnce;
  uint32_t LeadTokensReadAgain = 0;
  uint32_t SubjectTokensReadAgain = 0;
  // Three requests for each engine are in progress.
  std::vector<std::pair<RoutedPlacement *, PlacedCall>> Running;
  RandomGenerator Random(5);
  for (int Count = 0; Count < 3000; ++Count) {
    uint64_t Subject = randomBelow(Random, SubjectCount);
    uint64_t Lead = 1000 + Subject % LeadCount;
    RoutedCall Call;
    Call.Service = Lm;
    Call.Parts = {{Lead, LeadTokens},
                  {Subject, SubjectTokens},
                  {100'000 + static_cast<uint64_t>(Count), 1200}};
    Call.PromptTokens = 1770;
    Call.Deadline = Deployment.Now + 3s;
    RoutedPlacement &Router = Routers[randomBelow(Random, Routers.size())];
    PlacedCall Placed = expectPlaced(Router.place(Call, Deployment.Now));
    std::set<uint64_t> &Cached = CachedAt[Placed.Target.Value];
    std::set<uint64_t> &Source = CachedAt[IdByAddress[Placed.FetchFrom]];
    for (uint64_t Part : {Lead, Subject}) {
      bool IsRead = !Cached.insert(Part).second || Source.count(Part) != 0;
      if (!IsRead && !ReadOnce.insert(Part).second)
        (Part == Lead ? LeadTokensReadAgain : SubjectTokensReadAgain) +=
            Part == Lead ? LeadTokens : SubjectTokens;
    }
    Running.emplace_back(&Router, Placed);
    if (Running.size() < 36)
      continue;
    for (auto &[Sender, Sent] : Running)
      serve(*Sender, Sent, Deployment.Now);
    Running.clear();
    Deployment.Now += 200ms;
    for (RoutedPlacement &Each : Routers)
      Deployment.announceTo(Each);
  }
  // No subject is read twice. A lead may be read by the engines that are the
  // first of their routers to get it.
  BOOST_TEST(SubjectTokensReadAgain == 0U);
  BOOST_TEST(LeadTokensReadAgain <= LeadTokens * LeadCount * (12 - 1));
}

// Load pattern: long prefixes that begin with a small part. Routers that were
// told of the large part alone would count on none of it, and refuse requests
// under load that engines could take.
BOOST_AUTO_TEST_CASE(a_prefix_with_a_small_lead_is_known_to_other_routers) {
  TestDeployment Deployment(4);
  RoutedPlacement Left = Deployment.router(1);
  RoutedPlacement Right = Deployment.router(2);
  RoutedCall Call = Deployment.call(7);
  Call.Parts = {{1, 400}, {2, 4870}, {3, 6600}};
  Call.PromptTokens = 11'870;
  PlacedCall First = expectPlaced(Left.place(Call, Deployment.Now));
  serve(Left, First, Deployment.Now);
  Right.applyDigest({"left"}, Left.makeDigest(), Deployment.Now + 1s);
  Deployment.Now += 1s;
  Call.Parts[2].Id = 4;
  PlacedCall Second = expectPlaced(Right.place(Call, Deployment.Now));
  BOOST_TEST(Second.Target == First.Target);
  BOOST_TEST(Second.CachedTokens == 5270U);
  // The prefix is reported once, not with each request.
  Call.Parts[2].Id = 5;
  serve(Left, expectPlaced(Left.place(Call, Deployment.Now)), Deployment.Now);
  auto Reported = Left.makeDigest().Parts;
  BOOST_TEST(Reported.size() == 2U);
  for (const PartPlace &Part : Reported)
    BOOST_TEST(Part.Key == 5U);
  // In a large fleet the parts of single requests would fill the digests.
  Deployment.addHosts(76);
  Deployment.announceTo(Left);
  Call.Parts[2].Id = 6;
  serve(Left, expectPlaced(Left.place(Call, Deployment.Now)), Deployment.Now);
  BOOST_TEST(Left.makeDigest().Parts.empty());
}

// Load pattern: one prefix gets most requests. Its home is full, so other
// engines take some, each with a copy that it fetches from the home.
BOOST_AUTO_TEST_CASE(a_full_home_hands_its_parts_to_other_engines) {
  TestDeployment Deployment(6);
  RoutedPlacement Router = Deployment.router();
  RoutedCall Call = Deployment.call(7, 570, 1200);
  PlacedCall Home = expectPlaced(Router.place(Call, Deployment.Now));
  BOOST_TEST(Home.FetchFrom == "");
  std::set<std::string> Used;
  for (int Count = 0; Count < 40; ++Count) {
    PlacedCall Placed = expectPlaced(
        Router.place(Deployment.call(7, 570, 1200), Deployment.Now));
    Used.insert(Placed.Target.Value);
    if (Placed.Target != Home.Target &&
        Placed.CachedTokens < Call.Parts[0].Tokens)
      BOOST_TEST(Placed.FetchFrom == Home.Address);
  }
  BOOST_TEST(Used.size() == 6U);
}

// Load pattern: long prompts at several routers. Routers that ignored the work
// of the others would choose the same idle engine.
BOOST_AUTO_TEST_CASE(work_of_other_routers_counts) {
  TestDeployment Deployment(2);
  RoutedPlacement Left = Deployment.router(1);
  RoutedPlacement Right = Deployment.router(2);
  PlacedCall Long =
      expectPlaced(Left.place(Deployment.call(7, 30'000), Deployment.Now));
  Right.applyDigest({"left"}, Left.makeDigest(), Deployment.Now);
  for (int Count = 0; Count < 5; ++Count) {
    PlacedCall Short = expectPlaced(
        Right.place(Deployment.call(100 + Count, 50, 250), Deployment.Now));
    BOOST_TEST(Short.Target != Long.Target);
    serve(Right, Short, Deployment.Now);
  }
  // A digest expires if its router sends no newer one.
  Deployment.Now += 5s;
  Right.applyDigest({"third"}, {}, Deployment.Now);
  std::set<std::string> Used;
  for (int Count = 0; Count < 20; ++Count)
    Used.insert(expectPlaced(Right.place(Deployment.call(200 + Count, 50, 250),
                                         Deployment.Now))
                    .Target.Value);
  BOOST_TEST(Used.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_engine_that_loads_weights_gets_no_requests) {
  TestDeployment Deployment(4);
  RoutedPlacement Router = Deployment.router();
  PlacedCall Home =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  serve(Router, Home, Deployment.Now);
  Router.applyEngineChange({Home.Target, {1}, {2}, true}, Deployment.Now);
  BOOST_TEST(
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now)).Target !=
      Home.Target);
  // After the load the engine has the new weights and an empty cache.
  Router.applyEngineChange({Home.Target, {1}, {2}, false}, Deployment.Now);
  Deployment.Now += 10ms;
  Router.applyNamedWeights({Model, {2}, Deployment.Now - 3s}, Deployment.Now);
  PlacedCall Again =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  BOOST_TEST(Again.Target == Home.Target);
  BOOST_TEST(Again.Weights.Value == 2U);
  BOOST_TEST(Again.CachedTokens == 0U);
  BOOST_TEST(Again.FetchFrom == "");
}

BOOST_AUTO_TEST_CASE(a_message_about_an_earlier_incarnation_is_ignored) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  Router.applyEngineChange({{"e0"}, {0}, {9}, true}, Deployment.Now);
  Router.applyEngineChange({{"e1"}, {0}, {9}, true}, Deployment.Now);
  BOOST_TEST(Router.status(Deployment.Now).Usable == 2U);
}

// Load pattern: operators name weights every few seconds. No request may begin
// on superseded weights after the deadline, even if no other engine is left.
BOOST_AUTO_TEST_CASE(
    no_request_begins_on_superseded_weights_past_the_deadline) {
  TestDeployment Deployment(3);
  Deployment.View.Targets[2].Weights = {2};
  RoutedPlacement Router = Deployment.router();
  auto RepeatNames = [&](Duration Span) {
    for (Timestamp End = Deployment.Now + Span; Deployment.Now < End;
         Deployment.Now += 500ms)
      Router.applyNamedWeights({Model, {2}, Deployment.Now}, Deployment.Now);
  };
  RepeatNames(11500ms);
  for (int Count = 0; Count < 6; ++Count)
    BOOST_TEST(
        expectPlaced(Router.place(Deployment.call(Count), Deployment.Now))
            .Target.Value == "e2");
  Router.applyNamedWeights({Model, {3}, Deployment.Now}, Deployment.Now);
  // The weights of e2 are superseded too, but their deadline has not passed.
  BOOST_TEST(expectPlaced(Router.place(Deployment.call(99), Deployment.Now))
                 .Target.Value == "e2");
  RepeatNames(11500ms);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(99), Deployment.Now)));
}

// Load pattern: weights are named each 0.5 s while an engine is dark
// (review/10: the engine was used for good once it was back).
BOOST_AUTO_TEST_CASE(namings_in_quick_succession_keep_no_engine_in_use) {
  TestDeployment Deployment(1);
  RoutedPlacement Router = Deployment.router();
  Timestamp FirstNamedAt = Deployment.Now;
  RoutedPlacement::Options Defaults;
  size_t Placed = 0;
  for (uint64_t Weights = 2; Weights < 200; ++Weights) {
    Router.applyNamedWeights({Model, {Weights}, Deployment.Now},
                             Deployment.Now);
    auto Outcome = Router.place(Deployment.call(7), Deployment.Now);
    bool InTime = Deployment.Now < FirstNamedAt + Defaults.WeightsDeadline;
    if (const auto *Call = std::get_if<PlacedCall>(&Outcome)) {
      ++Placed;
      BOOST_TEST(InTime);
      Router.endCall(Call->PlacementId, CallEnd::Abandoned, Deployment.Now);
    }
    Deployment.Now += 500ms;
  }
  BOOST_TEST(Placed > 0U);
}

// Load pattern: a burst before engines whose weights were superseded. A request
// that waits for seconds must not be placed where it would begin past the
// deadline.
BOOST_AUTO_TEST_CASE(a_queue_does_not_reach_past_the_deadline_of_weights) {
  for (int QueueSeconds : {2, 4}) {
    TestDeployment Deployment(1);
    RoutedPlacement Router = Deployment.router();
    Timestamp NamedAt = Deployment.Now;
    uint32_t TokensInQueue = 54'600 * static_cast<uint32_t>(QueueSeconds);
    RoutedPlacement::Options Defaults;
    for (; Deployment.Now < NamedAt + 12s; Deployment.Now += 250ms) {
      Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
      RoutedCall Long = Deployment.call(7, TokensInQueue, 10);
      Long.Deadline = Deployment.Now + 30s;
      auto First = Router.place(Long, Deployment.Now);
      if (!std::holds_alternative<PlacedCall>(First))
        continue;
      RoutedCall Next = Deployment.call(9);
      Next.Deadline = Deployment.Now + 30s;
      auto Second = Router.place(Next, Deployment.Now);
      // The second prompt begins once the first has been read.
      if (std::holds_alternative<PlacedCall>(Second))
        BOOST_TEST((Deployment.Now + std::chrono::seconds(QueueSeconds) <
                    NamedAt + Defaults.WeightsDeadline));
      for (const auto &Placed : {First, Second})
        if (auto *Call = std::get_if<PlacedCall>(&Placed))
          Router.endCall(Call->PlacementId, CallEnd::Abandoned, Deployment.Now);
    }
  }
}

// Load pattern: links between engines are slow while engines wait for newer
// weights (hunt of the workshop desk, load 962287438458: a request placed 1.7 s
// before the deadline began 1.9 s later, at an engine without a queue).
BOOST_AUTO_TEST_CASE(long_prompts_and_fetches_end_before_the_deadline) {
  TestDeployment Deployment(2, /*WithStore=*/true);
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now;
  serve(Router, expectPlaced(Router.place(Deployment.call(7), Deployment.Now)),
        Deployment.Now);
  Timestamp Deadline = NamedAt + RoutedPlacement::Options().WeightsDeadline;
  size_t Fetches = 0;
  for (; Deployment.Now < Deadline; Deployment.Now += 100ms) {
    Deployment.announceTo(Router);
    Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
    for (uint32_t OwnTokens : {3'700U, 36'000U}) {
      auto Outcome =
          Router.place(Deployment.call(7, 13'300, OwnTokens), Deployment.Now);
      auto *Placed = std::get_if<PlacedCall>(&Outcome);
      if (Placed == nullptr)
        continue;
      bool Long = OwnTokens > 30'000;
      BOOST_TEST((Deployment.Now + (Long ? 1900ms : 1300ms) < Deadline));
      if (!Placed->FetchFrom.empty()) {
        ++Fetches;
        BOOST_TEST((Deployment.Now + 2500ms < Deadline));
      }
      Router.endCall(Placed->PlacementId, CallEnd::Abandoned, Deployment.Now);
    }
  }
  BOOST_TEST(Fetches > 50U);
}

// Load pattern: other routers have filled the queue of an engine that is late
// with newer weights, unknown to this one (hunt of the workshop desk, load
// 962287438458: a short prompt placed 1.6 s before the deadline began 1.8 s
// later).
BOOST_AUTO_TEST_CASE(an_engine_close_to_the_deadline_is_the_last_choice) {
  TestDeployment Deployment(3);
  Deployment.View.Targets[2].Weights = {2};
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now;
  Timestamp Deadline = NamedAt + RoutedPlacement::Options().WeightsDeadline;
  std::set<std::string> Used;
  for (; Deployment.Now < Deadline; Deployment.Now += 100ms) {
    Deployment.announceTo(Router);
    Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
    // The engine with newer weights is busy, so that the others look better.
    WorkDigest Busy;
    Busy.Work = {{{"e2"}, 600ms, 600ms, 8}};
    Router.applyDigest({"peer"}, Busy, Deployment.Now);
    RoutedCall Call = Deployment.call(
        static_cast<uint64_t>((Deployment.Now - NamedAt).count()), 100, 900);
    PlacedCall Placed = expectPlaced(Router.place(Call, Deployment.Now));
    if (Deployment.Now + 2900ms < Deadline)
      Used.insert(Placed.Target.Value);
    else
      BOOST_TEST(Placed.Target.Value == "e2");
    serve(Router, Placed, Deployment.Now);
  }
  BOOST_TEST(Used.count("e0") + Used.count("e1") > 0U);
}

// Load pattern: many routers while a load of weights has reached a fifth of the
// engines. If all requests preferred those, they would get five times their
// share before any router heard of the others' requests.
BOOST_AUTO_TEST_CASE(the_first_engines_with_newer_weights_are_not_flooded) {
  constexpr size_t EngineCount = 90;
  TestDeployment Deployment(EngineCount);
  for (size_t Index = 0; Index < EngineCount / 5; ++Index)
    Deployment.View.Targets[Index].Weights = {2};
  std::map<std::string, size_t> CallsAt;
  size_t CallsOnNewer = 0;
  constexpr size_t RouterCount = 76;
  constexpr size_t CallsOfRouter = 12;
  Deployment.addHosts(RouterCount);
  for (size_t Seed = 1; Seed <= RouterCount; ++Seed) {
    RoutedPlacement Router = Deployment.router(Seed);
    Router.applyNamedWeights({Model, {2}, Deployment.Now - 3s}, Deployment.Now);
    for (size_t Count = 0; Count < CallsOfRouter; ++Count) {
      RoutedCall Call = Deployment.call(Seed * 100 + Count, 500, 1000);
      PlacedCall Placed = expectPlaced(Router.place(Call, Deployment.Now));
      ++CallsAt[Placed.Target.Value];
      CallsOnNewer += Placed.Weights.Value == 2;
      serve(Router, Placed, Deployment.Now);
    }
  }
  double Share = double(CallsOnNewer) / double(RouterCount * CallsOfRouter);
  BOOST_TEST(Share > 0.2);
  BOOST_TEST(Share < 0.5);
  double Mean = double(RouterCount * CallsOfRouter) / EngineCount;
  for (const auto &[Target, Calls] : CallsAt)
    BOOST_TEST(double(Calls) < 4 * Mean, Target);
}

// Load pattern: a burst makes engines shed. Those that ask for a pause get one,
// and the others take what they can.
BOOST_AUTO_TEST_CASE(engines_that_ask_for_a_pause_are_left_alone) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Router.notePause({"e0"}, {1}, Deployment.Now + 3s, Deployment.Now);
  Router.notePause({"e1"}, {1}, Deployment.Now + 2s, Deployment.Now);
  for (int Count = 0; Count < 20; ++Count) {
    PlacedCall Placed = expectPlaced(
        Router.place(Deployment.call(Count, 50, 250), Deployment.Now));
    BOOST_TEST(Placed.Target.Value == "e2");
    serve(Router, Placed, Deployment.Now);
  }
  Router.notePause({"e2"}, {1}, Deployment.Now + 5s, Deployment.Now);
  auto Outcome = Router.place(Deployment.call(1), Deployment.Now);
  BOOST_REQUIRE(std::holds_alternative<RefusedCall>(Outcome));
  // Callers return once the first engine is back, and not all at once.
  Timestamp RetryAt = std::get<RefusedCall>(Outcome).RetryAt;
  BOOST_TEST((RetryAt >= Deployment.Now + 2s));
  BOOST_TEST((RetryAt <= Deployment.Now + 3s));
  std::set<int64_t> RetryTimes;
  for (int Count = 0; Count < 20; ++Count)
    RetryTimes.insert(
        std::get<RefusedCall>(Router.place(Deployment.call(1), Deployment.Now))
            .RetryAt.time_since_epoch()
            .count());
  BOOST_TEST(RetryTimes.size() > 10U);
}

BOOST_AUTO_TEST_CASE(a_leaving_engine_is_only_a_source_of_cached_parts) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  PlacedCall Home =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  serve(Router, Home, Deployment.Now);
  BOOST_TEST(Router.maySend(Home, Deployment.Now));
  BOOST_TEST(Router.noteLeaving(Home.Target, {1}));
  BOOST_TEST(!Router.maySend(Home, Deployment.Now));
  PlacedCall Next =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now + 400ms));
  BOOST_TEST(Next.Target != Home.Target);
  BOOST_TEST(Next.FetchFrom == Home.Address);
}

// A router that restarts between the naming and the deadline must not restart
// the deadline.
BOOST_AUTO_TEST_CASE(a_restarted_router_keeps_the_deadline_of_weights) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Router.applyNamedWeights({Model, {2}, Deployment.Now - 11500ms},
                           Deployment.Now);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
}

// A restarted router gets all named weights, oldest first. The deadline of an
// engine starts at the first weights newer than its own, not at the newest
// ones.
BOOST_AUTO_TEST_CASE(the_first_newer_weights_start_the_deadline) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Router.applyNamedWeights({Model, {2}, Deployment.Now - 11500ms},
                           Deployment.Now);
  Router.applyNamedWeights({Model, {3}, Deployment.Now - 2s}, Deployment.Now);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
}

// The log must show how close to the deadline a request was placed, and each
// naming once, although the control hosts repeat it.
BOOST_AUTO_TEST_CASE(placements_tell_the_deadline_and_namings_are_new_once) {
  TestDeployment Deployment(1);
  RoutedPlacement Router = Deployment.router();
  auto DeadlineOf = [&] {
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
    serve(Router, Placed, Deployment.Now);
    return Placed.WeightsDeadline;
  };
  BOOST_TEST((DeadlineOf() == NeverExpires));
  Timestamp NamedAt = Deployment.Now - 3s;
  BOOST_TEST(Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now));
  BOOST_TEST(!Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now));
  BOOST_TEST(Router.applyNamedWeights({Model, {3}, NamedAt}, Deployment.Now));
  BOOST_TEST(!Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now));
  BOOST_TEST(
      (DeadlineOf() == NamedAt + RoutedPlacement::Options().WeightsDeadline));
}

// All control hosts are lost after weights were named. The engines go on
// serving, and the deadline counts from the time when control hosts can send
// orders again.
BOOST_AUTO_TEST_CASE(superseded_weights_serve_while_no_control_host_works) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Router.applyNamedWeights({Model, {2}, Deployment.Now}, Deployment.Now);
  Deployment.Now += 15s;
  expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
  for (int Count = 0; Count < 10; ++Count, Deployment.Now += 1s)
    Router.applyNamedWeights({Model, {2}, Deployment.Now - 15s},
                             Deployment.Now);
  expectPlaced(Router.place(Deployment.call(2), Deployment.Now));
  for (int Count = 0; Count < 3; ++Count, Deployment.Now += 500ms)
    Router.applyNamedWeights({Model, {2}, Deployment.Now - 25s},
                             Deployment.Now);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(3), Deployment.Now)));
}

// Load pattern: the control hosts fail again and again. Each gap between their
// messages started the deadline of superseded weights anew, so that it never
// came.
BOOST_AUTO_TEST_CASE(gaps_between_names_only_suspend_the_deadline_of_weights) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now;
  auto MayPlace = [&] {
    Deployment.announceTo(Router);
    auto Outcome = Router.place(Deployment.call(1), Deployment.Now);
    if (auto *Placed = std::get_if<PlacedCall>(&Outcome))
      serve(Router, *Placed, Deployment.Now);
    return std::holds_alternative<PlacedCall>(Outcome);
  };
  for (int Round = 0; Round < 2; ++Round) {
    for (int Count = 0; Count < 10; ++Count, Deployment.Now += 500ms)
      Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
    BOOST_TEST(MayPlace());
    Deployment.Now += 3s;
    BOOST_TEST(MayPlace());
  }
  for (int Count = 0; Count < 5; ++Count, Deployment.Now += 500ms)
    Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
  BOOST_TEST(!MayPlace());
  Deployment.Now += 3s;
  BOOST_TEST(!MayPlace());
}

// A router was frozen or cut off while weights were named, and reads a message
// that has waited since then. The next ones have the true age.
BOOST_AUTO_TEST_CASE(a_naming_that_is_older_than_first_heard_is_corrected) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now - 8s;
  Router.applyNamedWeights({Model, {2}, Deployment.Now}, Deployment.Now);
  for (int Count = 0; Count < 6; ++Count, Deployment.Now += 500ms)
    Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
  Deployment.announceTo(Router);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
}

// The clock of the next leader is ahead by 8 s. A router that has heard of all
// namings from the start takes the naming for older by 2.5 s at most.
BOOST_AUTO_TEST_CASE(a_clock_that_is_ahead_does_not_make_a_naming_old) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  for (int Count = 0; Count < 10; ++Count, Deployment.Now += 500ms)
    Router.applyNamings({}, Deployment.Now);
  Timestamp NamedAt = Deployment.Now;
  auto IsPlaced = [&] {
    Deployment.announceTo(Router);
    auto Outcome = Router.place(Deployment.call(1), Deployment.Now);
    if (auto *Placed = std::get_if<PlacedCall>(&Outcome))
      serve(Router, *Placed, Deployment.Now);
    return std::holds_alternative<PlacedCall>(Outcome);
  };
  BOOST_TEST(Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now));
  for (; Deployment.Now < NamedAt + 7s; Deployment.Now += 500ms) {
    Router.applyNamedWeights({Model, {2}, NamedAt - 8s}, Deployment.Now);
    BOOST_TEST(IsPlaced());
  }
  for (; Deployment.Now < NamedAt + 11s; Deployment.Now += 500ms)
    Router.applyNamedWeights({Model, {2}, NamedAt - 8s}, Deployment.Now);
  BOOST_TEST(!IsPlaced());
}

// A leader that has just begun may not have read its whole log. Its first
// messages do not date a naming that a later one has.
BOOST_AUTO_TEST_CASE(an_incomplete_history_dates_no_naming) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  for (int Count = 0; Count < 4; ++Count, Deployment.Now += 500ms)
    Router.applyNamings({}, Deployment.Now);
  Router.applyNamedWeights({Model, {2}, Deployment.Now - 31s}, Deployment.Now);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
}

// A router is frozen for 8 s while the control hosts go on. The deadline of
// weights runs on meanwhile.
BOOST_AUTO_TEST_CASE(a_frozen_router_does_not_suspend_the_deadline_of_weights) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now;
  auto RunUntil = [&](Timestamp End) {
    for (; Deployment.Now < End; Deployment.Now += 100ms) {
      Router.noteRunning(Deployment.Now);
      if ((Deployment.Now - NamedAt) % 500ms == Duration::zero())
        Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
    }
  };
  auto IsPlaced = [&] {
    Deployment.announceTo(Router);
    auto Outcome = Router.place(Deployment.call(1), Deployment.Now);
    if (auto *Placed = std::get_if<PlacedCall>(&Outcome))
      serve(Router, *Placed, Deployment.Now);
    return std::holds_alternative<PlacedCall>(Outcome);
  };
  RunUntil(NamedAt + 5s);
  BOOST_TEST(IsPlaced());
  Deployment.Now += 8s;
  // Neither before nor after the first message that it reads.
  BOOST_TEST(!IsPlaced());
  Router.noteRunning(Deployment.Now);
  BOOST_TEST(!IsPlaced());
  RunUntil(NamedAt + 14s);
  BOOST_TEST(!IsPlaced());
}

// The same router runs on while no control host works: the gap counts.
BOOST_AUTO_TEST_CASE(a_running_router_suspends_the_deadline_in_gaps) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now;
  Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
  for (; Deployment.Now < NamedAt + 20s; Deployment.Now += 100ms)
    Router.noteRunning(Deployment.Now);
  Deployment.announceTo(Router);
  expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
}

// A router is frozen while weights are named, and reads all messages of that
// time at once. The first ones lack the naming, though they arrive after it.
BOOST_AUTO_TEST_CASE(messages_read_after_a_freeze_date_no_naming_late) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  auto Hear = [&](std::optional<Duration> Age) {
    std::vector<NamedWeights> Named;
    if (Age)
      Named.push_back({Model, {2}, Deployment.Now - *Age});
    Router.applyNamings(Named, Deployment.Now);
  };
  for (int Count = 0; Count < 50; ++Count, Deployment.Now += 100ms) {
    Router.noteRunning(Deployment.Now);
    if (Count % 5 == 0)
      Hear(std::nullopt);
  }
  Timestamp NamedAt = Deployment.Now + 1s;
  Deployment.Now += 9s;
  for (int Count = 0; Count < 2; ++Count)
    Hear(std::nullopt);
  for (Duration Age = 0s; Age < 8s; Age += 500ms)
    Hear(Age);
  for (; Deployment.Now < NamedAt + 12s; Deployment.Now += 100ms) {
    Router.noteRunning(Deployment.Now);
    Hear(Deployment.Now - NamedAt);
  }
  Deployment.announceTo(Router);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
}

// After a freeze the first answers of control hosts are to queries from before
// it. The deadline of weights ran on during the freeze.
BOOST_AUTO_TEST_CASE(late_answers_of_control_hosts_move_no_deadline) {
  TestDeployment Deployment(3);
  RoutedPlacement Router = Deployment.router();
  Timestamp NamedAt = Deployment.Now;
  Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
  for (; Deployment.Now < NamedAt + 5s; Deployment.Now += 100ms)
    Router.noteRunning(Deployment.Now, Deployment.Now - 1s);
  Timestamp FrozenAt = Deployment.Now;
  Deployment.Now += 8s;
  for (Duration Before : {900ms, 400ms, 100ms})
    Router.noteRunning(Deployment.Now, FrozenAt - Before);
  Deployment.announceTo(Router);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
  Router.noteRunning(Deployment.Now + 1s, Deployment.Now + 100ms);
  Deployment.Now += 1s;
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(2), Deployment.Now)));
}

// No control host works for 5 s, then the router is frozen for 8 s, and reads
// an answer to a query from between the two. The 5 s don't count.
BOOST_AUTO_TEST_CASE(an_outage_before_a_freeze_moves_the_deadline) {
  for (bool AnswersLate : {false, true}) {
    BOOST_TEST_CONTEXT("late answer " << AnswersLate) {
      TestDeployment Deployment(3);
      RoutedPlacement Router = Deployment.router();
      Timestamp NamedAt = Deployment.Now;
      Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
      for (; Deployment.Now < NamedAt + 5s; Deployment.Now += 100ms)
        Router.noteRunning(Deployment.Now);
      Timestamp FrozenAt = Deployment.Now;
      Deployment.Now += 8s;
      Router.noteRunning(Deployment.Now,
                         AnswersLate ? FrozenAt - 100ms : Timestamp());
      Router.applyNamedWeights({Model, {2}, NamedAt}, Deployment.Now);
      Deployment.announceTo(Router);
      expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
      // The freeze counts: 13 s after the naming, 8 of the 12 s have passed.
      for (Timestamp End = Deployment.Now + 4s; Deployment.Now < End;
           Deployment.Now += 100ms)
        Router.noteRunning(Deployment.Now, Deployment.Now);
      Deployment.announceTo(Router);
      BOOST_TEST(std::holds_alternative<RefusedCall>(
          Router.place(Deployment.call(2), Deployment.Now)));
    }
  }
}

// The holder of the order lease has reported a load of newer weights. That
// opens an engine past the deadline neither after a restart with older weights
// nor for good.
BOOST_AUTO_TEST_CASE(reported_weights_end_with_the_incarnation_and_in_time) {
  for (bool Restarts : {true, false}) {
    TestDeployment Deployment(3);
    RoutedPlacement Router = Deployment.router();
    Router.applyNamedWeights({Model, {2}, Deployment.Now - 20s},
                             Deployment.Now);
    Router.applyEngineChange({{"e0"}, {1}, {2}, false}, Deployment.Now);
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
    BOOST_TEST(Placed.Target.Value == "e0");
    serve(Router, Placed, Deployment.Now);
    if (Restarts)
      Deployment.View.Targets[0].Incarnation = {2};
    Deployment.Now += Restarts ? 1s : 5s;
    for (int Count = 0; Count < 2; ++Count)
      Router.applyNamedWeights({Model, {2}, Deployment.Now - 25s},
                               Deployment.Now);
    Deployment.announceTo(Router);
    BOOST_TEST(std::holds_alternative<RefusedCall>(
        Router.place(Deployment.call(1), Deployment.Now)));
  }
}

// All offered engines are used where few seem usable, but none past the
// deadline of its weights.
BOOST_AUTO_TEST_CASE(engines_past_the_deadline_are_no_fallback) {
  TestDeployment Deployment(4);
  RoutedPlacement Router = Deployment.router();
  for (int Index = 0; Index < 3; ++Index) {
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
    Router.endCall(Placed.PlacementId, CallEnd::Unreachable, Deployment.Now);
  }
  BOOST_TEST(Router.status(Deployment.Now).Usable == 1U);
  expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
  Router.applyNamedWeights({Model, {2}, Deployment.Now - 20s}, Deployment.Now);
  BOOST_TEST(std::holds_alternative<RefusedCall>(
      Router.place(Deployment.call(1), Deployment.Now)));
}

// Incident inc1-version: a router restarts with all others, 31 s after weights
// were named, and gets requests before the control hosts have told it of the
// naming.
BOOST_AUTO_TEST_CASE(a_router_that_knows_no_naming_avoids_older_weights) {
  TestDeployment Deployment(4);
  Deployment.View.Targets[3].Weights = {2};
  RoutedPlacement Router = Deployment.router();
  auto IsPlacedAtNewest = [&] {
    Deployment.announceTo(Router);
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(1), Deployment.Now));
    serve(Router, Placed, Deployment.Now);
    return Placed.Target.Value == "e3";
  };
  for (int Count = 0; Count < 20; ++Count, Deployment.Now += 500ms)
    BOOST_TEST(IsPlacedAtNewest());
  // Older weights serve if nothing newer can.
  Router.noteLeaving({"e3"}, {1});
  BOOST_TEST(!IsPlacedAtNewest());
}

// The engines with the newest weights are few. A router that restarts while no
// control host works uses the others too once no naming can be awaited.
BOOST_AUTO_TEST_CASE(older_weights_serve_where_no_naming_is_ever_heard_of) {
  TestDeployment Deployment(4);
  Deployment.View.Targets[3].Weights = {2};
  RoutedPlacement Router = Deployment.router();
  Deployment.Now += RoutedPlacement::Options().WeightsDeadline;
  Deployment.announceTo(Router);
  std::set<std::string> Used;
  for (uint64_t Part = 1; Part <= 30; ++Part)
    Used.insert(expectPlaced(Router.place(Deployment.call(Part, 500, 1000),
                                          Deployment.Now))
                    .Target.Value);
  BOOST_TEST(Used.size() == 4U);
}

// A naming that is heard of and not due yet lets older weights serve again.
BOOST_AUTO_TEST_CASE(older_weights_serve_once_the_naming_is_known_as_recent) {
  TestDeployment Deployment(4);
  Deployment.View.Targets[3].Weights = {2};
  RoutedPlacement Router = Deployment.router();
  Router.applyNamedWeights({Model, {2}, Deployment.Now - 1s}, Deployment.Now);
  std::set<std::string> Used;
  for (uint64_t Part = 1; Part <= 30; ++Part)
    Used.insert(expectPlaced(Router.place(Deployment.call(Part, 500, 1000),
                                          Deployment.Now))
                    .Target.Value);
  BOOST_TEST(Used.size() == 4U);
}

// A router took engines that are drained for a sign that it is cut off, and
// used them like all others where they were more than half.
BOOST_AUTO_TEST_CASE(drained_engines_get_nothing_while_another_is_left) {
  for (size_t Engines : {3, 4, 5}) {
    TestDeployment Deployment(Engines);
    RoutedPlacement Router = Deployment.router();
    size_t Drained = Engines / 2 + 1;
    for (size_t Index = 0; Index < Drained; ++Index)
      Router.applyEngineChange(
          {{"e" + std::to_string(Index)}, {1}, {2}, /*Loading=*/true},
          Deployment.Now);
    std::set<std::string> Used;
    for (uint64_t Part = 1; Part <= 100; ++Part) {
      PlacedCall Placed =
          expectPlaced(Router.place(Deployment.call(Part), Deployment.Now));
      Used.insert(Placed.Target.Value);
      serve(Router, Placed, Deployment.Now);
    }
    for (size_t Index = 0; Index < Drained; ++Index)
      BOOST_TEST(Used.count("e" + std::to_string(Index)) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(an_unreachable_engine_is_avoided_and_tried_again) {
  TestDeployment Deployment(4);
  RoutedPlacement Router = Deployment.router();
  PlacedCall Home =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  Router.endCall(Home.PlacementId, CallEnd::Unreachable, Deployment.Now);
  BOOST_TEST(
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now)).Target !=
      Home.Target);
  Deployment.Now += 10s;
  for (TargetRecord &Record : Deployment.View.Targets)
    Record.UsableUntil = Deployment.Now + RecordLifetime;
  Router.applyView(std::make_shared<const RoutingView>(Deployment.View),
                   Deployment.Now);
  BOOST_TEST(Router.status(Deployment.Now).Usable == 4U);
}

// Load pattern: the control hosts are lost, and with them all announcements.
BOOST_AUTO_TEST_CASE(engines_are_used_when_all_announcements_stop) {
  TestDeployment Deployment(4);
  RoutedPlacement Router = Deployment.router();
  Deployment.Now += 15s;
  BOOST_TEST(Router.status(Deployment.Now).Usable == 0U);
  expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
}

BOOST_AUTO_TEST_CASE(a_silent_engine_is_avoided_while_others_announce) {
  TestDeployment Deployment(4);
  Deployment.Now += 15s;
  for (size_t Index = 1; Index < 4; ++Index)
    Deployment.View.Targets[Index].UsableUntil =
        Deployment.Now + RecordLifetime;
  RoutedPlacement Router = Deployment.router();
  for (uint64_t Part = 0; Part < 30; ++Part) {
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(Part), Deployment.Now));
    BOOST_TEST(Placed.Target.Value != "e0");
    serve(Router, Placed, Deployment.Now);
  }
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_twice_to_one_target) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  RoutedCall Call = Deployment.call(7);
  for (int Count = 0; Count < 2; ++Count) {
    PlacedCall Placed = expectPlaced(Router.place(Call, Deployment.Now));
    Call.Tried.push_back(Placed.Target);
    Router.endCall(Placed.PlacementId, CallEnd::NotRun, Deployment.Now);
  }
  auto Outcome = Router.place(Call, Deployment.Now);
  BOOST_REQUIRE(std::holds_alternative<RefusedCall>(Outcome));
  BOOST_TEST(
      (std::get<RefusedCall>(Outcome).Reason == CallRefusalReason::NoneUsable));
  BOOST_TEST((std::get<RefusedCall>(Outcome).RetryAt > Deployment.Now));
}

// Load pattern: more parts than the engines' caches can hold. The first read
// saves a prefix; later ones fetch it from the store, also at an engine that is
// believed to have it and has evicted it.
BOOST_AUTO_TEST_CASE(a_part_that_was_evicted_comes_from_the_store) {
  TestDeployment Deployment(2, /*WithStore=*/true);
  RoutedPlacement Router = Deployment.router();
  uint64_t Other = 1000;
  auto Evict = [&] {
    for (int Count = 0; Count < 40; ++Count) {
      RoutedCall Filler = Deployment.call(Other++);
      serve(Router, expectPlaced(Router.place(Filler, Deployment.Now)),
            Deployment.Now);
    }
  };
  for (uint64_t Part : {7, 8}) {
    PlacedCall First =
        expectPlaced(Router.place(Deployment.call(Part), Deployment.Now));
    BOOST_TEST(First.SaveTo == "10.9.0.1:80");
    BOOST_TEST(First.FetchFrom == "");
    serve(Router, First, Deployment.Now);
  }
  PlacedCall Again =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  BOOST_TEST(Again.SaveTo == "");
  BOOST_TEST(Again.FetchFrom == "10.9.0.1:80");
  serve(Router, Again, Deployment.Now);
  Evict();
  PlacedCall Third =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  BOOST_TEST(Third.FetchFrom == "10.9.0.1:80");
  BOOST_TEST(Third.CachedTokens == 13'300U);
  BOOST_TEST(Third.SaveTo == "");
  // The fetch saved no time, as if the store were lost: it is not used for a
  // while.
  Router.noteFirstByte(Third.PlacementId, Deployment.Now + 900ms);
  Router.endCall(Third.PlacementId, CallEnd::Served, Deployment.Now + 900ms);
  PlacedCall Fourth =
      expectPlaced(Router.place(Deployment.call(8), Deployment.Now + 1s));
  BOOST_TEST(Fourth.FetchFrom == "");
  BOOST_TEST(Fourth.SaveTo == "");
}

// Several stores share the prefixes, and all routers agree on who has which.
BOOST_AUTO_TEST_CASE(each_prefix_belongs_to_one_of_several_stores) {
  TestDeployment Deployment(4, /*WithStore=*/true);
  config::RouteTable::Parts Parts;
  Parts.Number = {2};
  Parts.Services = Deployment.View.Routes->services();
  for (int Number = 2; Number <= 3; ++Number) {
    config::RoutedService Store = Parts.Services.back();
    Store.Id = {"store" + std::to_string(Number)};
    Store.Store->Address = "10.9.0." + std::to_string(Number) + ":80";
    Parts.Services.push_back(Store);
  }
  Deployment.View.Routes = config::RouteTable::create(std::move(Parts));
  RoutedPlacement Left = Deployment.router(1);
  RoutedPlacement Right = Deployment.router(2);
  std::set<std::string> Used;
  for (uint64_t Part = 1; Part <= 30; ++Part) {
    PlacedCall Saving =
        expectPlaced(Left.place(Deployment.call(Part), Deployment.Now));
    BOOST_TEST(Saving.SaveTo != "");
    Used.insert(Saving.SaveTo);
    serve(Left, Saving, Deployment.Now);
    Right.applyDigest({"left"}, Left.makeDigest(), Deployment.Now);
    PlacedCall Next =
        expectPlaced(Right.place(Deployment.call(Part), Deployment.Now));
    BOOST_TEST(Next.SaveTo == "");
    BOOST_TEST(Next.FetchFrom == Saving.SaveTo);
    serve(Right, Next, Deployment.Now);
  }
  BOOST_TEST(Used.size() == 3U);
}

BOOST_AUTO_TEST_CASE(isolated_workspaces_share_no_cached_parts) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  PlacedCall First =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  serve(Router, First, Deployment.Now);
  RoutedCall Isolated = Deployment.call(7);
  Isolated.CacheScope = 99;
  PlacedCall Second = expectPlaced(Router.place(Isolated, Deployment.Now));
  BOOST_TEST(Second.CachedTokens == 0U);
  BOOST_TEST(Second.FetchFrom == "");
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_begin_in_time_is_refused_at_once) {
  TestDeployment Deployment(1);
  RoutedPlacement Router = Deployment.router();
  for (uint64_t Part = 0; Part < 40; ++Part)
    (void)Router.place(Deployment.call(Part), Deployment.Now);
  RoutedCall Late = Deployment.call(99);
  Late.Deadline = Deployment.Now + 2s;
  auto Outcome = Router.place(Late, Deployment.Now);
  BOOST_REQUIRE(std::holds_alternative<RefusedCall>(Outcome));
  BOOST_TEST((std::get<RefusedCall>(Outcome).Reason ==
              CallRefusalReason::DeadlineTooNear));
}

// Load pattern: more prompts than the engines can read. Requests that would
// wait too long are refused at once, regardless of their size. Short prompts
// are still placed, because engines read them first.
BOOST_AUTO_TEST_CASE(
    at_overload_the_wait_is_bounded_and_short_prompts_are_placed) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  auto Long = [&](uint64_t Part, uint32_t Own) {
    RoutedCall Call = Deployment.call(Part, 13'300, Own);
    Call.FirstByteDueAt = Deployment.Now + 800ms;
    return Router.place(Call, Deployment.Now);
  };
  int PlacedCount = 0;
  std::variant<PlacedCall, RefusedCall> Outcome = Long(0, 3'700);
  for (uint64_t Part = 1; std::holds_alternative<PlacedCall>(Outcome); ++Part) {
    ++PlacedCount;
    BOOST_REQUIRE(PlacedCount < 50);
    Outcome = Long(Part, 3'700);
  }
  // Each of the two engines reads about two of these prompts in time.
  BOOST_TEST(PlacedCount >= 4);
  BOOST_TEST(PlacedCount <= 8);
  BOOST_TEST(
      (std::get<RefusedCall>(Outcome).Reason == CallRefusalReason::Full));
  BOOST_TEST((std::get<RefusedCall>(Outcome).RetryAt > Deployment.Now));
  // A larger prompt would wait as long.
  BOOST_TEST(std::holds_alternative<RefusedCall>(Long(98, 30'000)));
  RoutedCall Short = Deployment.call(99, 90, 290);
  Short.FirstByteDueAt = Deployment.Now + 500ms;
  BOOST_TEST(
      std::holds_alternative<PlacedCall>(Router.place(Short, Deployment.Now)));
}

BOOST_AUTO_TEST_CASE(an_idle_engine_takes_a_prompt_too_long_to_begin_in_time) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  RoutedCall Call = Deployment.call(1, 39'000, 53'000);
  Call.FirstByteDueAt = Deployment.Now + 800ms;
  BOOST_TEST(
      std::holds_alternative<PlacedCall>(Router.place(Call, Deployment.Now)));
}

// The engines read at a third of the initially assumed rate.
BOOST_AUTO_TEST_CASE(the_reading_rate_is_learned) {
  TestDeployment Deployment(12);
  RoutedPlacement Router = Deployment.router();
  Duration Last = {};
  for (uint64_t Part = 0; Part < 60; ++Part) {
    Deployment.Now += 5s;
    for (TargetRecord &Record : Deployment.View.Targets)
      Record.UsableUntil = Deployment.Now + RecordLifetime;
    Router.applyView(std::make_shared<const RoutingView>(Deployment.View),
                     Deployment.Now);
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(Part), Deployment.Now));
    Last = Placed.Estimate;
    Router.noteFirstByte(Placed.PlacementId, Deployment.Now + 1070ms);
    Router.endCall(Placed.PlacementId, CallEnd::Served,
                   Deployment.Now + 1070ms);
  }
  BOOST_TEST(Last.count() > Duration(900ms).count());
  BOOST_TEST(Last.count() < Duration(1250ms).count());
}

// Engines of two builds serve beside each other in a release. A stream may not
// go on at the other build, even if that is idle, and is refused once its own
// has gone.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_at_its_build_only) {
  TestDeployment Deployment(6);
  for (size_t Index = 0; Index < 6; ++Index)
    Deployment.View.Targets[Index].Build = {Index < 4 ? "v2" : "v1"};
  RoutedPlacement Router = Deployment.router();
  RoutedCall Call = Deployment.call(7);
  Call.Build = {"v1"};
  for (int Count = 0; Count < 50; ++Count)
    BOOST_TEST(expectPlaced(Router.place(Call, Deployment.Now)).Build.Value ==
               "v1");
  for (TargetRecord &Record : Deployment.View.Targets)
    if (Record.Build.Value == "v1")
      Record.Phase = TargetPhase::Leaving;
  Deployment.announceTo(Router);
  auto Outcome = Router.place(Call, Deployment.Now);
  BOOST_REQUIRE(std::holds_alternative<RefusedCall>(Outcome));
  BOOST_TEST(
      (std::get<RefusedCall>(Outcome).Reason == CallRefusalReason::BuildGone));
  expectPlaced(Router.place(Deployment.call(8), Deployment.Now));
}

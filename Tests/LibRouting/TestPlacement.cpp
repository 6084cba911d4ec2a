// Placement policies of the Scheduler: the cache index attracts requests, but
// only sure entries of the current incarnation count as cached, and load is
// weighed against recomputation.
#include "SchedulerFixture.h"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>

using namespace ferry;
using namespace ferry::routing;
using namespace ferry::routing::test;

namespace {
struct CacheFixture : SchedulerFixture {
  std::map<std::string, uint64_t> LastNumber;

  explicit CacheFixture(int Engines = 4) : SchedulerFixture(Engines, 0) {
    View.Targets.push_back(makeTarget("store", Store, *Description));
    publish();
  }

  cache::CacheEventBatch makeBatch(const std::string &Target,
                                   const std::vector<uint64_t> &Blocks,
                                   uint64_t IncarnationValue = 1) {
    cache::CacheEventBatch Batch;
    Batch.Target = TargetId{Target};
    Batch.Incarnation = Incarnation{IncarnationValue};
    Batch.FirstNumber = LastNumber[Target] + 1;
    for (uint64_t Block : Blocks)
      Batch.Events.push_back({cache::CacheEventKind::Stored, {Block}});
    return Batch;
  }

  void store(const std::string &Target, const std::vector<uint64_t> &Blocks) {
    step(CacheEventsReceived{makeBatch(Target, Blocks)});
    LastNumber[Target] += Blocks.size();
  }

  /// Loses three events of \p Target; the next event shows the gap.
  void loseEvents(const std::string &Target) {
    LastNumber[Target] += 3;
    store(Target, {999});
  }

  void load(const std::string &Target, uint64_t PrefillTokens) {
    TargetRecord &Record = target(Target);
    Record.Load.QueuedPrefillTokens = PrefillTokens;
    ++Record.Sequence;
    publish();
  }

  std::string place(const std::vector<uint64_t> &Blocks) {
    RequestId Id = prompt(Blocks);
    const Dispatch *Sent = dispatchOf(Id);
    return Sent ? Sent->Target.Value : "";
  }

  const Dispatch &last() const { return Dispatches.back(); }
};

const std::vector<uint64_t> Prompt = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
} // namespace

BOOST_AUTO_TEST_CASE(longest_cached_prefix_wins_and_is_expected) {
  CacheFixture F;
  F.store("e1", {1, 2, 3});
  F.store("e2", {1, 2, 3, 4, 5, 6});
  // Block 3 is missing, so the blocks after it belong to no cached prefix.
  F.store("e3", {1, 2, 4, 5, 6, 7, 8, 9, 10});
  BOOST_TEST(F.place(Prompt) == "e2");
  BOOST_TEST(F.last().ExpectedCachedTokens == 6 * cache::BlockTokens);
}

BOOST_AUTO_TEST_CASE(unsure_entries_attract_but_nothing_is_expected) {
  CacheFixture F;
  F.store("e2", {1, 2, 3, 4, 5, 6});
  F.loseEvents("e2");
  BOOST_TEST(F.place(Prompt) == "e2");
  BOOST_TEST(F.last().ExpectedCachedTokens == 0u);
  BOOST_TEST(F.Machine.wantsListing(TargetId{"e2"}));
  cache::CacheEventBatch Listing = F.makeBatch("e2", {1, 2});
  Listing.Coverage = cache::CacheEventBatch::Scope::WholeCache;
  F.step(CacheEventsReceived{Listing});
  F.end(F.last().Id);
  F.place(Prompt);
  BOOST_TEST(F.last().ExpectedCachedTokens == 2 * cache::BlockTokens);
}

BOOST_AUTO_TEST_CASE(own_dispatches_attract_requests_but_are_not_expected) {
  CacheFixture F;
  std::string First = F.place(Prompt);
  F.Now += seconds(1);
  F.step(FirstByte{F.last().Id, 0});
  F.end(F.last().Id);
  BOOST_TEST(F.place(Prompt) == First);
  BOOST_TEST(F.last().ExpectedCachedTokens == 0u);
}

BOOST_AUTO_TEST_CASE(entries_of_an_ended_incarnation_are_not_used) {
  CacheFixture F(2);
  F.store("e0", Prompt);
  F.store("e1", Prompt);
  for (const char *Id : {"e0", "e1"})
    F.target(Id).Incarnation = Incarnation{2};
  F.publish();
  // Late events of the ended incarnation.
  F.store("e0", {11, 12});
  F.store("e1", {11, 12});
  F.place(Prompt);
  BOOST_TEST((F.last().Incarnation == Incarnation{2}));
  BOOST_TEST(F.last().ExpectedCachedTokens == 0u);
}

BOOST_AUTO_TEST_CASE(
    newer_incarnation_in_events_clears_entries_before_the_view) {
  CacheFixture F(1);
  F.store("e0", Prompt);
  F.step(CacheEventsReceived{F.makeBatch("e0", {77}, 2)});
  F.place(Prompt);
  BOOST_TEST(F.last().ExpectedCachedTokens == 0u);
}

BOOST_AUTO_TEST_CASE(prompts_do_not_hit_blocks_of_another_scope) {
  std::string Text(10 * cache::BlockTokens * cache::BytesPerToken, 'x');
  cache::CacheScope Own{WorkspaceId{"w0"}, ModelId{"m"}, AdapterId{""},
                        WeightsVersion{3}};
  cache::CacheScope Others[] = {Own, Own, Own};
  Others[0].Workspace = WorkspaceId{"w1"};
  Others[1].Weights = WeightsVersion{2};
  Others[2].Adapter = AdapterId{"a"};
  for (const cache::CacheScope &Other : Others) {
    CacheFixture F(1);
    std::vector<uint64_t> Blocks;
    for (cache::BlockHash Block : cache::hashBlocks(Other, Text))
      Blocks.push_back(Block.Value);
    F.store("e0", Blocks);
    SubmitRequest Event = F.makePrompt({});
    Event.Blocks = cache::hashBlocks(Own, Text);
    Event.PromptTokens = cache::estimateTokens(Text);
    F.step(Event);
    BOOST_TEST(F.last().ExpectedCachedTokens == 0u);
  }
}

BOOST_AUTO_TEST_CASE(wait_is_weighed_against_recomputation_by_objective) {
  // 18,000 missing tokens take 0.9 s at the initial rate.
  struct Row {
    config::Objective Objective;
    uint64_t QueuedTokens;
    const char *Expected;
  };
  const Row Rows[] = {{config::Objective::HitRate, 9000, "e2"},
                      {config::Objective::TailLatency, 9000, "e2"},
                      {config::Objective::HitRate, 50'000, "e2"},
                      {config::Objective::TailLatency, 50'000, "other"},
                      {config::Objective::HitRate, 200'000, "other"}};
  for (const Row &Each : Rows) {
    CacheFixture F;
    F.Description->Services[0].Objective = Each.Objective;
    F.publish();
    F.store("e2", Prompt);
    F.load("e2", Each.QueuedTokens);
    std::string Placed = F.place(Prompt);
    if (Each.Expected == std::string("other"))
      BOOST_TEST((!Placed.empty() && Placed != "e2"));
    else
      BOOST_TEST(Placed == Each.Expected);
  }
}

BOOST_AUTO_TEST_CASE(own_tries_count_before_the_next_report) {
  CacheFixture F;
  F.Description->Services[0].Objective = config::Objective::TailLatency;
  F.publish();
  std::set<std::string> Used;
  // Uncached prompts with the same first block, submitted at the same time: the
  // reported load still says that the engines are idle.
  for (uint64_t Index = 0; Index < 8; ++Index)
    Used.insert(F.place({1, 100 + Index, 200 + Index, 300 + Index}));
  Used.erase("");
  BOOST_TEST(Used.size() == 4u);
}

BOOST_AUTO_TEST_CASE(credit_bounds_the_prefill_outstanding_at_an_engine) {
  CacheFixture F(1);
  // 6,100 tokens take 0.3 s at the initial rate, which exceeds the credit.
  F.place({1, 2, 3});
  RequestId Waiting = F.prompt({11, 12, 13});
  BOOST_TEST(!F.dispatchOf(Waiting));
  F.Now += milliseconds(300);
  F.step(FirstByte{F.last().Id, 0});
  BOOST_TEST(F.dispatchOf(Waiting));
}

BOOST_AUTO_TEST_CASE(hot_prefix_spreads_to_the_same_engines_from_all_routers) {
  // An engine runs 4 requests concurrently, 2 s each; the load is ten times
  // that.
  auto Homes = [](uint64_t Root) {
    CacheFixture F(12);
    std::vector<std::string> Used;
    std::multimap<Timestamp, RequestId> Running;
    size_t Seen = 0;
    for (int Index = 0; Index < 400; ++Index) {
      F.Now += milliseconds(50);
      while (!Running.empty() && Running.begin()->first <= F.Now) {
        F.end(Running.begin()->second);
        Running.erase(Running.begin());
      }
      F.prompt({Root, Root + 1, Root + 2, Root + 3, Root + 4});
      for (; Seen < F.Dispatches.size(); ++Seen) {
        const Dispatch &Sent = F.Dispatches[Seen];
        Running.emplace(F.Now + seconds(2), Sent.Id);
        if (std::find(Used.begin(), Used.end(), Sent.Target.Value) ==
            Used.end())
          Used.push_back(Sent.Target.Value);
      }
    }
    return Used;
  };
  for (uint64_t Root : {10, 20, 30}) {
    BOOST_TEST(Homes(Root).size() >= 4u);
    BOOST_TEST(Homes(Root) == Homes(Root), boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(prefill_rate_of_a_slow_engine_is_learned) {
  CacheFixture F(2);
  for (uint64_t Index = 1; Index <= 200; ++Index) {
    RequestId Id = F.prompt({100 * Index, 100 * Index + 1});
    bool Slow = F.dispatchOf(Id)->Target.Value == "e0";
    F.Now += milliseconds(Slow ? 1000 : 200);
    F.step(FirstByte{Id, 0});
    F.end(Id);
  }
  auto Status = F.Machine.status(F.Now);
  double SlowRate = Status.Targets.at(0).PrefillTokensPerSecond;
  double FastRate = Status.Targets.at(1).PrefillTokensPerSecond;
  BOOST_TEST(FastRate > 3.5 * SlowRate);
}

BOOST_AUTO_TEST_CASE(import_is_planned_only_from_sure_entries_and_if_faster) {
  struct Row {
    const char *Name;
    std::function<void(CacheFixture &)> Change;
    uint32_t Blocks;
  };
  const Row Rows[] = {
      {"the store has all", [](CacheFixture &) {}, 10},
      {"entries unsure", [](CacheFixture &F) { F.loseEvents("store"); }, 0},
      {"engine has as much", [](CacheFixture &F) { F.store("e0", Prompt); }, 0},
      {"transfer slower than the prefill",
       [](CacheFixture &F) {
         F.Machine = Scheduler::create(
             {HostId{"r0"}, 7, EstimatedTimePlacement{}, {}, 10'000});
         F.LastNumber.clear();
         F.publish();
         F.store("store", Prompt);
       },
       0},
      {"store leaving",
       [](CacheFixture &F) {
         F.target("store").Phase = TargetPhase::Leaving;
         F.publish();
       },
       0},
      {"store silent",
       [](CacheFixture &F) {
         F.target("store").UsableUntil = F.Now;
         F.publish();
       },
       0},
      {"store restarted",
       [](CacheFixture &F) {
         F.target("store").Incarnation = Incarnation{2};
         F.publish();
       },
       0},
      {"not a dependency",
       [](CacheFixture &F) {
         F.Description->Services[0].DependsOn.clear();
         F.publish();
       },
       0},
  };
  for (const Row &Each : Rows) {
    BOOST_TEST_CONTEXT(Each.Name) {
      CacheFixture F(1);
      F.store("store", Prompt);
      Each.Change(F);
      F.place(Prompt);
      uint32_t Blocks =
          F.last().Imports.empty() ? 0 : F.last().Imports[0].Blocks;
      BOOST_TEST(Blocks == Each.Blocks);
    }
  }
}

BOOST_AUTO_TEST_CASE(restarted_router_without_an_index_places_like_the_others) {
  CacheFixture Established;
  CacheFixture Restarted;
  for (uint64_t Root = 1; Root <= 20; ++Root) {
    std::string Home = Established.place({Root, Root + 1000});
    Established.step(FirstByte{Established.last().Id, 0});
    Established.end(Established.last().Id);
    BOOST_TEST(Restarted.place({Root, Root + 1000}) == Home);
    Restarted.step(FirstByte{Restarted.last().Id, 0});
    Restarted.end(Restarted.last().Id);
  }
}

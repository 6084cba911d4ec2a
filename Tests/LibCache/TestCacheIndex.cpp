// The index must never call an entry sure that the engine's cache may have
// lost. Events that are lost, late, repeated or from an ended incarnation could
// make it do so.
#include "LibCache/CacheIndex.h"
#include "LibCore/Random.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry;
using namespace ferry::cache;

static const TargetId Engine{"e"};
static const Incarnation EngineIncarnation{5};

static CacheEventBatch makeBatch(uint64_t First,
                                 std::vector<CacheEvent> Events) {
  return {Engine, EngineIncarnation, First, CacheEventBatch::Scope::Changes,
          std::move(Events)};
}

static CacheEventBatch makeListing(uint64_t NextNumber,
                                   std::vector<CacheEvent> Events) {
  CacheEventBatch Batch = makeBatch(NextNumber, std::move(Events));
  Batch.Coverage = CacheEventBatch::Scope::WholeCache;
  return Batch;
}

static CacheEvent stored(uint64_t Block) {
  return {CacheEventKind::Stored, {Block}};
}

static CacheEvent evicted(uint64_t Block) {
  return {CacheEventKind::Evicted, {Block}};
}

namespace {
struct IndexFixture {
  CacheIndex Index = CacheIndex::create({1000, 1});
  HolderNumber Holder = Index.addHolder(Engine, EngineIncarnation);
  CacheMatches Matches;

  HolderMatch find(const std::vector<BlockHash> &Blocks) {
    Index.lookup(Blocks, Matches);
    return Matches.of(Holder);
  }
};

/// Batches in the order of arrival, and the expected match of the prompt
/// {1, 2, 3} after them.
struct StreamCase {
  const char *Name;
  std::vector<CacheEventBatch> Batches;
  BatchOutcome Last;
  uint32_t Cached;
  uint32_t Sure;
  bool WantsListing;
};
} // namespace

static const CacheEventBatch One = makeBatch(1, {stored(1)});
static const CacheEventBatch Two = makeBatch(2, {stored(2)});
static const CacheEventBatch Three = makeBatch(3, {stored(3)});
static const CacheEventBatch EvictionOfTwo = makeBatch(3, {evicted(2)});

static CacheEventBatch fromIncarnation(CacheEventBatch Batch, uint64_t Other) {
  Batch.Incarnation = Incarnation{Other};
  return Batch;
}

static CacheEventBatch filler(uint64_t Number) {
  return makeBatch(Number, {stored(100 + Number)});
}

static const StreamCase StreamCases[] = {
    {"in order", {One, Two, Three}, BatchOutcome::Applied, 3, 3, false},
    {"duplicate", {One, Two, Two, One}, BatchOutcome::Duplicate, 2, 2, false},
    {"overlapping",
     {One, makeBatch(1, {stored(1), stored(2), stored(3)})},
     BatchOutcome::Applied,
     3,
     3,
     false},
    {"a duplicate store after the eviction does not bring it back",
     {One, Two, EvictionOfTwo, Two},
     BatchOutcome::Duplicate,
     1,
     1,
     false},
    {"out of order", {One, Three, Two}, BatchOutcome::Applied, 3, 3, false},
    {"open gap makes all unsure",
     {One, Two, filler(4)},
     BatchOutcome::Held,
     2,
     0,
     true},
    {"late eviction closes the gap",
     {One, Two, filler(4), EvictionOfTwo},
     BatchOutcome::Applied,
     1,
     1,
     false},
    {"lost events: old entries attract only",
     {One, Two, filler(4), filler(5), filler(6), filler(7), filler(8)},
     BatchOutcome::GapDeclared,
     2,
     0,
     true},
    {"lost events that arrive later are not applied",
     {One, Two, filler(4), filler(5), filler(6), filler(7), filler(8),
      EvictionOfTwo},
     BatchOutcome::Duplicate,
     2,
     0,
     true},
    {"stored again after the gap: sure again",
     {One, Two, filler(4), filler(5), filler(6), filler(7), filler(8),
      makeBatch(9, {stored(1)})},
     BatchOutcome::Applied,
     2,
     1,
     true},
    {"listing makes sure what it lists and drops the rest",
     {One, Two, Three, filler(9), makeListing(10, {stored(1), stored(2)})},
     BatchOutcome::Resynced,
     2,
     2,
     false},
    {"stale listing is ignored",
     {One, Two, Three, makeListing(2, {stored(1)})},
     BatchOutcome::StaleListing,
     3,
     3,
     false},
    {"changes after the listing go on",
     {One, makeListing(10, {stored(1)}), makeBatch(10, {stored(2)})},
     BatchOutcome::Applied,
     2,
     2,
     false},
    {"cleared",
     {One, Two, makeBatch(3, {{CacheEventKind::Cleared, {}}})},
     BatchOutcome::Applied,
     0,
     0,
     false},
    {"stored after cleared",
     {One, Two, makeBatch(3, {{CacheEventKind::Cleared, {}}, stored(1)})},
     BatchOutcome::Applied,
     1,
     1,
     false},
    {"first batch is not the first event",
     {makeBatch(7, {stored(1)})},
     BatchOutcome::Applied,
     1,
     1,
     true},
    {"dead incarnation",
     {One, fromIncarnation(Two, 4)},
     BatchOutcome::DeadIncarnation,
     1,
     1,
     false},
    {"a later incarnation ends this one",
     {One, Two, fromIncarnation(Three, 6)},
     BatchOutcome::UnknownTarget,
     0,
     0,
     false},
    {"events of the ended incarnation are ignored",
     {One, fromIncarnation(Three, 6), Two},
     BatchOutcome::UnknownTarget,
     0,
     0,
     false},
    {"eviction of an unknown block",
     {One, makeBatch(2, {evicted(9)})},
     BatchOutcome::Applied,
     1,
     1,
     false},
};

BOOST_AUTO_TEST_CASE(batches_in_any_order_give_the_expected_match) {
  for (const StreamCase &Case : StreamCases) {
    BOOST_TEST_CONTEXT(Case.Name) {
      IndexFixture F;
      BatchOutcome Last = BatchOutcome::Applied;
      for (const CacheEventBatch &Batch : Case.Batches)
        Last = F.Index.apply(Batch);
      HolderMatch Match = F.find({{1}, {2}, {3}});
      BOOST_TEST(enumName(Last) == enumName(Case.Last));
      BOOST_TEST(Match.CachedBlocks == Case.Cached);
      BOOST_TEST(Match.SureBlocks == Case.Sure);
      BOOST_TEST(F.Index.wantsListing(Engine) == Case.WantsListing);
    }
  }
}

BOOST_AUTO_TEST_CASE(silent_holder_is_asked_for_its_listing) {
  // As after a restart of the router: the engine's cache is full, and an idle
  // engine sends no events that would show it.
  IndexFixture F;
  BOOST_TEST(F.Index.wantsListing(Engine));
  F.Index.apply(makeListing(50, {stored(1)}));
  BOOST_TEST(!F.Index.wantsListing(Engine));
  BOOST_TEST(F.find({{1}}).SureBlocks == 1u);
}

BOOST_AUTO_TEST_CASE(
    new_incarnation_starts_empty_and_the_old_number_finds_nothing) {
  IndexFixture F;
  F.Index.apply(One);
  HolderNumber NewHolder = F.Index.addHolder(Engine, Incarnation{6});
  BOOST_TEST(NewHolder != NoHolder);
  F.find({{1}});
  BOOST_TEST(F.Matches.holders().empty());
  BOOST_TEST(F.Index.addHolder(Engine, EngineIncarnation) == NoHolder);
  F.Index.removeHolder(Engine);
  BOOST_TEST(
      (F.Index.apply(fromIncarnation(One, 6)) == BatchOutcome::UnknownTarget));
}

BOOST_AUTO_TEST_CASE(presumed_entries_attract_and_are_never_sure) {
  IndexFixture F;
  std::vector<BlockHash> Prompt = {{1}, {2}, {3}};
  F.Index.presume(F.Holder, Prompt);
  BOOST_TEST(F.find(Prompt).CachedBlocks == 3u);
  BOOST_TEST(F.find(Prompt).SureBlocks == 0u);
  F.Index.apply(One);
  BOOST_TEST(F.find(Prompt).SureBlocks == 1u);
}

BOOST_AUTO_TEST_CASE(counts_in_answers_correct_the_index) {
  IndexFixture F;
  std::vector<BlockHash> Prompt = {{1}, {2}, {3}};
  F.Index.apply(makeBatch(1, {stored(1), stored(2), stored(3)}));
  // The engine found only the first block: the others were evicted.
  F.Index.correct(F.Holder, Prompt, 1);
  BOOST_TEST(F.find(Prompt).CachedBlocks == 3u);
  BOOST_TEST(F.find(Prompt).SureBlocks == 1u);
  // The engine found a block that no event has reported.
  F.Index.correct(F.Holder, std::vector<BlockHash>{{7}}, 1);
  BOOST_TEST(F.find({{7}}).CachedBlocks == 1u);
  BOOST_TEST(F.find({{7}}).SureBlocks == 0u);
}

BOOST_AUTO_TEST_CASE(events_with_own_names_are_translated) {
  IndexFixture F;
  std::vector<BlockHash> Prompt = {{1}, {2}};
  std::vector<EngineBlockName> Names = {{71}, {72}};
  F.Index.learnNames(F.Holder, Prompt, Names);
  F.Index.apply(makeBatch(1, {stored(71), stored(72), stored(99)}));
  BOOST_TEST(F.find(Prompt).SureBlocks == 2u);
  F.Index.apply(makeBatch(4, {evicted(72)}));
  BOOST_TEST(F.find(Prompt).CachedBlocks == 1u);
}

BOOST_AUTO_TEST_CASE(eviction_keeps_the_hot_and_shared_levels) {
  IndexFixture F;
  uint64_t Number = 1;
  const std::vector<BlockHash> Shared = {{1}, {2}};
  F.Index.apply(makeBatch(Number, {stored(1), stored(2)}));
  Number += 2;
  for (uint64_t Leaf = 1000; Leaf < 21'000; ++Leaf) {
    F.Index.apply(makeBatch(Number++, {stored(Leaf)}));
    if (Leaf % 10 == 0)
      F.find({{1}, {2}, {Leaf}});
  }
  BOOST_TEST(F.Index.status().Entries <= 1000u);
  BOOST_TEST(F.find(Shared).CachedBlocks == 2u);
}

BOOST_AUTO_TEST_CASE(memory_stays_under_the_bound_per_block) {
  CacheIndex Index = CacheIndex::create({});
  std::vector<HolderNumber> Holders;
  for (int Each = 0; Each < 12; ++Each)
    Holders.push_back(
        Index.addHolder({"e" + std::to_string(Each)}, EngineIncarnation));
  RandomGenerator Random(1);
  for (int Count = 0; Count < 200'000; ++Count) {
    BlockHash Block{Random()};
    Index.presume(Holders[Count % 12], {&Block, 1});
    if (Count > 1000)
      BOOST_REQUIRE(Index.memoryBytes() < 40 * Index.status().Entries);
  }
}

// Compares the index with a plain model under random incarnations, events,
// losses and listings. Each entry that the index calls sure must be in the
// model's cache as of the last event applied.
BOOST_DATA_TEST_CASE(sure_entries_are_in_the_cache,
                     boost::unit_test::data::xrange(20), Seed) {
  RandomGenerator Random(Seed + 100);
  CacheIndex Index = CacheIndex::create({120, 1});
  struct Model {
    uint64_t Incarnation = 1;
    uint64_t NextNumber = 1;
    std::set<uint64_t> Blocks;
  };
  std::vector<Model> Models(4);
  auto TargetOf = [](size_t Each) {
    return TargetId{"e" + std::to_string(Each)};
  };
  std::vector<HolderNumber> Holders;
  for (size_t Each = 0; Each < Models.size(); ++Each)
    Holders.push_back(Index.addHolder(TargetOf(Each), Incarnation{1}));
  for (int Round = 0; Round < 3000; ++Round) {
    size_t Each = randomBelow(Random, Models.size());
    Model &Engine = Models[Each];
    CacheEventBatch Batch{TargetOf(Each),
                          Incarnation{Engine.Incarnation},
                          Engine.NextNumber,
                          CacheEventBatch::Scope::Changes,
                          {}};
    uint64_t Block = 1 + randomBelow(Random, 60);
    uint64_t Kind = randomBelow(Random, 100);
    if (Kind < 2) {
      Engine = Model{Engine.Incarnation + 1, 1, {}};
      Holders[Each] =
          Index.addHolder(TargetOf(Each), Incarnation{Engine.Incarnation});
      continue;
    }
    if (Kind < 6) {
      Batch.Coverage = CacheEventBatch::Scope::WholeCache;
      for (uint64_t Listed : Engine.Blocks)
        Batch.Events.push_back(stored(Listed));
    } else if (Engine.Blocks.erase(Block)) {
      Batch.Events.push_back(evicted(Block));
      ++Engine.NextNumber;
    } else {
      Engine.Blocks.insert(Block);
      Batch.Events.push_back(stored(Block));
      ++Engine.NextNumber;
    }
    if (Kind >= 95)
      continue; // The batch is lost.
    Index.apply(Batch);
    if (Kind >= 90)
      Index.apply(Batch);
    CacheMatches Matches;
    for (uint64_t Probe = 1; Probe <= 60; ++Probe) {
      BlockHash Hash{Probe};
      Index.lookup({&Hash, 1}, Matches);
      for (HolderNumber Holder : Matches.holders())
        for (size_t Owner = 0; Owner < Models.size(); ++Owner)
          if (Holders[Owner] == Holder && Matches.of(Holder).SureBlocks > 0 &&
              Owner == Each)
            BOOST_TEST(Models[Owner].Blocks.contains(Probe));
    }
  }
}

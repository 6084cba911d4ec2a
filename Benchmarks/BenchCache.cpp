/// \file
/// Measures the memory of the cache index per cached block, and how many events
/// it applies per second. Prints Markdown tables.
#include "LibCache/CacheIndex.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include <cstdio>

using namespace ferry;
using namespace ferry::cache;

static constexpr int HolderCount = 100;

static TargetId targetOf(uint64_t Number) {
  return TargetId{"e" + std::to_string(Number)};
}

static double secondsSince(Timestamp Start) {
  return std::chrono::duration<double>(steadyNow() - Start).count();
}

static CacheIndex makeIndex(size_t MaxEntries) {
  CacheIndex Index = CacheIndex::create({MaxEntries, 1});
  for (int Each = 0; Each < HolderCount; ++Each)
    Index.addHolder(targetOf(Each), Incarnation{1});
  return Index;
}

/// Fills an index with random blocks, in batches of 100 events.
static void fill(CacheIndex &Index, uint64_t Blocks) {
  RandomGenerator Random(1);
  std::vector<uint64_t> NextSequence(HolderCount, 1);
  for (uint64_t StoredBlocks = 0; StoredBlocks < Blocks; StoredBlocks += 100) {
    uint64_t Holder = randomBelow(Random, HolderCount);
    CacheEventBatch Batch{targetOf(Holder),
                          Incarnation{1},
                          NextSequence[Holder],
                          CacheEventBatch::Scope::Changes,
                          {}};
    for (int Each = 0; Each < 100; ++Each)
      Batch.Events.push_back({CacheEventKind::Stored, {Random()}});
    NextSequence[Holder] += 100;
    Index.apply(Batch);
  }
}

static void printMemory() {
  std::printf(
      "| cached blocks | memory, MB | bytes a block |\n|---|---|---|\n");
  for (uint64_t Blocks : {100'000, 500'000, 1'000'000, 2'000'000, 4'000'000}) {
    CacheIndex Index = makeIndex(5'000'000);
    fill(Index, Blocks);
    double Bytes = static_cast<double>(Index.memoryBytes());
    std::printf("| %llu | %.1f | %.1f |\n",
                static_cast<unsigned long long>(Index.status().Entries),
                Bytes / 1e6, Bytes / static_cast<double>(Blocks));
  }
}

/// Measures the steady state: each holder stores a new block and evicts its
/// oldest one.
static void printEvents() {
  std::printf("\n| cached blocks | events a second |\n|---|---|\n");
  for (uint64_t Blocks : {100'000, 1'000'000, 4'000'000}) {
    CacheIndex Index = makeIndex(5'000'000);
    std::vector<CacheEventBatch> Batches;
    RandomGenerator Random(2);
    uint64_t PerHolder = Blocks / HolderCount;
    std::vector<std::vector<uint64_t>> Stored(HolderCount);
    for (int Holder = 0; Holder < HolderCount; ++Holder) {
      CacheEventBatch Batch{targetOf(Holder),
                            Incarnation{1},
                            1,
                            CacheEventBatch::Scope::Changes,
                            {}};
      for (uint64_t Each = 0; Each < PerHolder; ++Each) {
        Stored[Holder].push_back(Random());
        Batch.Events.push_back(
            {CacheEventKind::Stored, {Stored[Holder][Each]}});
      }
      Index.apply(Batch);
    }
    constexpr uint64_t Rounds = 100;
    constexpr uint64_t PairsInBatch = 50;
    for (uint64_t Round = 0; Round < Rounds; ++Round)
      for (int Holder = 0; Holder < HolderCount; ++Holder) {
        CacheEventBatch Batch{targetOf(Holder),
                              Incarnation{1},
                              PerHolder + 1 + Round * 2 * PairsInBatch,
                              CacheEventBatch::Scope::Changes,
                              {}};
        for (uint64_t Each = 0; Each < PairsInBatch; ++Each) {
          uint64_t &Old =
              Stored[Holder][(Round * PairsInBatch + Each) % PerHolder];
          Batch.Events.push_back({CacheEventKind::Evicted, {Old}});
          Old = Random();
          Batch.Events.push_back({CacheEventKind::Stored, {Old}});
        }
        Batches.push_back(std::move(Batch));
      }
    Timestamp Start = steadyNow();
    for (const CacheEventBatch &Batch : Batches)
      Index.apply(Batch);
    double Events = Rounds * HolderCount * 2.0 * PairsInBatch;
    std::printf("| %llu | %.0f |\n", static_cast<unsigned long long>(Blocks),
                Events / secondsSince(Start));
  }
}

int main() {
  printMemory();
  printEvents();
}

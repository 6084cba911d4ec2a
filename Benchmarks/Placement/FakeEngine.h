/// \file
/// A small stand-in for an engine: continuous batching, one prefill at a time,
/// a limited prefix cache, and events that tell of it.
#ifndef FERRY_BENCHMARKS_PLACEMENT_FAKEENGINE_H
#define FERRY_BENCHMARKS_PLACEMENT_FAKEENGINE_H

#include "EventQueue.h"
#include "LibCache/CacheEvent.h"
#include "LibCore/TargetRecord.h"
#include "LibRouting/SchedulerEvents.h"
#include <deque>
#include <list>
#include <set>
#include <unordered_map>

namespace ferry::bench {

struct EngineJob {
  std::vector<cache::BlockHash> Blocks;
  uint64_t PromptTokens = 0;
  uint64_t OutputTokens = 0;
  routing::Priority Priority = routing::Priority::Interactive;
  std::function<void(uint64_t CachedTokens)> OnFirstToken;
  std::function<void()> OnDone;
  std::function<void()> OnLost;
  /// Order of arrival at the engine; set by it.
  uint64_t Sequence = 0;
};

class FakeEngine {
public:
  struct Options {
    TargetId Id;
    double PrefillTokensPerSecond = 20'000;
    size_t CacheBlocks = 120;
    uint32_t MaxConcurrent = 16;
    double SecondsPerOutputToken = 0.012;
    double AddedSecondsPerRunning = 0.0006;
  };

  FakeEngine(Options Chosen, EventQueue &Queue)
      : Chosen(std::move(Chosen)), Queue(Queue) {}

  /// Called as each prefill begins: blocks that are missing here.
  std::function<void(const std::vector<cache::BlockHash> &Missing,
                     uint64_t ComputedTokens, uint64_t PromptTokens)>
      OnPrefill;

  void submit(EngineJob Job) {
    if (!Up) {
      Queue.after(std::chrono::milliseconds(5), Job.OnLost);
      return;
    }
    auto Shared = std::make_shared<EngineJob>(std::move(Job));
    Shared->Sequence = NextSequence++;
    Waiting.push_back(Shared);
    Live.insert(Shared);
    beginPrefill();
  }

  void crash() {
    Up = false;
    ++Life;
    for (const auto &Job : Live)
      Queue.after(std::chrono::milliseconds(100), Job->OnLost);
    Live.clear();
    Waiting.clear();
    Running = 0;
    Prefilling = nullptr;
    Order.clear();
    Cached.clear();
    Events.clear();
    NextNumber = 1;
  }

  void restart() { Up = true; }

  bool isUp() const { return Up; }
  uint64_t life() const { return Life; }
  const TargetId &id() const { return Chosen.Id; }
  const Options &options() const { return Chosen; }
  bool holds(cache::BlockHash Block) const { return Cached.contains(Block); }

  /// \returns the leading blocks cached now or by jobs that wait or run.
  size_t trueMatch(const std::vector<cache::BlockHash> &Blocks) const {
    size_t Best = cachedPrefix(Blocks);
    for (const auto &Job : Live) {
      size_t Common = 0;
      while (Common < Blocks.size() && Common < Job->Blocks.size() &&
             Blocks[Common] == Job->Blocks[Common])
        ++Common;
      Best = std::max(Best, Common);
    }
    return Best;
  }

  /// \returns seconds of prefill that wait or run.
  double trueWaitSeconds() const {
    double Tokens = 0;
    for (const auto &Job : Waiting)
      Tokens += computedTokens(*Job);
    double Seconds = Tokens / Chosen.PrefillTokensPerSecond;
    if (Prefilling)
      Seconds += std::max(
          0.0, std::chrono::duration<double>(PrefillEnd - Queue.now()).count());
    if (Running + Waiting.size() >= Chosen.MaxConcurrent)
      Seconds += 0.5;
    return Seconds;
  }

  TargetLoad load() const {
    TargetLoad Load;
    Load.RunningRequests = Running + (Prefilling ? 1 : 0);
    Load.QueuedRequests = static_cast<uint32_t>(Waiting.size());
    for (const auto &Job : Waiting)
      Load.QueuedPrefillTokens += static_cast<uint64_t>(computedTokens(*Job));
    if (Prefilling)
      Load.QueuedPrefillTokens += static_cast<uint64_t>(
          std::max(
              0.0,
              std::chrono::duration<double>(PrefillEnd - Queue.now()).count()) *
          Chosen.PrefillTokensPerSecond);
    Load.MaxConcurrent = Chosen.MaxConcurrent;
    return Load;
  }

  /// Takes the events since the last call, as one numbered batch.
  cache::CacheEventBatch takeEvents() {
    cache::CacheEventBatch Batch{Chosen.Id, Incarnation{Life}, NextNumber,
                                 cache::CacheEventBatch::Scope::Changes,
                                 std::move(Events)};
    Events.clear();
    NextNumber += Batch.Events.size();
    return Batch;
  }

  /// Lists the whole cache as of the events taken.
  cache::CacheEventBatch listCache() const {
    cache::CacheEventBatch Batch{Chosen.Id,
                                 Incarnation{Life},
                                 NextNumber + Events.size(),
                                 cache::CacheEventBatch::Scope::WholeCache,
                                 {}};
    for (const auto &[Block, Place] : Cached)
      Batch.Events.push_back({cache::CacheEventKind::Stored, Block});
    return Batch;
  }

private:
  using JobPtr = std::shared_ptr<EngineJob>;
  /// By arrival and not by address, so that runs repeat.
  struct ArrivalOrder {
    bool operator()(const JobPtr &Left, const JobPtr &Right) const {
      return Left->Sequence < Right->Sequence;
    }
  };

  size_t cachedPrefix(const std::vector<cache::BlockHash> &Blocks) const {
    size_t Count = 0;
    while (Count < Blocks.size() && Cached.contains(Blocks[Count]))
      ++Count;
    return Count;
  }

  double computedTokens(const EngineJob &Job) const {
    return static_cast<double>(Job.PromptTokens -
                               cachedPrefix(Job.Blocks) * cache::BlockTokens);
  }

  void beginPrefill() {
    if (Prefilling || Waiting.empty() || Running >= Chosen.MaxConcurrent)
      return;
    auto Next = std::find_if(Waiting.begin(), Waiting.end(), [](auto &Job) {
      return Job->Priority == routing::Priority::Interactive;
    });
    if (Next == Waiting.end())
      Next = Waiting.begin();
    Prefilling = *Next;
    Waiting.erase(Next);
    size_t Match = cachedPrefix(Prefilling->Blocks);
    uint64_t CachedTokens = Match * cache::BlockTokens;
    uint64_t Computed = Prefilling->PromptTokens - CachedTokens;
    OnPrefill({Prefilling->Blocks.begin() + static_cast<ptrdiff_t>(Match),
               Prefilling->Blocks.end()},
              Computed, Prefilling->PromptTokens);
    touch(Prefilling->Blocks);
    double Seconds =
        0.004 + static_cast<double>(Computed) / Chosen.PrefillTokensPerSecond;
    PrefillEnd = Queue.now() +
                 std::chrono::microseconds(static_cast<int64_t>(Seconds * 1e6));
    Queue.at(PrefillEnd, [this, OfLife = Life, CachedTokens] {
      if (OfLife == Life)
        endPrefill(CachedTokens);
    });
  }

  void endPrefill(uint64_t CachedTokens) {
    JobPtr Job = Prefilling;
    Prefilling = nullptr;
    store(Job->Blocks);
    ++Running;
    Job->OnFirstToken(CachedTokens);
    double Seconds = static_cast<double>(Job->OutputTokens) *
                     (Chosen.SecondsPerOutputToken +
                      Chosen.AddedSecondsPerRunning * Running);
    Queue.after(std::chrono::microseconds(static_cast<int64_t>(Seconds * 1e6)),
                [this, OfLife = Life, Job] {
                  if (OfLife != Life)
                    return;
                  --Running;
                  Live.erase(Job);
                  Job->OnDone();
                  beginPrefill();
                });
    beginPrefill();
  }

  /// Makes the front of a prefix newer than its end, so that ends go first.
  void touch(const std::vector<cache::BlockHash> &Blocks) {
    for (auto Each = Blocks.rbegin(); Each != Blocks.rend(); ++Each) {
      auto Found = Cached.find(*Each);
      if (Found != Cached.end())
        Order.splice(Order.begin(), Order, Found->second);
    }
  }

  void store(const std::vector<cache::BlockHash> &Blocks) {
    for (cache::BlockHash Block : Blocks) {
      if (Cached.contains(Block))
        continue;
      Order.push_front(Block);
      Cached[Block] = Order.begin();
      Events.push_back({cache::CacheEventKind::Stored, Block});
    }
    touch(Blocks);
    while (Order.size() > Chosen.CacheBlocks) {
      Events.push_back({cache::CacheEventKind::Evicted, Order.back()});
      Cached.erase(Order.back());
      Order.pop_back();
    }
  }

  Options Chosen;
  EventQueue &Queue;
  bool Up = true;
  uint64_t Life = 1;
  std::deque<JobPtr> Waiting;
  std::set<JobPtr, ArrivalOrder> Live;
  uint64_t NextSequence = 0;
  JobPtr Prefilling;
  Timestamp PrefillEnd;
  uint32_t Running = 0;
  std::list<cache::BlockHash> Order;
  std::unordered_map<cache::BlockHash, std::list<cache::BlockHash>::iterator>
      Cached;
  std::vector<cache::CacheEvent> Events;
  uint64_t NextNumber = 1;
};

} // namespace ferry::bench

#endif

/// \file
/// A simulated engine with continuous batching, one prefill at a time, a prefix
/// cache of limited size, and the events of that cache.
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
  /// Order of arrival at the engine, which sets it.
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

  FakeEngine(Options EngineOptions, EventQueue &Queue)
      : EngineOptions(std::move(EngineOptions)), Queue(Queue) {}

  /// Called at the start of each prefill, with the prompt's blocks that are not
  /// in this engine's cache.
  std::function<void(const std::vector<cache::BlockHash> &Missing,
                     uint64_t ComputedTokens, uint64_t PromptTokens)>
      OnPrefill;

  void submit(EngineJob Job) {
    if (!IsUp) {
      Queue.after(std::chrono::milliseconds(5), Job.OnLost);
      return;
    }
    auto Shared = std::make_shared<EngineJob>(std::move(Job));
    Shared->Sequence = NextSequence++;
    Waiting.push_back(Shared);
    UnfinishedJobs.insert(Shared);
    beginPrefill();
  }

  void crash() {
    IsUp = false;
    ++CurrentIncarnation;
    for (const auto &Job : UnfinishedJobs)
      Queue.after(std::chrono::milliseconds(100), Job->OnLost);
    UnfinishedJobs.clear();
    Waiting.clear();
    Running = 0;
    Prefilling = nullptr;
    RecentlyUsed.clear();
    Cached.clear();
    Events.clear();
    NextEventNumber = 1;
  }

  void restart() { IsUp = true; }

  bool isUp() const { return IsUp; }
  uint64_t incarnation() const { return CurrentIncarnation; }
  const TargetId &id() const { return EngineOptions.Id; }
  const Options &options() const { return EngineOptions; }
  bool holds(cache::BlockHash Block) const { return Cached.contains(Block); }

  /// \returns how many leading blocks are cached now, or are part of a job that
  /// waits or runs.
  size_t trueMatch(const std::vector<cache::BlockHash> &Blocks) const {
    size_t Best = cachedPrefix(Blocks);
    for (const auto &Job : UnfinishedJobs) {
      size_t Common = 0;
      while (Common < Blocks.size() && Common < Job->Blocks.size() &&
             Blocks[Common] == Job->Blocks[Common])
        ++Common;
      Best = std::max(Best, Common);
    }
    return Best;
  }

  /// \returns the estimated seconds until a new job's prefill could begin.
  double trueWaitSeconds() const {
    double Tokens = 0;
    for (const auto &Job : Waiting)
      Tokens += computedTokens(*Job);
    double Seconds = Tokens / EngineOptions.PrefillTokensPerSecond;
    if (Prefilling)
      Seconds += std::max(
          0.0, std::chrono::duration<double>(PrefillEnd - Queue.now()).count());
    if (Running + Waiting.size() >= EngineOptions.MaxConcurrent)
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
          EngineOptions.PrefillTokensPerSecond);
    Load.MaxConcurrent = EngineOptions.MaxConcurrent;
    return Load;
  }

  /// Removes the events since the last call.
  /// \returns them as one numbered batch.
  cache::CacheEventBatch takeEvents() {
    cache::CacheEventBatch Batch{
        EngineOptions.Id, Incarnation{CurrentIncarnation}, NextEventNumber,
        cache::CacheEventBatch::Scope::Changes, std::move(Events)};
    Events.clear();
    NextEventNumber += Batch.Events.size();
    return Batch;
  }

  /// \returns the whole cache as one batch, numbered after all events so far.
  cache::CacheEventBatch listCache() const {
    cache::CacheEventBatch Batch{EngineOptions.Id,
                                 Incarnation{CurrentIncarnation},
                                 NextEventNumber + Events.size(),
                                 cache::CacheEventBatch::Scope::WholeCache,
                                 {}};
    for (const auto &[Block, Place] : Cached)
      Batch.Events.push_back({cache::CacheEventKind::Stored, Block});
    return Batch;
  }

private:
  using JobPtr = std::shared_ptr<EngineJob>;
  /// Orders jobs by arrival and not by address, so that runs are reproducible.
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
    if (Prefilling || Waiting.empty() || Running >= EngineOptions.MaxConcurrent)
      return;
    auto NextJob = std::find_if(Waiting.begin(), Waiting.end(), [](auto &Job) {
      return Job->Priority == routing::Priority::Interactive;
    });
    if (NextJob == Waiting.end())
      NextJob = Waiting.begin();
    Prefilling = *NextJob;
    Waiting.erase(NextJob);
    size_t Match = cachedPrefix(Prefilling->Blocks);
    uint64_t CachedTokens = Match * cache::BlockTokens;
    uint64_t Computed = Prefilling->PromptTokens - CachedTokens;
    OnPrefill({Prefilling->Blocks.begin() + static_cast<ptrdiff_t>(Match),
               Prefilling->Blocks.end()},
              Computed, Prefilling->PromptTokens);
    touch(Prefilling->Blocks);
    double Seconds = 0.004 + static_cast<double>(Computed) /
                                 EngineOptions.PrefillTokensPerSecond;
    PrefillEnd = Queue.now() +
                 std::chrono::microseconds(static_cast<int64_t>(Seconds * 1e6));
    Queue.at(PrefillEnd,
             [this, JobIncarnation = CurrentIncarnation, CachedTokens] {
               if (JobIncarnation == CurrentIncarnation)
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
                     (EngineOptions.SecondsPerOutputToken +
                      EngineOptions.AddedSecondsPerRunning * Running);
    Queue.after(std::chrono::microseconds(static_cast<int64_t>(Seconds * 1e6)),
                [this, JobIncarnation = CurrentIncarnation, Job] {
                  if (JobIncarnation != CurrentIncarnation)
                    return;
                  --Running;
                  UnfinishedJobs.erase(Job);
                  Job->OnDone();
                  beginPrefill();
                });
    beginPrefill();
  }

  /// Marks the blocks as used, the first one last: eviction removes the end of
  /// a prefix before its front.
  void touch(const std::vector<cache::BlockHash> &Blocks) {
    for (auto Each = Blocks.rbegin(); Each != Blocks.rend(); ++Each) {
      auto CachedBlock = Cached.find(*Each);
      if (CachedBlock != Cached.end())
        RecentlyUsed.splice(RecentlyUsed.begin(), RecentlyUsed,
                            CachedBlock->second);
    }
  }

  void store(const std::vector<cache::BlockHash> &Blocks) {
    for (cache::BlockHash Block : Blocks) {
      if (Cached.contains(Block))
        continue;
      RecentlyUsed.push_front(Block);
      Cached[Block] = RecentlyUsed.begin();
      Events.push_back({cache::CacheEventKind::Stored, Block});
    }
    touch(Blocks);
    while (RecentlyUsed.size() > EngineOptions.CacheBlocks) {
      Events.push_back({cache::CacheEventKind::Evicted, RecentlyUsed.back()});
      Cached.erase(RecentlyUsed.back());
      RecentlyUsed.pop_back();
    }
  }

  Options EngineOptions;
  EventQueue &Queue;
  bool IsUp = true;
  uint64_t CurrentIncarnation = 1;
  std::deque<JobPtr> Waiting;
  std::set<JobPtr, ArrivalOrder> UnfinishedJobs;
  uint64_t NextSequence = 0;
  JobPtr Prefilling;
  Timestamp PrefillEnd;
  uint32_t Running = 0;
  std::list<cache::BlockHash> RecentlyUsed;
  std::unordered_map<cache::BlockHash, std::list<cache::BlockHash>::iterator>
      Cached;
  std::vector<cache::CacheEvent> Events;
  uint64_t NextEventNumber = 1;
};

} // namespace ferry::bench

#endif

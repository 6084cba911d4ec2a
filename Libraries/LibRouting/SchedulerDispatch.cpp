#include "LibRouting/Scheduler.h"
#include <algorithm>

namespace ferry::routing {

/// Waiting requests examined in one pass over a service's queue.
static constexpr size_t MaxScanned = 16;
/// Waiting requests of one flow that a pass skips before it turns to the next
/// flow.
static constexpr size_t MaxScannedPerFlow = 4;

void Scheduler::dispatchAllWaiting(Timestamp Now) {
  if (Queued == 0)
    return;
  refuseExpired(Now);
  for (auto &[Id, Pool] : Pools)
    dispatchWaiting(Pool, Now);
}

bool Scheduler::hasRoom(const ServicePool &Pool, Timestamp Now) const {
  return std::any_of(
      Pool.Targets.begin(), Pool.Targets.end(), [&](const TargetState *Target) {
        return Target->isUsable(Pool.Service, Now) && Target->hasRoom(Now);
      });
}

void Scheduler::dispatchWaiting(ServicePool &Pool, Timestamp Now) {
  if (Pool.Queue.empty())
    return;
  if (findViewRefusal(Now))
    return refuseExpired(Now);
  size_t Scanned = 0;
  for (FairQueue::Flow *Flow : Pool.Queue.backlogged()) {
    size_t Skipped = 0;
    while (Skipped < Flow->Waiting.size() && Skipped < MaxScannedPerFlow) {
      if (++Scanned > MaxScanned || !hasRoom(Pool, Now))
        return;
      RequestState &Request = *Flow->Waiting[Skipped];
      if (!tryDispatch(Pool, Request, Now))
        ++Skipped;
    }
  }
}

void Scheduler::collectCandidates(ServicePool &Pool,
                                  const RequestState &Request, Timestamp Now) {
  Candidates.clear();
  Index.lookup(Request.Blocks, Matches);
  for (TargetState *Target : Pool.Targets) {
    if (!Target->isUsable(Pool.Service, Now) ||
        Request.hasTried(Target->record().Id))
      continue;
    auto Space =
        Target->hasRoom(Now) ? Candidate::Room::Free : Candidate::Room::Full;
    cache::HolderMatch Match = Matches.of(Target->Holder);
    Candidates.push_back({Target, Space, Match.CachedBlocks, Match.SureBlocks});
  }
}

const TargetState *Scheduler::findBestStore(const ServicePool &Pool,
                                            Timestamp Now) const {
  const TargetState *Best = nullptr;
  uint32_t BestBlocks = 0;
  for (const TargetState *Store : Pool.Stores) {
    const TargetRecord &Record = Store->record();
    if (Record.Phase != TargetPhase::Ready || Now >= Record.UsableUntil)
      continue;
    // Entries that are not sure may be gone from the store.
    uint32_t Blocks = Matches.of(Store->Holder).SureBlocks;
    if (Blocks <= BestBlocks)
      continue;
    Best = Store;
    BestBlocks = Blocks;
  }
  return Best;
}

PlacementQuery Scheduler::makeQuery(const ServicePool &Pool,
                                    const RequestState &Request,
                                    Timestamp Now) const {
  PlacementQuery Query;
  Query.Request = &Request;
  Query.Objective = Pool.Service.Objective;
  Query.Now = Now;
  Query.Store = findBestStore(Pool, Now);
  if (Query.Store)
    Query.StoreBlocks = Matches.of(Query.Store->Holder).SureBlocks;
  Query.ImportTokensPerSecond = Opts.ImportTokensPerSecond;
  return Query;
}

std::vector<ImportPlan> Scheduler::planImports(const ServicePool &Pool,
                                               const PlacementQuery &Query,
                                               const Candidate &Best) const {
  if (Pool.Service.Kind != TargetKind::Engine || !importPays(Query, Best))
    return {};
  const TargetRecord &Store = Query.Store->record();
  return {{Store.Id, Store.Address, Query.StoreBlocks}};
}

PlacementChoice Scheduler::choose(const ServicePool &Pool,
                                  const RequestState &Request, Timestamp Now) {
  PlacementQuery Query = makeQuery(Pool, Request, Now);
  if (Request.Kind == RequestKind::Call)
    return placeCall(Query, Candidates);
  return place(Opts.Placement, Query, Candidates);
}

bool Scheduler::tryDispatch(ServicePool &Pool, RequestState &Request,
                            Timestamp Now) {
  Request.stopWaiting();
  collectCandidates(Pool, Request, Now);
  if (Candidates.empty()) {
    refuse(Request, RefusalKind::NoTarget, Now);
    return true;
  }
  PlacementChoice Choice = choose(Pool, Request, Now);
  const Candidate &Best = Candidates[Choice.Index];
  if (Best.Space == Candidate::Room::Full) {
    Request.waitFor(*Best.Target,
                    static_cast<double>(missingTokens(Request, Best)));
    return false;
  }
  // A request that would end too late only delays those that can end in time.
  if (!Request.IsProbe && estimateAnswerSeconds(Pool, Request, Choice) >
                              secondsBetween(Now, Request.Deadline)) {
    refuse(Request, RefusalKind::DeadlineTooNear, Now);
    return true;
  }
  dispatch(Pool, Request, Best, Choice.EstimateSeconds, Now);
  return true;
}

void Scheduler::dispatch(ServicePool &Pool, RequestState &Request,
                         const Candidate &Best, double EstimateSeconds,
                         Timestamp Now) {
  Pool.Queue.serve(Request, Request.work());
  --Queued;
  Pool.Drain.note(Request.work(), !Pool.Queue.empty(), Now);
  const TargetRecord &Record = Best.Target->record();
  PlacementQuery Query = makeQuery(Pool, Request, Now);
  TryState Try;
  Try.Target = Record.Id;
  Try.Incarnation = Record.Incarnation;
  Try.SentAt = Now;
  Try.MissingTokens = computedTokens(Query, Best);
  Try.WorkAhead = Best.Target->queuedPrefill(LoadCorrection::OwnTries, Now) +
                  static_cast<double>(Try.MissingTokens);
  Try.ExpectedFirstByteAt = Now + toDuration(EstimateSeconds);
  Best.Target->startTry(Try);
  Request.Current = Try;
  Request.Tried.push_back(Record.Id);
  uint64_t Expected =
      std::min(Best.SureBlocks * cache::BlockTokens, Request.PromptTokens);
  ++Counters.Dispatched;
  Counters.ExpectedCachedTokens += Expected;
  Effects.push_back(Dispatch{Request.Id, Record.Id, Record.Incarnation,
                             Record.Weights, Record.Address, Expected,
                             planImports(Pool, Query, Best)});
  Index.presume(Best.Target->Holder, Request.Blocks);
}

} // namespace ferry::routing

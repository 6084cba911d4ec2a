#include "LibRouting/Scheduler.h"
#include <algorithm>

namespace ferry::routing {

/// Waiting requests looked at in one round over a service's queue.
static constexpr size_t MaxScanned = 16;
/// Of these, those of one flow.
static constexpr size_t MaxScannedPerFlow = 4;

void Scheduler::pumpAll(Timestamp Now) {
  if (Queued == 0)
    return;
  dropExpired(Now);
  for (auto &[Id, Pool] : Pools)
    pump(Pool, Now);
}

bool Scheduler::hasRoom(const ServicePool &Pool, Timestamp Now) const {
  return std::any_of(
      Pool.Targets.begin(), Pool.Targets.end(), [&](const TargetState *Target) {
        return Target->isUsable(Pool.Service, Now) && Target->hasRoom(Now);
      });
}

void Scheduler::pump(ServicePool &Pool, Timestamp Now) {
  if (Pool.Queue.empty())
    return;
  if (findViewObstacle(Now))
    return dropExpired(Now);
  for (TargetState *Target : Pool.Targets)
    Target->HeldTokens = 0;
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
  for (TargetState *Target : Pool.Targets) {
    if (!Target->isUsable(Pool.Service, Now) ||
        Request.hasTried(Target->record().Id))
      continue;
    auto Space =
        Target->hasRoom(Now) ? Candidate::Room::Free : Candidate::Room::Full;
    Candidates.push_back({Target, Space, 0, 0});
  }
}

PlacementChoice Scheduler::choose(const ServicePool &Pool,
                                  const RequestState &Request, Timestamp Now) {
  PlacementQuery Query{&Request, Pool.Service.Objective, Now};
  if (Request.Kind == RequestKind::Call)
    return placeCall(Query, Candidates);
  return place(Chosen.Placement, Query, Candidates);
}

bool Scheduler::tryDispatch(ServicePool &Pool, RequestState &Request,
                            Timestamp Now) {
  collectCandidates(Pool, Request, Now);
  if (Candidates.empty()) {
    refuse(Request, RefusalKind::NoTarget, Now);
    return true;
  }
  PlacementChoice Choice = choose(Pool, Request, Now);
  const Candidate &Best = Candidates[Choice.Index];
  if (Best.Space == Candidate::Room::Full) {
    Best.Target->HeldTokens +=
        static_cast<double>(missingTokens(Request, Best));
    return false;
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
  TryState Try;
  Try.Target = Record.Id;
  Try.Incarnation = Record.Incarnation;
  Try.SentAt = Now;
  Try.MissingTokens = missingTokens(Request, Best);
  Try.WorkAhead = Best.Target->queuedPrefill(LoadCorrection::OwnTries) +
                  static_cast<double>(Try.MissingTokens);
  Try.ExpectedFirstByteAt = Now + toDuration(EstimateSeconds);
  Best.Target->startTry(Try);
  Request.Current = Try;
  Request.Tried.push_back(Record.Id);
  uint64_t Expected =
      std::min(Best.SureBlocks * cache::BlockTokens, Request.PromptTokens);
  ++Counters.Dispatched;
  Counters.ExpectedCachedTokens += Expected;
  Effects.push_back(Dispatch{Request.Id,
                             Record.Id,
                             Record.Incarnation,
                             Record.Weights,
                             Record.Address,
                             Expected,
                             {}});
}

} // namespace ferry::routing

#include "LibRouting/Scheduler.h"

namespace ferry::routing {

void Scheduler::noteFirstByte(const FirstByte &Event, Timestamp Now) {
  auto Entry = Requests.find(Event.Id);
  if (Entry == Requests.end() || !Entry->second->Current)
    return;
  RequestState &Request = *Entry->second;
  TryState &Try = *Request.Current;
  if (Try.FirstByteAt)
    return;
  Try.FirstByteAt = Now;
  Counters.FoundCachedTokens += Event.CachedTokens;
  Counters.PromptTokens += Request.PromptTokens;
  uint64_t Computed = Request.PromptTokens > Event.CachedTokens
                          ? Request.PromptTokens - Event.CachedTokens
                          : 0;
  if (TargetState *Target = findTarget(Try.Target, Try.Incarnation)) {
    Target->noteFirstByte(Try, Computed, rateLearning(), Now);
    Index.learnNames(Target->Holder, Request.Blocks, Event.BlockNames);
    Index.correct(Target->Holder, Request.Blocks,
                  Event.CachedTokens / cache::BlockTokens);
  }
  auto Pool = Pools.find(Request.Service);
  if (Pool != Pools.end())
    dispatchWaiting(Pool->second, Now);
}

void Scheduler::endTry(const TryEnded &Event, Timestamp Now) {
  auto Entry = Requests.find(Event.Id);
  if (Entry == Requests.end() || !Entry->second->Current)
    return;
  RequestState &Request = *Entry->second;
  TryState Try = *Request.Current;
  Request.Current.reset();
  if (TargetState *Target = findTarget(Try.Target, Try.Incarnation))
    Target->endTry(Try, Event.Outcome, Now);
  ServiceId Service = Request.Service;
  auto Pool = Pools.find(Service);
  bool Finished = Event.Outcome == TryOutcome::Succeeded ||
                  Event.Outcome == TryOutcome::Cancelled;
  if (Event.Outcome == TryOutcome::Succeeded && Try.FirstByteAt &&
      Pool != Pools.end())
    Pool->second.Answers.note(secondsBetween(*Try.FirstByteAt, Now),
                              Request.MaxOutputTokens);
  if (Finished)
    Requests.erase(Entry);
  else
    retry(Request, Event, Now);
  if (Pool != Pools.end())
    dispatchWaiting(Pool->second, Now);
}

void Scheduler::retry(RequestState &Request, const TryEnded &Event,
                      Timestamp Now) {
  if (Event.MayRepeat == TryEnded::Repeat::Forbidden)
    return refuse(Request, RefusalKind::RepeatForbidden, Now);
  if (auto Kind = findViewRefusal(Now))
    return refuse(Request, *Kind, Now);
  auto Entry = Pools.find(Request.Service);
  if (Entry == Pools.end())
    return refuse(Request, RefusalKind::UnknownService, Now);
  if (Now >= Request.Deadline)
    return refuse(Request, RefusalKind::DeadlinePassed, Now);
  ServicePool &Pool = Entry->second;
  collectCandidates(Pool, Request, Now);
  if (Candidates.empty())
    return refuse(Request, RefusalKind::NoTarget, Now);
  // The budget bounds the load of retries on targets, and a try that sent
  // nothing has put no load on its target.
  bool AddedLoad = Event.Outcome != TryOutcome::NotSent;
  if (AddedLoad && !Pool.Budget.spend())
    return refuse(Request, RefusalKind::RetryBudgetSpent, Now);
  ++Counters.Retried;
  Pool.Queue.pushFront(Request, shareOf(Request.Workspace));
  ++Queued;
}

void Scheduler::withdraw(const Withdraw &Event, Timestamp Now) {
  auto Entry = Requests.find(Event.Id);
  if (Entry == Requests.end())
    return;
  RequestState &Request = *Entry->second;
  // A running try is ended by its TryEnded event.
  if (Request.Current)
    return;
  ServicePool &Pool = Pools.at(Request.Service);
  Request.stopWaiting();
  Pool.Queue.remove(Request);
  --Queued;
  Requests.erase(Entry);
  dispatchWaiting(Pool, Now);
}

} // namespace ferry::routing

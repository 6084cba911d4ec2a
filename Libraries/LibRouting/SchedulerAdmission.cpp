#include "LibCore/Visit.h"
#include "LibRouting/Scheduler.h"
#include <algorithm>

namespace ferry::routing {

static constexpr double MinRetrySeconds = 0.1;
static constexpr double MaxRetrySeconds = 30;
/// Delay before a resend if no estimate is available.
static constexpr double DefaultRetrySeconds = 1;
/// Fraction of the delay by which it is lengthened at random, so that refused
/// callers do not resend all at once.
static constexpr double RetrySpread = 0.5;
static constexpr uint64_t SpreadSteps = 1000;
/// Time between the probes of one service.
static constexpr Duration ProbeInterval = std::chrono::seconds(1);

std::optional<RefusalKind> Scheduler::findViewRefusal(Timestamp Now) const {
  if (!View || !View->Description)
    return RefusalKind::NoDescription;
  bool Confirmed = Now < View->ConfirmedUntil &&
                   View->OwnStanding != HostStanding::Unconfirmed;
  bool ServesReads = View->Description->WhenUnconfirmed ==
                     config::UnconfirmedPolicy::ServeReads;
  if (!Confirmed && !ServesReads)
    return RefusalKind::Unconfirmed;
  return std::nullopt;
}

std::optional<RefusalKind> Scheduler::findRefusal(const RequestState &Request,
                                                  Timestamp Now) const {
  if (auto Kind = findViewRefusal(Now))
    return Kind;
  if (View->OwnStanding == HostStanding::Draining)
    return RefusalKind::Draining;
  if (!View->Description->findWorkspace(Request.Workspace))
    return RefusalKind::UnknownWorkspace;
  if (!View->Description->findService(Request.Service))
    return RefusalKind::UnknownService;
  if (Now >= Request.Deadline)
    return RefusalKind::DeadlinePassed;
  return std::nullopt;
}

void Scheduler::submit(std::unique_ptr<RequestState> Owned, Timestamp Now) {
  ++Counters.Submitted;
  RequestState &Request = *Owned;
  Request.SubmittedAt = Now;
  if (Requests.contains(Request.Id)) {
    // The request submitted first goes on; only the duplicate is refused.
    ++Counters.Refused[RefusalKind::DuplicateRequest];
    Effects.push_back(Refusal{Request.Id, RefusalKind::DuplicateRequest,
                              Now + toDuration(DefaultRetrySeconds)});
    return;
  }
  Requests.emplace(Request.Id, std::move(Owned));
  if (auto Kind = findRefusal(Request, Now))
    return refuse(Request, *Kind, Now);
  ServicePool &Pool = Pools.at(Request.Service);
  collectCandidates(Pool, Request, Now);
  if (Candidates.empty())
    return refuse(Request, RefusalKind::NoTarget, Now);
  if (!canMeetDeadline(Pool, Request, Now))
    return refuse(Request, RefusalKind::DeadlineTooNear, Now);
  if (!makeRoom(Request, Now))
    return;
  Pool.Budget.earn(View->Description->Limits.RetryBudgetPercent);
  Pool.Queue.push(Request, shareOf(Request.Workspace));
  ++Queued;
  dispatchWaiting(Pool, Now);
}

double Scheduler::estimateQueueSeconds(const ServicePool &Pool,
                                       const RequestState &Request) const {
  auto Rate = Pool.Drain.rate();
  if (!Rate || *Rate <= 0 || Pool.Queue.empty())
    return 0;
  FairQueue::FlowKey Key{Request.Workspace, Request.Priority};
  return Pool.Queue.workAhead(Key, shareOf(Request.Workspace)) / *Rate;
}

double Scheduler::estimateAnswerSeconds(const ServicePool &Pool,
                                        const RequestState &Request,
                                        const PlacementChoice &Choice) const {
  if (Request.Kind == RequestKind::Call)
    return Candidates[Choice.Index].Target->serviceSeconds();
  return Choice.EstimateSeconds +
         Pool.Answers.SecondsPerOutputToken *
             static_cast<double>(Request.MaxOutputTokens);
}

bool Scheduler::mayProbe(ServicePool &Pool, Timestamp Now) const {
  // If the estimates refuse every request, no answer corrects them: probes do.
  if (Now < Pool.NextProbeAt || !Pool.isIdle())
    return false;
  bool IsFirst = Pool.NextProbeAt == Timestamp{};
  Pool.NextProbeAt = Now + ProbeInterval;
  return !IsFirst;
}

bool Scheduler::canMeetDeadline(ServicePool &Pool, RequestState &Request,
                                Timestamp Now) {
  PlacementChoice Choice = choose(Pool, Request, Now);
  double Seconds = estimateQueueSeconds(Pool, Request) +
                   estimateAnswerSeconds(Pool, Request, Choice);
  // The request counts as waiting for this target until it is dispatched.
  const Candidate &Best = Candidates[Choice.Index];
  Request.waitFor(*Best.Target,
                  static_cast<double>(missingTokens(Request, Best)));
  if (Seconds <= secondsBetween(Now, Request.Deadline))
    return true;
  Request.IsProbe = mayProbe(Pool, Now);
  return Request.IsProbe;
}

bool Scheduler::makeRoom(const RequestState &NewRequest, Timestamp Now) {
  if (Queued < View->Description->Limits.MaxQueued)
    return true;
  ServicePool &Pool = Pools.at(NewRequest.Service);
  RequestState *Displaced = Pool.Queue.newestOverSharedRequest();
  auto &StoredRequest = *Requests.at(NewRequest.Id);
  if (!Displaced || Displaced->Workspace == NewRequest.Workspace) {
    refuse(StoredRequest, RefusalKind::QueueFull, Now);
    return false;
  }
  // The newest request of the heaviest flow is refused instead, if its
  // workspace has more queued work per share than that of the new request.
  double OwnWork = 0;
  double DisplacedWork = 0;
  for (const auto &[Key, Flow] : Pool.Queue.flows()) {
    if (Key.Workspace == NewRequest.Workspace)
      OwnWork += Flow.QueuedWork;
    if (Key.Workspace == Displaced->Workspace)
      DisplacedWork += Flow.QueuedWork;
  }
  if ((OwnWork + NewRequest.work()) / shareOf(NewRequest.Workspace) >=
      DisplacedWork / shareOf(Displaced->Workspace)) {
    refuse(StoredRequest, RefusalKind::QueueFull, Now);
    return false;
  }
  refuse(*Displaced, RefusalKind::ShareExceeded, Now);
  return true;
}

Timestamp Scheduler::retryTime(const RequestState &Request, RefusalKind Kind,
                               Timestamp Now) {
  double Seconds = DefaultRetrySeconds;
  auto Pool = Pools.find(Request.Service);
  bool IsOverload =
      Kind == RefusalKind::QueueFull || Kind == RefusalKind::DeadlineTooNear ||
      Kind == RefusalKind::ShareExceeded || Kind == RefusalKind::DeadlinePassed;
  if (IsOverload && Pool != Pools.end())
    Seconds = estimateQueueSeconds(Pool->second, Request);
  Seconds = std::clamp(Seconds, MinRetrySeconds, MaxRetrySeconds);
  double Spread = static_cast<double>(randomBelow(Random, SpreadSteps)) /
                  static_cast<double>(SpreadSteps);
  return Now + toDuration(Seconds * (1 + RetrySpread * Spread));
}

void Scheduler::refuse(RequestState &Request, RefusalKind Kind, Timestamp Now) {
  Timestamp RetryAt = retryTime(Request, Kind, Now);
  Request.stopWaiting();
  auto Pool = Pools.find(Request.Service);
  if (Pool != Pools.end() && Pool->second.Queue.contains(Request)) {
    Pool->second.Queue.remove(Request);
    --Queued;
  }
  ++Counters.Refused[Kind];
  Effects.push_back(Refusal{Request.Id, Kind, RetryAt});
  Requests.erase(RequestId(Request.Id));
}

void Scheduler::refuseExpired(Timestamp Now) {
  auto ViewRefusal = findViewRefusal(Now);
  std::vector<RequestState *> ToRefuse;
  for (auto &[Id, Pool] : Pools)
    for (const auto &[Key, Flow] : Pool.Queue.flows())
      for (RequestState *Request : Flow.Waiting)
        if (ViewRefusal || Now >= Request->Deadline)
          ToRefuse.push_back(Request);
  for (RequestState *Request : ToRefuse)
    refuse(*Request, ViewRefusal.value_or(RefusalKind::DeadlinePassed), Now);
}

} // namespace ferry::routing

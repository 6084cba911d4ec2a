#include "LibCore/Visit.h"
#include "LibRouting/Scheduler.h"
#include <algorithm>

namespace ferry::routing {

static constexpr double MinRetrySeconds = 0.1;
static constexpr double MaxRetrySeconds = 30;
/// Wait advised where nothing tells when another try makes sense.
static constexpr double PlainRetrySeconds = 1;
/// Refused callers come back spread over this part of their wait.
static constexpr double RetrySpread = 0.5;
static constexpr uint64_t SpreadSteps = 1000;
static constexpr Duration ProbeInterval = std::chrono::seconds(1);

std::optional<RefusalKind> Scheduler::findViewObstacle(Timestamp Now) const {
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

std::optional<RefusalKind> Scheduler::findObstacle(const RequestState &Request,
                                                   Timestamp Now) const {
  if (auto Kind = findViewObstacle(Now))
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
    // The known request keeps its entry; only the newcomer is refused.
    ++Counters.Refused[RefusalKind::DuplicateRequest];
    Effects.push_back(Refusal{Request.Id, RefusalKind::DuplicateRequest,
                              Now + toDuration(PlainRetrySeconds)});
    return;
  }
  Requests.emplace(Request.Id, std::move(Owned));
  if (auto Kind = findObstacle(Request, Now))
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
  pump(Pool, Now);
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
  // Estimates that refuse everything would never be corrected.
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
  // Until its turn comes it counts as waiting for this target.
  const Candidate &Best = Candidates[Choice.Index];
  Request.holdFor(*Best.Target,
                  static_cast<double>(missingTokens(Request, Best)));
  if (Seconds <= secondsBetween(Now, Request.Deadline))
    return true;
  Request.IsProbe = mayProbe(Pool, Now);
  return Request.IsProbe;
}

bool Scheduler::makeRoom(const RequestState &Newcomer, Timestamp Now) {
  if (Queued < View->Description->Limits.MaxQueued)
    return true;
  ServicePool &Pool = Pools.at(Newcomer.Service);
  RequestState *Over = Pool.Queue.overSharedRequest();
  auto &Refused = *Requests.at(Newcomer.Id);
  if (!Over || Over->Workspace == Newcomer.Workspace) {
    refuse(Refused, RefusalKind::QueueFull, Now);
    return false;
  }
  // The workspace that holds the most beyond its share makes room.
  double OwnWork = 0;
  double OverWork = 0;
  for (const auto &[Key, Flow] : Pool.Queue.flows()) {
    if (Key.Workspace == Newcomer.Workspace)
      OwnWork += Flow.QueuedWork;
    if (Key.Workspace == Over->Workspace)
      OverWork += Flow.QueuedWork;
  }
  if ((OwnWork + Newcomer.work()) / shareOf(Newcomer.Workspace) >=
      OverWork / shareOf(Over->Workspace)) {
    refuse(Refused, RefusalKind::QueueFull, Now);
    return false;
  }
  refuse(*Over, RefusalKind::ShareExceeded, Now);
  return true;
}

Timestamp Scheduler::retryTime(const RequestState &Request, RefusalKind Kind,
                               Timestamp Now) {
  double Seconds = PlainRetrySeconds;
  auto Found = Pools.find(Request.Service);
  bool Loaded =
      Kind == RefusalKind::QueueFull || Kind == RefusalKind::DeadlineTooNear ||
      Kind == RefusalKind::ShareExceeded || Kind == RefusalKind::DeadlinePassed;
  if (Loaded && Found != Pools.end())
    Seconds = estimateQueueSeconds(Found->second, Request);
  Seconds = std::clamp(Seconds, MinRetrySeconds, MaxRetrySeconds);
  double Spread = static_cast<double>(randomBelow(Random, SpreadSteps)) /
                  static_cast<double>(SpreadSteps);
  return Now + toDuration(Seconds * (1 + RetrySpread * Spread));
}

void Scheduler::refuse(RequestState &Request, RefusalKind Kind, Timestamp Now) {
  Timestamp RetryAt = retryTime(Request, Kind, Now);
  Request.release();
  auto Found = Pools.find(Request.Service);
  if (Found != Pools.end() && Found->second.Queue.holds(Request)) {
    Found->second.Queue.remove(Request);
    --Queued;
  }
  ++Counters.Refused[Kind];
  Effects.push_back(Refusal{Request.Id, Kind, RetryAt});
  Requests.erase(RequestId(Request.Id));
}

void Scheduler::dropExpired(Timestamp Now) {
  auto Obstacle = findViewObstacle(Now);
  std::vector<RequestState *> Expired;
  for (auto &[Id, Pool] : Pools)
    for (const auto &[Key, Flow] : Pool.Queue.flows())
      for (RequestState *Request : Flow.Waiting)
        if (Obstacle || Now >= Request->Deadline)
          Expired.push_back(Request);
  for (RequestState *Request : Expired)
    refuse(*Request, Obstacle.value_or(RefusalKind::DeadlinePassed), Now);
}

} // namespace ferry::routing

#include "LibRouting/Scheduler.h"
#include "LibCore/Visit.h"
#include <utility>

namespace ferry::routing {

Scheduler::Scheduler(Options Opts)
    : Opts(std::move(Opts)), Random(this->Opts.Seed),
      Index(cache::CacheIndex::create(this->Opts.Cache)) {}

Scheduler Scheduler::create(Options Opts) { return Scheduler(std::move(Opts)); }

static std::unique_ptr<RequestState> makeRequest(const SubmitRequest &Event) {
  auto Request = std::make_unique<RequestState>();
  Request->Id = Event.Id;
  Request->Workspace = Event.Workspace;
  Request->Service = Event.Service;
  Request->Kind = RequestKind::Prompt;
  Request->Priority = Event.Priority;
  Request->Deadline = Event.Deadline;
  Request->Blocks = Event.Blocks;
  Request->PromptTokens = Event.PromptTokens;
  Request->MaxOutputTokens = Event.MaxOutputTokens;
  return Request;
}

static std::unique_ptr<RequestState> makeCall(const SubmitCall &Event) {
  auto Request = std::make_unique<RequestState>();
  Request->Id = Event.Id;
  Request->Workspace = Event.Workspace;
  Request->Service = Event.Service;
  Request->Kind = RequestKind::Call;
  Request->Priority = Event.Priority;
  Request->Deadline = Event.Deadline;
  return Request;
}

std::vector<SchedulerEffect> Scheduler::step(const SchedulerEvent &Event,
                                             Timestamp Now) {
  match(
      Event, [&](const SubmitRequest &Each) { submit(makeRequest(Each), Now); },
      [&](const SubmitCall &Each) { submit(makeCall(Each), Now); },
      [&](const FirstByte &Each) { noteFirstByte(Each, Now); },
      [&](const TryEnded &Each) { endTry(Each, Now); },
      [&](const Withdraw &Each) { withdraw(Each, Now); },
      [&](const ViewChanged &Each) { applyView(Each.View, Now); },
      [&](const CacheEventsReceived &Each) { Index.apply(Each.Batch); },
      [&](const SchedulerTick &) { dispatchAllWaiting(Now); });
  return std::exchange(Effects, {});
}

void Scheduler::applyView(RoutingViewPtr Newer, Timestamp Now) {
  View = std::move(Newer);
  rebuildTargets(Now);
  rebuildPools(Now);
  dispatchAllWaiting(Now);
}

void Scheduler::rebuildTargets(Timestamp Now) {
  // Pools and waiting requests hold pointers to the target states, which are
  // replaced below.
  for (auto &[Id, Request] : Requests)
    Request->stopWaiting();
  for (auto &[Id, Pool] : Pools) {
    Pool.Targets.clear();
    Pool.Stores.clear();
  }
  std::map<TargetId, std::unique_ptr<TargetState>> NewTargets;
  for (const TargetRecord &Record : View->Targets) {
    const config::Service *Service =
        View->Description ? View->Description->findService(Record.Service)
                          : nullptr;
    if (!Service)
      continue;
    auto Old = Targets.find(Record.Id);
    bool SameIncarnation =
        Old != Targets.end() && Old->second &&
        Old->second->record().Incarnation == Record.Incarnation;
    if (!SameIncarnation) {
      NewTargets[Record.Id] = std::make_unique<TargetState>(
          TargetState::create(Record, *Service, Now));
      continue;
    }
    Old->second->applyAnnouncement(Record, *Service, Now);
    NewTargets[Record.Id] = std::move(Old->second);
  }
  for (const auto &[Id, Old] : Targets)
    if (!NewTargets.contains(Id))
      Index.removeHolder(Id);
  Targets = std::move(NewTargets);
  for (auto &[Id, Target] : Targets)
    if (Target->record().Kind == TargetKind::Engine ||
        Target->record().Kind == TargetKind::CacheStore)
      Target->Holder = Index.addHolder(Id, Target->record().Incarnation);
}

static bool dependsOn(const config::Service &Service, const ServiceId &Other) {
  for (const ServiceId &Each : Service.DependsOn)
    if (Each == Other)
      return true;
  return false;
}

void Scheduler::rebuildPools(Timestamp Now) {
  if (!View->Description)
    return;
  for (const config::Service &Service : View->Description->Services)
    Pools[Service.Id].Service = Service;
  for (auto &[Id, Target] : Targets) {
    const TargetRecord &Record = Target->record();
    Pools[Record.Service].Targets.push_back(Target.get());
    if (Record.Kind != TargetKind::CacheStore)
      continue;
    for (auto &[Name, Pool] : Pools)
      if (dependsOn(Pool.Service, Record.Service))
        Pool.Stores.push_back(Target.get());
  }
  for (auto Entry = Pools.begin(); Entry != Pools.end();) {
    if (View->Description->findService(Entry->first)) {
      ++Entry;
      continue;
    }
    for (FairQueue::Flow *Flow : Entry->second.Queue.backlogged())
      while (!Flow->Waiting.empty())
        refuse(*Flow->Waiting.front(), RefusalKind::UnknownService, Now);
    Entry = Pools.erase(Entry);
  }
}

RateLearning Scheduler::rateLearning() const {
  const auto *Estimated = std::get_if<EstimatedTimePlacement>(&Opts.Placement);
  return Estimated ? Estimated->Learning : RateLearning::Learned;
}

TargetState *Scheduler::findTarget(const TargetId &Id,
                                   ferry::Incarnation Incarnation) {
  auto Entry = Targets.find(Id);
  if (Entry == Targets.end() ||
      Entry->second->record().Incarnation != Incarnation)
    return nullptr;
  return Entry->second.get();
}

uint32_t Scheduler::shareOf(const WorkspaceId &Workspace) const {
  if (!View || !View->Description)
    return 1;
  const config::Workspace *Described =
      View->Description->findWorkspace(Workspace);
  return Described ? Described->Share : 1;
}

SchedulerStatus Scheduler::status(Timestamp Now) const {
  SchedulerStatus Status;
  Status.Known = Requests.size();
  Status.Queued = Queued;
  Status.Counters = Counters;
  Status.Cache = Index.status();
  for (const auto &[Id, Target] : Targets)
    Status.Targets.push_back(
        {Id, Target->record().Incarnation, Target->record().Service,
         Target->ownRunning(), Target->occupancy(LoadCorrection::OwnTries),
         Target->queuedPrefill(LoadCorrection::OwnTries, Now),
         Target->prefillRate(), Target->deviationSeconds(), Target->limit(),
         Target->failureRate(), Target->coolUntil()});
  for (const auto &[Id, Pool] : Pools)
    for (const auto &[Key, Flow] : Pool.Queue.flows())
      if (!Flow.Waiting.empty())
        Status.Flows.push_back({Id, Key.Workspace, Key.Priority,
                                Flow.Waiting.size(), Flow.QueuedWork});
  return Status;
}

} // namespace ferry::routing

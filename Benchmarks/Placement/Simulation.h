/// \file
/// Simulates several Schedulers that place one workload on fake engines, in
/// virtual time.
#ifndef FERRY_BENCHMARKS_PLACEMENT_SIMULATION_H
#define FERRY_BENCHMARKS_PLACEMENT_SIMULATION_H

#include "FakeEngine.h"
#include "LibRouting/Entries.h"
#include "LibRouting/Rendezvous.h"
#include "LibRouting/Scheduler.h"
#include "Workload.h"

namespace ferry::bench {

enum class Scenario : uint8_t {
  Normal,
  Overload,
  EngineLost,
  HotShift,
  RoutersRestart,
  LossyEvents
};

/// Which routers receive an engine's cache events: all, the two home routers
/// that rendezvous hashing selects for the engine, or none.
enum class EventSpread : uint8_t { AllRouters, TwoHomes, None };

class Simulation;

/// One row of the tables: a placement policy with the cache events it gets.
struct Row {
  std::string Name;
  std::function<routing::PlacementPolicy(Simulation &)> MakePolicy;
  EventSpread Spread = EventSpread::AllRouters;
  uint32_t SampleEvery = 1;
};

/// The figures of one run.
struct Figures {
  std::vector<double> FirstTokenSeconds;
  double PromptTokens = 0;
  double CachedTokens = 0;
  double ComputedTokens = 0;
  double WastedTokens = 0;
  uint64_t Offered = 0;
  uint64_t Refused = 0;
  uint64_t InTime = 0;

  double percentile(double Part) const {
    if (FirstTokenSeconds.empty())
      return 0;
    std::vector<double> Sorted = FirstTokenSeconds;
    auto Rank = static_cast<size_t>(Part * (Sorted.size() - 1));
    std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
    return Sorted[Rank];
  }
  double hitRate() const { return CachedTokens / std::max(1.0, PromptTokens); }
  double wasted() const { return WastedTokens / std::max(1.0, PromptTokens); }
  double refused() const { return share(Refused); }
  double goodput() const { return share(InTime); }

private:
  double share(uint64_t Part) const {
    return static_cast<double>(Part) / std::max<uint64_t>(1, Offered);
  }
};

inline const ServiceId ModelService{"lm"};

class Simulation {
public:
  static constexpr int EngineCount = 12;
  static constexpr double WarmUpSeconds = 15;
  static constexpr double EndSeconds = 60;

  Simulation(const WorkloadShape &Shape, Scenario Kind, Row Configuration,
             uint64_t Seed)
      : Kind(Kind), Configuration(std::move(Configuration)),
        Traffic(Shape, Seed), Random(Seed * 31 + 7), Seed(Seed) {
    makeDescription();
    for (int Index = 0; Index < EngineCount; ++Index)
      addEngine(Index);
    for (int Index = 0; Index < Shape.Routers; ++Index)
      Routers.push_back(
          std::make_unique<routing::Scheduler>(makeScheduler(Index)));
  }

  Figures run() {
    publishLoad();
    sendEvents();
    tick();
    arrive();
    scheduleScenario();
    Queue.runUntil(Start + std::chrono::seconds(80));
    return Result;
  }

  const std::vector<std::unique_ptr<FakeEngine>> &engines() const {
    return Engines;
  }
  FakeEngine &engine(const TargetId &Id) {
    return *Engines[std::stoul(Id.Value.substr(1))];
  }
  uint64_t seed() const { return Seed; }

private:
  struct PendingRequest {
    GeneratedRequest Request;
    size_t Router = 0;
    Timestamp Submitted;
    Timestamp Deadline;
    bool Counted = false;
    bool HasFirstToken = false;
    int Resubmitted = 0;
  };

  static double secondsIn(Duration Span) {
    return std::chrono::duration<double>(Span).count();
  }
  static Duration toSpan(double Seconds) {
    return std::chrono::microseconds(static_cast<int64_t>(Seconds * 1e6));
  }

  void makeDescription() {
    auto Text = std::make_shared<config::Description>();
    for (size_t Index = 0; Index < std::size(WorkspaceShares); ++Index)
      Text->Workspaces.push_back({WorkspaceId{"w" + std::to_string(Index)},
                                  WorkspaceShares[Index],
                                  config::TokenPolicy::NotRequired, ""});
    config::Service Service;
    Service.Id = ModelService;
    Service.Objective = Traffic.shape().Objective;
    Text->Services.push_back(Service);
    View.Description = Text;
    View.ConfirmedUntil = NeverExpires;
    const auto &Centres = Traffic.shape().DataCentres;
    for (int Index = 0; Index < Traffic.shape().Routers; ++Index)
      View.Hosts.push_back({HostId{"r" + std::to_string(Index)},
                            DataCentreId{Centres[Index % Centres.size()]},
                            "127.0.0.1:1", routing::HostStanding::Serving});
  }

  void addEngine(int Index) {
    FakeEngine::Options Options;
    Options.Id = TargetId{"e" + std::to_string(Index)};
    // Every fourth engine runs on slower hardware.
    if (Index % 4 == 3)
      Options.PrefillTokensPerSecond = 14'000;
    Engines.push_back(std::make_unique<FakeEngine>(Options, Queue));
    Engines.back()->OnPrefill =
        [this, Index](const auto &Missing, uint64_t Computed, uint64_t Prompt) {
          countPrefill(Index, Missing, Computed, Prompt);
        };
  }

  routing::Scheduler makeScheduler(int Index) {
    routing::Scheduler::Options Options;
    Options.Self = HostId{"r" + std::to_string(Index)};
    Options.Seed = Seed * 100 + Index;
    Options.Placement = Configuration.MakePolicy(*this);
    Options.Cache.SampleEvery = Configuration.SampleEvery;
    Options.Cache.MaxEntries = 100'000;
    return routing::Scheduler::create(std::move(Options));
  }

  bool isMeasured() const {
    double Seconds = secondsIn(Queue.now() - Start);
    return Seconds >= WarmUpSeconds && Seconds < EndSeconds;
  }

  void countPrefill(int Index, const std::vector<cache::BlockHash> &Missing,
                    uint64_t Computed, uint64_t Prompt) {
    if (!isMeasured())
      return;
    Result.PromptTokens += Prompt;
    Result.CachedTokens += Prompt - Computed;
    Result.ComputedTokens += Computed;
    for (cache::BlockHash Block : Missing)
      for (int Other = 0; Other < EngineCount; ++Other)
        if (Other != Index && Engines[Other]->holds(Block)) {
          Result.WastedTokens += cache::BlockTokens;
          break;
        }
  }

  void publishLoad() {
    View.Targets.clear();
    ++LoadSequence;
    for (const auto &Engine : Engines) {
      if (!Engine->isUp() && Queue.now() > LostAt + std::chrono::seconds(2))
        continue;
      TargetRecord Record;
      Record.Id = Engine->id();
      Record.Incarnation = Incarnation{
          Engine->isUp() ? Engine->incarnation() : Engine->incarnation() - 1};
      Record.Phase = TargetPhase::Ready;
      Record.Service = ModelService;
      Record.Load = Engine->load();
      Record.Sequence = LoadSequence;
      Record.UsableUntil = NeverExpires;
      View.Targets.push_back(Record);
    }
    auto Shared = std::make_shared<routing::RoutingView>(View);
    // Load reports reach the routers 100 ms late.
    Queue.after(std::chrono::milliseconds(100), [this, Shared] {
      for (size_t Index = 0; Index < Routers.size(); ++Index) {
        auto Own = std::make_shared<routing::RoutingView>(*Shared);
        Own->Self = HostId{"r" + std::to_string(Index)};
        step(Index, routing::ViewChanged{Own});
      }
    });
    if (Queue.now() == Start)
      for (size_t Index = 0; Index < Routers.size(); ++Index)
        step(Index, routing::ViewChanged{Shared});
    Queue.after(std::chrono::milliseconds(250), [this] { publishLoad(); });
  }

  bool isHome(size_t Router, const FakeEngine &Engine) const {
    if (Configuration.Spread == EventSpread::AllRouters)
      return true;
    if (Configuration.Spread == EventSpread::None)
      return false;
    uint64_t Key = routing::hashIdentifier(Engine.id().Value);
    size_t Greater = 0;
    for (size_t Other = 0; Other < Routers.size(); ++Other)
      Greater += routing::rendezvousWeight(Other + 1, Key) >
                 routing::rendezvousWeight(Router + 1, Key);
    return Greater < 2;
  }

  void sendEvents() {
    bool Lossy = Kind == Scenario::LossyEvents;
    for (const auto &Engine : Engines) {
      if (!Engine->isUp())
        continue;
      auto Batch =
          std::make_shared<cache::CacheEventBatch>(Engine->takeEvents());
      if (Batch->Events.empty())
        continue;
      for (size_t Router = 0; Router < Routers.size(); ++Router) {
        if (!isHome(Router, *Engine) || (Lossy && randomBelow(Random, 10) == 0))
          continue;
        int64_t Delay = Lossy ? 200 + randomBelow(Random, 800)
                              : 20 + randomBelow(Random, 80);
        Queue.after(std::chrono::milliseconds(Delay), [this, Router, Batch] {
          step(Router, routing::CacheEventsReceived{*Batch});
        });
      }
    }
    Queue.after(std::chrono::milliseconds(100), [this] { sendEvents(); });
  }

  void sendCacheListings() {
    for (const auto &Engine : Engines)
      for (size_t Router = 0; Router < Routers.size(); ++Router)
        if (Engine->isUp() && isHome(Router, *Engine) &&
            Routers[Router]->wantsListing(Engine->id())) {
          auto Batch =
              std::make_shared<cache::CacheEventBatch>(Engine->listCache());
          Queue.after(std::chrono::milliseconds(100), [this, Router, Batch] {
            step(Router, routing::CacheEventsReceived{*Batch});
          });
        }
  }

  void tick() {
    for (size_t Index = 0; Index < Routers.size(); ++Index)
      if (Routers[Index]->queuedRequests() > 0)
        step(Index, routing::SchedulerTick{});
    Queue.after(std::chrono::milliseconds(20), [this] { tick(); });
  }

  void sendListingsPeriodically() {
    sendCacheListings();
    Queue.after(std::chrono::seconds(1),
                [this] { sendListingsPeriodically(); });
  }

  void scheduleScenario() {
    using std::chrono::seconds;
    sendListingsPeriodically();
    if (Kind == Scenario::EngineLost) {
      Queue.at(Start + seconds(25), [this] {
        LostAt = Queue.now();
        Engines[2]->crash();
      });
      Queue.at(Start + seconds(45), [this] { Engines[2]->restart(); });
    }
    if (Kind == Scenario::HotShift)
      for (int Second = 20; Second < 60; Second += 10)
        Queue.at(Start + seconds(Second),
                 [this] { Traffic.shiftHotPrefixes(); });
    if (Kind == Scenario::RoutersRestart)
      Queue.at(Start + seconds(30), [this] { restartRouters(); });
  }

  void restartRouters() {
    std::vector<std::string> Waiting;
    for (const auto &[Id, PendingRequest] : Pending)
      if (!Dispatched.contains(Id))
        Waiting.push_back(Id);
    std::sort(Waiting.begin(), Waiting.end());
    for (size_t Index = 0; Index < Routers.size(); ++Index) {
      *Routers[Index] = makeScheduler(static_cast<int>(Index));
      auto Own = std::make_shared<routing::RoutingView>(View);
      step(Index, routing::ViewChanged{Own});
    }
    for (const std::string &Id : Waiting)
      submit(Id);
  }

  void arrive() {
    double Factor = Kind == Scenario::Overload ? 1.5 : 1;
    Queue.after(toSpan(Traffic.nextGapSeconds(Factor)), [this] {
      if (secondsIn(Queue.now() - Start) >= EndSeconds)
        return;
      addRequest();
      arrive();
    });
  }

  void addRequest() {
    std::string Id = "q" + std::to_string(NextRequest++);
    PendingRequest &NewRequest = Pending[Id];
    NewRequest.Request = Traffic.next();
    NewRequest.Submitted = Queue.now();
    NewRequest.Deadline =
        Queue.now() + toSpan(NewRequest.Request.DeadlineSeconds);
    NewRequest.Counted = isMeasured();
    Result.Offered += NewRequest.Counted;
    const auto &Centre =
        Traffic.shape().DataCentres[NewRequest.Request.DataCentre];
    auto Entries = routing::rankEntries(View, NewRequest.Request.Workspace,
                                        DataCentreId{Centre},
                                        NewRequest.Request.CallerKey);
    NewRequest.Router = std::stoul(Entries.front().Id.Value.substr(1));
    submit(Id);
  }

  void submit(const std::string &Id) {
    PendingRequest &Each = Pending.at(Id);
    routing::SubmitRequest Event;
    Event.Id = RequestId{Id};
    Event.Workspace = Each.Request.Workspace;
    Event.Service = ModelService;
    Event.Deadline = Each.Deadline;
    Event.Blocks = Each.Request.Blocks;
    Event.PromptTokens = Each.Request.PromptTokens;
    Event.MaxOutputTokens = Each.Request.OutputTokens;
    step(Each.Router, Event);
  }

  void step(size_t Router, const routing::SchedulerEvent &Event) {
    for (const auto &Effect : Routers[Router]->step(Event, Queue.now()))
      match(
          Effect, [&](const routing::Dispatch &Each) { send(Router, Each); },
          [&](const routing::Refusal &Each) { handleRefusal(Each); });
  }

  void send(size_t Router, const routing::Dispatch &Placement) {
    std::string Id = Placement.Id.Value;
    Dispatched.insert(Id);
    PendingRequest &Each = Pending.at(Id);
    EngineJob Job;
    Job.Blocks = Each.Request.Blocks;
    Job.PromptTokens = Each.Request.PromptTokens;
    Job.OutputTokens = Each.Request.OutputTokens;
    Job.OnFirstToken = [this, Router, Id](uint64_t Cached) {
      noteFirstToken(Id);
      step(Router, routing::FirstByte{RequestId{Id}, Cached, {}});
    };
    Job.OnDone = [this, Router, Id] {
      PendingRequest &Each = Pending.at(Id);
      Result.InTime += Each.Counted && Queue.now() <= Each.Deadline;
      step(Router,
           routing::TryEnded{RequestId{Id}, routing::TryOutcome::Succeeded});
    };
    Job.OnLost = [this, Router, Id] {
      step(Router,
           routing::TryEnded{RequestId{Id}, routing::TryOutcome::Failed});
    };
    auto Shared = std::make_shared<EngineJob>(std::move(Job));
    Queue.after(std::chrono::milliseconds(1),
                [this, Target = Placement.Target, Shared] {
                  engine(Target).submit(*Shared);
                });
  }

  void noteFirstToken(const std::string &Id) {
    PendingRequest &Each = Pending.at(Id);
    if (Each.Counted && !Each.HasFirstToken)
      Result.FirstTokenSeconds.push_back(
          secondsIn(Queue.now() - Each.Submitted));
    Each.HasFirstToken = true;
  }

  void handleRefusal(const routing::Refusal &Refused) {
    std::string Id = Refused.Id.Value;
    PendingRequest &Each = Pending.at(Id);
    Timestamp RetryAt = Refused.RetryAt;
    if (Each.Resubmitted < 2 && RetryAt < Each.Deadline) {
      ++Each.Resubmitted;
      Queue.at(RetryAt, [this, Id] { submit(Id); });
      return;
    }
    Result.Refused += Each.Counted;
  }

  Scenario Kind;
  Row Configuration;
  EventQueue Queue;
  Workload Traffic;
  RandomGenerator Random;
  uint64_t Seed;
  routing::RoutingView View;
  std::vector<std::unique_ptr<FakeEngine>> Engines;
  std::vector<std::unique_ptr<routing::Scheduler>> Routers;
  std::unordered_map<std::string, PendingRequest> Pending;
  std::set<std::string> Dispatched;
  Figures Result;
  Timestamp Start = Queue.now();
  Timestamp LostAt;
  uint64_t LoadSequence = 0;
  uint64_t NextRequest = 0;
};

} // namespace ferry::bench

#endif

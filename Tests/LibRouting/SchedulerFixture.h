/// \file
/// A Scheduler in virtual time with a small deployment of engines, plain
/// services and a cache store.
#ifndef FERRY_TESTS_LIBROUTING_SCHEDULERFIXTURE_H
#define FERRY_TESTS_LIBROUTING_SCHEDULERFIXTURE_H

#include "LibRouting/Scheduler.h"
#include <string>
#include <vector>

namespace ferry::routing::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const ServiceId Lm{"asistente-lm"};
inline const ServiceId App{"app-prestamos"};
inline const ServiceId Store{"memoria-prompts"};

inline std::shared_ptr<config::Description> makeDescription() {
  auto Description = std::make_shared<config::Description>();
  for (int Index = 0; Index < 8; ++Index)
    Description->Workspaces.push_back({WorkspaceId{"w" + std::to_string(Index)},
                                       1, config::TokenPolicy::NotRequired,
                                       ""});
  config::Service Engine;
  Engine.Id = Lm;
  Engine.Model = ModelId{"m"};
  Engine.Weights = WeightsVersion{3};
  Engine.DependsOn = {Store};
  Engine.MaxConcurrent = 4;
  config::Service Plain;
  Plain.Id = App;
  Plain.Kind = TargetKind::PlainService;
  Plain.MaxConcurrent = 2;
  config::Service Cache;
  Cache.Id = Store;
  Cache.Kind = TargetKind::CacheStore;
  Description->Services = {Engine, Plain, Cache};
  return Description;
}

inline TargetRecord makeTarget(const std::string &Id, const ServiceId &Service,
                               const config::Description &Description) {
  TargetRecord Record;
  Record.Id = TargetId{Id};
  Record.Incarnation = Incarnation{1};
  Record.Address = "127.0.0.1:1";
  Record.Phase = TargetPhase::Ready;
  Record.Service = Service;
  const config::Service *Described = Description.findService(Service);
  Record.Kind = Described->Kind;
  Record.Model = Described->Model;
  Record.Weights = Described->Weights;
  Record.Sequence = 1;
  Record.UsableUntil = NeverExpires;
  return Record;
}

/// Drives one Scheduler, and records its dispatches and refusals.
struct SchedulerFixture {
  Timestamp Now{seconds(100)};
  std::shared_ptr<config::Description> Description = makeDescription();
  RoutingView View;
  Scheduler Machine;
  std::vector<Dispatch> Dispatches;
  std::vector<Refusal> Refusals;
  int NextId = 0;

  explicit SchedulerFixture(int Engines = 4, int Services = 2)
      : Machine(Scheduler::create({HostId{"r0"}, 7})) {
    View.Self = HostId{"r0"};
    View.Number = DescriptionNumber{1};
    View.Description = Description;
    View.ConfirmedUntil = NeverExpires;
    for (int Index = 0; Index < Engines; ++Index)
      View.Targets.push_back(
          makeTarget("e" + std::to_string(Index), Lm, *Description));
    for (int Index = 0; Index < Services; ++Index)
      View.Targets.push_back(
          makeTarget("s" + std::to_string(Index), App, *Description));
    publish();
  }

  void step(const SchedulerEvent &Event) {
    for (const SchedulerEffect &Effect : Machine.step(Event, Now)) {
      if (const auto *NewDispatch = std::get_if<Dispatch>(&Effect))
        Dispatches.push_back(*NewDispatch);
      if (const auto *NewRefusal = std::get_if<Refusal>(&Effect))
        Refusals.push_back(*NewRefusal);
    }
  }

  void publish() { step(ViewChanged{std::make_shared<RoutingView>(View)}); }

  TargetRecord &target(const std::string &Id) {
    for (TargetRecord &Record : View.Targets)
      if (Record.Id.Value == Id)
        return Record;
    throw std::out_of_range(Id);
  }

  RequestId nextId() { return RequestId{"q" + std::to_string(NextId++)}; }

  RequestId call(const std::string &Workspace = "w0",
                 Priority Level = Priority::Interactive) {
    RequestId Id = nextId();
    step(SubmitCall{Id, WorkspaceId{Workspace}, App, Level, Now + seconds(30)});
    return Id;
  }

  SubmitRequest makePrompt(const std::vector<uint64_t> &Blocks,
                           const std::string &Workspace = "w0",
                           uint64_t MoreTokens = 100) {
    SubmitRequest Event;
    Event.Id = nextId();
    Event.Workspace = WorkspaceId{Workspace};
    Event.Service = Lm;
    Event.Deadline = Now + seconds(60);
    for (uint64_t Block : Blocks)
      Event.Blocks.push_back({Block});
    Event.PromptTokens = Blocks.size() * cache::BlockTokens + MoreTokens;
    Event.MaxOutputTokens = 10;
    return Event;
  }

  RequestId prompt(const std::vector<uint64_t> &Blocks,
                   const std::string &Workspace = "w0") {
    SubmitRequest Event = makePrompt(Blocks, Workspace);
    step(Event);
    return Event.Id;
  }

  void end(const RequestId &Id, TryOutcome Outcome = TryOutcome::Succeeded,
           TryEnded::Repeat Repeat = TryEnded::Repeat::Allowed) {
    step(TryEnded{Id, Outcome, Repeat});
  }

  /// \returns the last dispatch of \p Id, or nullptr.
  const Dispatch *dispatchOf(const RequestId &Id) const {
    for (auto Each = Dispatches.rbegin(); Each != Dispatches.rend(); ++Each)
      if (Each->Id == Id)
        return &*Each;
    return nullptr;
  }

  /// \returns the refusal of \p Id, or nullptr.
  const Refusal *refusalOf(const RequestId &Id) const {
    for (const Refusal &Each : Refusals)
      if (Each.Id == Id)
        return &Each;
    return nullptr;
  }
};

} // namespace ferry::routing::test

#endif

/// \file
/// Routers that hear of named weights from a leader, in virtual time.
#ifndef FERRY_LIBROUTING_NAMINGFLEET_H
#define FERRY_LIBROUTING_NAMINGFLEET_H

#include "LibCore/Random.h"
#include "LibRouting/RoutedDeployment.h"
#include "LibRouting/WorkExchange.h"
#include <map>
#include <set>

namespace ferry::routing {

/// One leader that repeats the named weights, and routers with one engine that
/// keeps its old weights. Messages arrive at once. Each host calls others
/// silent by mistake, and others each second.
class NamingFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(100);
  static constexpr Duration RepeatInterval = std::chrono::milliseconds(500);
  static constexpr Duration ViewInterval = std::chrono::seconds(1);
  /// A router hears of a quorum of control hosts this late.
  static constexpr Duration ConfirmationAge = std::chrono::seconds(1);
  static constexpr Duration WeightsDeadline = std::chrono::seconds(15);
  static constexpr size_t DataCentres = 6;

  /// \param SilentPercent the share of the others that a host calls silent.
  NamingFleet(size_t Count, uint64_t SilentPercent, uint64_t Seed)
      : Random(Seed), SilentPercent(SilentPercent) {
    RoutedPlacement::Options Options;
    Options.RecordLifetime = std::chrono::minutes(10);
    Options.WeightsDeadline = WeightsDeadline;
    for (TargetRecord &Record : Engine.View.Targets)
      Record.UsableUntil = Engine.Now + Options.RecordLifetime;
    for (size_t Index = 0; Index < Count; ++Index) {
      WorkExchange::Router Each{{"r" + std::to_string(1000 + Index)},
                                {"dc" + std::to_string(Index % DataCentres)}};
      Options.Seed = Seed + Index;
      Router &Added = Routers
                          .emplace(Each.Id, Router{WorkExchange(Each),
                                                   RoutedPlacement(Options)})
                          .first->second;
      Added.Placement.applyView(
          std::make_shared<const RoutingView>(Engine.View), now());
      Live.push_back(std::move(Each));
    }
  }

  Timestamp now() const { return Engine.Now; }

  /// Names the weights that the engine lacks.
  void name() { NamedAt = now(); }

  /// Runs until \p Span after the naming, or for that time before it.
  void runFor(Duration Span) {
    for (Timestamp End = now() + Span; now() < End; Engine.Now += Step)
      step();
  }

  /// \returns the routers that would send a request to the engine now.
  std::set<HostId> routersThatPlace() {
    std::set<HostId> Result;
    for (auto &[Id, Each] : Routers) {
      auto Outcome = Each.Placement.place(Engine.call(1, 92, 291), now());
      const auto *Placed = std::get_if<PlacedCall>(&Outcome);
      if (!Placed)
        continue;
      serve(Each.Placement, *Placed, now());
      Result.insert(Id);
    }
    return Result;
  }

  std::vector<HostId> ids() const {
    std::vector<HostId> Result;
    for (const auto &[Id, Each] : Routers)
      Result.push_back(Id);
    return Result;
  }

  /// Routers that no message reaches.
  std::set<HostId> CutOff;
  bool ControlHostsWork = true;

private:
  struct Router {
    WorkExchange Exchange;
    RoutedPlacement Placement;
    Timestamp ControlHostsAsOf = {};
  };

  void step() {
    if (now() >= NextViewAt) {
      NextViewAt = now() + ViewInterval;
      for (auto &[Id, Each] : Routers)
        Each.Exchange.setRouters(drawView());
      LeaderView = drawView();
    }
    for (auto &[Id, Each] : Routers) {
      if (ControlHostsWork && CutOff.count(Id) == 0)
        Each.ControlHostsAsOf = now() - ConfirmationAge;
      Each.Placement.noteRunning(now(), Each.ControlHostsAsOf);
    }
    if (ControlHostsWork && now() >= NextRepeatAt) {
      NextRepeatAt = now() + RepeatInterval;
      repeatNames();
    }
  }

  std::vector<WorkExchange::Router> drawView() {
    std::vector<WorkExchange::Router> View;
    for (const WorkExchange::Router &Each : Live)
      if (randomBelow(Random, 100) >= SilentPercent)
        View.push_back(Each);
    return View;
  }

  void repeatNames() {
    if (LeaderView.size() <= WorkExchange::MaxDirectRouters) {
      for (const WorkExchange::Router &To : LeaderView)
        deliver(To.Id);
      return;
    }
    for (const auto &Group : WorkExchange::groupsOf(LeaderView))
      for (size_t Index = 0; Index < std::min<size_t>(Group.size(), 2);
           ++Index) {
        if (!deliver(Group[Index]))
          continue;
        for (const HostId &Peer :
             Routers.at(Group[Index]).Exchange.groupPeers())
          deliver(Peer);
      }
  }

  bool deliver(const HostId &To) {
    if (CutOff.count(To) != 0)
      return false;
    std::vector<NamedWeights> Named;
    if (NamedAt)
      Named.push_back({Model, {2}, *NamedAt});
    Routers.at(To).Placement.applyNamings(Named, now());
    return true;
  }

  TestDeployment Engine{1};
  RandomGenerator Random;
  uint64_t SilentPercent;
  std::vector<WorkExchange::Router> Live;
  std::vector<WorkExchange::Router> LeaderView;
  std::map<HostId, Router> Routers;
  std::optional<Timestamp> NamedAt;
  Timestamp NextViewAt;
  Timestamp NextRepeatAt;
};

} // namespace ferry::routing

#endif

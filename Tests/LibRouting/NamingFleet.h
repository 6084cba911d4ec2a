/// \file
/// Routers that hear of named weights from a leader, in virtual time.
#ifndef FERRY_LIBROUTING_NAMINGFLEET_H
#define FERRY_LIBROUTING_NAMINGFLEET_H

#include "LibCore/Random.h"
#include "LibRouting/RoutedDeployment.h"
#include "LibRouting/RouterBroadcast.h"
#include <map>
#include <set>

namespace ferry::routing {

/// One leader that repeats the named weights, and routers with one engine that
/// keeps its old weights. Messages arrive at once. The leader calls some
/// routers silent by mistake, and others each second.
class NamingFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(100);
  static constexpr Duration RepeatInterval = std::chrono::milliseconds(500);
  static constexpr Duration ViewInterval = std::chrono::seconds(1);
  static constexpr Duration MissedSpan = std::chrono::seconds(3);
  /// A router hears of a quorum of control hosts this late.
  static constexpr Duration ConfirmationAge = std::chrono::seconds(1);
  static constexpr Duration WeightsDeadline = std::chrono::seconds(15);
  static constexpr size_t DataCentres = 6;

  /// \param SilentPercent the share of the routers that the leader calls
  /// silent.
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
      Router &Added =
          Routers
              .emplace(Each.Id, Router{.Placement = RoutedPlacement(Options)})
              .first->second;
      Added.Placement.applyView(
          std::make_shared<const RoutingView>(Engine.View), now());
      Known.push_back({std::move(Each)});
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

  /// \returns the longest time for which a router that is not cut off has had
  /// no message since \p From.
  Duration longestSilence(Timestamp From) const {
    Duration Longest = Duration::zero();
    for (const auto &[Id, Each] : Routers)
      if (CutOff.count(Id) == 0)
        Longest = std::max(
            {Longest, Each.LongestGap, now() - std::max(From, Each.HeardAt)});
    return Longest;
  }

  /// Routers that no message reaches, and that pass none on. Nobody knows.
  std::set<HostId> CutOff;
  bool ControlHostsWork = true;
  /// The share of the routers that names miss at a time.
  uint64_t MissedPercent = 0;

private:
  struct Router {
    RoutedPlacement Placement;
    Timestamp ControlHostsAsOf = {};
    Timestamp HeardAt = {};
    Duration LongestGap = Duration::zero();
    bool MissesNames = false;
  };

  void step() {
    if (now() >= NextViewAt) {
      NextViewAt = now() + ViewInterval;
      for (RouterBroadcast::KnownRouter &Each : Known)
        Each.IsSilent = randomBelow(Random, 100) < SilentPercent;
    }
    if (now() >= NextMissedAt) {
      NextMissedAt = now() + MissedSpan;
      for (auto &[Id, Each] : Routers)
        Each.MissesNames = randomBelow(Random, 100) < MissedPercent;
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

  void repeatNames() {
    for (const RouterBroadcast::Receiver &Each : Leader.receivers(Known)) {
      if (!deliver(Each.To))
        continue;
      for (const HostId &Other : Each.PassOnTo)
        deliver(Other);
    }
  }

  bool deliver(const HostId &To) {
    Router &Receiver = Routers.at(To);
    if (CutOff.count(To) != 0 || Receiver.MissesNames)
      return false;
    if (Receiver.HeardAt != Timestamp())
      Receiver.LongestGap =
          std::max(Receiver.LongestGap, now() - Receiver.HeardAt);
    Receiver.HeardAt = now();
    std::vector<NamedWeights> Named;
    if (NamedAt)
      Named.push_back({Model, {2}, *NamedAt});
    Receiver.Placement.applyNamings(Named, now());
    return true;
  }

  TestDeployment Engine{1};
  RandomGenerator Random;
  uint64_t SilentPercent;
  RouterBroadcast Leader{RelayChoice::InTurn};
  std::vector<RouterBroadcast::KnownRouter> Known;
  std::map<HostId, Router> Routers;
  std::optional<Timestamp> NamedAt;
  Timestamp NextViewAt;
  Timestamp NextMissedAt;
  Timestamp NextRepeatAt;
};

} // namespace ferry::routing

#endif

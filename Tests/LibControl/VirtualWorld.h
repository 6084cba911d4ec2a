/// \file
/// The parts that the simulations of control hosts, a log and engines share.
#ifndef FERRY_TESTS_VIRTUALWORLD_H
#define FERRY_TESTS_VIRTUALWORLD_H

#include "LibControl/Reconciler.h"
#include "LibCore/Random.h"
#include "LibCore/Visit.h"
#include "LibRegistry/OrderLeases.h"
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ferry::control {

/// \returns the number of seeds for each row of a fault table; FERRY_LONG_SEEDS
/// sets it for longer runs.
inline uint64_t seedCount(uint64_t Default = 25) {
  const char *SeedsText = std::getenv("FERRY_LONG_SEEDS");
  return SeedsText ? std::strtoull(SeedsText, nullptr, 10) : Default;
}

/// Virtual time, a queue of events, the log, and the service that all engines
/// of a simulation belong to.
class VirtualWorld {
protected:
  explicit VirtualWorld(uint64_t Seed) : Random(Seed) {}
  ~VirtualWorld() = default;

  double chance() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  Duration millis(uint64_t Least, uint64_t Most) {
    return std::chrono::milliseconds(Least +
                                     randomBelow(Random, Most - Least + 1));
  }

  void schedule(Duration Delay, std::function<void()> Work) {
    Queue.push_back({Now + Delay, std::move(Work)});
  }

  /// Carries out the events that are due.
  void deliver() {
    std::vector<Pending> Due;
    auto IsDue = [&](const Pending &Item) { return Item.At <= Now; };
    std::copy_if(Queue.begin(), Queue.end(), std::back_inserter(Due), IsDue);
    std::erase_if(Queue, IsDue);
    for (Pending &Item : Due)
      Item.Work();
  }

  LoadSlotAnswered::Verdict applyToLog(const BeginLoad &Begin) {
    auto Outcome =
        Log.apply(registry::BeginWeightsLoad{Begin.Slot, Begin.MaxLoads});
    using Verdict = LoadSlotAnswered::Verdict;
    if (std::holds_alternative<registry::LoadStale>(Outcome))
      return Verdict::Stale;
    return std::holds_alternative<registry::LoadGranted>(Outcome)
               ? Verdict::Granted
               : Verdict::Refused;
  }

  static TargetRecord engineRecord(const std::string &Id, int Index,
                                   ferry::Incarnation Incarnation,
                                   uint64_t Weights) {
    TargetRecord Record;
    Record.Id = {Id};
    Record.Incarnation = Incarnation;
    Record.Address = std::to_string(Index);
    Record.Phase = TargetPhase::Ready;
    Record.Service = {"lm"};
    Record.Model = {"m"};
    Record.Weights = {Weights};
    Record.Fencing = FencingCheck::Checked;
    return Record;
  }

  /// A view of \p Announced with a confirmed description of the engines'
  /// service.
  std::shared_ptr<routing::RoutingView>
  buildView(uint64_t Weights, const std::string &Adapter,
            const std::map<int, TargetRecord> &Announced,
            const config::Limits &Limits = {}) const {
    config::Service Service;
    Service.Id = {"lm"};
    Service.Model = {"m"};
    Service.Weights = {Weights};
    Service.Adapter = {Adapter};
    auto Described = std::make_shared<config::Description>();
    Described->Limits = Limits;
    Described->Services.push_back(Service);
    auto View = std::make_shared<routing::RoutingView>();
    View->Description = Described;
    View->ConfirmedUntil = Now + std::chrono::seconds(2);
    for (const auto &[Index, Record] : Announced)
      View->Targets.push_back(Record);
    return View;
  }

  RandomGenerator Random;
  Timestamp Now{std::chrono::seconds(1000)};
  registry::OrderLeases Log;

private:
  struct Pending {
    Timestamp At;
    std::function<void()> Work;
  };

  std::vector<Pending> Queue;
};

} // namespace ferry::control

#endif

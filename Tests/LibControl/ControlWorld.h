/// \file
/// Simulates control hosts, a log and engines in virtual time, with random
/// faults.
#ifndef FERRY_TESTS_CONTROLWORLD_H
#define FERRY_TESTS_CONTROLWORLD_H

#include "LibControl/VirtualWorld.h"
#include "LibRegistry/LeaseHolder.h"

namespace ferry::control {

/// Probabilities of faults per second, for each host or engine.
struct Faults {
  const char *Name = "none";
  double Partition = 0;
  double Freeze = 0;
  double ColdStart = 0;
  double DescriptionChange = 0;
  double AdapterChange = 0;
  /// Probabilities per order.
  double OrderLost = 0;
  double AnswerLost = 0;
  double OrderDuplicated = 0;
  /// Probability that an order is delayed until just before its deadline.
  double OrderSlow = 0;
};

inline std::ostream &operator<<(std::ostream &Out, const Faults &Case) {
  return Out << Case.Name;
}

/// The simulation; it counts events that must never happen.
class ControlWorld : private VirtualWorld {
public:
  static constexpr int HostCount = 3;
  static constexpr int EngineCount = 6;
  static constexpr Duration Step = std::chrono::milliseconds(10);

  ControlWorld(uint64_t Seed, Faults FaultRates)
      : VirtualWorld(Seed), FaultRates(FaultRates) {
    for (int Index = 0; Index < HostCount; ++Index) {
      Hosts[Index].Id = {"host-" + std::to_string(Index)};
      Hosts[Index].startLease();
      leaseStep(Hosts[Index], registry::LeaseIntentChanged{});
    }
    for (int Index = 0; Index < EngineCount; ++Index)
      Engines[Index].ChecksFencing = Index % 2 == 0;
  }

  /// Advances the virtual time by \p Span.
  void run(Duration Span, bool WithFaults) {
    if (!WithFaults)
      FaultRates = Faults();
    for (Timestamp End = Now + Span; Now < End; Now += Step)
      advance();
  }

  bool converged() const {
    return std::all_of(std::begin(Engines), std::end(Engines),
                       [&](const Engine &Item) {
                         return Item.Weights == WantedWeights &&
                                !Item.Loading && Item.Adapter == WantedAdapter;
                       });
  }

  /// Number of times that two hosts had an order under way to one engine that
  /// does not check fencing numbers.
  uint32_t Overlaps = 0;
  /// Number of orders of an earlier lease that an engine accepted after one of
  /// a later lease.
  uint32_t StaleOrdersTaken = 0;
  /// Number of steps with more engines loading than the limit.
  uint32_t ExcessLoads = 0;
  uint32_t OrdersSent = 0;
  uint32_t Takeovers = 0;

private:
  struct Host {
    HostId Id;
    Incarnation CurrentIncarnation{1};
    std::unique_ptr<registry::LeaseHolder> Lease;
    Reconciler HostReconciler;
    Timestamp PartitionedUntil;
    Timestamp FrozenUntil;
    Timestamp TickAt;
    std::map<int, TargetRecord> Announced;
    std::vector<ReconcilerEffect> Outbox;

    void startLease() {
      registry::LeaseHolder::Options Options;
      Options.Name = registry::DeploymentLease;
      Options.Host = Id;
      Options.Incarnation = CurrentIncarnation;
      Options.Length = std::chrono::milliseconds(1400);
      Options.RenewInterval = std::chrono::milliseconds(200);
      Lease = std::make_unique<registry::LeaseHolder>(Options);
    }
  };

  struct Engine {
    bool ChecksFencing = false;
    Incarnation CurrentIncarnation{1};
    uint64_t Weights = 0;
    std::string Adapter;
    std::optional<uint64_t> Loading;
    Timestamp LoadedAt;
    uint64_t GreatestFencing = 0;
    Timestamp AnnounceAt;
    /// Fencing number of the last order, and until when orders are under way.
    uint64_t WindowFencing = 0;
    Timestamp WindowEnd;
  };

  bool perSecond(double Rate) { return chance() < Rate * 0.01; }

  void advance() {
    injectFaults();
    deliver();
    for (int Index = 0; Index < EngineCount; ++Index)
      stepEngine(Index);
    for (Host &Item : Hosts)
      if (Now >= Item.FrozenUntil)
        stepHost(Item);
    checkLoads();
  }

  void injectFaults() {
    for (Host &Item : Hosts) {
      if (perSecond(FaultRates.Partition))
        Item.PartitionedUntil = Now + millis(500, 15'000);
      if (perSecond(FaultRates.Freeze))
        Item.FrozenUntil = Now + millis(500, 15'000);
    }
    for (Engine &Item : Engines)
      if (perSecond(FaultRates.ColdStart)) {
        ++Item.CurrentIncarnation.Value;
        Item.Weights = 0;
        Item.Loading.reset();
      }
    if (perSecond(FaultRates.DescriptionChange))
      WantedWeights = 1 + randomBelow(Random, 3);
    if (perSecond(FaultRates.AdapterChange))
      WantedAdapter = std::to_string(randomBelow(Random, 3));
  }

  void stepEngine(int Index) {
    Engine &Target = Engines[Index];
    if (Target.Loading && Now >= Target.LoadedAt) {
      Target.Weights = *Target.Loading;
      Target.Loading.reset();
    }
    if (Now < Target.AnnounceAt)
      return;
    Target.AnnounceAt = Now + std::chrono::milliseconds(500);
    TargetRecord Record = recordOf(Index);
    for (Host &To : Hosts)
      if (Now >= To.PartitionedUntil)
        schedule(millis(1, 200), [&To, Record, Index] {
          if (To.Announced[Index].Incarnation <= Record.Incarnation)
            To.Announced[Index] = Record;
        });
  }

  TargetRecord recordOf(int Index) const {
    const Engine &Target = Engines[Index];
    TargetRecord Record =
        engineRecord("engine-" + std::to_string(Index), Index,
                     Target.CurrentIncarnation, Target.Weights);
    Record.Adapter = {Target.Adapter};
    Record.Fencing =
        Target.ChecksFencing ? FencingCheck::Checked : FencingCheck::Unchecked;
    Record.UsableUntil = Now + std::chrono::seconds(3);
    return Record;
  }

  void stepHost(Host &ControlHost) {
    // Effects that were decided before a freeze are carried out after it.
    std::vector<ReconcilerEffect> Effects = std::move(ControlHost.Outbox);
    ControlHost.Outbox.clear();
    for (const ReconcilerEffect &Effect : Effects)
      carryOut(ControlHost, Effect);
    if (Now < ControlHost.TickAt)
      return;
    ControlHost.TickAt = Now + Reconciler::TickInterval;
    leaseStep(ControlHost, registry::LeaseTick{});
    decide(ControlHost, ViewChanged{viewOf(ControlHost)});
    decide(ControlHost,
           ActiveLoadsUpdated{Log.loads(),
                              Log.lease(registry::DeploymentLease).Fencing});
    decide(ControlHost, Tick{});
  }

  routing::RoutingViewPtr viewOf(const Host &ControlHost) const {
    return buildView(WantedWeights, WantedAdapter, ControlHost.Announced);
  }

  void decide(Host &ControlHost, const ReconcilerEvent &Event) {
    for (ReconcilerEffect &Effect : ControlHost.HostReconciler.step(Event, Now))
      ControlHost.Outbox.push_back(std::move(Effect));
  }

  void leaseStep(Host &ControlHost, const registry::LeaseEvent &Event) {
    for (const registry::LeaseEffect &Effect :
         ControlHost.Lease->step(Event, Now))
      match(
          Effect,
          [&](const registry::LeasePropose &Proposal) {
            propose(ControlHost, Proposal);
          },
          [&](const registry::LeaseGained &) { ++Takeovers; },
          [&](const registry::LeaseLost &) {
            decide(ControlHost, LeaseLost{});
          });
    if (ControlHost.Lease->isHeld(Now))
      decide(ControlHost, LeaseHeld{ControlHost.Lease->fencing(),
                                    ControlHost.Lease->heldUntil()});
  }

  /// Runs \p Work after \p Delay, or when the host is no longer frozen if that
  /// is later.
  void runOnHost(Host &ControlHost, Duration Delay,
                 std::function<void()> Work) {
    schedule(Delay, [this, &ControlHost, Work = std::move(Work)] {
      if (Now < ControlHost.FrozenUntil)
        runOnHost(ControlHost, ControlHost.FrozenUntil - Now, Work);
      else
        Work();
    });
  }

  void propose(Host &ControlHost, const registry::LeasePropose &Proposal) {
    uint64_t Token = Proposal.Token;
    auto Fail = [this, &ControlHost, Token] {
      registry::RegistryError Error{registry::RegistryErrorKind::Timeout, ""};
      leaseStep(ControlHost,
                registry::LeaseProposalEnded{Token, makeError(Error)});
    };
    if (Now < ControlHost.PartitionedUntil) {
      runOnHost(ControlHost, Proposal.Deadline - Now, Fail);
      return;
    }
    schedule(millis(1, 100), [this, &ControlHost, Proposal, Token, Fail] {
      registry::LeaseOutcome Outcome = applyLease(Proposal.Request);
      if (Now < ControlHost.PartitionedUntil) {
        runOnHost(ControlHost, std::max(Proposal.Deadline - Now, Duration(0)),
                  Fail);
        return;
      }
      runOnHost(ControlHost, millis(1, 100),
                [this, &ControlHost, Token, Outcome] {
                  leaseStep(ControlHost,
                            registry::LeaseProposalEnded{Token, Outcome});
                });
    });
  }

  registry::LeaseOutcome applyLease(const registry::Command &Request) {
    if (auto *Acquire = std::get_if<registry::AcquireOrderLease>(&Request))
      return Log.apply(*Acquire);
    if (auto *Renew = std::get_if<registry::RenewOrderLease>(&Request))
      return Log.apply(*Renew);
    return Log.apply(std::get<registry::ReleaseOrderLease>(Request));
  }

  void carryOut(Host &ControlHost, const ReconcilerEffect &Effect) {
    match(
        Effect, [&](const SendOrder &Sent) { send(ControlHost, Sent); },
        [&](const BeginLoad &Begin) { beginLoad(ControlHost, Begin); },
        [&](const EndLoad &End) {
          if (Now >= ControlHost.PartitionedUntil)
            schedule(millis(1, 300), [this, End] {
              Log.apply(registry::EndWeightsLoad{End.Slot});
            });
        });
  }

  void beginLoad(Host &ControlHost, const BeginLoad &Begin) {
    using Verdict = LoadSlotAnswered::Verdict;
    auto Report = [this, &ControlHost, Begin](Verdict Answer) {
      decide(ControlHost, LoadSlotAnswered{Begin.Slot, Answer});
    };
    if (Now < ControlHost.PartitionedUntil) {
      runOnHost(ControlHost, std::chrono::seconds(2),
                [Report] { Report(Verdict::Unknown); });
      return;
    }
    schedule(millis(1, 300), [this, &ControlHost, Begin, Report] {
      Verdict Answer = applyToLog(Begin);
      if (Now < ControlHost.PartitionedUntil)
        Answer = Verdict::Unknown;
      runOnHost(ControlHost, millis(1, 300),
                [Report, Answer] { Report(Answer); });
    });
  }

  void send(Host &ControlHost, const SendOrder &Sent) {
    using Outcome = OrderOutcome;
    auto Report = [this, &ControlHost, Id = Sent.OrderId](Outcome Answer) {
      decide(ControlHost, OrderEnded{Id, Answer});
    };
    if (Now >= Sent.Deadline) {
      Report(Outcome::NotSent);
      return;
    }
    int Index = std::stoi(Sent.Address);
    recordOrderWindow(Engines[Index], Sent);
    ++OrdersSent;
    auto ReportLost = [this, &ControlHost, Sent, Report] {
      runOnHost(ControlHost, Sent.Deadline - Now,
                [Report] { Report(Outcome::Lost); });
    };
    if (Now < ControlHost.PartitionedUntil || chance() < FaultRates.OrderLost) {
      ReportLost();
      return;
    }
    Duration Latest = Sent.Deadline - Now - Step;
    Duration Delay = chance() < FaultRates.OrderSlow
                         ? Latest
                         : std::min(millis(1, 50), Latest);
    auto DeliverOrder = [this, Index, Sent] {
      return receiveOrder(Engines[Index], Sent);
    };
    if (chance() < FaultRates.OrderDuplicated)
      schedule(Latest, [DeliverOrder] { DeliverOrder(); });
    bool AnswerLost = chance() < FaultRates.AnswerLost;
    schedule(Delay, [this, &ControlHost, DeliverOrder, Report, ReportLost,
                     AnswerLost] {
      Outcome Answer = DeliverOrder();
      if (AnswerLost || Now < ControlHost.PartitionedUntil)
        ReportLost();
      else
        runOnHost(ControlHost, millis(1, 50),
                  [Report, Answer] { Report(Answer); });
    });
  }

  /// Counts orders of two leases that overlap in time. Targets that check
  /// fencing numbers tolerate that.
  void recordOrderWindow(Engine &Target, const SendOrder &Sent) {
    bool Other = Target.WindowFencing != Sent.Fencing.Value;
    if (!Target.ChecksFencing && Other && Now < Target.WindowEnd)
      ++Overlaps;
    Target.WindowFencing = Sent.Fencing.Value;
    Target.WindowEnd = std::max(Target.WindowEnd, Sent.Deadline);
  }

  OrderOutcome receiveOrder(Engine &Target, const SendOrder &Sent) {
    uint64_t Fencing = Sent.Fencing.Value;
    if (Fencing < Target.GreatestFencing) {
      if (Target.ChecksFencing)
        return OrderOutcome::Refused;
      ++StaleOrdersTaken;
    }
    Target.GreatestFencing = std::max(Target.GreatestFencing, Fencing);
    match(
        Sent.Order,
        [&](const LoadWeights &Load) { startLoad(Target, Load.Weights.Value); },
        [&](const LoadAdapter &Load) { Target.Adapter = Load.Adapter.Value; },
        [](const ConfirmWeights &) {});
    return OrderOutcome::Accepted;
  }

  void startLoad(Engine &Target, uint64_t Weights) {
    bool AlreadyHasWeights =
        Target.Loading ? *Target.Loading == Weights : Target.Weights == Weights;
    if (AlreadyHasWeights)
      return;
    Target.Loading = Weights;
    Target.LoadedAt = Now + millis(1000, 3000);
  }

  void checkLoads() {
    auto Loading =
        std::count_if(std::begin(Engines), std::end(Engines),
                      [](const Engine &Item) { return !!Item.Loading; });
    ExcessLoads += Loading > config::Limits().MaxWeightsLoads;
  }

  Faults FaultRates;
  Host Hosts[HostCount];
  Engine Engines[EngineCount];
  uint64_t WantedWeights = 1;
  std::string WantedAdapter;
};

} // namespace ferry::control

#endif

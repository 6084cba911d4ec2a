/// \file
/// Control hosts, a log and engines in virtual time, with faults by seed.
#ifndef FERRY_TESTS_CONTROLWORLD_H
#define FERRY_TESTS_CONTROLWORLD_H

#include "LibControl/Reconciler.h"
#include "LibCore/Random.h"
#include "LibCore/Visit.h"
#include "LibRegistry/LeaseHolder.h"
#include "LibRegistry/OrderLeases.h"
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace ferry::control {

/// Which faults happen, each with a probability a second and host or engine.
struct Faults {
  const char *Name = "none";
  double Cut = 0;
  double Freeze = 0;
  double ColdStart = 0;
  double DescriptionChange = 0;
  double AdapterChange = 0;
  /// Probabilities per order.
  double OrderLost = 0;
  double AnswerLost = 0;
  double OrderDoubled = 0;
  /// Of an order that is held back until just before its deadline.
  double OrderSlow = 0;
};

inline std::ostream &operator<<(std::ostream &Out, const Faults &Case) {
  return Out << Case.Name;
}

/// The world and its oracle: it counts what must never happen.
class ControlWorld {
public:
  static constexpr int HostCount = 3;
  static constexpr int EngineCount = 6;
  static constexpr Duration Step = std::chrono::milliseconds(10);

  ControlWorld(uint64_t Seed, Faults Kinds) : Random(Seed), Kinds(Kinds) {
    for (int Index = 0; Index < HostCount; ++Index) {
      Hosts[Index].Id = {"host-" + std::to_string(Index)};
      Hosts[Index].startLease();
      leaseStep(Hosts[Index], registry::LeaseIntentChanged{});
    }
    for (int Index = 0; Index < EngineCount; ++Index)
      Engines[Index].Checks = Index % 2 == 0;
  }

  /// Lets \p Span pass.
  void run(Duration Span, bool WithFaults) {
    if (!WithFaults)
      Kinds = Faults();
    for (Timestamp End = Now + Span; Now < End; Now += Step)
      advance();
  }

  bool converged() const {
    return std::all_of(std::begin(Engines), std::end(Engines),
                       [&](const Engine &Item) {
                         return Item.Weights == Wanted && !Item.Loading &&
                                Item.Adapter == WantedAdapter;
                       });
  }

  /// Two givers had an order under way to one engine at the same time.
  uint32_t Overlaps = 0;
  /// An engine took an order of an earlier giver after one of a later giver.
  uint32_t Regressions = 0;
  /// Steps with more engines loading than the limit.
  uint32_t ExcessLoads = 0;
  uint32_t OrdersSent = 0;
  uint32_t Takeovers = 0;

private:
  struct Host {
    HostId Id;
    Incarnation Life{1};
    std::unique_ptr<registry::LeaseHolder> Lease;
    Reconciler Decider;
    Timestamp CutUntil;
    Timestamp FrozenUntil;
    Timestamp TickAt;
    std::map<int, TargetRecord> Seen;
    std::vector<ReconcilerEffect> Outbox;

    void startLease() {
      registry::LeaseHolder::Options Options;
      Options.Name = registry::DeploymentLease;
      Options.Host = Id;
      Options.Incarnation = Life;
      Options.Length = std::chrono::milliseconds(1400);
      Options.RenewInterval = std::chrono::milliseconds(200);
      Lease = std::make_unique<registry::LeaseHolder>(Options);
    }
  };

  struct Engine {
    bool Checks = false;
    Incarnation Life{1};
    uint64_t Weights = 0;
    std::string Adapter;
    std::optional<uint64_t> Loading;
    Timestamp LoadedAt;
    uint64_t GreatestFencing = 0;
    Timestamp AnnounceAt;
    /// The last order that a giver sent, and until when it was under way.
    uint64_t WindowFencing = 0;
    Timestamp WindowEnd;
  };

  struct Pending {
    Timestamp At;
    std::function<void()> Work;
  };

  double chance() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  bool perSecond(double Rate) { return chance() < Rate * 0.01; }
  Duration millis(uint64_t Least, uint64_t Most) {
    return std::chrono::milliseconds(Least +
                                     randomBelow(Random, Most - Least + 1));
  }
  void later(Duration Delay, std::function<void()> Work) {
    Queue.push_back({Now + Delay, std::move(Work)});
  }

  void advance() {
    makeFaults();
    deliver();
    for (int Index = 0; Index < EngineCount; ++Index)
      stepEngine(Index);
    for (Host &Item : Hosts)
      if (Now >= Item.FrozenUntil)
        stepHost(Item);
    checkLoads();
  }

  void makeFaults() {
    for (Host &Item : Hosts) {
      if (perSecond(Kinds.Cut))
        Item.CutUntil = Now + millis(500, 15'000);
      if (perSecond(Kinds.Freeze))
        Item.FrozenUntil = Now + millis(500, 15'000);
    }
    for (Engine &Item : Engines)
      if (perSecond(Kinds.ColdStart)) {
        ++Item.Life.Value;
        Item.Weights = 0;
        Item.Loading.reset();
      }
    if (perSecond(Kinds.DescriptionChange))
      Wanted = 1 + randomBelow(Random, 3);
    if (perSecond(Kinds.AdapterChange))
      WantedAdapter = std::to_string(randomBelow(Random, 3));
  }

  void deliver() {
    std::vector<Pending> Due;
    auto IsDue = [&](const Pending &Item) { return Item.At <= Now; };
    std::copy_if(Queue.begin(), Queue.end(), std::back_inserter(Due), IsDue);
    std::erase_if(Queue, IsDue);
    for (Pending &Item : Due)
      Item.Work();
  }

  void stepEngine(int Index) {
    Engine &Item = Engines[Index];
    if (Item.Loading && Now >= Item.LoadedAt) {
      Item.Weights = *Item.Loading;
      Item.Loading.reset();
    }
    if (Now < Item.AnnounceAt)
      return;
    Item.AnnounceAt = Now + std::chrono::milliseconds(500);
    TargetRecord Record = recordOf(Index);
    for (Host &To : Hosts)
      if (Now >= To.CutUntil)
        later(millis(1, 200), [&To, Record, Index] {
          if (To.Seen[Index].Incarnation <= Record.Incarnation)
            To.Seen[Index] = Record;
        });
  }

  TargetRecord recordOf(int Index) const {
    const Engine &Item = Engines[Index];
    TargetRecord Record;
    Record.Id = {"engine-" + std::to_string(Index)};
    Record.Incarnation = Item.Life;
    Record.Address = std::to_string(Index);
    Record.Phase = TargetPhase::Ready;
    Record.Service = {"lm"};
    Record.Model = {"m"};
    Record.Weights = {Item.Weights};
    Record.Adapter = {Item.Adapter};
    Record.Fencing =
        Item.Checks ? FencingCheck::Checked : FencingCheck::Unchecked;
    Record.UsableUntil = Now + std::chrono::seconds(3);
    return Record;
  }

  void stepHost(Host &Item) {
    // What was decided before a freeze is carried out after it.
    std::vector<ReconcilerEffect> Effects = std::move(Item.Outbox);
    Item.Outbox.clear();
    for (const ReconcilerEffect &Effect : Effects)
      carryOut(Item, Effect);
    if (Now < Item.TickAt)
      return;
    Item.TickAt = Now + Reconciler::TickInterval;
    leaseStep(Item, registry::LeaseTick{});
    decide(Item, ViewChanged{viewOf(Item)});
    decide(Item, LoadsKnown{Log.loads()});
    decide(Item, Tick{});
  }

  routing::RoutingViewPtr viewOf(const Host &Item) const {
    auto Text = std::make_shared<config::Description>();
    config::Service Service;
    Service.Id = {"lm"};
    Service.Model = {"m"};
    Service.Weights = {Wanted};
    Service.Adapter = {WantedAdapter};
    Text->Services.push_back(Service);
    auto View = std::make_shared<routing::RoutingView>();
    View->Description = Text;
    View->ConfirmedUntil = Now + std::chrono::seconds(2);
    for (const auto &[Index, Record] : Item.Seen)
      View->Targets.push_back(Record);
    return View;
  }

  void decide(Host &Item, const ReconcilerEvent &Event) {
    for (ReconcilerEffect &Effect : Item.Decider.step(Event, Now))
      Item.Outbox.push_back(std::move(Effect));
  }

  void leaseStep(Host &Item, const registry::LeaseEvent &Event) {
    for (const registry::LeaseEffect &Effect : Item.Lease->step(Event, Now))
      match(
          Effect,
          [&](const registry::LeasePropose &Ask) { propose(Item, Ask); },
          [&](const registry::LeaseGained &) { ++Takeovers; },
          [&](const registry::LeaseLost &) { decide(Item, LeaseLost{}); });
    if (Item.Lease->isHeld(Now))
      decide(Item, LeaseHeld{Item.Lease->fencing(), Item.Lease->heldUntil()});
  }

  /// Runs \p Work once the host is neither frozen nor cut; or \p Fail at the
  /// deadline.
  void answer(Host &Item, Duration Delay, std::function<void()> Work) {
    later(Delay, [this, &Item, Work = std::move(Work)] {
      if (Now < Item.FrozenUntil)
        answer(Item, Item.FrozenUntil - Now, Work);
      else
        Work();
    });
  }

  void propose(Host &Item, const registry::LeasePropose &Ask) {
    uint64_t Token = Ask.Token;
    auto Fail = [this, &Item, Token] {
      registry::RegistryError Error{registry::RegistryErrorKind::Timeout, ""};
      leaseStep(Item, registry::LeaseProposalEnded{Token, makeError(Error)});
    };
    if (Now < Item.CutUntil) {
      answer(Item, Ask.Deadline - Now, Fail);
      return;
    }
    later(millis(1, 100), [this, &Item, Ask, Token, Fail] {
      registry::LeaseOutcome Outcome = applyLease(Ask.Request);
      if (Now < Item.CutUntil) {
        answer(Item, std::max(Ask.Deadline - Now, Duration(0)), Fail);
        return;
      }
      answer(Item, millis(1, 100), [this, &Item, Token, Outcome] {
        leaseStep(Item, registry::LeaseProposalEnded{Token, Outcome});
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

  void carryOut(Host &Item, const ReconcilerEffect &Effect) {
    match(
        Effect, [&](const SendOrder &Sent) { send(Item, Sent); },
        [&](const BeginLoad &Begin) { beginLoad(Item, Begin); },
        [&](const EndLoad &End) {
          if (Now >= Item.CutUntil)
            later(millis(1, 300), [this, End] {
              Log.apply(registry::EndWeightsLoad{End.Slot});
            });
        });
  }

  void beginLoad(Host &Item, const BeginLoad &Begin) {
    using Verdict = LoadSlotAnswered::Verdict;
    auto Tell = [this, &Item, Begin](Verdict Answer) {
      decide(Item, LoadSlotAnswered{Begin.Slot, Answer});
    };
    if (Now < Item.CutUntil) {
      answer(Item, std::chrono::seconds(2), [Tell] { Tell(Verdict::Unknown); });
      return;
    }
    later(millis(1, 300), [this, &Item, Begin, Tell] {
      auto Outcome =
          Log.apply(registry::BeginWeightsLoad{Begin.Slot, Begin.MaxLoads});
      bool Granted = std::holds_alternative<registry::LoadGranted>(Outcome);
      auto Answer = Granted ? Verdict::Granted : Verdict::Refused;
      if (Now < Item.CutUntil)
        Answer = Verdict::Unknown;
      answer(Item, millis(1, 300), [Tell, Answer] { Tell(Answer); });
    });
  }

  void send(Host &Item, const SendOrder &Sent) {
    using Outcome = OrderOutcome;
    auto Tell = [this, &Item, Id = Sent.OrderId](Outcome Answer) {
      decide(Item, OrderAnswered{Id, Answer});
    };
    if (Now >= Sent.Deadline) {
      Tell(Outcome::NotSent);
      return;
    }
    int Index = std::stoi(Sent.Address);
    noteWindow(Engines[Index], Sent);
    ++OrdersSent;
    auto TellLost = [this, &Item, Sent, Tell] {
      answer(Item, Sent.Deadline - Now, [Tell] { Tell(Outcome::Lost); });
    };
    if (Now < Item.CutUntil || chance() < Kinds.OrderLost) {
      TellLost();
      return;
    }
    Duration Latest = Sent.Deadline - Now - Step;
    Duration Delay =
        chance() < Kinds.OrderSlow ? Latest : std::min(millis(1, 50), Latest);
    auto Reach = [this, Index, Sent] { return take(Engines[Index], Sent); };
    if (chance() < Kinds.OrderDoubled)
      later(Latest, [Reach] { Reach(); });
    bool AnswerLost = chance() < Kinds.AnswerLost;
    later(Delay, [this, &Item, Reach, Tell, TellLost, AnswerLost] {
      Outcome Answer = Reach();
      if (AnswerLost || Now < Item.CutUntil)
        TellLost();
      else
        answer(Item, millis(1, 50), [Tell, Answer] { Tell(Answer); });
    });
  }

  /// Only targets that check nothing need their orders apart in time.
  void noteWindow(Engine &Item, const SendOrder &Sent) {
    bool Other = Item.WindowFencing != Sent.Fencing.Value;
    if (!Item.Checks && Other && Now < Item.WindowEnd)
      ++Overlaps;
    Item.WindowFencing = Sent.Fencing.Value;
    Item.WindowEnd = std::max(Item.WindowEnd, Sent.Deadline);
  }

  OrderOutcome take(Engine &Item, const SendOrder &Sent) {
    uint64_t Fencing = Sent.Fencing.Value;
    if (Fencing < Item.GreatestFencing) {
      if (Item.Checks)
        return OrderOutcome::Refused;
      ++Regressions;
    }
    Item.GreatestFencing = std::max(Item.GreatestFencing, Fencing);
    match(
        Sent.Order,
        [&](const LoadWeights &Load) { startLoad(Item, Load.Weights.Value); },
        [&](const LoadAdapter &Load) { Item.Adapter = Load.Adapter.Value; });
    return OrderOutcome::Accepted;
  }

  void startLoad(Engine &Item, uint64_t Weights) {
    bool Nothing =
        Item.Loading ? *Item.Loading == Weights : Item.Weights == Weights;
    if (Nothing)
      return;
    Item.Loading = Weights;
    Item.LoadedAt = Now + millis(1000, 3000);
  }

  void checkLoads() {
    auto Loading =
        std::count_if(std::begin(Engines), std::end(Engines),
                      [](const Engine &Item) { return !!Item.Loading; });
    ExcessLoads += Loading > config::Limits().MaxWeightsLoads;
  }

  RandomGenerator Random;
  Faults Kinds;
  Timestamp Now{std::chrono::seconds(1000)};
  registry::OrderLeases Log;
  Host Hosts[HostCount];
  Engine Engines[EngineCount];
  std::vector<Pending> Queue;
  uint64_t Wanted = 1;
  std::string WantedAdapter;
};

} // namespace ferry::control

#endif

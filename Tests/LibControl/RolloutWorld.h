/// \file
/// Simulates a rollout of weights in virtual time: one control host that is
/// killed and started again, the log, and engines whose state the host reads
/// before and after each order.
#ifndef FERRY_TESTS_ROLLOUTWORLD_H
#define FERRY_TESTS_ROLLOUTWORLD_H

#include "LibControl/Reconciler.h"
#include "LibCore/Visit.h"
#include "LibRegistry/OrderLeases.h"
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ferry::control {

/// The simulation. Times are counted from its start.
class RolloutWorld {
public:
  static constexpr int EngineCount = 12;
  static constexpr uint64_t NewWeights = 2;
  static constexpr Duration Step = std::chrono::milliseconds(20);

  explicit RolloutWorld(Duration NamedAt) : NamedAt(Start + NamedAt) {
    startHolder();
  }

  /// Kills the holder of the lease after \p At and starts it after \p Until.
  void killHolder(Duration At, Duration Until) {
    schedule(Start + At, [this] { Holder.reset(); });
    schedule(Start + Until, [this] { startHolder(); });
  }

  /// The engine answers nothing from \p At on, and never again.
  void removeEngine(int Index, Duration At) {
    Engines[Index].SilentFrom = Start + At;
  }

  /// The engine accepts orders until \p Until without an answer.
  void loseAnswers(int Index, Duration Until) {
    Engines[Index].AnswersFrom = Start + Until;
  }

  /// Loads take this long, as engines that end their requests first do.
  void setLoadTime(Duration Length) { LoadTime = Length; }

  void runUntil(Duration End) {
    for (; Now < Start + End; Now += Step)
      advance();
  }

  /// \returns the number of engines that still answer and lack the new weights.
  int outdatedEngines() const {
    return static_cast<int>(std::count_if(
        std::begin(Engines), std::end(Engines), [&](const Engine &Item) {
          return Now < Item.SilentFrom && Item.Weights != NewWeights;
        }));
  }

  /// Greatest number of engines that loaded weights at once.
  int MostLoads = 0;

private:
  static constexpr Duration AnnounceInterval = std::chrono::milliseconds(1200);
  static constexpr Duration RecordLifetime = std::chrono::seconds(5);
  static constexpr Duration CallTimeout = std::chrono::milliseconds(400);
  static constexpr Duration WatchLimit = std::chrono::seconds(4);
  static constexpr Duration RenewInterval = std::chrono::milliseconds(400);

  struct Engine {
    uint64_t Weights = 1;
    bool Loading = false;
    Timestamp LoadedAt;
    Timestamp SilentFrom = NeverExpires;
    Timestamp AnswersFrom;
  };

  /// One run of the control host's process.
  struct HolderProcess {
    Reconciler Orders;
    FencingNumber Fencing;
    uint64_t Renewals = 0;
    Timestamp RenewAt;
    Timestamp TickAt;
  };

  struct Pending {
    Timestamp At;
    std::function<void()> Work;
  };

  void schedule(Timestamp At, std::function<void()> Work) {
    Queue.push_back({At, std::move(Work)});
  }

  /// Passes \p Event to the process that is running now, if it is still the one
  /// that asked for it.
  void answer(const std::weak_ptr<HolderProcess> &To, Duration Delay,
              ReconcilerEvent Event) {
    schedule(Now + Delay, [this, To, Event = std::move(Event)] {
      if (auto Process = To.lock())
        decide(Event);
    });
  }

  void startHolder() {
    Holder = std::make_shared<HolderProcess>();
    Holder->Orders = Reconciler(holderOptions());
    registry::OrderLease Last = Log.lease(registry::DeploymentLease);
    ++HolderIncarnation.Value;
    Log.apply(
        registry::AcquireOrderLease{std::string(registry::DeploymentLease),
                                    {"host"},
                                    HolderIncarnation,
                                    Last.Fencing,
                                    Last.Renewals});
    Holder->Fencing = Log.lease(registry::DeploymentLease).Fencing;
    Holder->RenewAt = Now;
    Holder->TickAt = Now;
  }

  static Reconciler::Options holderOptions() {
    Reconciler::Options Options;
    Options.WatchLimit = WatchLimit;
    Options.RenewInterval = RenewInterval;
    return Options;
  }

  void advance() {
    std::vector<Pending> Due;
    auto IsDue = [&](const Pending &Item) { return Item.At <= Now; };
    std::copy_if(Queue.begin(), Queue.end(), std::back_inserter(Due), IsDue);
    std::erase_if(Queue, IsDue);
    for (Pending &Item : Due)
      Item.Work();
    for (int Index = 0; Index < EngineCount; ++Index)
      stepEngine(Index);
    int Loads = static_cast<int>(
        std::count_if(std::begin(Engines), std::end(Engines),
                      [](const Engine &Item) { return Item.Loading; }));
    MostLoads = std::max(MostLoads, Loads);
    if (Holder && Now >= Holder->TickAt)
      stepHolder();
  }

  void stepEngine(int Index) {
    Engine &Target = Engines[Index];
    if (Now >= Target.SilentFrom) {
      Target.Loading = false;
      return;
    }
    if (Target.Loading && Now >= Target.LoadedAt) {
      Target.Loading = false;
      Target.Weights = NewWeights;
    }
    if ((Now - Start).count() % AnnounceInterval.count() != 0)
      return;
    TargetRecord Record;
    Record.Id = {"engine-" + std::to_string(10 + Index)};
    Record.Incarnation = {1};
    Record.Address = std::to_string(Index);
    Record.Phase = TargetPhase::Ready;
    Record.Service = {"lm"};
    Record.Model = {"m"};
    Record.Weights = {Target.Weights};
    Record.Fencing = FencingCheck::Checked;
    Record.UsableUntil = Now + RecordLifetime;
    Announced[Index] = Record;
  }

  void stepHolder() {
    Holder->TickAt = Now + Reconciler::TickInterval;
    if (Now >= Holder->RenewAt) {
      Holder->RenewAt = Now + RenewInterval;
      Log.apply(
          registry::RenewOrderLease{std::string(registry::DeploymentLease),
                                    {"host"},
                                    HolderIncarnation,
                                    Holder->Fencing,
                                    ++Holder->Renewals});
    }
    decide(ViewChanged{view()});
    decide(LeaseHeld{Holder->Fencing, Now + std::chrono::seconds(3)});
    decide(ActiveLoadsUpdated{Log.loads(),
                              Log.lease(registry::DeploymentLease).Fencing});
    decide(Tick{});
  }

  routing::RoutingViewPtr view() const {
    auto Described = std::make_shared<config::Description>();
    if (Now >= NamedAt) {
      config::Service Service;
      Service.Id = {"lm"};
      Service.Model = {"m"};
      Service.Weights = {NewWeights};
      Described->Services = {Service};
    }
    auto View = std::make_shared<routing::RoutingView>();
    View->Description = Described;
    View->ConfirmedUntil = Now + std::chrono::seconds(2);
    for (const auto &[Index, Record] : Announced)
      if (Now < Record.UsableUntil)
        View->Targets.push_back(Record);
    // The limit follows the engines that are known, as the control host's does.
    auto Engines = static_cast<uint32_t>(View->Targets.size());
    Described->Limits.MaxWeightsLoads = std::max(2U, Engines / 4);
    return View;
  }

  void decide(const ReconcilerEvent &Event) {
    for (ReconcilerEffect &Effect : Holder->Orders.step(Event, Now))
      match(
          std::move(Effect), [this](SendOrder &&Sent) { send(Sent); },
          [this](BeginLoad &&Begin) { beginLoad(Begin); },
          [this](EndLoad &&End) {
            schedule(Now + Step, [this, Slot = End.Slot] {
              Log.apply(registry::EndWeightsLoad{Slot});
            });
          });
  }

  void beginLoad(const BeginLoad &Begin) {
    using Verdict = LoadSlotAnswered::Verdict;
    auto Outcome =
        Log.apply(registry::BeginWeightsLoad{Begin.Slot, Begin.MaxLoads});
    bool Granted = std::holds_alternative<registry::LoadGranted>(Outcome);
    answer(Holder, Step,
           LoadSlotAnswered{Begin.Slot,
                            Granted ? Verdict::Granted : Verdict::Refused});
  }

  void send(const SendOrder &Sent) {
    Engine &Target = Engines[std::stoi(Sent.Address)];
    auto Report = [&](Duration Delay, OrderOutcome Outcome) {
      answer(Holder, Delay, OrderEnded{Sent.OrderId, Outcome});
    };
    if (Now >= Target.SilentFrom)
      return Report(CallTimeout, OrderOutcome::NotSent);
    if (Target.Weights == NewWeights)
      return Report(Step, OrderOutcome::CarriedOut);
    if (std::holds_alternative<ConfirmWeights>(Sent.Order))
      return Report(Step, Target.Loading ? OrderOutcome::Busy
                                         : OrderOutcome::Refused);
    if (Target.Loading)
      return Report(Reconciler::OrderTimeout, OrderOutcome::Busy);
    Target.Loading = true;
    Target.LoadedAt = Now + LoadTime;
    if (Now < Target.AnswersFrom)
      return Report(Reconciler::OrderTimeout, OrderOutcome::Lost);
    bool Ends = Target.LoadedAt < Target.SilentFrom;
    Report(Ends ? Target.LoadedAt - Now + Step : WatchLimit,
           Ends ? OrderOutcome::CarriedOut : OrderOutcome::Accepted);
  }

  static constexpr Timestamp Start{std::chrono::seconds(1000)};
  Timestamp Now = Start;
  Timestamp NamedAt;
  registry::OrderLeases Log;
  std::shared_ptr<HolderProcess> Holder;
  /// The newest announcements; other hosts pass them on to a host that starts.
  std::map<int, TargetRecord> Announced;
  Duration LoadTime = std::chrono::milliseconds(1100);
  Incarnation HolderIncarnation;
  Engine Engines[EngineCount];
  std::vector<Pending> Queue;
};

} // namespace ferry::control

#endif

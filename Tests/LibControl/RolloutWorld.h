/// \file
/// Simulates rollouts of weights in virtual time: two control hosts, of which
/// one holds the order lease, the log, and engines whose state the holder reads
/// before and after each order.
#ifndef FERRY_TESTS_ROLLOUTWORLD_H
#define FERRY_TESTS_ROLLOUTWORLD_H

#include "LibControl/LoadLimit.h"
#include "LibControl/VirtualWorld.h"
#include "LibControl/WatchedEngine.h"
#include <iostream>
#include <limits>

namespace ferry::control {

/// Faults of a random schedule.
struct RolloutFaults {
  const char *Name = "none";
  /// Terms of the holder last 2 to 12 s; it is then killed or loses the lease.
  bool ShortTerms = false;
  /// Weights are named each 1 to 6 s instead of each 5 to 40 s.
  bool FrequentNamings = false;
  /// Probabilities per second and engine.
  double EngineRestart = 0;
  double EngineCutOff = 0;
  double EngineFreeze = 0;
  double EngineGone = 0;
  /// Probabilities per order.
  double OrderLost = 0;
  double OrderLate = 0;
  double AnswerLost = 0;
  /// Probability per request for a slot that the request or its answer is lost.
  double SlotAnswerLost = 0;
  /// Time that requests on the engines take.
  Duration RunTime = Duration::zero();
};

inline std::ostream &operator<<(std::ostream &Out, const RolloutFaults &Case) {
  return Out << Case.Name;
}

/// \returns where the schedule of \p Seed is traced to; FERRY_TRACE_SEED names
/// the seed.
inline std::ostream *traceOf(uint64_t Seed) {
  const char *TracedText = std::getenv("FERRY_TRACE_SEED");
  bool Traced = TracedText && TracedText == std::to_string(Seed);
  return Traced ? &std::cerr : nullptr;
}

/// The simulation. Times of calls are counted from its start.
class RolloutWorld : private VirtualWorld {
public:
  static constexpr int HostCount = 2;
  static constexpr int EngineCount = 12;
  static constexpr Duration Step = std::chrono::milliseconds(20);
  static constexpr Duration LeaseLength = std::chrono::seconds(3);
  /// Time from the naming of weights from which no request may begin on older
  /// ones: the strictest of the users' deployments.
  static constexpr Duration WeightsDeadline = std::chrono::seconds(10);
  /// Time with a working holder after which engines must have named weights.
  static constexpr Duration RolloutDeadline = std::chrono::seconds(17);

  struct Fleet {
    int Engines = EngineCount;
    Duration WeightsDeadline = RolloutWorld::WeightsDeadline;
    /// Loads take longer while more engines than these load at once.
    int FastLoads = std::numeric_limits<int>::max();
  };

  /// A schedule without random faults: new weights are named at \p NamedAt.
  explicit RolloutWorld(Duration NamedAt) : RolloutWorld(NamedAt, 1, Fleet()) {}

  /// The same for another fleet; \p Seed varies the times of messages.
  RolloutWorld(Duration NamedAt, uint64_t Seed, Fleet Simulated)
      : RolloutWorld(Seed, RolloutFaults(), nullptr, Simulated) {
    NameAt = NeverExpires;
    nameNextAt(NamedAt);
  }

  /// A random schedule. The simulation is traced to \p Trace if that is given.
  RolloutWorld(uint64_t Seed, RolloutFaults FaultRates,
               std::ostream *Trace = nullptr)
      : RolloutWorld(Seed, FaultRates, Trace, Fleet()) {}

  RolloutWorld(uint64_t Seed, RolloutFaults FaultRates, std::ostream *Trace,
               Fleet Simulated)
      : VirtualWorld(Seed), FaultRates(FaultRates), Trace(Trace),
        Simulated(Simulated), Engines(Simulated.Engines),
        AnnounceTimes(Simulated.Engines), OrdersFrom(Simulated.Engines),
        AnswersFrom(Simulated.Engines), PausedUntil(Simulated.Engines),
        AcceptedFencing(Simulated.Engines) {
    for (int Index = 0; Index < HostCount; ++Index)
      startHost(Index);
    for (Timestamp &AnnounceAt : AnnounceTimes)
      AnnounceAt = Now + millis(0, 1200);
    setRunTime(FaultRates.RunTime);
    planNaming();
    takeLease(0);
  }

  /// The next weights are named at \p At.
  void nameNextAt(Duration At) {
    schedule(At, [this] { nameWeights(); });
  }

  /// Kills the holder of the lease at \p At and starts it at \p Until.
  void killHolder(Duration At, Duration Until) {
    schedule(At, [this] { killHost(0); });
    schedule(Until, [this] {
      startHost(0);
      takeLease(0);
    });
  }

  /// Kills the holder of the lease at \p At; the other host takes the lease
  /// over.
  void moveLease(Duration At) {
    schedule(At, [this] { killHost(0); });
    schedule(At + LeaseLength + Step, [this] { takeLease(1); });
  }

  /// The engine stands still from \p At to \p Until.
  void freezeEngine(int Index, Duration At, Duration Until) {
    schedule(At, [this, Index, Until] {
      Engines[Index].fallSilent(Silence::Frozen, Now, Start + Until);
    });
  }

  /// The engine asks for a pause from \p At to \p Until, and goes on with its
  /// load.
  void pauseEngine(int Index, Duration At, Duration Until) {
    schedule(At, [this, Index, Until] { PausedUntil[Index] = Start + Until; });
  }

  /// The engine is down from \p At to \p Until and starts anew.
  void restartEngine(int Index, Duration At, Duration Until) {
    schedule(At, [this, Index, Until] {
      Engines[Index].fallSilent(Silence::Down, Now, Start + Until);
    });
  }

  /// The engine answers nothing from \p At on, and never again.
  void removeEngine(int Index, Duration At) {
    schedule(At, [this, Index] {
      Engines[Index].fallSilent(Silence::Down, Now, NeverExpires);
    });
  }

  /// No order reaches the engine until \p Until.
  void loseOrders(int Index, Duration Until) {
    OrdersFrom[Index] = Start + Until;
  }

  /// The engine accepts orders until \p Until without an answer.
  void loseAnswers(int Index, Duration Until) {
    AnswersFrom[Index] = Start + Until;
  }

  /// The hosts forget the engine's announcements at \p At.
  void forgetEngine(int Index, Duration At) {
    schedule(At, [this, Index] {
      for (const auto &Process : Hosts)
        if (Process)
          Process->Announced.erase(Index);
    });
  }

  /// No engine checks fencing numbers, and later holders of the lease wait for
  /// its length before their first order.
  void checkNoFencing() {
    Fenced = FencingCheck::Unchecked;
    for (WatchedEngine &Item : Engines)
      Item.checkNoFencing();
  }

  /// Loads of the engine don't end.
  void hangEngine(int Index) {
    Engines[Index].setLoadTime(std::chrono::hours(1));
  }

  /// Loads take this long.
  void setLoadTime(Duration Length) {
    for (WatchedEngine &Item : Engines)
      Item.setLoadTime(Length);
  }

  /// Requests run on all engines, and end within \p Length.
  void setRunTime(Duration Length) {
    for (WatchedEngine &Item : Engines)
      Item.setRunTime(Length);
  }

  void runUntil(Duration End) {
    for (; Now < Start + End; Now += Step)
      advance();
  }

  /// No further faults occur and no weights are named from now on.
  void endFaults() {
    FaultRates = RolloutFaults();
    NameAt = NeverExpires;
    TermEndsAt = NeverExpires;
  }

  /// \returns the number of engines that are not gone and lack the newest
  /// weights.
  int outdatedEngines() const {
    return static_cast<int>(std::count_if(
        Engines.begin(), Engines.end(), [&](const WatchedEngine &Item) {
          return !Item.isGone() &&
                 Item.state().Weights != Namings.back().Weights;
        }));
  }

  /// \returns the number of engines that are not gone and have older weights
  /// than \p Weights.
  int enginesBefore(uint64_t Weights) const {
    return static_cast<int>(std::count_if(
        Engines.begin(), Engines.end(), [&](const WatchedEngine &Item) {
          return !Item.isGone() && Item.state().Weights < Weights;
        }));
  }

  /// What the simulation has counted so far.
  struct Counts {
    /// Greatest number of engines that loaded weights at once.
    int MostLoads = 0;
    /// Steps in which so many engines loaded that loads took longer.
    uint32_t SlowedSteps = 0;
    /// Steps in which more engines loaded weights than the limit. An engine
    /// that could not be reached for longer than the settle time since its
    /// order does not count: its slot may have been given to another, and it
    /// carries out one late order at most.
    uint32_t ExcessLoads = 0;
    /// Orders of an earlier term that an engine accepted after one of a later
    /// term. Those sent before the engine's latest start are counted apart: a
    /// start clears the numbers that the engine has seen.
    uint32_t StaleOrders = 0;
    uint32_t StaleOrdersAfterStart = 0;
    /// Greatest number of engines at once that lacked weights for longer than
    /// RolloutDeadline, counted over the holder's terms as in
    /// holderTimeSince(), without an interruption of their own.
    int MostOverdue = 0;
    uint32_t Accepted = 0;
    /// Orders that reached an engine more than OrderTimeout after they were
    /// sent.
    uint32_t ArrivedLate = 0;
    uint32_t Terms = 0;
    uint32_t Restarts = 0;
  };
  const Counts &counts() const { return Seen; }

  /// \returns the number of loads that did not wait for running requests.
  uint32_t overtakingLoads() const {
    uint32_t Sum = 0;
    for (const WatchedEngine &Item : Engines)
      Sum += Item.overtaken();
    return Sum;
  }

private:
  static constexpr Duration AnnounceInterval = std::chrono::milliseconds(1200);
  static constexpr Duration RecordLifetime = std::chrono::seconds(30);
  /// The age that the newest announcement of a reachable engine may have.
  static constexpr Duration MaxAnnouncementAge = std::chrono::seconds(4);
  static constexpr Duration CallTimeout = std::chrono::milliseconds(400);
  static constexpr Duration WatchPeriod = std::chrono::milliseconds(100);
  static constexpr Duration FirstWatch = std::chrono::seconds(1);
  static constexpr Duration WatchLimit = std::chrono::seconds(4);
  static constexpr Duration SlotTimeout = std::chrono::seconds(3);
  static constexpr Duration DrainLifetime = std::chrono::seconds(4);
  static constexpr Duration RenewInterval = std::chrono::milliseconds(400);
  /// A shorter term does not count as one with a working holder, and a longer
  /// one counts after TermStart.
  static constexpr Duration ShortestTerm = std::chrono::seconds(2);
  static constexpr Duration TermStart = std::chrono::seconds(1);
  /// Engines beyond these are not removed for good.
  static constexpr int MaxGone = 4;

  /// One run of a control host's process.
  struct HostProcess {
    int Index = 0;
    Reconciler Orders;
    Timestamp TickAt;
    /// The host can't reach the log.
    bool CutOff = false;
    /// When the log has handled all earlier proposals of this process.
    Timestamp ProposalsEndBy;
    std::map<int, TargetRecord> Announced;
  };
  using ProcessRef = std::weak_ptr<HostProcess>;

  /// A span of time in which one host held the lease.
  struct Term {
    Timestamp From;
    Timestamp Until = NeverExpires;
  };

  struct Naming {
    Timestamp At;
    uint64_t Weights = 0;
  };

  /// An order on its way, as its sender sees it.
  struct Delivery {
    ProcessRef From;
    SendOrder Sent;
    int Engine = 0;
    uint64_t Weights = 0;
    bool OnlyReads = false;
    bool MayHaveArrived = false;
    /// The engine carried out an order when its state was read last.
    bool Busy = false;
    Timestamp WatchUntil;
  };
  using DeliveryPtr = std::shared_ptr<Delivery>;

  static int64_t atMillis(Timestamp Time) { return millisUntil(Time, Start); }

  template <typename... Parts> void trace(const Parts &...Text) {
    if (Trace == nullptr)
      return;
    *Trace << atMillis(Now) << " ms: ";
    (*Trace << ... << Text) << '\n';
  }

  bool perSecond(double Rate) {
    return Rate > 0 &&
           chance() < Rate * std::chrono::duration<double>(Step).count();
  }

  void advance() {
    injectFaults();
    deliver();
    for (int Index = 0; Index < Simulated.Engines; ++Index)
      stepEngine(Index);
    slowLoads();
    for (auto &Process : Hosts)
      if (Process && Now >= Process->TickAt)
        stepHost(*Process);
    checkLoads();
    if (Now >= CheckAt)
      checkProgress();
  }

  void injectFaults() {
    if (Now >= NameAt) {
      nameWeights();
      planNaming();
    }
    if (Now >= TermEndsAt)
      endTerm();
    for (int Index = 0; Index < Simulated.Engines; ++Index) {
      if (Engines[Index].silence(Now))
        continue;
      if (perSecond(FaultRates.EngineCutOff))
        silenceEngine(Index, Silence::CutOff, millis(500, 15'000));
      else if (perSecond(FaultRates.EngineFreeze))
        silenceEngine(Index, Silence::Frozen, millis(500, 15'000));
      else if (perSecond(FaultRates.EngineRestart))
        silenceEngine(Index, Silence::Down, millis(500, 3'000));
      else if (GoneEngines < MaxGone && perSecond(FaultRates.EngineGone)) {
        ++GoneEngines;
        silenceEngine(Index, Silence::Down, NeverExpires - Now);
      }
    }
  }

  void silenceEngine(int Index, Silence Kind, Duration Length) {
    Timestamp Until = Now + Length;
    trace("engine ", Index, ' ', enumName(Kind), " until ", atMillis(Until),
          " ms");
    Seen.Restarts += Kind == Silence::Down;
    Engines[Index].fallSilent(Kind, Now, Until);
  }

  void planNaming() {
    NameAt = Now + (FaultRates.FrequentNamings ? millis(1000, 6000)
                                               : millis(5000, 40'000));
  }

  void nameWeights() {
    Namings.push_back({Now, Namings.back().Weights + 1});
    trace("weights ", Namings.back().Weights, " named");
  }

  void startHost(int Index) {
    Reconciler::Options Options;
    Options.WatchLimit = WatchLimit;
    Options.MinUsableTime = RecordLifetime - MaxAnnouncementAge;
    Options.RenewInterval = RenewInterval;
    Options.WeightsDeadline = Simulated.WeightsDeadline;
    auto Process = std::make_shared<HostProcess>();
    Process->Index = Index;
    Process->Orders = Reconciler(Options);
    Process->TickAt = Now;
    // The other host passes on the announcements that it knows.
    if (const auto &Other = Hosts[1 - Index])
      Process->Announced = Other->Announced;
    Hosts[Index] = Process;
    trace("host ", Index, " starts");
  }

  void killHost(int Index) {
    trace("host ", Index, " killed");
    if (Index == Holder)
      recordTermEnd();
    Hosts[Index].reset();
  }

  void recordTermEnd() {
    Terms.back().Until = Now;
    Holder = NoHost;
  }

  void takeLease(int Index) {
    registry::OrderLease Last = Log.lease(registry::DeploymentLease);
    HolderId = {"host-" + std::to_string(Index)};
    ++HolderIncarnation.Value;
    Log.apply(registry::AcquireOrderLease{
        std::string(registry::DeploymentLease), HolderId, HolderIncarnation,
        Last.Fencing, Last.Renewals});
    Fencing = Log.lease(registry::DeploymentLease).Fencing;
    Renewals = 0;
    RenewAt = Now;
    Holder = Index;
    Terms.push_back({Now});
    ++Seen.Terms;
    trace("host ", Index, " holds the lease, fencing ", Fencing.Value);
    for (auto &Process : Hosts)
      if (Process && Process->Index != Index) {
        Process->CutOff = false;
        decide(*Process, LeaseLost{});
      }
    if (FaultRates.ShortTerms)
      TermEndsAt = Now + millis(2000, 12'000);
  }

  /// Ends the holder's term by a fault.
  void endTerm() {
    enum { Restarted, OtherHost, LeaseLost, KindCount };
    TermEndsAt = NeverExpires;
    int Old = Holder;
    int Other = 1 - Old;
    switch (randomBelow(Random, KindCount)) {
    case Restarted:
      killHost(Old);
      schedule(millis(600, 1600), [this, Old] {
        startHost(Old);
        takeLease(Old);
      });
      return;
    case OtherHost:
      killHost(Old);
      schedule(millis(600, 2500), [this, Old] { startHost(Old); });
      break;
    default:
      // The process goes on, but can't reach the log.
      trace("host ", Old, " cut off from the log");
      Hosts[Old]->CutOff = true;
      recordTermEnd();
    }
    schedule(LeaseLength + millis(20, 800),
             [this, Other] { takeLease(Other); });
  }

  /// Loads that share what they read from go on at the share that is left.
  void slowLoads() {
    auto Loads = static_cast<int>(std::count_if(
        Engines.begin(), Engines.end(),
        [&](const WatchedEngine &Item) { return Item.isLoading(Now); }));
    if (Loads <= Simulated.FastLoads)
      return;
    ++Seen.SlowedSteps;
    for (WatchedEngine &Item : Engines)
      if (Item.isLoading(Now))
        Item.prolongLoad(Step * (Loads - Simulated.FastLoads) / Loads);
  }

  void stepEngine(int Index) {
    WatchedEngine &Target = Engines[Index];
    Target.advance(Now, Step);
    if (Now < AnnounceTimes[Index] || Target.silence(Now))
      return;
    AnnounceTimes[Index] = Now + AnnounceInterval;
    TargetRecord Record = engineRecord(
        engineId(Index), Index, Target.incarnation(), Target.state().Weights);
    Record.UsableUntil = Now + RecordLifetime;
    Record.Fencing = Fenced;
    for (const auto &Process : Hosts)
      if (Process)
        schedule(millis(20, 600), [To = ProcessRef(Process), Index, Record] {
          if (auto Process = To.lock())
            applyAnnouncement(Process->Announced[Index], Record);
        });
  }

  static void applyAnnouncement(TargetRecord &Known,
                                const TargetRecord &Record) {
    if (Known.UsableUntil < Record.UsableUntil)
      Known = Record;
  }

  void stepHost(HostProcess &Process) {
    Process.TickAt = Now + Reconciler::TickInterval;
    std::erase_if(Process.Announced, [&](const auto &Item) {
      return Now >= Item.second.UsableUntil;
    });
    config::Limits Limits;
    // The limit follows the engines that are known, as the control host's does.
    Limits.MaxWeightsLoads =
        weightsLoadLimit(static_cast<uint32_t>(Process.Announced.size()));
    std::vector<routing::NamedWeights> Named;
    for (const Naming &Item : Namings)
      Named.push_back({{"m"}, {Item.Weights}, Item.At});
    decide(Process, NamingsChanged{std::move(Named)});
    decide(Process, ViewChanged{buildView(Namings.back().Weights, "",
                                          Process.Announced, Limits)});
    if (Process.Index == Holder)
      renewLease(Process);
    if (!Process.CutOff)
      decide(Process,
             ActiveLoadsUpdated{Log.loads(),
                                Log.lease(registry::DeploymentLease).Fencing});
    decide(Process, Tick{});
  }

  void renewLease(HostProcess &Process) {
    if (Now >= RenewAt) {
      RenewAt = Now + RenewInterval;
      Log.apply(registry::RenewOrderLease{
          std::string(registry::DeploymentLease), HolderId, HolderIncarnation,
          Fencing, ++Renewals});
    }
    bool FirstHolder = Terms.size() == 1;
    bool Waits = Fenced == FencingCheck::Unchecked && !FirstHolder;
    decide(Process,
           LeaseHeld{Fencing, RenewAt - RenewInterval + LeaseLength,
                     Waits ? Terms.back().From + LeaseLength : Timestamp()});
  }

  void decide(HostProcess &Process, const ReconcilerEvent &Event) {
    for (ReconcilerEffect &Effect : Process.Orders.step(Event, Now))
      match(
          std::move(Effect),
          [&](SendOrder &&Sent) { send(Process, std::move(Sent)); },
          [&](BeginLoad &&Begin) { beginLoad(Process, Begin); },
          [&](EndLoad &&End) {
            if (Process.CutOff || chance() < FaultRates.SlotAnswerLost)
              return;
            propose(Process, [this, Slot = End.Slot] {
              trace("slot of ", Slot.Target.Value, " ends");
              Log.apply(registry::EndWeightsLoad{Slot});
            });
          });
  }

  static std::string engineId(int Index) {
    return "engine-" + std::to_string(10 + Index);
  }

  /// The routers hear of a load that is about to begin, and send the engine no
  /// requests for a while.
  void drain(int Index) {
    schedule(millis(5, 100),
             [this, Index] { Engines[Index].drain(Now + DrainLifetime); });
  }

  /// Runs \p Work at the log, after the earlier proposals of \p Process.
  void propose(HostProcess &Process, std::function<void()> Work) {
    Process.ProposalsEndBy =
        std::max(Process.ProposalsEndBy, Now + millis(20, 150));
    schedule(Process.ProposalsEndBy - Now, std::move(Work));
  }

  /// Passes \p Event to the process that asked for it, if that still runs.
  void answer(const ProcessRef &To, Duration Delay, ReconcilerEvent Event) {
    schedule(Delay, [this, To, Event = std::move(Event)] {
      if (auto Process = To.lock())
        decide(*Process, Event);
    });
  }

  void beginLoad(HostProcess &Process, const BeginLoad &Begin) {
    using Verdict = LoadSlotAnswered::Verdict;
    ProcessRef From = Hosts[Process.Index];
    bool Lost = Process.CutOff || chance() < FaultRates.SlotAnswerLost;
    if (Lost)
      answer(From, SlotTimeout, LoadSlotAnswered{Begin.Slot, Verdict::Unknown});
    if (Process.CutOff || (Lost && chance() < 0.5))
      return;
    propose(Process, [this, From, Begin, Lost] {
      Verdict Answer = applyToLog(Begin);
      trace("slot of ", Begin.Slot.Target.Value, " for weights ",
            Begin.Slot.Weights.Value,
            Answer == Verdict::Granted ? " granted" : " refused",
            Lost ? ", answer lost" : "");
      if (!Lost)
        answer(From, millis(20, 150), LoadSlotAnswered{Begin.Slot, Answer});
    });
  }

  void send(HostProcess &Process, SendOrder Sent) {
    auto Item = std::make_shared<Delivery>();
    Item->From = Hosts[Process.Index];
    Item->Engine = std::stoi(Sent.Address);
    if (const auto *Wanted = std::get_if<ConfirmWeights>(&Sent.Order)) {
      Item->Weights = Wanted->Weights.Value;
      Item->OnlyReads = true;
    } else {
      Item->Weights = std::get<LoadWeights>(Sent.Order).Weights.Value;
      drain(Item->Engine);
    }
    Item->Sent = std::move(Sent);
    continueDelivery(Item, Duration::zero());
  }

  /// Runs the next part of a delivery after \p Delay, if its sender still runs.
  void later(const DeliveryPtr &Item, Duration Delay,
             void (RolloutWorld::*Part)(const DeliveryPtr &)) {
    schedule(Delay, [this, Item, Part] {
      if (!Item->From.expired())
        (this->*Part)(Item);
    });
  }

  void continueDelivery(const DeliveryPtr &Item, Duration Delay) {
    later(Item, Delay, &RolloutWorld::readBeforeOrder);
  }

  void endDelivery(const DeliveryPtr &Item, OrderOutcome Outcome) {
    trace("order for engine ", Item->Engine, " fencing ",
          Item->Sent.Fencing.Value, " ended: ", enumName(Outcome));
    answer(Item->From, Step, OrderEnded{Item->Sent.OrderId, Outcome});
  }

  void endUnanswered(const DeliveryPtr &Item) {
    if (Item->MayHaveArrived)
      return endDelivery(Item, OrderOutcome::Lost);
    endDelivery(Item, Item->Busy ? OrderOutcome::Busy : OrderOutcome::NotSent);
  }

  /// \returns how long a call to a silent engine waits for its answer, which
  /// must come by \p Deadline. Only the connection has a shorter limit, and a
  /// frozen engine accepts connections.
  Duration waitForSilent(int Index, Timestamp Deadline) const {
    bool Connects = Engines[Index].silence(Now) == Silence::Frozen;
    return Connects ? Deadline - Now : std::min(CallTimeout, Deadline - Now);
  }

  bool showsWeights(const Delivery &Item) const {
    EngineReport Report = Engines[Item.Engine].report(Now);
    bool HasWeights = Item.OnlyReads ? Report.Weights >= Item.Weights
                                     : Report.Weights == Item.Weights;
    return HasWeights && !Report.Busy;
  }

  void readBeforeOrder(const DeliveryPtr &Item) {
    Timestamp Deadline = Item->Sent.Deadline;
    if (Now >= Deadline)
      return endUnanswered(Item);
    const WatchedEngine &Target = Engines[Item->Engine];
    Item->Busy = false;
    if (Target.silence(Now))
      return later(Item, waitForSilent(Item->Engine, Deadline),
                   &RolloutWorld::endUnanswered);
    if (Now < PausedUntil[Item->Engine])
      return endDelivery(Item, Item->MayHaveArrived ? OrderOutcome::Lost
                                                    : OrderOutcome::Paused);
    EngineReport Report = Target.report(Now);
    if (showsWeights(*Item))
      return endDelivery(Item, OrderOutcome::CarriedOut);
    Item->Busy = Report.Busy;
    if (Item->OnlyReads)
      return endDelivery(Item, Report.Busy ? OrderOutcome::Busy
                                           : OrderOutcome::Refused);
    if (Report.Busy)
      return continueDelivery(Item, WatchPeriod);
    if (Item->Sent.Running == RunningRequests::Await && Report.Running > 0)
      return endDelivery(Item, Item->MayHaveArrived ? OrderOutcome::Lost
                                                    : OrderOutcome::Serving);
    sendOnce(Item, Report.AcceptedOrders);
  }

  void sendOnce(const DeliveryPtr &Item, uint64_t OrdersBefore) {
    OrderCopy Copy{Item->Weights, Item->Sent.Fencing, OrdersBefore, Now,
                   Item->Sent.Running};
    int Index = Item->Engine;
    auto Time = std::min(CallTimeout, Item->Sent.Deadline - Now);
    double Fate = chance();
    if (Fate < FaultRates.OrderLate)
      schedule(millis(2000, 12'000),
               [this, Index, Copy] { arrive(Index, Copy); });
    if (Fate < FaultRates.OrderLate + FaultRates.OrderLost ||
        Now < OrdersFrom[Index]) {
      trace("order for engine ", Index, " lost or late");
      Item->MayHaveArrived = true;
      return continueDelivery(Item, Time + WatchPeriod);
    }
    bool Lost = chance() < FaultRates.AnswerLost || Now < AnswersFrom[Index];
    schedule(Step, [this, Item, Copy, Lost, Time] {
      auto Answer = arrive(Item->Engine, Copy);
      if (Answer && !Lost)
        return takeAnswer(Item, *Answer);
      Item->MayHaveArrived = true;
      continueDelivery(Item, Time - Step + WatchPeriod);
    });
  }

  /// \returns the engine's answer; nothing if there is none.
  std::optional<EngineAnswer> arrive(int Index, const OrderCopy &Copy) {
    WatchedEngine &Target = Engines[Index];
    if (auto Kind = Target.silence(Now)) {
      // What was sent to a frozen engine is read when it goes on; what was sent
      // over a broken link may still arrive.
      bool Arrives = *Kind == Silence::Frozen ||
                     (*Kind == Silence::CutOff && chance() < 0.5);
      if (Arrives)
        schedule(Target.silentUntil() - Now,
                 [this, Index, Copy] { arrive(Index, Copy); });
      return std::nullopt;
    }
    Seen.ArrivedLate += Now - Copy.SentAt > Reconciler::OrderTimeout;
    EngineAnswer Answer = Target.receive(Copy, Now);
    trace("engine ", Index, ": weights ", Copy.Weights, " fencing ",
          Copy.Fencing.Value, " sent at ", atMillis(Copy.SentAt),
          " ms: ", enumName(Answer));
    if (Answer == EngineAnswer::Accepted)
      recordAccepted(Index, Copy);
    return Answer;
  }

  void recordAccepted(int Index, const OrderCopy &Copy) {
    ++Seen.Accepted;
    if (Copy.Fencing < AcceptedFencing[Index]) {
      bool BeforeStart = Copy.SentAt < Engines[Index].startedAt();
      ++(BeforeStart ? Seen.StaleOrdersAfterStart : Seen.StaleOrders);
      trace("FAULT: order of an earlier term accepted");
    }
    AcceptedFencing[Index] = std::max(AcceptedFencing[Index], Copy.Fencing);
  }

  void takeAnswer(const DeliveryPtr &Item, EngineAnswer Answer) {
    switch (Answer) {
    case EngineAnswer::Accepted:
    case EngineAnswer::Holds:
      Item->WatchUntil = Now + WatchLimit;
      return later(Item, FirstWatch, &RolloutWorld::watch);
    case EngineAnswer::Conflict:
      Item->Busy = true;
      return continueDelivery(Item, WatchPeriod);
    case EngineAnswer::Fenced:
      return endDelivery(Item, OrderOutcome::Refused);
    }
  }

  void watch(const DeliveryPtr &Item) {
    if (Now >= Item->WatchUntil)
      return endDelivery(Item, OrderOutcome::Accepted);
    bool Silent = Engines[Item->Engine].silence(Now).has_value();
    bool Paused = Now < PausedUntil[Item->Engine];
    if (!Silent && !Paused && showsWeights(*Item))
      return endDelivery(Item, OrderOutcome::CarriedOut);
    Duration Wait =
        Silent ? waitForSilent(Item->Engine, Item->WatchUntil) : Duration(0);
    later(Item, Wait + WatchPeriod, &RolloutWorld::watch);
  }

  void checkLoads() {
    int Loads = 0;
    int LoadsAfterSilence = 0;
    for (const WatchedEngine &Item : Engines)
      if (Item.state().Busy) {
        ++Loads;
        LoadsAfterSilence +=
            Item.loadsAfterSilence(Now, Reconciler::SettleTime);
      }
    Seen.MostLoads = std::max(Seen.MostLoads, Loads);
    auto MaxLoads = static_cast<int>(weightsLoadLimit(Simulated.Engines));
    bool Excess = Loads - LoadsAfterSilence > MaxLoads;
    if (Excess && Seen.ExcessLoads == 0)
      traceLoads();
    Seen.ExcessLoads += Excess;
  }

  void traceLoads() {
    for (int Index = 0; Index < EngineCount; ++Index) {
      const WatchedEngine &Item = Engines[Index];
      if (!Item.state().Busy)
        continue;
      auto Kind = Item.silence(Now);
      trace("FAULT: too many loads: engine ", Index, ", order sent at ",
            atMillis(Item.loadSentAt()), " ms, ",
            Kind ? enumName(*Kind) : "loading");
    }
  }

  /// \returns the time since \p Since in which a holder worked: terms of
  /// ShortestTerm or more count from TermStart after their start.
  Duration holderTimeSince(Timestamp Since) const {
    Duration Sum = Duration::zero();
    for (auto Item = Terms.rbegin();
         Item != Terms.rend() && Item->Until > Since; ++Item) {
      Timestamp Until = std::min(Item->Until, Now);
      if (Until - Item->From >= ShortestTerm)
        Sum += std::max(Until - std::max(Item->From + TermStart, Since),
                        Duration::zero());
    }
    return Sum;
  }

  /// \returns whether the engine was reachable for long enough since newer
  /// weights than its own were named.
  bool isOverdue(const WatchedEngine &Target) const {
    return std::any_of(Namings.begin(), Namings.end(), [&](const Naming &Item) {
      Timestamp Since = std::max(Item.At, Target.silentUntil());
      return Item.Weights > Target.state().Weights &&
             holderTimeSince(Since) >= RolloutDeadline;
    });
  }

  void checkProgress() {
    CheckAt = Now + std::chrono::milliseconds(100);
    int Overdue = 0;
    for (const WatchedEngine &Item : Engines)
      Overdue += !Item.isGone() && isOverdue(Item);
    if (Overdue > Seen.MostOverdue)
      for (int Index = 0; Index < Simulated.Engines; ++Index)
        if (isOverdue(Engines[Index]))
          trace("FAULT: engine ", Index, " overdue, weights ",
                Engines[Index].state().Weights);
    Seen.MostOverdue = std::max(Seen.MostOverdue, Overdue);
  }

  static constexpr Timestamp Start{std::chrono::seconds(1000)};
  static constexpr int NoHost = -1;
  RolloutFaults FaultRates;
  std::ostream *Trace;
  std::shared_ptr<HostProcess> Hosts[HostCount];
  int Holder = NoHost;
  HostId HolderId;
  Incarnation HolderIncarnation;
  FencingNumber Fencing;
  FencingCheck Fenced = FencingCheck::Checked;
  uint64_t Renewals = 0;
  Timestamp RenewAt;
  Timestamp TermEndsAt = NeverExpires;
  Timestamp NameAt;
  Timestamp CheckAt;
  std::vector<Term> Terms;
  std::vector<Naming> Namings{{Start, 1}};
  Fleet Simulated;
  std::vector<WatchedEngine> Engines;
  std::vector<Timestamp> AnnounceTimes;
  std::vector<Timestamp> OrdersFrom;
  std::vector<Timestamp> AnswersFrom;
  std::vector<Timestamp> PausedUntil;
  std::vector<FencingNumber> AcceptedFencing;
  int GoneEngines = 0;
  Counts Seen;
};

} // namespace ferry::control

#endif

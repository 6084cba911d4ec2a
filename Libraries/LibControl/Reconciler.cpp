#include "LibControl/Reconciler.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <cassert>
#include <tuple>

namespace ferry::control {

using registry::LoadSlot;

std::vector<ReconcilerEffect> Reconciler::step(const ReconcilerEvent &Event,
                                               Timestamp Now) {
  Effects Out;
  match(
      Event, [&](const ViewChanged &Changed) { updateView(Changed); },
      [&](const NamingsChanged &Changed) { Named = Changed.Named; },
      [&](const LeaseHeld &Lease) { updateLease(Lease); },
      [&](const LeaseLost &) { HeldUntil = {}; },
      [&](const OrderEnded &Ended) {
        receive(Ended, Now);
        receiveConfirmation(Ended, Now, Out);
      },
      [&](const LoadSlotAnswered &Answer) { receive(Answer, Now); },
      [&](const ActiveLoadsUpdated &Update) { receive(Update, Now); },
      [](const Tick &) {});
  if (maySendOrders(Now) && SlotsKnown)
    plan(Now, Out);
  return Out;
}

void Reconciler::updateView(const ViewChanged &Changed) {
  View = Changed.View;
  TargetsById.clear();
  if (!View)
    return;
  for (const TargetRecord &Target : View->Targets)
    TargetsById.push_back(&Target);
  std::stable_sort(TargetsById.begin(), TargetsById.end(),
                   [](const TargetRecord *Left, const TargetRecord *Right) {
                     return Left->Id < Right->Id;
                   });
}

void Reconciler::updateLease(const LeaseHeld &Lease) {
  assert(Lease.Fencing >= Fencing);
  // Tasks of an earlier lease are dropped; their slots become foreign slots.
  // The log says how old these and all others are.
  if (Lease.Fencing != Fencing) {
    Tasks.clear();
    ForeignSlots.clear();
    SlotsKnown = false;
    FailureHistories.clear();
    NextLoadSequence = 1;
  }
  Fencing = Lease.Fencing;
  HeldUntil = Lease.Until;
  UncheckedOrdersFrom = Lease.UncheckedOrdersFrom;
}

bool Reconciler::maySendOrders(Timestamp Now) const {
  if (!View || !View->Description || Now >= HeldUntil)
    return false;
  // An unconfirmed description may be out of date.
  return Now < View->ConfirmedUntil;
}

void Reconciler::receive(const OrderEnded &Ended, Timestamp Now) {
  auto TaskIt = std::find_if(Tasks.begin(), Tasks.end(), [&](const auto &Item) {
    return Item.second.CurrentStage == Stage::Ordered &&
           Item.second.OrderId == Ended.OrderId;
  });
  if (TaskIt == Tasks.end())
    return;
  Task &Work = TaskIt->second;
  Work.CurrentStage = Stage::Settling;
  if (Ended.Outcome == OrderOutcome::CarriedOut)
    return recordCarriedOut(TaskIt->first, Work, Now);
  bool Failed = Ended.Outcome == OrderOutcome::Refused ||
                Ended.Outcome == OrderOutcome::NotSent ||
                Ended.Outcome == OrderOutcome::Paused;
  OrdersFailed += Failed;
  if (Ended.Outcome == OrderOutcome::Lost) {
    recordLost(Work);
    return;
  }
  if (Ended.Outcome == OrderOutcome::Busy)
    return recordBusy(Work, Now);
  if (Ended.Outcome == OrderOutcome::NotTaken) {
    Work.CurrentStage = Stage::Ready;
    return;
  }
  if (Ended.Outcome == OrderOutcome::Serving) {
    Work.Unreachable = false;
    Work.CurrentStage = Stage::Ready;
    Work.SendNotBefore =
        std::min(Now + DrainReadInterval, Work.DrainUntil.value_or(Now));
    return;
  }
  if (!Failed) {
    // Reading the state again shows what became of an accepted order.
    if (readsState())
      recordLost(Work);
    else
      recordReceivable(Work);
    return;
  }
  // The task ends and frees its slot, unless an earlier order of it may still
  // take effect.
  if (Work.PossiblyReceived == Task::OrderCount::None) {
    Work.GiveUpAt = Now;
    return;
  }
  Work.Unreachable = Ended.Outcome == OrderOutcome::NotSent;
  Work.CurrentStage = Stage::Ready;
  bool WasRead = Work.OnlyReads && Ended.Outcome == OrderOutcome::Refused;
  Work.SendNotBefore = Now + (WasRead ? DrainReadInterval : RefusalBackoff);
}

void Reconciler::recordCarriedOut(const TargetId &Target, Task &Work,
                                  Timestamp Now) {
  Work.CarriedOut = true;
  if (const auto *Load = std::get_if<LoadWeights>(&Work.Order))
    Observed[Target] = {Work.Incarnation, Load->Weights, Now + SettleTime};
}

WeightsVersion Reconciler::weightsOf(const TargetRecord &Target) const {
  auto ObservedIt = Observed.find(Target.Id);
  bool Ahead = ObservedIt != Observed.end() &&
               ObservedIt->second.Incarnation == Target.Incarnation &&
               ObservedIt->second.Weights > Target.Weights;
  return Ahead ? ObservedIt->second.Weights : Target.Weights;
}

Duration Reconciler::loadTimeout() const {
  return readsState() ? SettleTime : LoadTimeout;
}

/// The slot of a load stays taken until its effect is seen or loadTimeout() has
/// passed since the last such order. An order that was not sent doesn't prolong
/// that.
void Reconciler::recordReceivable(Task &Work) const {
  Work.PossiblyReceived =
      std::max(Work.PossiblyReceived, Task::OrderCount::One);
  Work.Unreachable = false;
  Work.ReceivableUntil = Work.OrderDeadline;
  Work.GiveUpAt = Work.OrderDeadline + loadTimeout();
}

/// Handles a target that carries out an order of another term or an earlier
/// copy of this one: its slot stays taken, and its state is read again.
void Reconciler::recordBusy(Task &Work, Timestamp Now) const {
  Timestamp GiveUpBefore = Work.GiveUpAt;
  recordReceivable(Work);
  Work.GiveUpAt =
      std::max(GiveUpBefore, std::min(Work.GiveUpAt, Work.BusyUntil));
  Work.CurrentStage = Stage::Ready;
  Work.SendNotBefore = Now + RefusalBackoff;
}

/// Handles an order that the target may have received and that was not seen to
/// be carried out: it is sent again, a bounded number of times. A target whose
/// state is read first gets no second order for one that it has carried out, so
/// that no delay is needed.
void Reconciler::recordLost(Task &Work) const {
  recordReceivable(Work);
  Work.BusyUntil = Work.OrderDeadline + LoadTimeout;
  if (Work.Resends >= (readsState() ? MaxResendsAfterRead : MaxResends))
    return;
  ++Work.Resends;
  Work.CurrentStage = Stage::Ready;
  Work.SendNotBefore = Work.OrderDeadline +
                       (readsState() ? RefusalBackoff : LostOrderResendDelay);
}

void Reconciler::receive(const LoadSlotAnswered &Answer, Timestamp Now) {
  auto TaskIt = Tasks.find(Answer.Slot.Target);
  if (TaskIt == Tasks.end() || TaskIt->second.Slot != Answer.Slot)
    return;
  Task &Work = TaskIt->second;
  if (Work.CurrentStage != Stage::RequestingSlot)
    return;
  if (Answer.Answer == LoadSlotAnswered::Verdict::Granted) {
    Work.CurrentStage = Stage::Ready;
    return;
  }
  // If the slot was taken nevertheless, ActiveLoadsUpdated shows it.
  FailureHistory &TargetHistory = FailureHistories[Answer.Slot.Target];
  // A request that a later one has overtaken is made again at once, but not
  // twice in a row, as it may be stale for another reason.
  bool LaterRequested = Answer.Slot.Sequence + 1 < NextLoadSequence;
  TargetHistory.Overtaken = Answer.Answer == LoadSlotAnswered::Verdict::Stale &&
                            LaterRequested &&
                            Work.PossiblyReceived == Task::OrderCount::None &&
                            !TargetHistory.Overtaken;
  if (!TargetHistory.Overtaken)
    TargetHistory.NotBefore = Now + RefusalBackoff;
  Tasks.erase(TaskIt);
}

void Reconciler::plan(Timestamp Now, Effects &Out) {
  settleTasks(Now, Out);
  endForeignSlots(Now, Out);
  if (readsState())
    confirmInheritedSlots(Now, Out);
  startTasks(Now, Out);
  sendOrders(Now, Out);
}

const TargetRecord *Reconciler::findTarget(const TargetId &Id) const {
  auto TargetIt =
      std::lower_bound(TargetsById.begin(), TargetsById.end(), Id,
                       [](const TargetRecord *Item, const TargetId &Id) {
                         return Item->Id < Id;
                       });
  bool Found = TargetIt != TargetsById.end() && (*TargetIt)->Id == Id;
  return Found ? *TargetIt : nullptr;
}

bool Reconciler::isUsableEngine(const TargetRecord &Target,
                                Timestamp Now) const {
  return Target.Kind == TargetKind::Engine &&
         Target.Phase != TargetPhase::Leaving &&
         Now + Opts.MinUsableTime < Target.UsableUntil &&
         View->Description->findService(Target.Service);
}

std::optional<Order> Reconciler::wantedOrder(const TargetRecord &Target) const {
  const config::Service *Service =
      View->Description->findService(Target.Service);
  if (!Service || Service->Kind != TargetKind::Engine)
    return std::nullopt;
  if (Target.Model != Service->Model || weightsOf(Target) != Service->Weights)
    return LoadWeights{Service->Model, Service->Weights};
  if (Target.Adapter != Service->Adapter)
    return LoadAdapter{Service->Model, Service->Adapter};
  return std::nullopt;
}

Reconciler::NextAction Reconciler::nextActionFor(const TargetId &Target,
                                                 Task &Work,
                                                 Timestamp Now) const {
  if (Work.CurrentStage == Stage::Ordered) {
    if (Now < Work.OrderDeadline + Opts.WatchLimit)
      return NextAction::Keep;
    Work.CurrentStage = Stage::Settling;
    recordLost(Work);
  }
  if (Now >= Work.GiveUpAt || Work.CarriedOut)
    return NextAction::Finish;
  const TargetRecord *Record = findTarget(Target);
  if (!Record) {
    bool NothingSent = Work.CurrentStage == Stage::Ready &&
                       Work.PossiblyReceived == Task::OrderCount::None;
    return NothingSent ? NextAction::Finish : NextAction::Keep;
  }
  if (Work.Slot)
    return nextActionForLoad(*Record, Work, Now);
  bool Outdated = Record->Incarnation > Work.Incarnation ||
                  wantedOrder(*Record) != Work.Order;
  return Outdated ? NextAction::Finish : NextAction::Keep;
}

Reconciler::NextAction Reconciler::nextActionForLoad(const TargetRecord &Target,
                                                     const Task &Work,
                                                     Timestamp Now) const {
  using OrderCount = Task::OrderCount;
  std::optional<Order> Wanted = wantedOrder(Target);
  // After several orders, an announcement can be older than the last one and
  // show the weights of an earlier one.
  bool Settled = Now >= Work.ReceivableUntil + SettleTime;
  bool Unambiguous = Settled || Work.PossiblyReceived != OrderCount::Several;
  // Until its deadline, a copy of the order can reach a later incarnation of
  // the target. An announcement seen until then may not show that yet.
  bool AnnouncementIsCurrent = Now >= Work.ReceivableUntil + AnnouncementLag;
  if (isLoadDone(*Work.Slot) && Unambiguous && AnnouncementIsCurrent)
    return NextAction::Finish;
  if (Settled && !Wanted)
    return NextAction::Finish;
  bool SameIncarnation = Target.Incarnation == Work.Incarnation;
  if (SameIncarnation && Wanted == Work.Order)
    return NextAction::Keep;
  bool NeedsLoad = Wanted && std::holds_alternative<LoadWeights>(*Wanted);
  // A target that is drained for older weights is drained for newer ones too.
  bool KeepsDrain = NeedsLoad && SameIncarnation && Work.DrainUntil;
  if (Work.PossiblyReceived == OrderCount::None && !KeepsDrain)
    return NextAction::Finish;
  bool RequestsSlot = Work.CurrentStage == Stage::RequestingSlot;
  return NeedsLoad && !RequestsSlot ? NextAction::Replan : NextAction::Keep;
}

void Reconciler::settleTasks(Timestamp Now, Effects &Out) {
  for (auto TaskIt = Tasks.begin(); TaskIt != Tasks.end();) {
    auto &[Target, Work] = *TaskIt;
    switch (nextActionFor(Target, Work, Now)) {
    case NextAction::Keep:
      ++TaskIt;
      break;
    case NextAction::Replan:
      requestSlot(*findTarget(Target), Work, Now, Out);
      ++TaskIt;
      break;
    case NextAction::Finish:
      finishTask(Target, Work, Now, Out);
      TaskIt = Tasks.erase(TaskIt);
      break;
    }
  }
}

void Reconciler::finishTask(const TargetId &Target, const Task &Work,
                            Timestamp Now, Effects &Out) {
  const TargetRecord *Record = findTarget(Target);
  if (Work.CarriedOut || (Record && !wantedOrder(*Record))) {
    FailureHistories.erase(Target);
  } else if (Now >= Work.GiveUpAt) {
    FailureHistory &TargetHistory = FailureHistories[Target];
    uint32_t Doublings = std::min(TargetHistory.Failures++, uint32_t{8});
    TargetHistory.NotBefore =
        Now + std::min(RefusalBackoff * (1 << Doublings), MaxRefusalBackoff);
    // A target that held a slot to its end leaves time for a load of others.
    if (Work.PossiblyReceived != Task::OrderCount::None)
      TargetHistory.NotBefore = Now + LostLoadBackoff;
  }
  if (!Work.Slot)
    return;
  endLoad(*Work.Slot, Now, Out);
  ForeignSlots.back().Free = Work.CarriedOut;
}

/// \returns whether \p Engine may be changed while at least one of its service
/// stays unchanged. The only engine of a service may always be changed, and one
/// that an earlier term's order may be changing already counts as changed.
bool Reconciler::mayChange(const TargetRecord &Engine, Timestamp Now) const {
  bool AlreadyChanging = isChangedByEarlierTerm(Engine.Id);
  uint32_t Engines = 0;
  uint32_t Changing = 0;
  for (const TargetRecord &Target : View->Targets) {
    if (Target.Service != Engine.Service || !isUsableEngine(Target, Now))
      continue;
    ++Engines;
    Changing += Tasks.contains(Target.Id) ||
                (!AlreadyChanging && isChangedByEarlierTerm(Target.Id));
  }
  return Changing == 0 || Changing + 1 < Engines;
}

std::vector<const TargetRecord *>
Reconciler::enginesToChange(Timestamp Now) const {
  std::vector<const TargetRecord *> Engines;
  for (const TargetRecord &Target : View->Targets) {
    auto HistoryIt = FailureHistories.find(Target.Id);
    bool MustWait = Tasks.contains(Target.Id) ||
                    awaitsConfirmation(Target.Id) ||
                    (HistoryIt != FailureHistories.end() &&
                     Now < HistoryIt->second.NotBefore);
    if (!MustWait && isUsableEngine(Target, Now) && wantedOrder(Target))
      Engines.push_back(&Target);
  }
  auto Rank = [&](const TargetRecord *Target) {
    // Engines with the oldest weights come first: if new weights are named
    // faster than all engines can load them, each engine is still updated in
    // turn and skips superseded versions, also one that has failed. Then idle
    // engines come first, so that requests on busy ones have time to end.
    uint64_t Busy =
        uint64_t(Target->Load.RunningRequests) + Target->Load.QueuedRequests;
    auto HistoryIt = FailureHistories.find(Target->Id);
    uint32_t Failures =
        HistoryIt == FailureHistories.end() ? 0 : HistoryIt->second.Failures;
    return std::make_tuple(weightsOf(*Target), Failures, Busy, Target->Id);
  };
  std::sort(Engines.begin(), Engines.end(),
            [&](const TargetRecord *Left, const TargetRecord *Right) {
              return Rank(Left) < Rank(Right);
            });
  return Engines;
}

void Reconciler::startTasks(Timestamp Now, Effects &Out) {
  std::erase_if(Observed,
                [&](const auto &Item) { return Now >= Item.second.Until; });
  std::erase_if(FailureHistories,
                [&](const auto &Item) { return !findTarget(Item.first); });
  // What is refused to one engine without a slot is refused to all of them.
  bool SlotsTaken = false;
  for (const TargetRecord *Target : enginesToChange(Now)) {
    Order Wanted = *wantedOrder(*Target);
    bool NeedsSlot = std::holds_alternative<LoadWeights>(Wanted);
    bool HasSlot = hasForeignSlot(Target->Id);
    if (NeedsSlot && SlotsTaken && !HasSlot)
      continue;
    if (NeedsSlot && !isSlotFree(Target->Id, Now)) {
      SlotsTaken |= !HasSlot;
      continue;
    }
    if (mayChange(*Target, Now))
      startTask(*Target, Wanted, Now, Out);
  }
}

void Reconciler::startTask(const TargetRecord &Target, const Order &Wanted,
                           Timestamp Now, Effects &Out) {
  Task &Work = Tasks[Target.Id];
  Work.Incarnation = Target.Incarnation;
  Work.Order = Wanted;
  Work.CurrentStage = Stage::Ready;
  Work.GiveUpAt = Now + OrderTimeout + loadTimeout();
  Work.BusyUntil = Now + OrderTimeout + LoadTimeout;
  // An order under the target's foreign slot may still be under way.
  if (hasForeignSlot(Target.Id)) {
    Work.PossiblyReceived = Task::OrderCount::Several;
    Work.ReceivableUntil = Now + OrderTimeout;
  }
  if (std::holds_alternative<LoadWeights>(Wanted))
    requestSlot(Target, Work, Now, Out);
}

/// Requests a slot for the weights that \p Target must load now. The log grants
/// it in place of any slot that the target has.
void Reconciler::requestSlot(const TargetRecord &Target, Task &Work,
                             Timestamp Now, Effects &Out) {
  auto Wanted = std::get<LoadWeights>(*wantedOrder(Target));
  Work.Incarnation = Target.Incarnation;
  Work.Order = Wanted;
  Work.CurrentStage = Stage::RequestingSlot;
  Work.Resends = 0;
  if (Work.PossiblyReceived != Task::OrderCount::None)
    Work.PossiblyReceived = Task::OrderCount::Several;
  uint32_t MaxLoads = maxLoadsFor(Target.Id, Now);
  Work.Slot = LoadSlot{Target.Id, Target.Incarnation, Wanted.Weights, Fencing,
                       NextLoadSequence++};
  Out.push_back(BeginLoad{*Work.Slot, MaxLoads});
}

/// \returns the order that \p Work sends now. A target that announces the
/// wanted weights after orders without an answer is only asked to confirm them,
/// which frees its slot before SettleTime.
std::optional<Order> Reconciler::nextOrderFor(const TargetRecord &Target,
                                              const Task &Work) const {
  std::optional<Order> Wanted = wantedOrder(Target);
  if (Wanted == Work.Order)
    return Work.Order;
  bool MayConfirm = readsState() && !Wanted && Work.Slot &&
                    Work.PossiblyReceived != Task::OrderCount::None;
  return MayConfirm ? confirmationFor(Target) : std::nullopt;
}

/// \returns the order that reads whether \p Target has the weights that the
/// description wants.
std::optional<Order>
Reconciler::confirmationFor(const TargetRecord &Target) const {
  const config::Service *Service =
      View->Description->findService(Target.Service);
  if (!Service)
    return std::nullopt;
  return ConfirmWeights{Service->Model, Service->Weights};
}

/// \returns whether no order of another holder can be under way to \p Target
/// together with \p Next. A target that checks fencing numbers sees to that
/// itself, and reading its state changes nothing.
bool Reconciler::maySendNow(const TargetRecord &Target, const Order &Next,
                            Timestamp Now) const {
  return Target.Fencing == FencingCheck::Checked ||
         std::holds_alternative<ConfirmWeights>(Next) ||
         (Now >= UncheckedOrdersFrom && Now + OrderTimeout <= HeldUntil);
}

void Reconciler::sendOrders(Timestamp Now, Effects &Out) {
  for (auto &[Target, Work] : Tasks) {
    const TargetRecord *Record = findTarget(Target);
    if (Work.CurrentStage != Stage::Ready || Now < Work.SendNotBefore ||
        !Record || Record->Incarnation < Work.Incarnation ||
        Now >= Record->UsableUntil)
      continue;
    Work.AwaitsTurn = awaitsTurn(Target, Work, Now);
    std::optional<Order> Next = Work.AwaitsTurn ? confirmationFor(*Record)
                                                : nextOrderFor(*Record, Work);
    if (!Next)
      continue;
    // A later incarnation with the weights is read; orders were for the other.
    bool OnlyReads = std::holds_alternative<ConfirmWeights>(*Next);
    if (!OnlyReads && Record->Incarnation != Work.Incarnation)
      continue;
    if (!maySendNow(*Record, *Next, Now))
      continue;
    Timestamp Deadline = Now + OrderTimeout;
    Work.CurrentStage = Stage::Ordered;
    Work.OrderId = NextOrderId++;
    Work.OnlyReads = OnlyReads;
    Work.Incarnation = Record->Incarnation;
    Work.OrderDeadline = Deadline;
    OrdersEndBy = std::max(OrdersEndBy, Deadline);
    ++OrdersSent;
    Out.push_back(SendOrder{Work.OrderId, Target, Work.Incarnation,
                            Record->Address, *Next, Fencing, Deadline,
                            OnlyReads ? RunningRequests::Finish
                                      : runningRequests(*Record, Work, Now)});
  }
}

Reconciler::Counts Reconciler::counts(Timestamp Now) const {
  Counts Result;
  Result.OrdersSent = OrdersSent;
  Result.OrdersFailed = OrdersFailed;
  for (const auto &[Target, Work] : Tasks) {
    Result.OrdersUnderWay += Work.CurrentStage == Stage::Ordered;
    Result.SlotsHeld += Work.Slot.has_value();
  }
  // Hosts without the lease see all slots as foreign.
  for (const ForeignSlot &Item : ForeignSlots)
    Result.SlotsInherited +=
        Now < HeldUntil && !Item.Free && !Tasks.contains(Item.Slot.Target);
  if (!View || !View->Description) {
    Result.Wait = rolloutWait(Result, Now);
    return Result;
  }
  for (const TargetRecord &Target : View->Targets) {
    if (!isUsableEngine(Target, Now))
      continue;
    ++Result.Engines;
    Result.EnginesRight += !wantedOrder(Target);
  }
  Result.Wait = rolloutWait(Result, Now);
  return Result;
}

RolloutWait Reconciler::rolloutWait(const Counts &Current,
                                    Timestamp Now) const {
  if (Now >= HeldUntil)
    return RolloutWait::NoLease;
  if (!maySendOrders(Now))
    return RolloutWait::NotConfirmed;
  if (Current.EnginesRight == Current.Engines)
    return RolloutWait::None;
  uint32_t SlotsTaken = Current.SlotsHeld + Current.SlotsInherited;
  return SlotsTaken >= View->Description->Limits.MaxWeightsLoads
             ? RolloutWait::NoFreeSlot
             : RolloutWait::EnginesWait;
}

} // namespace ferry::control

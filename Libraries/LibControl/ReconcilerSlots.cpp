// The slots for loads that belong to no change of this term, and the limit of
// loads.
#include "LibControl/Reconciler.h"
#include <algorithm>

namespace ferry::control {

using registry::LoadSlot;

void Reconciler::receive(const ActiveLoadsUpdated &Update, Timestamp Now) {
  SlotsKnown = Update.Fencing >= Fencing;
  std::vector<ForeignSlot> Updated;
  for (const registry::ActiveLoad &Load : Update.Active) {
    if (ownsSlot(Load.Slot)) {
      // The answer to the request may be lost.
      Task &Work = Tasks[Load.Slot.Target];
      if (Work.CurrentStage == Stage::RequestingSlot)
        Work.CurrentStage = Stage::Ready;
      continue;
    }
    auto KnownSlot = std::find_if(
        ForeignSlots.begin(), ForeignSlots.end(),
        [&](const ForeignSlot &Item) { return Item.Slot == Load.Slot; });
    if (KnownSlot != ForeignSlots.end()) {
      Updated.push_back(*KnownSlot);
      continue;
    }
    // The log's count of later renewals outlives the holders, so that the time
    // doesn't start anew with each of them.
    Timestamp TermEndedBy =
        Now - Opts.RenewInterval * static_cast<int64_t>(Load.LaterRenewals);
    Timestamp OrdersEndedBy = TermEndedBy + OrderTimeout;
    ForeignSlot Inherited;
    Inherited.Slot = Load.Slot;
    Inherited.SettledAt = OrdersEndedBy + SettleTime;
    Inherited.ExpiresAt = OrdersEndedBy + loadTimeout();
    Inherited.AnnouncedBy = Now + FirstAnnouncementTime;
    Inherited.BusyUntil = OrdersEndedBy + LoadTimeout;
    Updated.push_back(Inherited);
  }
  ForeignSlots = std::move(Updated);
}

/// Reads the states of the targets of inherited slots. Announcements show the
/// end of such a load only after SettleTime.
void Reconciler::confirmInheritedSlots(Timestamp Now, Effects &Out) {
  for (ForeignSlot &Inherited : ForeignSlots) {
    const TargetRecord *Record = findTarget(Inherited.Slot.Target);
    if (Inherited.Owner != SlotOwner::EarlierTerm || !Record ||
        Now >= Record->UsableUntil || Now < Inherited.ConfirmAt ||
        Tasks.contains(Inherited.Slot.Target))
      continue;
    Inherited.ConfirmId = NextOrderId++;
    // The sender's answer comes before that.
    Inherited.ConfirmAt = Now + OrderTimeout + OrderTimeout;
    Out.push_back(SendOrder{
        Inherited.ConfirmId, Record->Id, Record->Incarnation, Record->Address,
        ConfirmWeights{Record->Model, Inherited.Slot.Weights}, Fencing,
        Now + OrderTimeout});
  }
}

void Reconciler::receiveConfirmation(const OrderEnded &Ended, Timestamp Now,
                                     Effects &Out) {
  auto SlotIt = std::find_if(
      ForeignSlots.begin(), ForeignSlots.end(),
      [&](const ForeignSlot &Item) { return Item.ConfirmId == Ended.OrderId; });
  if (SlotIt == ForeignSlots.end())
    return;
  SlotIt->ConfirmId = 0;
  SlotIt->ConfirmAt = Now + RefusalBackoff;
  switch (Ended.Outcome) {
  case OrderOutcome::CarriedOut: {
    LoadSlot Slot = SlotIt->Slot;
    if (const TargetRecord *Record = findTarget(Slot.Target))
      Observed[Slot.Target] = {Record->Incarnation, Slot.Weights,
                               Now + SettleTime};
    endLoad(Slot, Now, Out);
    ForeignSlots.back().Free = true;
    break;
  }
  case OrderOutcome::Busy:
    SlotIt->LastContact = Contact::Open;
    SlotIt->ExpiresAt = std::max(
        SlotIt->ExpiresAt, std::min(Now + loadTimeout(), SlotIt->BusyUntil));
    break;
  case OrderOutcome::Refused:
    SlotIt->LastContact = Contact::Idle;
    break;
  case OrderOutcome::NotTaken:
    SlotIt->ConfirmAt = Now;
    break;
  case OrderOutcome::Paused:
    // It may carry out an order.
    SlotIt->LastContact = Contact::Open;
    break;
  case OrderOutcome::Accepted:
  case OrderOutcome::NotSent:
  case OrderOutcome::Serving:
  case OrderOutcome::Lost:
    SlotIt->LastContact = Contact::None;
    break;
  }
}

const Reconciler::ForeignSlot *
Reconciler::inheritedSlot(const TargetId &Target) const {
  auto SlotIt = std::find_if(ForeignSlots.begin(), ForeignSlots.end(),
                             [&](const ForeignSlot &Item) {
                               return Item.Owner == SlotOwner::EarlierTerm &&
                                      Item.Slot.Target == Target;
                             });
  return SlotIt == ForeignSlots.end() ? nullptr : &*SlotIt;
}

/// \returns whether an inherited slot of \p Target must be confirmed before the
/// target gets an order. A new load takes the slot's place in the log and with
/// it the slot's age, which would hold the slot of an unreachable target anew.
bool Reconciler::awaitsConfirmation(const TargetId &Target) const {
  return readsState() && isChangedByEarlierTerm(Target);
}

/// \returns whether an order of an earlier term may be changing \p Target.
bool Reconciler::isChangedByEarlierTerm(const TargetId &Target) const {
  const ForeignSlot *Inherited = inheritedSlot(Target);
  return Inherited && Inherited->LastContact != Contact::Idle;
}

bool Reconciler::hasForeignSlot(const TargetId &Target) const {
  return std::any_of(
      ForeignSlots.begin(), ForeignSlots.end(),
      [&](const ForeignSlot &Item) { return Item.Slot.Target == Target; });
}

bool Reconciler::ownsSlot(const LoadSlot &Slot) const {
  auto TaskIt = Tasks.find(Slot.Target);
  return TaskIt != Tasks.end() && TaskIt->second.Slot == Slot;
}

bool Reconciler::isLoadDone(const LoadSlot &Slot) const {
  const TargetRecord *Target = findTarget(Slot.Target);
  if (!Target)
    return false;
  // A later incarnation may have received the order too.
  return Target->Incarnation >= Slot.Incarnation &&
         Target->Weights == Slot.Weights;
}

void Reconciler::endForeignSlots(Timestamp Now, Effects &Out) {
  for (ForeignSlot &Foreign : ForeignSlots) {
    bool Ended = Now >= Foreign.ExpiresAt ||
                 (Now >= Foreign.SettledAt && isLoadDone(Foreign.Slot));
    if (!Ended || Now < Foreign.ResendEndAt)
      continue;
    Foreign.ResendEndAt = Now + EndLoadResendDelay;
    Out.push_back(EndLoad{Foreign.Slot});
  }
}

/// Asks the log to free a slot, and records it as a foreign slot until the log
/// shows that it is free.
void Reconciler::endLoad(const LoadSlot &Slot, Timestamp Now, Effects &Out) {
  Out.push_back(EndLoad{Slot});
  std::erase_if(ForeignSlots,
                [&](const ForeignSlot &Item) { return Item.Slot == Slot; });
  ForeignSlot Ending;
  Ending.Slot = Slot;
  Ending.SettledAt = Now;
  Ending.ExpiresAt = Now;
  Ending.ResendEndAt = Now + EndLoadResendDelay;
  Ending.AnnouncedBy = NeverExpires;
  Ending.Owner = SlotOwner::Ending;
  ForeignSlots.push_back(Ending);
}

bool Reconciler::holdsUnreachableTarget(const ForeignSlot &Item,
                                        Timestamp Now) const {
  if (Item.LastContact == Contact::None)
    return true;
  return readsState() && Now >= Item.AnnouncedBy &&
         !isAnnounced(Item.Slot.Target, Now);
}

bool Reconciler::isAnnounced(const TargetId &Target, Timestamp Now) const {
  const TargetRecord *Record = findTarget(Target);
  return Record && Now < Record->UsableUntil;
}

/// \returns the slots of other targets than \p Target. The slots of one target
/// count once.
Reconciler::OtherSlots Reconciler::slotsOfOthers(const TargetId &Target,
                                                 Timestamp Now) const {
  OtherSlots Others;
  for (const auto &[Id, Work] : Tasks) {
    if (!Work.Slot || Id == Target)
      continue;
    ++Others.Count;
    // An order that is under way may have reached the target.
    bool MayReach = Work.CurrentStage == Stage::Ordered && !Work.OnlyReads;
    bool Unreachable = (Work.Unreachable && !MayReach) || !isAnnounced(Id, Now);
    Others.Unreachable += Unreachable;
    Others.AwaitTurn += !Unreachable && Work.AwaitsTurn;
  }
  for (const ForeignSlot &Item : ForeignSlots) {
    if (Item.Free || Item.Slot.Target == Target ||
        Tasks.contains(Item.Slot.Target))
      continue;
    ++Others.Count;
    Others.Unreachable += holdsUnreachableTarget(Item, Now);
  }
  return Others;
}

/// \returns the limit of loads under which \p Target may load. Where the state
/// of targets is read, a target keeps the slot that it has whatever the limit,
/// and unreachable targets that hold all slots leave room for one load at a
/// time, so that the rollout goes on.
uint32_t Reconciler::maxLoadsFor(const TargetId &Target, Timestamp Now) const {
  uint32_t Limit = View->Description->Limits.MaxWeightsLoads;
  if (!readsState())
    return Limit;
  OtherSlots Others = slotsOfOthers(Target, Now);
  auto TaskIt = Tasks.find(Target);
  bool OwnsSlot = TaskIt != Tasks.end() && TaskIt->second.Slot;
  bool OthersUnreachable = Others.Count == Others.Unreachable;
  if (OwnsSlot || inheritedSlot(Target) || OthersUnreachable)
    return std::max(Limit, Others.Count + 1);
  return Limit;
}

/// \returns whether the log would grant \p Target a slot, according to this
/// host's copy.
bool Reconciler::isSlotFree(const TargetId &Target, Timestamp Now) const {
  return slotsOfOthers(Target, Now).Count < maxLoadsFor(Target, Now);
}

/// \returns whether \p Target, which has a slot, must leave the limit to the
/// loads of others. One that can't be reached may come back at any time, and
/// must wait if any load may have begun beside its slot.
bool Reconciler::awaitsTurn(const TargetId &Target, const Task &Work,
                            Timestamp Now) const {
  if (!readsState() || !Work.Slot ||
      Work.PossiblyReceived == Task::OrderCount::None)
    return false;
  OtherSlots Others = slotsOfOthers(Target, Now);
  uint32_t Ahead = Work.Unreachable
                       ? Others.Count
                       : Others.Count - Others.Unreachable - Others.AwaitTurn;
  return Ahead >= View->Description->Limits.MaxWeightsLoads;
}

std::vector<Reconciler::SlotStatus> Reconciler::slots() const {
  std::vector<SlotStatus> Result;
  for (const auto &[Target, Work] : Tasks)
    if (Work.Slot)
      Result.push_back({*Work.Slot, SlotOwner::ThisTerm, Work.GiveUpAt});
  for (const ForeignSlot &Item : ForeignSlots)
    Result.push_back({Item.Slot, Item.Owner, Item.ExpiresAt});
  return Result;
}

} // namespace ferry::control

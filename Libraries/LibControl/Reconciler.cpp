#include "LibControl/Reconciler.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <cassert>
#include <tuple>

namespace ferry::control {

using registry::LoadSlot;

std::vector<ReconcilerEffect> Reconciler::step(const ReconcilerEvent &Event,
                                               Timestamp Now) {
  match(
      Event, [&](const ViewChanged &Changed) { View = Changed.View; },
      [&](const LeaseHeld &Lease) { hold(Lease); },
      [&](const LeaseLost &) { HeldUntil = {}; },
      [&](const OrderAnswered &Answer) { receive(Answer, Now); },
      [&](const LoadSlotAnswered &Answer) { receive(Answer, Now); },
      [&](const LoadsKnown &Known) { receive(Known, Now); },
      [](const Tick &) {});
  Effects Out;
  if (mayGiveOrders(Now))
    plan(Now, Out);
  return Out;
}

void Reconciler::hold(const LeaseHeld &Lease) {
  assert(Lease.Fencing >= Fencing);
  // Under a new number, all that was begun before is seen as someone else's.
  if (Lease.Fencing != Fencing) {
    Tasks.clear();
    Histories.clear();
    NextLoadSequence = 1;
  }
  Fencing = Lease.Fencing;
  HeldUntil = Lease.Until;
}

bool Reconciler::mayGiveOrders(Timestamp Now) const {
  if (!View || !View->Description || Now >= HeldUntil)
    return false;
  // Without a confirmation the description may be out of date.
  return Now < View->ConfirmedUntil;
}

void Reconciler::receive(const OrderAnswered &Answer, Timestamp Now) {
  auto Found = std::find_if(Tasks.begin(), Tasks.end(), [&](const auto &Item) {
    return Item.second.Step == Stage::Ordered &&
           Item.second.OrderId == Answer.OrderId;
  });
  if (Found == Tasks.end())
    return;
  Task &Work = Found->second;
  Work.Step = Stage::Settling;
  if (Answer.Outcome == OrderOutcome::CarriedOut)
    return noteCarriedOut(Found->first, Work, Now);
  bool Failed = Answer.Outcome == OrderOutcome::Refused ||
                Answer.Outcome == OrderOutcome::NotSent;
  OrdersFailed += Failed;
  if (Answer.Outcome == OrderOutcome::Lost) {
    noteLost(Work);
    return;
  }
  if (!Failed) {
    Work.Orders = std::max(Work.Orders, Task::Received::One);
    return;
  }
  // The slot goes to another target, unless it also covers an earlier order.
  if (Work.Orders == Task::Received::None) {
    Work.GiveUpAt = Now;
    return;
  }
  Work.Step = Stage::Ready;
  Work.SendNotBefore = Now + RefusalPause;
}

void Reconciler::noteCarriedOut(const TargetId &Target, Task &Work,
                                Timestamp Now) {
  Work.CarriedOut = true;
  if (const auto *Load = std::get_if<LoadWeights>(&Work.Order))
    Seen[Target] = {Work.Incarnation, Load->Weights, Now + SettleLimit};
}

WeightsVersion Reconciler::weightsOf(const TargetRecord &Target) const {
  auto Found = Seen.find(Target.Id);
  bool Ahead = Found != Seen.end() &&
               Found->second.Incarnation == Target.Incarnation &&
               Found->second.Weights > Target.Weights;
  return Ahead ? Found->second.Weights : Target.Weights;
}

/// The order may have been received or not: it is sent again, a few times.
void Reconciler::noteLost(Task &Work) {
  Work.Orders = std::max(Work.Orders, Task::Received::One);
  if (Work.Resends >= MaxResends)
    return;
  ++Work.Resends;
  Work.Step = Stage::Ready;
  Work.SendNotBefore = Work.OrderDeadline + LostOrderPause;
}

void Reconciler::receive(const LoadSlotAnswered &Answer, Timestamp Now) {
  auto Found = Tasks.find(Answer.Slot.Target);
  if (Found == Tasks.end() || Found->second.Slot != Answer.Slot)
    return;
  Task &Work = Found->second;
  if (Work.Step != Stage::AskingSlot)
    return;
  if (Answer.Answer == LoadSlotAnswered::Verdict::Granted) {
    Work.Step = Stage::Ready;
    return;
  }
  // A slot that was taken unknown to this host shows up in LoadsKnown.
  Histories[Answer.Slot.Target].NotBefore = Now + RefusalPause;
  Tasks.erase(Found);
}

void Reconciler::receive(const LoadsKnown &Known, Timestamp Now) {
  std::vector<ForeignSlot> Updated;
  for (const LoadSlot &Slot : Known.Active) {
    if (ownsSlot(Slot))
      continue;
    auto Before = std::find_if(
        ForeignSlots.begin(), ForeignSlots.end(),
        [&](const ForeignSlot &Item) { return Item.Slot == Slot; });
    if (Before != ForeignSlots.end())
      Updated.push_back(*Before);
    else
      Updated.push_back({Slot, Now + OrderTimeout + SettleLimit,
                         Now + OrderTimeout + LoadLimit, Now, false});
  }
  ForeignSlots = std::move(Updated);
}

void Reconciler::plan(Timestamp Now, Effects &Out) {
  settleTasks(Now, Out);
  endForeignSlots(Now, Out);
  startTasks(Now, Out);
  sendOrders(Now, Out);
}

const TargetRecord *Reconciler::findTarget(const TargetId &Id) const {
  auto Found =
      std::find_if(View->Targets.begin(), View->Targets.end(),
                   [&](const TargetRecord &Item) { return Item.Id == Id; });
  return Found == View->Targets.end() ? nullptr : &*Found;
}

bool Reconciler::isUsableEngine(const TargetRecord &Target,
                                Timestamp Now) const {
  return Target.Kind == TargetKind::Engine &&
         Target.Phase != TargetPhase::Leaving &&
         Now + Chosen.LeastTrust < Target.UsableUntil &&
         View->Description->findService(Target.Service);
}

std::optional<Order> Reconciler::wantedOrder(const TargetRecord &Target) const {
  const config::Service *Wanted =
      View->Description->findService(Target.Service);
  if (!Wanted || Wanted->Kind != TargetKind::Engine)
    return std::nullopt;
  if (Target.Model != Wanted->Model || weightsOf(Target) != Wanted->Weights)
    return LoadWeights{Wanted->Model, Wanted->Weights};
  if (Target.Adapter != Wanted->Adapter)
    return LoadAdapter{Wanted->Model, Wanted->Adapter};
  return std::nullopt;
}

Reconciler::Verdict Reconciler::judge(const TargetId &Target, Task &Work,
                                      Timestamp Now) const {
  if (Work.Step == Stage::Ordered) {
    if (Now < Work.OrderDeadline + Chosen.WatchLimit)
      return Verdict::Keep;
    Work.Step = Stage::Settling;
    noteLost(Work);
  }
  if (Now >= Work.GiveUpAt || Work.CarriedOut)
    return Verdict::Finish;
  const TargetRecord *Known = findTarget(Target);
  if (!Known)
    return Verdict::Keep;
  if (Work.Slot)
    return judgeLoad(*Known, Work, Now);
  bool Outdated = Known->Incarnation > Work.Incarnation ||
                  wantedOrder(*Known) != Work.Order;
  return Outdated ? Verdict::Finish : Verdict::Keep;
}

Reconciler::Verdict Reconciler::judgeLoad(const TargetRecord &Known,
                                          const Task &Work,
                                          Timestamp Now) const {
  using Received = Task::Received;
  std::optional<Order> Wanted = wantedOrder(Known);
  // After several orders, an announcement can be older than the last of them
  // and tell the weights of an earlier one.
  bool Quiet = Now >= Work.OrderDeadline + SettleLimit;
  bool Sure = Quiet || Work.Orders != Received::Several;
  // Until its deadline, a copy of the order can reach a later life, which the
  // announcement seen then may not show yet.
  bool Shown = Now >= Work.OrderDeadline + AnnouncementLag;
  if (isLoadDone(*Work.Slot) && Sure && Shown)
    return Verdict::Finish;
  if (Quiet && !Wanted)
    return Verdict::Finish;
  bool SameLife = Known.Incarnation == Work.Incarnation;
  if (SameLife && Wanted == Work.Order)
    return Verdict::Keep;
  if (Work.Orders == Received::None)
    return Verdict::Finish;
  bool NeedsLoad = Wanted && std::holds_alternative<LoadWeights>(*Wanted);
  bool Asked = Work.Step == Stage::AskingSlot;
  return NeedsLoad && !Asked ? Verdict::Replan : Verdict::Keep;
}

void Reconciler::settleTasks(Timestamp Now, Effects &Out) {
  for (auto Item = Tasks.begin(); Item != Tasks.end();) {
    auto &[Target, Work] = *Item;
    switch (judge(Target, Work, Now)) {
    case Verdict::Keep:
      ++Item;
      break;
    case Verdict::Replan:
      askSlot(*findTarget(Target), Work, Now, Out);
      ++Item;
      break;
    case Verdict::Finish:
      finishTask(Target, Work, Now, Out);
      Item = Tasks.erase(Item);
      break;
    }
  }
}

void Reconciler::finishTask(const TargetId &Target, const Task &Work,
                            Timestamp Now, Effects &Out) {
  const TargetRecord *Known = findTarget(Target);
  if (Known && !wantedOrder(*Known)) {
    Histories.erase(Target);
  } else if (Now >= Work.GiveUpAt) {
    History &Past = Histories[Target];
    uint32_t Doublings = std::min(Past.Failures++, uint32_t{8});
    Past.NotBefore =
        Now + std::min(RefusalPause * (1 << Doublings), MaxRefusalPause);
  }
  if (!Work.Slot)
    return;
  end(*Work.Slot, Now, Out);
  ForeignSlots.back().Free = Work.CarriedOut;
}

/// Asks for the end of a slot, and remembers it until the log shows the end.
void Reconciler::end(const LoadSlot &Slot, Timestamp Now, Effects &Out) {
  Out.push_back(EndLoad{Slot});
  std::erase_if(ForeignSlots,
                [&](const ForeignSlot &Item) { return Item.Slot == Slot; });
  ForeignSlots.push_back({Slot, Now, Now, Now + EndLoadPause, false});
}

bool Reconciler::isLoadDone(const LoadSlot &Slot) const {
  const TargetRecord *Known = findTarget(Slot.Target);
  if (!Known)
    return false;
  // A later life may have got the order too.
  return Known->Incarnation >= Slot.Incarnation &&
         Known->Weights == Slot.Weights;
}

void Reconciler::endForeignSlots(Timestamp Now, Effects &Out) {
  for (ForeignSlot &Item : ForeignSlots) {
    bool Ended =
        Now >= Item.ExpiresAt || (Now >= Item.QuietAt && isLoadDone(Item.Slot));
    if (!Ended || Now < Item.AskEndAt)
      continue;
    Item.AskEndAt = Now + EndLoadPause;
    Out.push_back(EndLoad{Item.Slot});
  }
}

bool Reconciler::ownsSlot(const LoadSlot &Slot) const {
  auto Found = Tasks.find(Slot.Target);
  return Found != Tasks.end() && Found->second.Slot == Slot;
}

bool Reconciler::hasForeignSlot(const TargetId &Target) const {
  return std::any_of(
      ForeignSlots.begin(), ForeignSlots.end(),
      [&](const ForeignSlot &Item) { return Item.Slot.Target == Target; });
}

/// \returns whether the log would grant \p Target a slot, as far as this host
/// knows. A target counts once.
bool Reconciler::isSlotFree(const TargetId &Target) const {
  uint32_t Others = 0;
  for (const auto &[Id, Work] : Tasks)
    Others += Work.Slot && Id != Target;
  for (const ForeignSlot &Item : ForeignSlots)
    Others += !Item.Free && Item.Slot.Target != Target &&
              !Tasks.contains(Item.Slot.Target);
  return Others < View->Description->Limits.MaxWeightsLoads;
}

/// \returns whether another engine of \p Service may be changed so that one at
/// least goes on as it is. A service with one engine has no choice.
bool Reconciler::leavesOneAlone(const ServiceId &Service, Timestamp Now) const {
  uint32_t Engines = 0;
  uint32_t Changing = 0;
  for (const TargetRecord &Target : View->Targets) {
    if (Target.Service != Service || !isUsableEngine(Target, Now))
      continue;
    ++Engines;
    Changing += Tasks.contains(Target.Id);
  }
  return Changing == 0 || Changing + 1 < Engines;
}

std::vector<const TargetRecord *>
Reconciler::wrongEngines(Timestamp Now) const {
  std::vector<const TargetRecord *> Wrong;
  for (const TargetRecord &Target : View->Targets) {
    auto Past = Histories.find(Target.Id);
    bool Waits = Tasks.contains(Target.Id) ||
                 (Past != Histories.end() && Now < Past->second.NotBefore);
    if (!Waits && isUsableEngine(Target, Now) && wantedOrder(Target))
      Wrong.push_back(&Target);
  }
  auto Rank = [&](const TargetRecord *Target) {
    auto Past = Histories.find(Target->Id);
    uint32_t Failures = Past == Histories.end() ? 0 : Past->second.Failures;
    // The oldest weights first: where weights are named faster than all engines
    // can load them, each engine gets its turn and skips what was overtaken.
    // Then the idle ones: what runs on the others has time to end.
    uint64_t Busy =
        uint64_t(Target->Load.RunningRequests) + Target->Load.QueuedRequests;
    return std::make_tuple(Failures, weightsOf(*Target), Busy, Target->Id);
  };
  std::sort(Wrong.begin(), Wrong.end(),
            [&](const TargetRecord *Left, const TargetRecord *Right) {
              return Rank(Left) < Rank(Right);
            });
  return Wrong;
}

void Reconciler::startTasks(Timestamp Now, Effects &Out) {
  std::erase_if(Seen,
                [&](const auto &Item) { return Now >= Item.second.Until; });
  std::erase_if(Histories,
                [&](const auto &Item) { return !findTarget(Item.first); });
  for (const TargetRecord *Target : wrongEngines(Now)) {
    Order Wanted = *wantedOrder(*Target);
    bool NeedsSlot = std::holds_alternative<LoadWeights>(Wanted);
    if (NeedsSlot && !isSlotFree(Target->Id))
      continue;
    if (leavesOneAlone(Target->Service, Now))
      startTask(*Target, Wanted, Now, Out);
  }
}

void Reconciler::startTask(const TargetRecord &Target, const Order &Wanted,
                           Timestamp Now, Effects &Out) {
  Task &Work = Tasks[Target.Id];
  Work.Incarnation = Target.Incarnation;
  Work.Order = Wanted;
  Work.Step = Stage::Ready;
  Work.GiveUpAt = Now + OrderTimeout + LoadLimit;
  // An order under that slot may be under way still.
  if (hasForeignSlot(Target.Id)) {
    Work.Orders = Task::Received::Several;
    Work.OrderDeadline = Now + OrderTimeout;
  }
  if (std::holds_alternative<LoadWeights>(Wanted))
    askSlot(Target, Work, Now, Out);
}

/// Asks for a slot for what \p Target is to load now. The log gives it in place
/// of the one that the target may have.
void Reconciler::askSlot(const TargetRecord &Target, Task &Work, Timestamp Now,
                         Effects &Out) {
  auto Wanted = std::get<LoadWeights>(*wantedOrder(Target));
  Work.Incarnation = Target.Incarnation;
  Work.Order = Wanted;
  Work.Step = Stage::AskingSlot;
  Work.Resends = 0;
  if (Work.Orders != Task::Received::None)
    Work.Orders = Task::Received::Several;
  Work.GiveUpAt = Now + OrderTimeout + LoadLimit;
  Work.Slot = LoadSlot{Target.Id, Target.Incarnation, Wanted.Weights, Fencing,
                       NextLoadSequence++};
  Out.push_back(
      BeginLoad{*Work.Slot, View->Description->Limits.MaxWeightsLoads});
}

void Reconciler::sendOrders(Timestamp Now, Effects &Out) {
  for (auto &[Target, Work] : Tasks) {
    const TargetRecord *Known = findTarget(Target);
    if (Work.Step != Stage::Ready || Now < Work.SendNotBefore || !Known ||
        Known->Incarnation != Work.Incarnation || Now >= Known->UsableUntil ||
        wantedOrder(*Known) != Work.Order)
      continue;
    Timestamp Deadline = Now + OrderTimeout;
    bool Checked = Known->Fencing == FencingCheck::Checked;
    if (!Checked && Deadline > HeldUntil)
      continue;
    Work.Step = Stage::Ordered;
    Work.OrderId = NextOrderId++;
    Work.OrderDeadline = Deadline;
    Work.GiveUpAt = Deadline + LoadLimit;
    OrdersEndBy = std::max(OrdersEndBy, Deadline);
    ++OrdersSent;
    Out.push_back(SendOrder{Work.OrderId, Target, Work.Incarnation,
                            Known->Address, Work.Order, Fencing, Deadline});
  }
}

Reconciler::Counts Reconciler::counts(Timestamp Now) const {
  Counts Result;
  Result.OrdersSent = OrdersSent;
  Result.OrdersFailed = OrdersFailed;
  for (const auto &[Target, Work] : Tasks) {
    Result.OrdersUnderWay += Work.Step == Stage::Ordered;
    Result.LoadsHeld += Work.Slot.has_value();
  }
  if (!View || !View->Description)
    return Result;
  for (const TargetRecord &Target : View->Targets) {
    if (!isUsableEngine(Target, Now))
      continue;
    ++Result.Engines;
    Result.EnginesRight += !wantedOrder(Target);
  }
  return Result;
}

} // namespace ferry::control

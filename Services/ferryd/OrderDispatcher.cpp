#include "ferryd/OrderDispatcher.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"
#include <algorithm>

namespace ferry::daemon {

using namespace registry;
using observe::Severity;

/// Longest wait for the registry's answer about the slot of a load.
static constexpr Duration SlotTimeout = std::chrono::seconds(3);
/// A rollout that waits is logged after this, and again in each such interval.
/// A load that is watched to its end takes less.
static constexpr Duration WaitLogInterval = std::chrono::seconds(5);
/// Routers take a load to be over some seconds after they last heard of it.
static constexpr Duration LoadAnnouncementInterval =
    std::chrono::milliseconds(1500);

OrderDispatcher::OrderDispatcher(OrderDispatcherOptions Options,
                                 ControlLoop &Loop, RegistryGateway &Gateway,
                                 const Registry &State)
    : Loop(Loop), Gateway(Gateway), State(State), Lease(Options.Lease),
      Orders(control::Reconciler::Options{
          Options.Dialect ? OrderWatchLimit : Duration::zero(),
          Options.MinUsableTime, Options.Lease.RenewInterval,
          Options.WeightsDeadline}),
      LeaseLength(Options.Lease.Length), Fencing(Options.Fencing),
      EngineChanged(std::move(Options.EngineChanged)),
      Sender(
          [this](control::OrderEnded Ended) {
            this->Loop.post([this, Ended, Guard = std::weak_ptr<char>(Alive)] {
              if (!Guard.expired())
                orderEnded(Ended);
            });
          },
          std::move(Options.Dialect), Options.SendingThreads) {
  stepLease(LeaseIntentChanged{LeaseIntent::Hold});
  tick();
}

OrderDispatcher::~OrderDispatcher() { Loop.cancel(Timer); }

void OrderDispatcher::viewChanged(routing::RoutingViewPtr View) {
  stepOrders(control::ViewChanged{std::move(View)});
}

void OrderDispatcher::namingsChanged(std::vector<routing::NamedWeights> Named) {
  stepOrders(control::NamingsChanged{std::move(Named)});
}

void OrderDispatcher::beginDrain() {
  Draining = true;
  stepOrders(control::LeaseLost{});
}

control::Reconciler::Counts OrderDispatcher::counts() const {
  return Orders.counts(steadyNow());
}

void OrderDispatcher::tick() {
  Timestamp Now = steadyNow();
  if (Draining && Now >= Orders.ordersEndBy())
    stepLease(LeaseIntentChanged{LeaseIntent::Release});
  stepLease(LeaseTick{});
  if (Lease.isHeld(Now) && !Draining)
    stepOrders(control::LeaseHeld{Lease.fencing(), Lease.heldUntil(),
                                  UncheckedOrdersFrom});
  stepOrders(control::ActiveLoadsUpdated{State.loads(),
                                         State.lease(DeploymentLease).Fencing});
  stepOrders(control::Tick{});
  // A target that left while it was drained gets no further order.
  std::erase_if(LoadAnnouncements, [Now](const auto &Item) {
    return Now >= Item.second + LoadAnnouncementInterval;
  });
  logSlots(Now);
  logWait(Now);
  Timer = Loop.at(Now + LeaseHolder::TickInterval, [this] { tick(); });
}

void OrderDispatcher::logSlots(Timestamp Now) {
  using SlotStatus = control::Reconciler::SlotStatus;
  // The end of the lease is logged by itself.
  if (!Lease.isHeld(Now)) {
    LoggedSlots.clear();
    return;
  }
  std::vector<SlotStatus> Current = Orders.slots();
  auto Contains = [](const std::vector<SlotStatus> &Slots,
                     const SlotStatus &Item) {
    return std::any_of(Slots.begin(), Slots.end(), [&](const SlotStatus &Each) {
      return Each.Slot == Item.Slot && Each.Owner == Item.Owner;
    });
  };
  auto Log = [Now](const char *Event, const SlotStatus &Item) {
    observe::logEvent(Severity::Info, "orders", Event,
                      {{"target", Item.Slot.Target},
                       {"weights", Item.Slot.Weights},
                       {"fencing", Item.Slot.Fencing},
                       {"owner", Item.Owner},
                       {"ends_in_ms", millisUntil(Item.EndsBy, Now)}});
  };
  for (const SlotStatus &Item : LoggedSlots)
    if (!Contains(Current, Item))
      Log("load_slot_left", Item);
  for (const SlotStatus &Item : Current)
    if (!Contains(LoggedSlots, Item))
      Log("load_slot_held", Item);
  LoggedSlots = std::move(Current);
}

void OrderDispatcher::logWait(Timestamp Now) {
  using control::RolloutWait;
  control::Reconciler::Counts Counts = Orders.counts(Now);
  bool Waits =
      Counts.Wait != RolloutWait::None && Counts.Wait != RolloutWait::NoLease;
  uint32_t Outdated = Counts.Engines - Counts.EnginesRight;
  bool Progressed = Outdated < LastOutdated;
  LastOutdated = Outdated;
  if (!Waits || Progressed) {
    LogWaitAt = Now + WaitLogInterval;
    return;
  }
  if (Now < LogWaitAt)
    return;
  LogWaitAt = Now + WaitLogInterval;
  observe::logEvent(Severity::Warning, "orders", "rollout_waits",
                    {{"reason", Counts.Wait},
                     {"engines", Counts.Engines},
                     {"engines_right", Counts.EnginesRight},
                     {"slots_held", Counts.SlotsHeld},
                     {"slots_inherited", Counts.SlotsInherited}});
}

void OrderDispatcher::stepLease(const LeaseEvent &Event) {
  for (LeaseEffect &Effect : Lease.step(Event, steadyNow()))
    match(
        std::move(Effect),
        [this](LeasePropose &&Proposal) { proposeLease(std::move(Proposal)); },
        [this](LeaseGained &&Gained) {
          // Targets that don't check fencing numbers must not get orders of two
          // holders within the length of a lease. The first holder has no
          // predecessor to wait for.
          if (Gained.Fencing.Value > 1 && Fencing == FencingCheck::Unchecked)
            UncheckedOrdersFrom = steadyNow() + LeaseLength;
          observe::logEvent(Severity::Info, "orders", "lease_gained",
                            {{"fencing", Gained.Fencing}});
        },
        [this](registry::LeaseLost &&) {
          observe::logEvent(Severity::Warning, "orders", "lease_lost", {});
          stepOrders(control::LeaseLost{});
        });
}

void OrderDispatcher::proposeLease(LeasePropose Proposal) {
  uint64_t Token = Proposal.Token;
  Gateway.submitFor<LeaseOutcome>(
      Alive, std::move(Proposal.Request), Proposal.Deadline,
      [this, Token](auto Answer) {
        stepLease(LeaseProposalEnded{Token, Answer});
      });
}

void OrderDispatcher::stepOrders(const control::ReconcilerEvent &Event) {
  for (control::ReconcilerEffect &Effect : Orders.step(Event, steadyNow()))
    match(
        std::move(Effect),
        [this](control::SendOrder &&Request) {
          bool FirstTry = recordLoadStart(Request);
          if (FirstTry)
            observe::logEvent(Severity::Info, "orders", "order_sent",
                              {{"target", Request.Target},
                               {"order", orderBody(Request)},
                               {"running_requests", Request.Running}});
          OrdersUnderWay[Request.OrderId] = {Request.Target, steadyNow(),
                                             FirstTry};
          Sender.send(std::move(Request));
        },
        [this](control::BeginLoad &&Request) { beginLoad(Request); },
        [this](control::EndLoad &&Request) { endLoad(Request); });
}

bool OrderDispatcher::recordLoadStart(const control::SendOrder &Request) {
  const auto *Load = std::get_if<control::LoadWeights>(&Request.Order);
  if (Load == nullptr)
    return true;
  routing::EngineChange Change{Request.Target, Request.Incarnation,
                               Load->Weights,
                               /*Loading=*/true};
  Timestamp Now = steadyNow();
  auto [AnnounceAt, FirstTry] = LoadAnnouncements.try_emplace(Request.Target);
  if (Now >= AnnounceAt->second) {
    AnnounceAt->second = Now + LoadAnnouncementInterval;
    EngineChanged(Change);
  }
  LoadsUnderWay[Request.OrderId] = std::move(Change);
  return FirstTry || Request.Running != control::RunningRequests::Await;
}

/// \returns the milliseconds from \p Begin to \p End, if both are known.
static std::optional<int64_t> millisBetween(std::optional<Timestamp> Begin,
                                            std::optional<Timestamp> End) {
  if (!Begin || !End)
    return std::nullopt;
  return millisUntil(*End, *Begin);
}

void OrderDispatcher::logEnd(const control::OrderEnded &Ended,
                             const OrderUnderWay &Sent) {
  const control::OrderProgress &Seen = Ended.Progress;
  std::optional<int64_t> Running;
  if (Seen.Running)
    Running = static_cast<int64_t>(*Seen.Running);
  observe::logEvent(
      Severity::Info, "orders", "order_ended",
      {{"target", Sent.Target},
       {"order_id", Ended.OrderId},
       {"outcome", Ended.Outcome},
       {"queued_ms", millisBetween(Sent.SentAt, Seen.TakenAt)},
       {"running", Running},
       {"runs_ms", millisBetween(Seen.AcceptedAt, Seen.RunsEndedAt)},
       {"millis", millisUntil(steadyNow(), Sent.SentAt)}});
}

void OrderDispatcher::orderEnded(const control::OrderEnded &Ended) {
  auto Sent = OrdersUnderWay.extract(Ended.OrderId);
  bool WaitsOn = Ended.Outcome == control::OrderOutcome::Serving;
  if (!Sent.empty() && (Sent.mapped().FirstTry || !WaitsOn))
    logEnd(Ended, Sent.mapped());
  auto Load = LoadsUnderWay.extract(Ended.OrderId);
  // After these, the order is sent again under the same slot.
  bool StillDrained =
      WaitsOn || Ended.Outcome == control::OrderOutcome::NotTaken;
  if (!Load.empty() && !StillDrained) {
    LoadAnnouncements.erase(Load.mapped().Target);
    routing::EngineChange &Change = Load.mapped();
    Change.Loading = false;
    if (Ended.Outcome != control::OrderOutcome::CarriedOut)
      Change.Weights = {};
    EngineChanged(Change);
  }
  stepOrders(Ended);
}

void OrderDispatcher::beginLoad(const control::BeginLoad &Request) {
  using Verdict = control::LoadSlotAnswered::Verdict;
  LoadSlot Slot = Request.Slot;
  Gateway.submitFor<LoadOutcome>(
      Alive, BeginWeightsLoad{Slot, Request.MaxLoads},
      steadyNow() + SlotTimeout, [this, Slot](auto Outcome) {
        if (!Outcome)
          return stepOrders(control::LoadSlotAnswered{Slot, Verdict::Unknown});
        bool Stale = std::holds_alternative<LoadStale>(*Outcome);
        bool Granted = std::holds_alternative<LoadGranted>(*Outcome);
        if (!Granted)
          observe::logEvent(Severity::Info, "orders", "load_slot_refused",
                            {{"target", Slot.Target},
                             {"weights", Slot.Weights},
                             {"reason", Stale ? "stale" : "limit"}});
        Verdict Refusal = Stale ? Verdict::Stale : Verdict::Refused;
        stepOrders(control::LoadSlotAnswered{Slot, Granted ? Verdict::Granted
                                                           : Refusal});
      });
}

void OrderDispatcher::endLoad(const control::EndLoad &Request) {
  // The Reconciler repeats this effect until the registry shows the end.
  Gateway.submitFor<LoadOutcome>(EndWeightsLoad{Request.Slot},
                                 steadyNow() + SlotTimeout, [](auto) {});
}

} // namespace ferry::daemon

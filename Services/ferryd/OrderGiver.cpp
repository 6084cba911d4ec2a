#include "ferryd/OrderGiver.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"

namespace ferry::daemon {

using namespace registry;
using observe::Severity;

/// Longest wait for the log's answer about a slot.
static constexpr Duration SlotTimeout = std::chrono::seconds(3);

OrderGiver::OrderGiver(OrderGiverOptions Options, ControlLoop &Loop,
                       RegistryGateway &Gateway, const Registry &State)
    : Loop(Loop), Gateway(Gateway), State(State), Lease(Options.Lease),
      Orders(control::Reconciler::Options{Options.Dialect ? OrderWatchLimit
                                                          : Duration::zero(),
                                          Options.LeastTrust}),
      LeaseLength(Options.Lease.Length), Fencing(Options.Fencing),
      TellChange(std::move(Options.TellChange)),
      Sender(
          [this](control::OrderEnded Answer) {
            this->Loop.post([this, Answer, Guard = std::weak_ptr<char>(Alive)] {
              if (!Guard.expired())
                orderEnded(Answer);
            });
          },
          std::move(Options.Dialect), Options.SendingThreads) {
  stepLease(LeaseIntentChanged{LeaseIntent::Hold});
  tick();
}

OrderGiver::~OrderGiver() { Loop.cancel(Timer); }

void OrderGiver::viewChanged(routing::RoutingViewPtr View) {
  stepOrders(control::ViewChanged{std::move(View)});
}

void OrderGiver::beginDrain() {
  Draining = true;
  stepOrders(control::LeaseLost{});
}

control::Reconciler::Counts OrderGiver::counts() const {
  return Orders.counts(steadyNow());
}

void OrderGiver::tick() {
  Timestamp Now = steadyNow();
  if (Draining && Now >= Orders.ordersEndBy())
    stepLease(LeaseIntentChanged{LeaseIntent::Release});
  stepLease(LeaseTick{});
  if (Lease.isHeld(Now) && !Draining && Now >= OrdersFrom)
    stepOrders(control::LeaseHeld{Lease.fencing(), Lease.heldUntil()});
  stepOrders(control::ActiveLoadsUpdated{State.loads()});
  stepOrders(control::Tick{});
  Timer = Loop.at(Now + LeaseHolder::TickInterval, [this] { tick(); });
}

void OrderGiver::stepLease(const LeaseEvent &Event) {
  for (LeaseEffect &Effect : Lease.step(Event, steadyNow()))
    match(
        std::move(Effect),
        [this](LeasePropose &&Proposal) { proposeLease(std::move(Proposal)); },
        [this](LeaseGained &&Gained) {
          // Targets that check no numbers must not see two holders take turns
          // within the length of a lease; the first holder follows nobody.
          if (Gained.Fencing.Value > 1 && Fencing == FencingCheck::Unchecked)
            OrdersFrom = steadyNow() + LeaseLength;
          observe::logEvent(Severity::Info, "orders", "lease_gained",
                            {{"fencing", Gained.Fencing}});
        },
        [this](registry::LeaseLost &&) {
          observe::logEvent(Severity::Warning, "orders", "lease_lost", {});
          stepOrders(control::LeaseLost{});
        });
}

void OrderGiver::proposeLease(LeasePropose Proposal) {
  uint64_t Token = Proposal.Token;
  Gateway.submitFor<LeaseOutcome>(
      Alive, std::move(Proposal.Request), Proposal.Deadline,
      [this, Token](auto Answer) {
        stepLease(LeaseProposalEnded{Token, Answer});
      });
}

void OrderGiver::stepOrders(const control::ReconcilerEvent &Event) {
  for (control::ReconcilerEffect &Effect : Orders.step(Event, steadyNow()))
    match(
        std::move(Effect),
        [this](control::SendOrder &&Sent) {
          observe::logEvent(
              Severity::Info, "orders", "order_sent",
              {{"target", Sent.Target}, {"order", orderBody(Sent)}});
          noteLoading(Sent);
          Sender.send(std::move(Sent));
        },
        [this](control::BeginLoad &&Wanted) { beginLoad(Wanted); },
        [this](control::EndLoad &&Wanted) { endLoad(Wanted); });
}

void OrderGiver::noteLoading(const control::SendOrder &Sent) {
  const auto *Load = std::get_if<control::LoadWeights>(&Sent.Order);
  if (Load == nullptr)
    return;
  routing::EngineChange Change{Sent.Target, Sent.Incarnation, Load->Weights,
                               /*Loading=*/true};
  TellChange(Change);
  Loading[Sent.OrderId] = std::move(Change);
}

void OrderGiver::orderEnded(const control::OrderEnded &Answer) {
  auto Found = Loading.extract(Answer.OrderId);
  if (!Found.empty()) {
    routing::EngineChange &Change = Found.mapped();
    observe::logEvent(Severity::Info, "orders", "order_ended",
                      {{"target", Change.Target},
                       {"weights", Change.Weights},
                       {"outcome", Answer.Outcome}});
    Change.Loading = false;
    if (Answer.Outcome != control::OrderOutcome::CarriedOut)
      Change.Weights = {};
    TellChange(Change);
  }
  stepOrders(Answer);
}

void OrderGiver::beginLoad(const control::BeginLoad &Wanted) {
  using Verdict = control::LoadSlotAnswered::Verdict;
  LoadSlot Slot = Wanted.Slot;
  Gateway.submitFor<LoadOutcome>(
      Alive, BeginWeightsLoad{Slot, Wanted.MaxLoads}, steadyNow() + SlotTimeout,
      [this, Slot](auto Outcome) {
        if (!Outcome)
          return stepOrders(control::LoadSlotAnswered{Slot, Verdict::Unknown});
        bool Granted = std::holds_alternative<LoadGranted>(*Outcome);
        stepOrders(control::LoadSlotAnswered{Slot, Granted ? Verdict::Granted
                                                           : Verdict::Refused});
      });
}

void OrderGiver::endLoad(const control::EndLoad &Wanted) {
  // Asked again by the Reconciler until the registry shows the end.
  Gateway.submitFor<LoadOutcome>(EndWeightsLoad{Wanted.Slot},
                                 steadyNow() + SlotTimeout, [](auto) {});
}

} // namespace ferry::daemon

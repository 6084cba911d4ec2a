/// \file
/// Sends orders to engines while this control host holds the order lease.
#ifndef FERRY_FERRYD_ORDERDISPATCHER_H
#define FERRY_FERRYD_ORDERDISPATCHER_H

#include "LibControl/Reconciler.h"
#include "LibCore/ControlLoop.h"
#include "LibRegistry/LeaseHolder.h"
#include "LibRegistry/Registry.h"
#include "LibRouting/RoutedCall.h"
#include "ferryd/OrderSender.h"
#include "ferryd/RegistryGateway.h"

namespace ferry::daemon {

/// Called when an order to load weights is sent and when it has ended.
using EngineChangeCallback = std::function<void(const routing::EngineChange &)>;

/// Settings of the OrderDispatcher.
struct OrderDispatcherOptions {
  registry::LeaseHolder::Options Lease;
  /// The calls of engines with another interface; nothing for native engines.
  std::optional<OrderDialect> Dialect = std::nullopt;
  EngineChangeCallback EngineChanged = [](const routing::EngineChange &) {};
  /// See control::Reconciler::Options.
  Duration MinUsableTime = Duration::zero();
  Duration WeightsDeadline = Duration::zero();
  size_t SendingThreads = 4;
  /// Whether all targets refuse orders with old fencing numbers. If not, a new
  /// holder waits for the length of a lease before its first order; it reads
  /// the targets' states at once.
  FencingCheck Fencing = FencingCheck::Checked;
};

/// Connects the lease, the Reconciler and the OrderSender. All calls are made
/// on the control thread.
class OrderDispatcher {
public:
  /// \param State this host's copy of the registry; outlives this object.
  OrderDispatcher(OrderDispatcherOptions Options, ControlLoop &Loop,
                  RegistryGateway &Gateway, const registry::Registry &State);
  ~OrderDispatcher();
  OrderDispatcher(const OrderDispatcher &) = delete;
  OrderDispatcher &operator=(const OrderDispatcher &) = delete;

  /// Passes on the newest snapshot of targets and description.
  void viewChanged(routing::RoutingViewPtr View);

  /// Passes on all named weights; see control::NamingsChanged.
  void namingsChanged(std::vector<routing::NamedWeights> Named);

  /// Sends no further orders, and releases the lease once none is under way.
  void beginDrain();

  bool holdsLease() const { return Lease.isHeld(steadyNow()); }
  control::Reconciler::Counts counts() const;

private:
  void tick();
  void stepLease(const registry::LeaseEvent &Event);
  void stepOrders(const control::ReconcilerEvent &Event);
  struct OrderUnderWay {
    TargetId Target;
    Timestamp SentAt;
    /// Whether it was logged; a target that is drained gets its order in
    /// several tries.
    bool FirstTry = true;
  };

  void orderEnded(const control::OrderEnded &Ended);
  static void logEnd(const control::OrderEnded &Ended,
                     const OrderUnderWay &Sent);
  /// Tells the routers of a load that begins or is about to. \returns whether
  /// this is no repeated try of an order that waits.
  bool recordLoadStart(const control::SendOrder &Request);
  void proposeLease(registry::LeasePropose Proposal);
  void beginLoad(const control::BeginLoad &Request);
  void endLoad(const control::EndLoad &Request);
  /// Logs the slots that were taken, were freed or changed their owner since
  /// the last call.
  void logSlots(Timestamp Now);
  /// Logs that engines lack their weights and none has got them for a while.
  void logWait(Timestamp Now);

  ControlLoop &Loop;
  RegistryGateway &Gateway;
  const registry::Registry &State;
  registry::LeaseHolder Lease;
  control::Reconciler Orders;
  bool Draining = false;
  /// See control::LeaseHeld.
  Timestamp UncheckedOrdersFrom;
  Duration LeaseLength;
  FencingCheck Fencing;
  EngineChangeCallback EngineChanged;
  std::map<uint64_t, OrderUnderWay> OrdersUnderWay;
  /// Loads of weights under way, by the id of the order.
  std::map<uint64_t, routing::EngineChange> LoadsUnderWay;
  /// The targets that load weights or are drained, with the time at which the
  /// routers are told of that again.
  std::map<TargetId, Timestamp> LoadAnnouncements;
  std::vector<control::Reconciler::SlotStatus> LoggedSlots;
  /// Engines that lacked their weights at the last tick.
  uint32_t LastOutdated = 0;
  /// When the wait of the rollout is logged next.
  Timestamp LogWaitAt;
  ControlLoop::TimerId Timer;
  /// Expires with this object; later answers are dropped.
  std::shared_ptr<char> Alive = std::make_shared<char>();
  OrderSender Sender;
};

} // namespace ferry::daemon

#endif

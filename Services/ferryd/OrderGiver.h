/// \file
/// Gives orders to engines while this control host holds the order lease.
#ifndef FERRY_FERRYD_ORDERGIVER_H
#define FERRY_FERRYD_ORDERGIVER_H

#include "LibControl/Reconciler.h"
#include "LibCore/ControlLoop.h"
#include "LibRegistry/LeaseHolder.h"
#include "LibRegistry/Registry.h"
#include "LibRouting/RoutedCall.h"
#include "ferryd/OrderSender.h"
#include "ferryd/RegistryGateway.h"

namespace ferry::daemon {

/// Told when an order to load weights goes out and when it has ended.
using ChangeTeller = std::function<void(const routing::EngineChange &)>;

/// How orders are given.
struct OrderGiverOptions {
  registry::LeaseHolder::Options Lease;
  /// Of engines with another interface.
  std::optional<OrderDialect> Dialect = std::nullopt;
  ChangeTeller TellChange = [](const routing::EngineChange &) {};
  /// As of control::Reconciler::Options.
  Duration LeastTrust = Duration::zero();
  size_t SendingThreads = 4;
  /// Whether all targets refuse orders under old fencing numbers; if not, a new
  /// holder waits a lease's length before its first order.
  FencingCheck Fencing = FencingCheck::Checked;
};

/// Binds the lease, the Reconciler and the sender. All calls on the control
/// thread.
class OrderGiver {
public:
  /// \param State this host's copy of the registry; outlives this object.
  OrderGiver(OrderGiverOptions Options, ControlLoop &Loop,
             RegistryGateway &Gateway, const registry::Registry &State);
  ~OrderGiver();
  OrderGiver(const OrderGiver &) = delete;
  OrderGiver &operator=(const OrderGiver &) = delete;

  /// Takes the newest snapshot of targets and description.
  void viewChanged(routing::RoutingViewPtr View);

  /// Gives no further order, and the lease up once none is under way.
  void beginDrain();

  bool holdsLease() const { return Lease.isHeld(steadyNow()); }
  control::Reconciler::Counts counts() const;

private:
  void tick();
  void stepLease(const registry::LeaseEvent &Event);
  void stepOrders(const control::ReconcilerEvent &Event);
  void orderEnded(const control::OrderEnded &Answer);
  void noteLoading(const control::SendOrder &Sent);
  void proposeLease(registry::LeasePropose Proposal);
  void beginLoad(const control::BeginLoad &Wanted);
  void endLoad(const control::EndLoad &Wanted);

  ControlLoop &Loop;
  RegistryGateway &Gateway;
  const registry::Registry &State;
  registry::LeaseHolder Lease;
  control::Reconciler Orders;
  bool Draining = false;
  /// Orders of an earlier holder are over then.
  Timestamp OrdersFrom;
  Duration LeaseLength;
  FencingCheck Fencing;
  ChangeTeller TellChange;
  /// Loads whose orders are under way, by order.
  std::map<uint64_t, routing::EngineChange> Loading;
  ControlLoop::TimerId Timer;
  /// Expires with this object; answers that come later are dropped.
  std::shared_ptr<char> Alive = std::make_shared<char>();
  OrderSender Sender;
};

} // namespace ferry::daemon

#endif

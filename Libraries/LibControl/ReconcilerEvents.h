/// \file
/// Events and effects of the Reconciler.
#ifndef FERRY_LIBCONTROL_RECONCILEREVENTS_H
#define FERRY_LIBCONTROL_RECONCILEREVENTS_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibRegistry/Outcomes.h"
#include "LibRouting/RoutedCall.h"
#include "LibRouting/RoutingView.h"
#include <string>
#include <variant>
#include <vector>

namespace ferry::control {

/// Load this version of this model's weights in place of the loaded ones.
struct LoadWeights {
  ModelId Model;
  WeightsVersion Weights;
  bool operator==(const LoadWeights &) const = default;
};

/// Load this adapter, or unload the current one if \p Adapter is empty.
struct LoadAdapter {
  ModelId Model;
  AdapterId Adapter;
  bool operator==(const LoadAdapter &) const = default;
};

/// Order nothing, but report whether the engine has these weights or newer
/// ones. Only for engines whose state the sender reads.
struct ConfirmWeights {
  ModelId Model;
  WeightsVersion Weights;
  bool operator==(const ConfirmWeights &) const = default;
};

/// An order to an engine.
using Order = std::variant<LoadWeights, LoadAdapter, ConfirmWeights>;

/// How an order ended. Only the target's announcements show whether it took
/// effect, except for CarriedOut.
enum class OrderOutcome : uint8_t {
  /// The target accepted the order and carries it out.
  Accepted,
  /// The target refused the order, for example for an old fencing number, or
  /// lacks the weights of a ConfirmWeights and carries out no order.
  Refused,
  /// The target carries out an order; no part of this one was sent.
  Busy,
  /// No part of the order was sent.
  NotSent,
  /// No sending thread took the order on before its deadline; nothing was
  /// learnt of the target.
  NotTaken,
  /// The target has asked for a pause that has not ended; no part of the order
  /// was sent.
  Paused,
  /// The target runs requests that the order has to wait for; no part of it was
  /// sent.
  Serving,
  /// No answer arrived before the deadline; the target may have received the
  /// order.
  Lost,
  /// The target accepted the order, and its sender saw that it was carried out.
  CarriedOut
};

/// There is a new snapshot of the targets and the description.
struct ViewChanged {
  routing::RoutingViewPtr View;
};

/// All named weights, those of each model in rising order. Sent before the
/// snapshot that wants the newest of them.
struct NamingsChanged {
  std::vector<routing::NamedWeights> Named;
};

/// This host acquired or renewed the order lease. The lease of every earlier
/// holder has ended before this event.
struct LeaseHeld {
  FencingNumber Fencing;
  /// End of the lease. Orders to targets that don't check fencing numbers must
  /// end before it.
  Timestamp Until;
  /// No order may be sent to such a target before this; orders of the previous
  /// holder have ended by then. Reading a target's state is no order.
  Timestamp UncheckedOrdersFrom = {};
};

/// This host no longer holds the order lease.
struct LeaseLost {};

/// What a sender has seen of an order on its way. Times that it has not seen
/// are absent.
struct OrderProgress {
  /// When a sending thread took the order on.
  std::optional<Timestamp> TakenAt;
  /// Requests that ran on the engine when its state was read first.
  std::optional<uint64_t> Running;
  std::optional<Timestamp> AcceptedAt;
  /// When the engine first reported, after it had accepted the order, that no
  /// request runs on it.
  std::optional<Timestamp> RunsEndedAt;
};

/// An order has ended.
struct OrderEnded {
  /// The id in the SendOrder.
  uint64_t OrderId = 0;
  OrderOutcome Outcome = OrderOutcome::Lost;
  OrderProgress Progress = {};
};

/// The log's answer to BeginLoad.
struct LoadSlotAnswered {
  enum class Verdict : uint8_t {
    Granted,
    /// The limit of loads is reached.
    Refused,
    /// The log has handled a later request before this one, or the request is
    /// out of date. It is never granted.
    Stale,
    /// No answer arrived; the slot may have been taken.
    Unknown
  };
  registry::LoadSlot Slot;
  Verdict Answer = Verdict::Unknown;
};

/// The loads that count against the limit, according to this host's copy of the
/// log. Sent before each Tick.
struct ActiveLoadsUpdated {
  std::vector<registry::ActiveLoad> Active;
  /// Fencing number of the order lease in the same copy.
  FencingNumber Fencing;
};

/// Time has passed. Sent once in each Reconciler::TickInterval.
struct Tick {};

using ReconcilerEvent =
    std::variant<ViewChanged, NamingsChanged, LeaseHeld, LeaseLost, OrderEnded,
                 LoadSlotAnswered, ActiveLoadsUpdated, Tick>;

/// What becomes of the requests that run on an engine that gets an order to
/// load weights.
enum class RunningRequests : uint8_t {
  /// The engine loads once they have ended.
  Finish,
  /// The order is not sent while there are any.
  Await,
  /// The engine loads at once, and they go on with the new weights.
  GoOn
};

/// Send an order and report OrderEnded once. No part of it may be sent at or
/// after Deadline, so the clock must be checked directly before each write.
struct SendOrder {
  /// Rises with each order of this incarnation.
  uint64_t OrderId = 0;
  TargetId Target;
  ferry::Incarnation Incarnation;
  std::string Address;
  control::Order Order;
  FencingNumber Fencing;
  Timestamp Deadline;
  RunningRequests Running = RunningRequests::Finish;
};

/// Propose registry::BeginWeightsLoad and report LoadSlotAnswered once.
struct BeginLoad {
  registry::LoadSlot Slot;
  uint32_t MaxLoads = 0;
};

/// Propose registry::EndWeightsLoad. Repeated until ActiveLoadsUpdated shows
/// that the slot is free.
struct EndLoad {
  registry::LoadSlot Slot;
};

using ReconcilerEffect = std::variant<SendOrder, BeginLoad, EndLoad>;

} // namespace ferry::control

namespace ferry {

template <> struct EnumNames<control::OrderOutcome> {
  using Outcome = control::OrderOutcome;
  static constexpr EnumName<Outcome> Table[] = {
      {Outcome::Accepted, "accepted"},
      {Outcome::Refused, "refused"},
      {Outcome::Busy, "busy"},
      {Outcome::NotSent, "not_sent"},
      {Outcome::NotTaken, "not_taken"},
      {Outcome::Paused, "paused"},
      {Outcome::Serving, "serving"},
      {Outcome::Lost, "lost"},
      {Outcome::CarriedOut, "carried_out"}};
};

template <> struct EnumNames<control::RunningRequests> {
  using Running = control::RunningRequests;
  static constexpr EnumName<Running> Table[] = {{Running::Finish, "finish"},
                                                {Running::Await, "await"},
                                                {Running::GoOn, "go_on"}};
};

} // namespace ferry

#endif

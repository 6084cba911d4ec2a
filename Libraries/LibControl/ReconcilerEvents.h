/// \file
/// Inputs and outputs of the Reconciler.
#ifndef FERRY_LIBCONTROL_RECONCILEREVENTS_H
#define FERRY_LIBCONTROL_RECONCILEREVENTS_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibRegistry/Outcomes.h"
#include "LibRouting/RoutingView.h"
#include <string>
#include <variant>
#include <vector>

namespace ferry::control {

/// Load this version of this model's weights, in place of what is loaded.
struct LoadWeights {
  ModelId Model;
  WeightsVersion Weights;
  bool operator==(const LoadWeights &) const = default;
};

/// Load this adapter; an empty one means to unload the adapter.
struct LoadAdapter {
  ModelId Model;
  AdapterId Adapter;
  bool operator==(const LoadAdapter &) const = default;
};

/// What an engine is told to do.
using Order = std::variant<LoadWeights, LoadAdapter>;

/// What became of an order. Whether it took effect is known only from what the
/// target announces.
enum class OrderOutcome : uint8_t {
  /// The target took the order and works on it.
  Accepted,
  /// The target refused it, as for an old fencing number.
  Refused,
  /// Nothing of it was sent.
  NotSent,
  /// It may have been received; no answer came before its deadline.
  Lost,
  /// The target took it and was seen to have carried it out.
  CarriedOut
};

/// The control thread has a new snapshot: targets and description.
struct ViewChanged {
  routing::RoutingViewPtr View;
};

/// This host holds the order lease, or has renewed it. It comes only after the
/// lease of an earlier holder has ended.
struct LeaseHeld {
  FencingNumber Fencing;
  /// Every order to a target that checks no fencing numbers ends before this.
  Timestamp Until;
};

/// This host does not hold the lease any more.
struct LeaseLost {};

/// An order has ended.
struct OrderAnswered {
  /// Of the SendOrder.
  uint64_t OrderId = 0;
  OrderOutcome Outcome = OrderOutcome::Lost;
};

/// What the log answered to BeginLoad.
struct LoadSlotAnswered {
  enum class Verdict : uint8_t {
    Granted,
    /// The limit is reached, or the request was out of date.
    Refused,
    /// No answer: the slot may have been taken.
    Unknown
  };
  registry::LoadSlot Slot;
  Verdict Answer = Verdict::Unknown;
};

/// The loads that count against the limit, as this host's copy of the log has
/// them. Sent before each Tick.
struct LoadsKnown {
  std::vector<registry::LoadSlot> Active;
};

/// Time has passed; due each Reconciler::TickInterval.
struct Tick {};

using ReconcilerEvent =
    std::variant<ViewChanged, LeaseHeld, LeaseLost, OrderAnswered,
                 LoadSlotAnswered, LoadsKnown, Tick>;

/// Send an order and answer with OrderAnswered, once. It must not be sent, nor
/// any more of it, at or after Deadline: check the clock directly before.
struct SendOrder {
  /// Rises with each order of this process.
  uint64_t OrderId = 0;
  TargetId Target;
  ferry::Incarnation Incarnation;
  std::string Address;
  control::Order Order;
  FencingNumber Fencing;
  Timestamp Deadline;
};

/// Propose registry::BeginWeightsLoad and answer with LoadSlotAnswered, once.
struct BeginLoad {
  registry::LoadSlot Slot;
  uint32_t MaxLoads = 0;
};

/// Propose registry::EndWeightsLoad; asked again until LoadsKnown shows it.
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
      {Outcome::NotSent, "not_sent"},
      {Outcome::Lost, "lost"},
      {Outcome::CarriedOut, "carried_out"}};
};

} // namespace ferry

#endif

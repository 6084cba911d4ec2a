/// \file
/// Orders engines to load the weights and adapters that the description wants.
#ifndef FERRY_LIBCONTROL_RECONCILER_H
#define FERRY_LIBCONTROL_RECONCILER_H

#include "LibControl/ReconcilerEvents.h"
#include <map>
#include <optional>

namespace ferry::control {

/// Whom a slot in the log belongs to, as seen by the holder of the order lease.
enum class SlotOwner : uint8_t {
  /// A change that this holder makes in its current term.
  ThisTerm,
  /// A change of an earlier term, or a request whose answer was lost.
  EarlierTerm,
  /// Nobody: its end was proposed, and the log has not applied that yet.
  Ending
};

/// What engines that lack their weights wait for.
enum class RolloutWait : uint8_t {
  /// All engines have what the description wants.
  None,
  /// This host doesn't hold the order lease.
  NoLease,
  /// The description is unknown or not confirmed.
  NotConfirmed,
  /// All slots of the log are taken.
  NoFreeSlot,
  /// An answer of the log, the effect of an order, or the next try.
  EnginesWait
};

/// State machine of one control host. It compares what engines announce with
/// what the description wants, and sends orders while this host holds the order
/// lease and its description number is confirmed. Only an engine's own
/// announcement shows that it has what the description wants.
///
/// At most one order is under way to a target. A load of weights first needs a
/// slot in the log. An order that the target may have received can take effect
/// at any time, also in a later incarnation of the target and after the
/// description has changed again. Its slot therefore stays taken until the
/// target announces those weights or the load's time has passed, which is
/// LoadTimeout, or SettleTime where the sender reads the target's state; a new
/// load of the same target replaces it. Where the state is read, a holder asks
/// the targets of the slots of earlier terms at once: the slot of one that has
/// the weights and is not busy is free. A target that could not be reached and
/// comes back beside the loads of others gets its order again once the limit
/// has room for it.
///
/// An engine is drained before its load: routers send it nothing, and the order
/// waits until no request runs on it, or until the time is over that the
/// deadline of the named weights leaves for one engine. Requests that still run
/// then go on with the new weights. If a service has several engines, at
/// least one of them is not being changed at any time, by orders of this term
/// or under the slots of earlier ones.
class Reconciler {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Longest time that an order may be under way.
  static constexpr Duration OrderTimeout = std::chrono::seconds(1);
  /// Longest time from when a target makes an announcement until this host sees
  /// it.
  static constexpr Duration AnnouncementLag = std::chrono::seconds(1);
  /// Time from an order's deadline after which its load counts as lost and is
  /// ordered again.
  static constexpr Duration LoadTimeout = std::chrono::seconds(30);
  /// Delay before a lost order is resent under the same slot, and the number of
  /// times that it is resent.
  static constexpr Duration LostOrderResendDelay = std::chrono::seconds(3);
  static constexpr uint32_t MaxResends = 2;
  /// The same where the sender reads a target's state before each order.
  static constexpr uint32_t MaxResendsAfterRead = 6;
  /// Time after the last of several orders to one target within which their
  /// effects appear in its announcements. Only after it does an announcement
  /// show that no load is left. Where the sender reads a target's state, only a
  /// target that can't be reached has an unknown state for so long, and its
  /// load counts as lost after this time instead of LoadTimeout.
  static constexpr Duration SettleTime = std::chrono::seconds(10);
  /// Time after which the target of an inherited slot counts as unreachable if
  /// it has not announced itself.
  static constexpr Duration FirstAnnouncementTime = std::chrono::seconds(3);
  /// Delay after a refusal by the log or the target.
  static constexpr Duration RefusalBackoff = std::chrono::milliseconds(500);
  /// The delay doubles with each failure up to this.
  static constexpr Duration MaxRefusalBackoff = std::chrono::seconds(4);
  /// Delay after a load whose slot ended without a sign of the target.
  static constexpr Duration LostLoadBackoff = std::chrono::seconds(10);
  /// Time that one load is planned to take, with the messages around it.
  static constexpr Duration PlannedLoadTime = std::chrono::milliseconds(1500);
  /// Longest time for which an engine is drained.
  static constexpr Duration MaxDrainTime = std::chrono::seconds(3);
  /// Delay between two looks at the requests of an engine that is drained.
  static constexpr Duration DrainReadInterval = std::chrono::milliseconds(200);
  /// All engines should have named weights so long before their deadline,
  /// because routers send few requests to older ones from then on.
  static constexpr Duration RolloutReserve = std::chrono::seconds(2);
  /// Delay before EndLoad is repeated.
  static constexpr Duration EndLoadResendDelay = std::chrono::seconds(1);

  struct Options {
    /// How long after an order's deadline its sender watches the target for
    /// the effect; 0 if only announcements show it.
    Duration WatchLimit = Duration::zero();
    /// Orders are sent only to engines that stay usable for longer than this;
    /// the others have missed announcements.
    Duration MinUsableTime = Duration::zero();
    /// Least time between two renewals of the order lease; 0 if unknown.
    Duration RenewInterval = Duration::zero();
    /// Time from the naming of weights from which no request may begin on older
    /// ones; 0 if engines are not drained.
    Duration WeightsDeadline = Duration::zero();
  };

  Reconciler() = default;
  explicit Reconciler(Options Opts) : Opts(Opts) {}

  /// Handles one event at \p Now.
  /// \returns the effects to carry out, in order.
  std::vector<ReconcilerEffect> step(const ReconcilerEvent &Event,
                                     Timestamp Now);

  /// \returns the time from which no order of this host can be under way. The
  /// lease must not be released before.
  Timestamp ordersEndBy() const { return OrdersEndBy; }

  /// Counts for metrics and the dump.
  struct Counts {
    /// Usable engines of the description's services.
    uint32_t Engines = 0;
    /// Engines that have what the description wants.
    uint32_t EnginesRight = 0;
    uint32_t OrdersUnderWay = 0;
    uint32_t SlotsHeld = 0;
    /// Slots that count against the limit and belong to no change of this term,
    /// those that end just now included.
    uint32_t SlotsInherited = 0;
    RolloutWait Wait = RolloutWait::None;
    uint64_t OrdersSent = 0;
    uint64_t OrdersFailed = 0;
  };
  Counts counts(Timestamp Now) const;

  /// A slot that counts against the limit of loads.
  struct SlotStatus {
    registry::LoadSlot Slot;
    SlotOwner Owner = SlotOwner::ThisTerm;
    /// The slot is ended by then, without a sign of the engine if need be.
    Timestamp EndsBy;
  };
  std::vector<SlotStatus> slots() const;

private:
  using Effects = std::vector<ReconcilerEffect>;

  enum class Stage : uint8_t {
    /// A slot was requested from the log.
    RequestingSlot,
    /// The order is sent as soon as the target is drained and the lease lasts
    /// long enough.
    Ready,
    /// The order is under way.
    Ordered,
    /// The order has ended; its effect is not announced yet.
    Settling
  };

  /// The change of one target.
  struct Task {
    ferry::Incarnation Incarnation;
    control::Order Order;
    Stage CurrentStage = Stage::RequestingSlot;
    std::optional<registry::LoadSlot> Slot;
    uint64_t OrderId = 0;
    /// End of the order that is under way.
    Timestamp OrderDeadline;
    /// End of the last order that the target may have received.
    Timestamp ReceivableUntil;
    /// The order is not resent before this.
    Timestamp SendNotBefore;
    /// When the task is abandoned and planned again.
    Timestamp GiveUpAt;
    /// A busy target does not keep its slot for longer than this.
    Timestamp BusyUntil;
    /// Until then the order waits for requests that run on the target.
    std::optional<Timestamp> DrainUntil;
    uint32_t Resends = 0;
    /// The sender saw that the target has carried the order out.
    bool CarriedOut = false;
    /// The target may have received an order, and could not be reached since.
    bool Unreachable = false;
    /// The order that is under way or ended last is a ConfirmWeights.
    bool OnlyReads = false;
    /// The target lacks its weights and carries out no order, and loads of
    /// others take up the limit.
    bool AwaitsTurn = false;
    /// Number of different orders that the target may have received in this
    /// task.
    enum class OrderCount : uint8_t {
      None,
      One,
      Several
    } PossiblyReceived = OrderCount::None;
  };

  /// Weights that an order's sender saw on a target before it announced them.
  struct ObservedWeights {
    ferry::Incarnation Incarnation;
    WeightsVersion Weights;
    /// From then on the target's announcements are relied on again.
    Timestamp Until;
  };

  /// Failed changes of a target since the last one that it carried out.
  struct FailureHistory {
    uint32_t Failures = 0;
    Timestamp NotBefore;
    /// The last request for a slot came too late at the log.
    bool Overtaken = false;
  };

  /// What the target of an inherited slot answered when its state was read
  /// last.
  enum class Contact : uint8_t {
    /// It was not asked yet, carries out an order, or asked for a pause.
    Open,
    /// It lacks the weights and carries out no order.
    Idle,
    /// It gave no answer.
    None
  };

  /// A slot of the log that belongs to no task of this host.
  struct ForeignSlot {
    registry::LoadSlot Slot;
    /// From then on an announcement of the loaded weights ends the slot.
    Timestamp SettledAt;
    /// When the slot is ended without an announcement.
    Timestamp ExpiresAt;
    Timestamp ResendEndAt;
    /// From then on the target counts as unreachable unless it is usable.
    Timestamp AnnouncedBy;
    SlotOwner Owner = SlotOwner::EarlierTerm;
    /// The target has carried the order out, and EndLoad was proposed: the log
    /// frees the slot before it handles any later BeginLoad.
    bool Free = false;
    /// The ConfirmWeights that is under way; 0 if there is none.
    uint64_t ConfirmId = 0;
    Timestamp ConfirmAt;
    Contact LastContact = Contact::Open;
    /// A busy target does not keep the slot for longer than this.
    Timestamp BusyUntil;
  };

  void receiveConfirmation(const OrderEnded &Ended, Timestamp Now,
                           Effects &Out);
  void receive(const OrderEnded &Ended, Timestamp Now);
  void receive(const LoadSlotAnswered &Answer, Timestamp Now);
  void receive(const ActiveLoadsUpdated &Update, Timestamp Now);
  void updateLease(const LeaseHeld &Lease);
  void recordBusy(Task &Work, Timestamp Now) const;
  void recordCarriedOut(const TargetId &Target, Task &Work, Timestamp Now);
  WeightsVersion weightsOf(const TargetRecord &Target) const;

  void plan(Timestamp Now, Effects &Out);
  /// What happens to a task next.
  enum class NextAction : uint8_t { Keep, Replan, Finish };

  void settleTasks(Timestamp Now, Effects &Out);
  NextAction nextActionFor(const TargetId &Target, Task &Work,
                           Timestamp Now) const;
  NextAction nextActionForLoad(const TargetRecord &Target, const Task &Work,
                               Timestamp Now) const;
  void recordReceivable(Task &Work) const;
  void recordLost(Task &Work) const;
  void finishTask(const TargetId &Target, const Task &Work, Timestamp Now,
                  Effects &Out);
  void endForeignSlots(Timestamp Now, Effects &Out);
  void confirmInheritedSlots(Timestamp Now, Effects &Out);
  std::vector<const TargetRecord *> enginesToChange(Timestamp Now) const;
  void startTasks(Timestamp Now, Effects &Out);
  void startTask(const TargetRecord &Target, const Order &Wanted, Timestamp Now,
                 Effects &Out);
  RunningRequests runningRequests(const TargetRecord &Target, Task &Work,
                                  Timestamp Now) const;
  Timestamp drainUntil(const TargetRecord &Target, Timestamp Now) const;
  Timestamp supersededSince(const TargetRecord &Target) const;
  std::optional<Order> nextOrderFor(const TargetRecord &Target,
                                    const Task &Work) const;
  std::optional<Order> confirmationFor(const TargetRecord &Target) const;
  void sendOrders(Timestamp Now, Effects &Out);
  void requestSlot(const TargetRecord &Target, Task &Work, Timestamp Now,
                   Effects &Out);
  void endLoad(const registry::LoadSlot &Slot, Timestamp Now, Effects &Out);

  bool readsState() const { return Opts.WatchLimit > Duration::zero(); }
  Duration loadTimeout() const;
  bool maySendOrders(Timestamp Now) const;
  bool maySendNow(const TargetRecord &Target, const Order &Next,
                  Timestamp Now) const;
  RolloutWait rolloutWait(const Counts &Current, Timestamp Now) const;
  void updateView(const ViewChanged &Changed);
  const TargetRecord *findTarget(const TargetId &Id) const;
  bool isUsableEngine(const TargetRecord &Target, Timestamp Now) const;
  std::optional<Order> wantedOrder(const TargetRecord &Target) const;
  bool isLoadDone(const registry::LoadSlot &Slot) const;
  bool ownsSlot(const registry::LoadSlot &Slot) const;
  /// The slots of other targets than one.
  struct OtherSlots {
    uint32_t Count = 0;
    uint32_t Unreachable = 0;
    /// Targets that can be reached and wait for the loads of others.
    uint32_t AwaitTurn = 0;
  };
  OtherSlots slotsOfOthers(const TargetId &Target, Timestamp Now) const;
  bool isAnnounced(const TargetId &Target, Timestamp Now) const;
  bool holdsUnreachableTarget(const ForeignSlot &Item, Timestamp Now) const;
  uint32_t maxLoadsFor(const TargetId &Target, Timestamp Now) const;
  bool isSlotFree(const TargetId &Target, Timestamp Now) const;
  bool awaitsTurn(const TargetId &Target, const Task &Work,
                  Timestamp Now) const;
  bool hasForeignSlot(const TargetId &Target) const;
  const ForeignSlot *inheritedSlot(const TargetId &Target) const;
  bool awaitsConfirmation(const TargetId &Target) const;
  bool isChangedByEarlierTerm(const TargetId &Target) const;
  bool mayChange(const TargetRecord &Engine, Timestamp Now) const;

  Options Opts;
  std::map<TargetId, ObservedWeights> Observed;
  routing::RoutingViewPtr View;
  /// The targets of View by their ids.
  std::vector<const TargetRecord *> TargetsById;
  std::vector<routing::NamedWeights> Named;
  FencingNumber Fencing;
  /// Orders may be sent before this time; the clock's epoch if the lease is not
  /// held.
  Timestamp HeldUntil;
  /// Orders to targets that check no fencing numbers are sent from then on.
  Timestamp UncheckedOrdersFrom;
  /// The log's copy of the slots is at least as new as this host's lease.
  bool SlotsKnown = false;
  std::map<TargetId, Task> Tasks;
  std::map<TargetId, FailureHistory> FailureHistories;
  std::vector<ForeignSlot> ForeignSlots;
  uint64_t NextOrderId = 1;
  uint64_t NextLoadSequence = 1;
  Timestamp OrdersEndBy;
  uint64_t OrdersSent = 0;
  uint64_t OrdersFailed = 0;
};

} // namespace ferry::control

namespace ferry {

template <> struct EnumNames<control::SlotOwner> {
  using Owner = control::SlotOwner;
  static constexpr EnumName<Owner> Table[] = {
      {Owner::ThisTerm, "this_term"},
      {Owner::EarlierTerm, "earlier_term"},
      {Owner::Ending, "ending"}};
};

template <> struct EnumNames<control::RolloutWait> {
  using Wait = control::RolloutWait;
  static constexpr EnumName<Wait> Table[] = {
      {Wait::None, "none"},
      {Wait::NoLease, "no_lease"},
      {Wait::NotConfirmed, "not_confirmed"},
      {Wait::NoFreeSlot, "no_free_slot"},
      {Wait::EnginesWait, "engines_wait"}};
};

} // namespace ferry

#endif

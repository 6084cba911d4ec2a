/// \file
/// Keeps the description true: orders engines to what it wants.
#ifndef FERRY_LIBCONTROL_RECONCILER_H
#define FERRY_LIBCONTROL_RECONCILER_H

#include "LibControl/ReconcilerEvents.h"
#include <map>
#include <optional>

namespace ferry::control {

/// Step machine of one control host. It compares what engines announce with
/// what the description wants, and gives orders while this host holds the
/// order lease and its description number is confirmed. An engine counts as
/// right only by its own announcement.
///
/// At most one order is under way to a target. A load of weights needs a slot
/// of the log first. An order that may have been received may have its effect
/// at any time, also in a later life of the target and after the description
/// has changed again: its slot stays until the target announces those weights
/// or LoadLimit has passed, and a new load of the same target takes it over.
/// Of a service with several engines, one at least is left alone at any time.
class Reconciler {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// How long an order may be under way.
  static constexpr Duration OrderTimeout = std::chrono::seconds(1);
  /// How old an announcement may be when it is seen.
  static constexpr Duration AnnouncementLag = std::chrono::seconds(1);
  /// How long a load may take from its order's deadline before it is taken for
  /// lost and ordered again.
  static constexpr Duration LoadLimit = std::chrono::seconds(30);
  /// Pause after a lost order before it is sent again in the same slot, and how
  /// often that is done.
  static constexpr Duration LostOrderPause = std::chrono::seconds(3);
  static constexpr uint32_t MaxResends = 2;
  /// How long after the end of several orders to one target their loads have
  /// shown themselves: only then does an announcement tell that none is left.
  static constexpr Duration SettleLimit = std::chrono::seconds(10);
  /// Pause after a refusal of the log or the target.
  static constexpr Duration RefusalPause = std::chrono::milliseconds(500);
  /// The pause doubles with each failure up to this.
  static constexpr Duration MaxRefusalPause = std::chrono::seconds(4);
  /// Pause before EndLoad is asked again.
  static constexpr Duration EndLoadPause = std::chrono::seconds(1);

  struct Options {
    /// How long after an order's deadline its sender watches the target for
    /// the effect; 0 where announcements alone show it.
    Duration WatchLimit = Duration::zero();
    /// Orders go to engines only while they may be used for longer than this:
    /// those with less have missed announcements.
    Duration LeastTrust = Duration::zero();
  };

  Reconciler() = default;
  explicit Reconciler(Options Chosen) : Chosen(Chosen) {}

  /// Takes one event at \p Now. \returns what is to be done, in order.
  std::vector<ReconcilerEffect> step(const ReconcilerEvent &Event,
                                     Timestamp Now);

  /// \returns when no order of this host can be under way any more; the lease
  /// must not be given up before.
  Timestamp ordersEndBy() const { return OrdersEndBy; }

  /// Counts for metrics and the dump.
  struct Counts {
    /// Engines of the description's services that announce themselves.
    uint32_t Engines = 0;
    /// Those that announce what the description wants.
    uint32_t EnginesRight = 0;
    uint32_t OrdersUnderWay = 0;
    uint32_t LoadsHeld = 0;
    uint64_t OrdersSent = 0;
    uint64_t OrdersFailed = 0;
  };
  Counts counts(Timestamp Now) const;

private:
  using Effects = std::vector<ReconcilerEffect>;

  enum class Stage : uint8_t {
    /// The log was asked for a slot.
    AskingSlot,
    /// The order is to be sent, once the lease is long enough.
    Ready,
    /// The order is under way.
    Ordered,
    /// The order has ended; the announcement is awaited.
    Settling
  };

  /// The change of one target.
  struct Task {
    ferry::Incarnation Incarnation;
    control::Order Order;
    Stage Step = Stage::AskingSlot;
    std::optional<registry::LoadSlot> Slot;
    uint64_t OrderId = 0;
    /// End of the order that is under way.
    Timestamp OrderDeadline;
    /// Not to be sent again before this.
    Timestamp SendNotBefore;
    /// When the task is given up and planned again.
    Timestamp GiveUpAt;
    uint32_t Resends = 0;
    /// The target was seen to have carried the order out.
    bool CarriedOut = false;
    /// How many different orders the target may have received in this task.
    enum class Received : uint8_t {
      None,
      One,
      Several
    } Orders = Received::None;
  };

  /// Weights that a target was seen to have, ahead of its announcements.
  struct SeenWeights {
    ferry::Incarnation Incarnation;
    WeightsVersion Weights;
    /// From then on its announcements show them, or another change.
    Timestamp Until;
  };

  /// A target's failures, which put it behind others.
  struct History {
    uint32_t Failures = 0;
    Timestamp NotBefore;
  };

  /// A slot of the log that belongs to no task of this host.
  struct ForeignSlot {
    registry::LoadSlot Slot;
    /// From when on the target's announcement ends it.
    Timestamp QuietAt;
    /// When it ends without one.
    Timestamp ExpiresAt;
    Timestamp AskEndAt;
    /// Its target was seen to have carried the order out, and the log was asked
    /// to end it: it is free before any later slot is asked for.
    bool Free = false;
  };

  void receive(const OrderAnswered &Answer, Timestamp Now);
  void receive(const LoadSlotAnswered &Answer, Timestamp Now);
  void receive(const LoadsKnown &Known, Timestamp Now);
  void hold(const LeaseHeld &Lease);
  void noteCarriedOut(const TargetId &Target, Task &Work, Timestamp Now);
  WeightsVersion weightsOf(const TargetRecord &Target) const;

  void plan(Timestamp Now, Effects &Out);
  /// What is to become of a task.
  enum class Verdict : uint8_t { Keep, Replan, Finish };

  void settleTasks(Timestamp Now, Effects &Out);
  Verdict judge(const TargetId &Target, Task &Work, Timestamp Now) const;
  Verdict judgeLoad(const TargetRecord &Known, const Task &Work,
                    Timestamp Now) const;
  static void noteLost(Task &Work);
  void finishTask(const TargetId &Target, const Task &Work, Timestamp Now,
                  Effects &Out);
  void endForeignSlots(Timestamp Now, Effects &Out);
  std::vector<const TargetRecord *> wrongEngines(Timestamp Now) const;
  void startTasks(Timestamp Now, Effects &Out);
  void startTask(const TargetRecord &Target, const Order &Wanted, Timestamp Now,
                 Effects &Out);
  void sendOrders(Timestamp Now, Effects &Out);
  void askSlot(const TargetRecord &Target, Task &Work, Timestamp Now,
               Effects &Out);
  void end(const registry::LoadSlot &Slot, Timestamp Now, Effects &Out);

  bool mayGiveOrders(Timestamp Now) const;
  const TargetRecord *findTarget(const TargetId &Id) const;
  bool isUsableEngine(const TargetRecord &Target, Timestamp Now) const;
  std::optional<Order> wantedOrder(const TargetRecord &Target) const;
  bool isLoadDone(const registry::LoadSlot &Slot) const;
  bool ownsSlot(const registry::LoadSlot &Slot) const;
  bool isSlotFree(const TargetId &Target) const;
  bool hasForeignSlot(const TargetId &Target) const;
  bool leavesOneAlone(const ServiceId &Service, Timestamp Now) const;

  Options Chosen;
  std::map<TargetId, SeenWeights> Seen;
  routing::RoutingViewPtr View;
  FencingNumber Fencing;
  /// Orders may be given before this; the epoch while the lease is not held.
  Timestamp HeldUntil;
  std::map<TargetId, Task> Tasks;
  std::map<TargetId, History> Histories;
  std::vector<ForeignSlot> ForeignSlots;
  uint64_t NextOrderId = 1;
  uint64_t NextLoadSequence = 1;
  Timestamp OrdersEndBy;
  uint64_t OrdersSent = 0;
  uint64_t OrdersFailed = 0;
};

} // namespace ferry::control

#endif

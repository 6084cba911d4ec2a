/// \file
/// Takes an order lease and holds it, or waits its holder out.
#ifndef FERRY_LIBREGISTRY_LEASEHOLDER_H
#define FERRY_LIBREGISTRY_LEASEHOLDER_H

#include "LibCore/Time.h"
#include "LibRegistry/Commands.h"
#include <optional>

namespace ferry::registry {

/// Time has passed; due at least each LeaseHolder::TickInterval.
struct LeaseTick {};

/// Whether this host wants the lease.
enum class LeaseWish : uint8_t { Hold, GiveUp };

/// What this host wants has changed.
struct LeaseWished {
  LeaseWish Wish = LeaseWish::Hold;
};

/// The proposal \p Token has ended.
struct LeaseAnswered {
  uint64_t Token = 0;
  Result<LeaseOutcome, RegistryError> Answer;
};

using LeaseEvent = std::variant<LeaseTick, LeaseWished, LeaseAnswered>;

/// Propose \p Request to the log until \p Deadline; the result comes back with
/// \p Token.
struct LeasePropose {
  uint64_t Token = 0;
  Command Request;
  Timestamp Deadline;
};

/// The lease is held under \p Fencing, until heldUntil().
struct LeaseGained {
  FencingNumber Fencing;
};

/// The lease is no longer held.
struct LeaseLost {};

using LeaseEffect = std::variant<LeasePropose, LeaseGained, LeaseLost>;

/// Step machine of one candidate. The log knows no time: the holder counts its
/// lease from before it sent a renewal, and a candidate takes over only with
/// the renewal count that it saw unchanged for longer than the whole lease, by
/// its own clock. A takeover against a lease renewed since then is refused.
///
/// Assumes that the clocks of two hosts run at rates within a quarter of each
/// other; their readings may differ by any amount.
class LeaseHolder {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  struct Options {
    std::string Name;
    HostId Host;
    ferry::Incarnation Incarnation;
    /// Length of the lease, equal on all hosts.
    Duration Length = std::chrono::seconds(5);
    /// Time between proposals.
    Duration RenewInterval = std::chrono::seconds(1);
  };

  explicit LeaseHolder(Options Settings);

  /// Takes one event at \p Now. \returns what is to be done, in order.
  std::vector<LeaseEffect> step(const LeaseEvent &Event, Timestamp Now);

  /// \returns until when orders may be under way. To be compared with the
  /// clock at each use. An order to a target that does not check fencing
  /// numbers starts only if its own deadline is no later than this.
  Timestamp heldUntil() const { return HeldUntil; }

  bool isHeld(Timestamp Now) const { return Now < HeldUntil; }

  /// \returns the fencing number of the lease that is or was last held.
  FencingNumber fencing() const { return Lease.Fencing; }

private:
  enum class Stage : uint8_t { Idle, Watching, Owning };

  struct Proposal {
    uint64_t Token = 0;
    Timestamp SentAt;
    bool Renewal = false;
  };
  using Effects = std::vector<LeaseEffect>;

  void wish(LeaseWish Wish, Timestamp Now, Effects &Out);
  void tick(Timestamp Now, Effects &Out);
  void receive(const LeaseAnswered &Received, Timestamp Now, Effects &Out);
  void watch(const OrderLease &Current, Timestamp Now);
  void propose(Command Request, bool Renewal, Timestamp Now, Effects &Out);
  void proposeNext(Timestamp Now, Effects &Out);
  void lose(Effects &Out);

  Options Settings;
  Stage Step = Stage::Idle;
  /// As last seen; when owning, as held.
  OrderLease Lease;
  bool LeaseSeen = false;
  /// When a lease seen unchanged may be taken over.
  Timestamp TakeoverAt;
  Timestamp HeldUntil;
  Timestamp ProposeAt;
  std::optional<Proposal> Pending;
  uint64_t NextToken = 1;
  uint64_t NextRenewal = 1;
  bool Reported = false;
};

} // namespace ferry::registry

#endif

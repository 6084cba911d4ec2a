/// \file
/// Acquires and renews an order lease for one host.
#ifndef FERRY_LIBREGISTRY_LEASEHOLDER_H
#define FERRY_LIBREGISTRY_LEASEHOLDER_H

#include "LibCore/Time.h"
#include "LibRegistry/Commands.h"
#include <optional>

namespace ferry::registry {

/// Time has passed. Sent at least once in each LeaseHolder::TickInterval.
struct LeaseTick {};

/// What this host intends to do with the lease. Hold also means to acquire it
/// when it is not held.
enum class LeaseIntent : uint8_t { Hold, Release };

/// This host's intent has changed.
struct LeaseIntentChanged {
  LeaseIntent Intent = LeaseIntent::Hold;
};

/// The proposal \p Token was applied or has failed.
struct LeaseProposalEnded {
  uint64_t Token = 0;
  Result<LeaseOutcome, RegistryError> Outcome;
};

using LeaseEvent =
    std::variant<LeaseTick, LeaseIntentChanged, LeaseProposalEnded>;

/// Propose \p Request to the log until \p Deadline and report the result with
/// \p Token.
struct LeasePropose {
  uint64_t Token = 0;
  Command Request;
  Timestamp Deadline;
};

/// This host now holds the lease under \p Fencing, until heldUntil().
struct LeaseGained {
  FencingNumber Fencing;
};

/// This host no longer holds the lease.
struct LeaseLost {};

using LeaseEffect = std::variant<LeasePropose, LeaseGained, LeaseLost>;

/// State machine of one candidate for a lease. The log has no notion of time.
/// The holder counts its lease from the moment before it sends a renewal.
/// Another candidate takes the lease over only after it has seen the same
/// renewal count for longer than the whole lease, by its own clock. The log
/// refuses the takeover if the lease was renewed in the meantime.
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

  /// Handles one event at \p Now.
  /// \returns the effects to carry out, in order.
  std::vector<LeaseEffect> step(const LeaseEvent &Event, Timestamp Now);

  /// \returns the time until which orders may be under way. Compare it with
  /// the clock at each use. An order to a target that does not check fencing
  /// numbers starts only if its own deadline is no later than this.
  Timestamp heldUntil() const { return HeldUntil; }

  bool isHeld(Timestamp Now) const { return Now < HeldUntil; }

  /// \returns the fencing number of the lease as last seen; while isHeld(),
  /// that of this host's lease.
  FencingNumber fencing() const { return Lease.Fencing; }

private:
  /// Idle candidates don't want the lease; watching ones observe it until they
  /// may take it; an owner renews it.
  enum class Stage : uint8_t { Idle, Watching, Owning };

  struct Proposal {
    uint64_t Token = 0;
    Timestamp SentAt;
    bool Renewal = false;
  };
  using Effects = std::vector<LeaseEffect>;

  void changeIntent(LeaseIntent Intent, Timestamp Now, Effects &Out);
  void tick(Timestamp Now, Effects &Out);
  void receive(const LeaseProposalEnded &Received, Timestamp Now, Effects &Out);
  void observeLease(const OrderLease &Current, Timestamp Now);
  void propose(Command Request, bool Renewal, Timestamp Now, Effects &Out);
  void proposeNext(Timestamp Now, Effects &Out);
  void loseLease(Effects &Out);

  Options Settings;
  Stage CurrentStage = Stage::Idle;
  /// The lease as last seen; valid if LeaseSeen.
  OrderLease Lease;
  bool LeaseSeen = false;
  /// When the lease may be taken over if it is not renewed until then.
  Timestamp TakeoverAt;
  Timestamp HeldUntil;
  Timestamp ProposeAt;
  std::optional<Proposal> Pending;
  uint64_t NextToken = 1;
  uint64_t NextRenewal = 1;
  bool GainReported = false;
};

} // namespace ferry::registry

#endif

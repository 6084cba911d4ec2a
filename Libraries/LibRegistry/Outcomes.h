/// \file
/// Outcomes of the commands of the replicated state machine.
#ifndef FERRY_LIBREGISTRY_OUTCOMES_H
#define FERRY_LIBREGISTRY_OUTCOMES_H

#include "LibCore/EnumNames.h"
#include "LibCore/Error.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <string>
#include <variant>
#include <vector>

namespace ferry::registry {

/// Identifies one non-idempotent call; a key is never reused for another.
struct ClaimKey {
  WorkspaceId Workspace;
  ServiceId Service;
  /// The caller's Idempotency-Key.
  std::string Key;
  auto operator<=>(const ClaimKey &) const = default;
};

/// One try of one router to run a call. Only the attempt that holds a claim may
/// release or complete it.
struct ClaimAttempt {
  HostId Host;
  ferry::Incarnation Incarnation;
  /// Rises with each call within the incarnation.
  uint64_t Number = 0;
  auto operator<=>(const ClaimAttempt &) const = default;
};

/// The attempt holds the claim and may send the call once.
struct ClaimGranted {};
/// Another attempt holds the claim and has not ended.
struct ClaimHeld {
  ClaimAttempt Holder;
};
/// The call has run and was answered with this.
struct ClaimCompleted {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
};
/// The call may have run. It never runs again.
struct ClaimUnknown {};
/// The key was claimed before with another body.
struct ClaimMismatch {};
/// The ledger no longer keeps the key's outcome, or the key's stamp is below
/// the low-water mark. The call never runs again.
struct ClaimExpired {};
/// The ledger is full. The call has not run.
struct ClaimLedgerFull {};
/// This attempt ended without running the call; another attempt may claim the
/// key.
struct ClaimReleased {};
/// The key's time stamp lies too far in the future. The call has not run.
struct ClaimStampAhead {};

using ClaimOutcome =
    std::variant<ClaimGranted, ClaimHeld, ClaimCompleted, ClaimUnknown,
                 ClaimMismatch, ClaimExpired, ClaimLedgerFull, ClaimReleased,
                 ClaimStampAhead>;

/// The change is committed by a quorum, which has synced it to its disks.
struct ChangeAccepted {
  DescriptionNumber Number;
};
/// The change is not based on the current description, which is returned.
struct ChangeConflict {
  DescriptionNumber Current;
  std::string CurrentOperation;
  std::string CurrentText;
};
/// The operation id was used before with another text.
struct ChangeOperationReused {
  DescriptionNumber Number;
};

using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeConflict, ChangeOperationReused>;

/// The lease whose holder is the only host that sends orders, as the log has
/// it.
struct OrderLease {
  std::string Name;
  /// The holder; empty if the lease was released or never held.
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber Fencing;
  uint64_t Renewals = 0;
  bool operator==(const OrderLease &) const = default;
};

/// The host that sent the command holds the lease.
struct LeaseGranted {
  OrderLease Lease;
};
/// The host that sent the command does not hold the lease; \p Lease is its
/// current state.
struct LeaseRefused {
  OrderLease Lease;
};

using LeaseOutcome = std::variant<LeaseGranted, LeaseRefused>;

/// One load of weights that counts against the limit of concurrent loads.
struct LoadSlot {
  TargetId Target;
  ferry::Incarnation Incarnation;
  WeightsVersion Weights;
  /// Fencing number of the order lease under which the load began.
  FencingNumber Fencing;
  /// Rises with each try of the lease's holder to begin a load.
  uint64_t Sequence = 0;
  bool operator==(const LoadSlot &) const = default;
};

/// A slot with what the log knows of its age.
struct ActiveLoad {
  LoadSlot Slot;
  /// Renewals of the lease by later holders, without the first of each term: at
  /// least so many renewal intervals have passed since the slot's term ended.
  uint64_t LaterRenewals = 0;
  bool operator==(const ActiveLoad &) const = default;
};

/// The load may begin.
struct LoadGranted {};
/// The loads in \p Active use up the limit.
struct LoadRefused {
  std::vector<LoadSlot> Active;
};
/// A later command has been applied already, the command's lease has ended, or
/// a later incarnation of the target is loading.
struct LoadStale {};
/// The load takes no slot any more.
struct LoadEnded {};

using LoadOutcome =
    std::variant<LoadGranted, LoadRefused, LoadStale, LoadEnded>;

/// The description as the log has it; number 0 before the first one.
struct StoredDescription {
  DescriptionNumber Number;
  std::string Operation;
  std::string Text;
  /// Number of the description with which the cache that workspaces share
  /// began, see SharedCache::since().
  DescriptionNumber SharedCacheSince = {};
  bool operator==(const StoredDescription &) const = default;
};

/// The newest version of weights that was named for a model.
struct WeightsNamed {
  ModelId Model;
  WeightsVersion Weights;
  bool operator==(const WeightsNamed &) const = default;
};

/// The ledger forgets keys with stamps below \p Mark.
struct LowWaterMoved {
  UnixMillis Mark;
};

/// Why a command has no outcome.
enum class RegistryErrorKind : uint8_t {
  /// No quorum answered before the deadline; the command may still commit.
  Timeout,
  /// The command was never sent to a control host and will not commit.
  NotProposed,
  /// The command is malformed or too large.
  Invalid
};

using RegistryError = TypedError<RegistryErrorKind>;

} // namespace ferry::registry

namespace ferry {

template <> struct EnumNames<registry::RegistryErrorKind> {
  using Kind = registry::RegistryErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::Timeout, "timeout"},
      {Kind::NotProposed, "not_proposed"},
      {Kind::Invalid, "invalid"}};
};

} // namespace ferry

#endif

/// \file
/// What the replicated state answers to changes, claims and leases.
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

/// Names one non-idempotent call for ever.
struct ClaimKey {
  WorkspaceId Workspace;
  ServiceId Service;
  /// The caller's Idempotency-Key.
  std::string Key;
  auto operator<=>(const ClaimKey &) const = default;
};

/// One try of one router to run a call; only it may release or complete.
struct ClaimAttempt {
  HostId Host;
  ferry::Incarnation Incarnation;
  /// Rises with each call within the incarnation.
  uint64_t Number = 0;
  auto operator<=>(const ClaimAttempt &) const = default;
};

/// The attempt holds the claim: it may send the call once.
struct ClaimGranted {};
/// Another attempt holds the claim and has not ended.
struct ClaimHeld {
  ClaimAttempt Holder;
};
/// The call has run; this is its answer.
struct ClaimCompleted {
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
};
/// Nobody can tell whether the call ran; it never runs again.
struct ClaimUnknown {};
/// The same key came with another body.
struct ClaimMismatch {};
/// The key is older than the ledger remembers; it never runs again.
struct ClaimExpired {};
/// The ledger can take no further key; nothing ran.
struct ClaimLedgerFull {};
/// This attempt has ended without running; another attempt may claim the key.
struct ClaimReleased {};
/// The key's time stamp lies too far in the future; nothing ran.
struct ClaimStampAhead {};

using ClaimOutcome =
    std::variant<ClaimGranted, ClaimHeld, ClaimCompleted, ClaimUnknown,
                 ClaimMismatch, ClaimExpired, ClaimLedgerFull, ClaimReleased,
                 ClaimStampAhead>;

/// The change is committed by a quorum and synced.
struct ChangeAccepted {
  DescriptionNumber Number;
};
/// Another change was accepted on the same base.
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

/// The lease that lets one host give orders, as the log has it.
struct OrderLease {
  std::string Name;
  /// Empty once the lease was released or if it was never held.
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber Fencing;
  uint64_t Renewals = 0;
  bool operator==(const OrderLease &) const = default;
};

/// The asker holds the lease.
struct LeaseGranted {
  OrderLease Lease;
};
/// It does not; this is the lease as it stands.
struct LeaseRefused {
  OrderLease Lease;
};

using LeaseOutcome = std::variant<LeaseGranted, LeaseRefused>;

/// One load of weights that counts against the limit.
struct LoadSlot {
  TargetId Target;
  ferry::Incarnation Incarnation;
  WeightsVersion Weights;
  /// Fencing number of the order lease under which it began.
  FencingNumber Fencing;
  /// Rises with each try of the giver to begin a load under that lease.
  uint64_t Sequence = 0;
  bool operator==(const LoadSlot &) const = default;
};

/// The load may begin.
struct LoadGranted {};
/// The limit is reached by these loads.
struct LoadRefused {
  std::vector<LoadSlot> Active;
};
/// The command is older than one that was applied before, or its lease ended.
struct LoadStale {};
/// No slot is taken by that load any more.
struct LoadEnded {};

using LoadOutcome =
    std::variant<LoadGranted, LoadRefused, LoadStale, LoadEnded>;

/// The description as the log has it; number 0 before the first one.
struct StoredDescription {
  DescriptionNumber Number;
  std::string Operation;
  std::string Text;
  bool operator==(const StoredDescription &) const = default;
};

/// The newest weights that are named for a model.
struct WeightsNamed {
  ModelId Model;
  WeightsVersion Weights;
  bool operator==(const WeightsNamed &) const = default;
};

/// The ledger forgets stamped keys below this.
struct LowWaterMoved {
  UnixMillis Mark;
};

/// Why a command has no outcome.
enum class RegistryErrorKind : uint8_t {
  /// No quorum answered before the deadline; the command may yet commit.
  Timeout,
  /// The command was never handed to a quorum; it will not commit.
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

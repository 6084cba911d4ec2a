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

using ClaimOutcome =
    std::variant<ClaimGranted, ClaimHeld, ClaimCompleted, ClaimUnknown,
                 ClaimMismatch, ClaimExpired, ClaimLedgerFull>;

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

/// \file
/// Commands and replies of the replicated state machine, and their encoding.
#ifndef FERRY_LIBREGISTRY_COMMANDS_H
#define FERRY_LIBREGISTRY_COMMANDS_H

#include "LibCore/LeaveLedger.h"
#include "LibCore/Result.h"
#include "LibRegistry/Outcomes.h"
#include "LibRegistry/SharedCache.h"
#include <optional>
#include <string_view>

namespace ferry::registry {

/// Replaces the description numbered \p Base by a new one.
struct ChangeDescription {
  DescriptionNumber Base;
  /// Id chosen by the operator's program; a resend carries the same one.
  std::string Operation;
  std::string Text;
};

/// Puts a description in force whose number its author chose. The greatest
/// number wins; there is no base to compare.
struct ReplaceDescription {
  DescriptionNumber Number;
  std::string Text;
  /// Which workspaces share a cache by the text, which the state machine
  /// doesn't read. Nothing if the proposer didn't say.
  std::optional<CacheSharing> Sharing = {};
};

/// Names the version of weights that the engines of a model must load. A
/// version below the one named before changes nothing.
struct NameWeights {
  ModelId Model;
  WeightsVersion Weights;
  /// The leader's wall clock when it proposed the command; RegistryServer sets
  /// it. 0 if unknown.
  UnixMillis NamedAt = {};
};

/// Records that an incarnation of a target, and all earlier ones, have left.
struct RecordLeave {
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// The leader's wall clock when it proposed the command; RegistryServer sets
  /// it.
  UnixMillis LeftAt = {};
};

/// Claims a non-idempotent call for one attempt.
struct Claim {
  ClaimKey Key;
  ClaimAttempt Attempt;
  uint64_t BodyDigest = 0;
  /// The claiming router's wall clock, against which the key's stamp is
  /// checked.
  UnixMillis ClaimedAt;
};

/// Records the answer of a call that ran.
struct Complete {
  ClaimKey Key;
  ClaimAttempt Attempt;
  ClaimCompleted Answer;
};

/// Ends an attempt that has not run the call and will not.
struct Release {
  ClaimKey Key;
  ClaimAttempt Attempt;
};

/// Marks a call as one that may have run.
struct MarkUnknown {
  ClaimKey Key;
  /// Nothing changes unless this attempt holds the key or the key is new.
  ClaimAttempt Holder;
};

/// Lets the ledger forget keys with stamps before \p Mark.
struct AdvanceLowWater {
  UnixMillis Mark;
};

/// Takes an order lease if its fencing number and renewal count are those that
/// the candidate last saw.
struct AcquireOrderLease {
  std::string Name;
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber SeenFencing;
  uint64_t SeenRenewals = 0;
};

/// Renews a held lease and raises its renewal count to \p Renewals.
struct RenewOrderLease {
  std::string Name;
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber Fencing;
  uint64_t Renewals = 0;
};

/// Releases a held lease. The holder sends no orders after it has proposed
/// this.
struct ReleaseOrderLease {
  std::string Name;
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber Fencing;
};

/// Takes a slot for a load of weights, in place of any slot that the target
/// has.
struct BeginWeightsLoad {
  LoadSlot Slot;
  /// The description's limit of concurrent loads.
  uint32_t MaxLoads = 0;
};

/// Frees \p Slot and the slots of earlier incarnations of its target.
struct EndWeightsLoad {
  LoadSlot Slot;
};

using Command =
    std::variant<ChangeDescription, Claim, Complete, Release, MarkUnknown,
                 AdvanceLowWater, AcquireOrderLease, RenewOrderLease,
                 ReleaseOrderLease, BeginWeightsLoad, EndWeightsLoad,
                 ReplaceDescription, NameWeights, RecordLeave>;

/// The command was malformed or too large and changed nothing.
struct CommandInvalid {
  enum class Reason : uint8_t { Malformed, TooLarge } Why = Reason::Malformed;
};

using Reply = std::variant<ChangeOutcome, ClaimOutcome, LeaseOutcome,
                           LoadOutcome, LowWaterMoved, StoredDescription,
                           CommandInvalid, WeightsNamed, RecordedLeave>;

/// Size of the largest command that the state machine accepts, in bytes.
inline constexpr size_t MaxCommandBytes = 2 * 1024 * 1024;

/// \returns \p Value as encoded in the log.
std::string encodeCommand(const Command &Value);

/// \returns the command, or RegistryErrorKind::Invalid.
Result<Command, RegistryError> tryDecodeCommand(std::string_view Bytes);

/// \returns \p Value as encoded in messages.
std::string encodeReply(const Reply &Value);

/// \returns the reply, or RegistryErrorKind::Invalid.
Result<Reply, RegistryError> tryDecodeReply(std::string_view Bytes);

/// Decodes the reply to a command whose outcome is an \p OutcomeType.
/// \returns the outcome, or RegistryErrorKind::Invalid if the reply is of
/// another type, malformed, or says that the command was invalid.
template <typename OutcomeType>
Result<OutcomeType, RegistryError> tryOutcome(std::string_view Bytes) {
  auto Decoded = tryDecodeReply(Bytes);
  if (!Decoded)
    return makeError(Decoded.error());
  if (auto *Outcome = std::get_if<OutcomeType>(&*Decoded))
    return std::move(*Outcome);
  return makeTypedError(RegistryErrorKind::Invalid,
                        "reply of an unexpected type");
}

} // namespace ferry::registry

#endif

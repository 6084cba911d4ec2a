/// \file
/// Commands of the replicated state machine and its replies, and their bytes.
#ifndef FERRY_LIBREGISTRY_COMMANDS_H
#define FERRY_LIBREGISTRY_COMMANDS_H

#include "LibCore/Result.h"
#include "LibRegistry/Outcomes.h"
#include <string_view>

namespace ferry::registry {

/// Proposes the description that follows \p Base.
struct ChangeDescription {
  DescriptionNumber Base;
  /// Chosen by the operator's program; a resend carries the same.
  std::string Operation;
  std::string Text;
};

/// Puts a description in force whose number its author chose: the greatest
/// number wins, whatever it was based on.
struct ReplaceDescription {
  DescriptionNumber Number;
  std::string Text;
};

/// Names the weights that the engines of a model are to have; lower versions
/// than the one named before change nothing.
struct NameWeights {
  ModelId Model;
  WeightsVersion Weights;
};

/// Claims a non-idempotent call for one attempt.
struct Claim {
  ClaimKey Key;
  ClaimAttempt Attempt;
  uint64_t BodyDigest = 0;
  /// The asker's wall clock, against which the key's stamp is checked.
  UnixMillis AskedAt;
};

/// Records the answer of a call that ran.
struct Complete {
  ClaimKey Key;
  ClaimAttempt Attempt;
  ClaimCompleted Answer;
};

/// Ends an attempt that has not run and will not run.
struct Release {
  ClaimKey Key;
  ClaimAttempt Attempt;
};

/// Marks the call of attempt \p Holder as one that may have run.
struct MarkUnknown {
  ClaimKey Key;
  /// The attempt that is marked; nothing changes if another one holds the key.
  ClaimAttempt Holder;
};

/// Lets the ledger forget keys stamped before \p Mark.
struct AdvanceLowWater {
  UnixMillis Mark;
};

/// Takes an order lease that stands as the candidate last saw it.
struct AcquireOrderLease {
  std::string Name;
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber SeenFencing;
  uint64_t SeenRenewals = 0;
};

/// Renews a held lease for the \p Renewals th time.
struct RenewOrderLease {
  std::string Name;
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber Fencing;
  uint64_t Renewals = 0;
};

/// Gives a held lease up; the holder gives no order after it proposed this.
struct ReleaseOrderLease {
  std::string Name;
  HostId Host;
  ferry::Incarnation Incarnation;
  FencingNumber Fencing;
};

/// Takes a slot for a load of weights.
struct BeginWeightsLoad {
  LoadSlot Slot;
  /// The description's limit of loads at the same time.
  uint32_t MaxLoads = 0;
};

/// Frees exactly \p Slot, and slots of earlier incarnations of its target.
struct EndWeightsLoad {
  LoadSlot Slot;
};

using Command =
    std::variant<ChangeDescription, Claim, Complete, Release, MarkUnknown,
                 AdvanceLowWater, AcquireOrderLease, RenewOrderLease,
                 ReleaseOrderLease, BeginWeightsLoad, EndWeightsLoad,
                 ReplaceDescription, NameWeights>;

/// The command was refused for its form; it changed nothing.
struct CommandInvalid {
  enum class Reason : uint8_t { Malformed, TooLarge } Why = Reason::Malformed;
};

using Reply = std::variant<ChangeOutcome, ClaimOutcome, LeaseOutcome,
                           LoadOutcome, LowWaterMoved, StoredDescription,
                           CommandInvalid, WeightsNamed>;

/// Longest command that the state machine takes, in bytes.
inline constexpr size_t MaxCommandBytes = 2 * 1024 * 1024;

/// \returns the bytes of \p Value, as they go into the log.
std::string encodeCommand(const Command &Value);

/// \returns the command, or RegistryErrorKind::Invalid.
Result<Command, RegistryError> tryDecodeCommand(std::string_view Bytes);

/// \returns the bytes of \p Value.
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
  return makeTypedError(RegistryErrorKind::Invalid, "unexpected reply");
}

} // namespace ferry::registry

#endif

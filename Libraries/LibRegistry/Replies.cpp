#include "LibCore/Visit.h"
#include "LibRegistry/Commands.h"
#include "LibRegistry/Convert.h"
#include "LibWire/Codec.h"

namespace ferry::registry {

static wire::ChangeReply toFields(const ChangeOutcome &Value) {
  wire::ChangeReply Fields;
  match(
      Value,
      [&](const ChangeAccepted &Accepted) {
        Fields.Status = wire::ChangeStatus::Accepted;
        Fields.Number = toWire(Accepted.Number.Value);
      },
      [&](const ChangeConflict &Conflict) {
        Fields.Status = wire::ChangeStatus::Conflict;
        Fields.Number = toWire(Conflict.Current.Value);
        Fields.__set_Current(toWire(StoredDescription{Conflict.Current,
                                                      Conflict.CurrentOperation,
                                                      Conflict.CurrentText}));
      },
      [&](const ChangeOperationReused &Reused) {
        Fields.Status = wire::ChangeStatus::OperationReused;
        Fields.Number = toWire(Reused.Number.Value);
      });
  return Fields;
}

static wire::ClaimReply toFields(const ClaimOutcome &Value) {
  using Status = wire::ClaimStatus;
  wire::ClaimReply Fields;
  match(
      Value, [&](const ClaimGranted &) { Fields.Status = Status::Granted; },
      [&](const ClaimHeld &Held) {
        Fields.Status = Status::Held;
        Fields.__set_Holder(toWire(Held.Holder));
      },
      [&](const ClaimCompleted &Completed) {
        Fields.Status = Status::Completed;
        Fields.__set_Answer(toWire(Completed));
      },
      [&](const ClaimUnknown &) { Fields.Status = Status::Unknown; },
      [&](const ClaimMismatch &) { Fields.Status = Status::Mismatch; },
      [&](const ClaimExpired &) { Fields.Status = Status::Expired; },
      [&](const ClaimLedgerFull &) { Fields.Status = Status::LedgerFull; },
      [&](const ClaimReleased &) { Fields.Status = Status::Released; },
      [&](const ClaimStampAhead &) { Fields.Status = Status::StampAhead; });
  return Fields;
}

static wire::LeaseReply toFields(const LeaseOutcome &Value) {
  wire::LeaseReply Fields;
  match(
      Value,
      [&](const LeaseGranted &Granted) {
        Fields.Granted = true;
        Fields.Lease = toWire(Granted.Lease);
      },
      [&](const LeaseRefused &Refused) {
        Fields.Granted = false;
        Fields.Lease = toWire(Refused.Lease);
      });
  return Fields;
}

static wire::LoadReply toFields(const LoadOutcome &Value) {
  using Status = wire::LoadStatus;
  wire::LoadReply Fields;
  match(
      Value, [&](const LoadGranted &) { Fields.Status = Status::Granted; },
      [&](const LoadRefused &Refused) {
        Fields.Status = Status::Refused;
        for (const LoadSlot &Slot : Refused.Active)
          Fields.Active.push_back(toWire(Slot));
      },
      [&](const LoadStale &) { Fields.Status = Status::Stale; },
      [&](const LoadEnded &) { Fields.Status = Status::Ended; });
  return Fields;
}

std::string encodeReply(const Reply &Value) {
  wire::RegistryAnswer Fields;
  match(
      Value, [&](const ChangeOutcome &R) { Fields.__set_Change(toFields(R)); },
      [&](const ClaimOutcome &R) { Fields.__set_Claim(toFields(R)); },
      [&](const LeaseOutcome &R) { Fields.__set_Lease(toFields(R)); },
      [&](const LoadOutcome &R) { Fields.__set_Load(toFields(R)); },
      [&](const LowWaterMoved &R) {
        wire::LowWaterReply LowWater;
        LowWater.MarkMillis = R.Mark.Value;
        Fields.__set_LowWater(LowWater);
      },
      [&](const StoredDescription &R) { Fields.__set_Description(toWire(R)); },
      [&](const CommandInvalid &R) {
        Fields.__set_Invalid(R.Why == CommandInvalid::Reason::TooLarge
                                 ? wire::InvalidReason::TooLarge
                                 : wire::InvalidReason::Malformed);
      },
      [&](const WeightsNamed &R) {
        wire::NamedWeightsFields Named;
        Named.Model = R.Model.Value;
        Named.Weights = toWire(R.Weights.Value);
        Fields.__set_NamedWeights(Named);
      },
      [&](const RecordedLeave &R) { Fields.__set_Leave(toWire(R)); });
  return wire::encode(Fields);
}

static tl::unexpected<RegistryError> invalid(std::string Detail) {
  return makeTypedError(RegistryErrorKind::Invalid, std::move(Detail));
}

static Result<Reply, RegistryError>
fromFields(const wire::ChangeReply &Fields) {
  DescriptionNumber Number{fromWire(Fields.Number)};
  switch (Fields.Status) {
  case wire::ChangeStatus::Accepted:
    return ChangeOutcome{ChangeAccepted{Number}};
  case wire::ChangeStatus::Conflict:
    return ChangeOutcome{
        ChangeConflict{Number, Fields.Current.Operation, Fields.Current.Text}};
  case wire::ChangeStatus::OperationReused:
    return ChangeOutcome{ChangeOperationReused{Number}};
  }
  return invalid("unknown status in a change reply");
}

static Result<Reply, RegistryError> fromFields(const wire::ClaimReply &Fields) {
  switch (Fields.Status) {
  case wire::ClaimStatus::Granted:
    return ClaimOutcome{ClaimGranted{}};
  case wire::ClaimStatus::Held:
    return ClaimOutcome{ClaimHeld{fromWire(Fields.Holder)}};
  case wire::ClaimStatus::Completed:
    return ClaimOutcome{fromWire(Fields.Answer)};
  case wire::ClaimStatus::Unknown:
    return ClaimOutcome{ClaimUnknown{}};
  case wire::ClaimStatus::Mismatch:
    return ClaimOutcome{ClaimMismatch{}};
  case wire::ClaimStatus::Expired:
    return ClaimOutcome{ClaimExpired{}};
  case wire::ClaimStatus::LedgerFull:
    return ClaimOutcome{ClaimLedgerFull{}};
  case wire::ClaimStatus::Released:
    return ClaimOutcome{ClaimReleased{}};
  case wire::ClaimStatus::StampAhead:
    return ClaimOutcome{ClaimStampAhead{}};
  }
  return invalid("unknown status in a claim reply");
}

static Result<Reply, RegistryError> fromFields(const wire::LeaseReply &Fields) {
  OrderLease Lease = fromWire(Fields.Lease);
  if (Fields.Granted)
    return LeaseOutcome{LeaseGranted{std::move(Lease)}};
  return LeaseOutcome{LeaseRefused{std::move(Lease)}};
}

static Result<Reply, RegistryError> fromFields(const wire::LoadReply &Fields) {
  LoadRefused Refused;
  switch (Fields.Status) {
  case wire::LoadStatus::Granted:
    return LoadOutcome{LoadGranted{}};
  case wire::LoadStatus::Refused:
    for (const wire::LoadSlotFields &Slot : Fields.Active)
      Refused.Active.push_back(fromWire(Slot));
    return LoadOutcome{std::move(Refused)};
  case wire::LoadStatus::Stale:
    return LoadOutcome{LoadStale{}};
  case wire::LoadStatus::Ended:
    return LoadOutcome{LoadEnded{}};
  }
  return invalid("unknown status in a load reply");
}

static Result<Reply, RegistryError>
fromFields(wire::InvalidReason::type Reason) {
  switch (Reason) {
  case wire::InvalidReason::Malformed:
    return CommandInvalid{CommandInvalid::Reason::Malformed};
  case wire::InvalidReason::TooLarge:
    return CommandInvalid{CommandInvalid::Reason::TooLarge};
  }
  return invalid("unknown reason for an invalid command");
}

Result<Reply, RegistryError> tryDecodeReply(std::string_view Bytes) {
  auto Decoded = wire::tryDecode<wire::RegistryAnswer>(Bytes);
  if (!Decoded)
    return invalid(Decoded.error().message());
  const wire::RegistryAnswer &Fields = *Decoded;
  if (Fields.__isset.Change)
    return fromFields(Fields.Change);
  if (Fields.__isset.Claim)
    return fromFields(Fields.Claim);
  if (Fields.__isset.Lease)
    return fromFields(Fields.Lease);
  if (Fields.__isset.Load)
    return fromFields(Fields.Load);
  if (Fields.__isset.LowWater)
    return LowWaterMoved{{Fields.LowWater.MarkMillis}};
  if (Fields.__isset.Description)
    return fromWire(Fields.Description);
  if (Fields.__isset.Invalid)
    return fromFields(Fields.Invalid);
  if (Fields.__isset.NamedWeights)
    return WeightsNamed{{Fields.NamedWeights.Model},
                        {fromWire(Fields.NamedWeights.Weights)}};
  if (Fields.__isset.Leave)
    return fromWire(Fields.Leave);
  return invalid("empty reply");
}

} // namespace ferry::registry

#include "LibRegistry/Commands.h"
#include "LibCore/Visit.h"
#include "LibRegistry/Convert.h"
#include "LibWire/Codec.h"

namespace ferry::registry {

static wire::ChangeCommand toFields(const ChangeDescription &Value) {
  wire::ChangeCommand Fields;
  Fields.Base = toWire(Value.Base.Value);
  Fields.Operation = Value.Operation;
  Fields.Text = Value.Text;
  return Fields;
}

static wire::ClaimCommand toFields(const Claim &Value) {
  wire::ClaimCommand Fields;
  Fields.Key = toWire(Value.Key);
  Fields.Attempt = toWire(Value.Attempt);
  Fields.BodyDigest = toWire(Value.BodyDigest);
  Fields.AskedAtMillis = Value.ClaimedAt.Value;
  return Fields;
}

static wire::CompleteCommand toFields(const Complete &Value) {
  wire::CompleteCommand Fields;
  Fields.Key = toWire(Value.Key);
  Fields.Attempt = toWire(Value.Attempt);
  Fields.Answer = toWire(Value.Answer);
  return Fields;
}

static wire::ReleaseCommand toFields(const Release &Value) {
  wire::ReleaseCommand Fields;
  Fields.Key = toWire(Value.Key);
  Fields.Attempt = toWire(Value.Attempt);
  return Fields;
}

static wire::MarkUnknownCommand toFields(const MarkUnknown &Value) {
  wire::MarkUnknownCommand Fields;
  Fields.Key = toWire(Value.Key);
  Fields.Holder = toWire(Value.Holder);
  return Fields;
}

static wire::AdvanceLowWaterCommand toFields(const AdvanceLowWater &Value) {
  wire::AdvanceLowWaterCommand Fields;
  Fields.MarkMillis = Value.Mark.Value;
  return Fields;
}

static wire::AcquireLeaseCommand toFields(const AcquireOrderLease &Value) {
  wire::AcquireLeaseCommand Fields;
  Fields.Name = Value.Name;
  Fields.Host = Value.Host.Value;
  Fields.Incarnation = toWire(Value.Incarnation.Value);
  Fields.SeenFencing = toWire(Value.SeenFencing.Value);
  Fields.SeenRenewals = toWire(Value.SeenRenewals);
  return Fields;
}

static wire::RenewLeaseCommand toFields(const RenewOrderLease &Value) {
  wire::RenewLeaseCommand Fields;
  Fields.Name = Value.Name;
  Fields.Host = Value.Host.Value;
  Fields.Incarnation = toWire(Value.Incarnation.Value);
  Fields.Fencing = toWire(Value.Fencing.Value);
  Fields.Renewals = toWire(Value.Renewals);
  return Fields;
}

static wire::ReleaseLeaseCommand toFields(const ReleaseOrderLease &Value) {
  wire::ReleaseLeaseCommand Fields;
  Fields.Name = Value.Name;
  Fields.Host = Value.Host.Value;
  Fields.Incarnation = toWire(Value.Incarnation.Value);
  Fields.Fencing = toWire(Value.Fencing.Value);
  return Fields;
}

static wire::BeginLoadCommand toFields(const BeginWeightsLoad &Value) {
  wire::BeginLoadCommand Fields;
  Fields.Slot = toWire(Value.Slot);
  Fields.MaxLoads = static_cast<int32_t>(Value.MaxLoads);
  return Fields;
}

static wire::EndLoadCommand toFields(const EndWeightsLoad &Value) {
  wire::EndLoadCommand Fields;
  Fields.Slot = toWire(Value.Slot);
  return Fields;
}

static wire::ReplaceCommand toFields(const ReplaceDescription &Value) {
  wire::ReplaceCommand Fields;
  Fields.Number = toWire(Value.Number.Value);
  Fields.Text = Value.Text;
  if (Value.Sharing)
    Fields.__set_Sharing(toWire(*Value.Sharing));
  return Fields;
}

static wire::NameWeightsCommand toFields(const NameWeights &Value) {
  wire::NameWeightsCommand Fields;
  Fields.Model = Value.Model.Value;
  Fields.Weights = toWire(Value.Weights.Value);
  Fields.NamedAtMillis = Value.NamedAt.Value;
  return Fields;
}

static wire::RecordLeaveCommand toFields(const RecordLeave &Value) {
  wire::RecordLeaveCommand Fields;
  Fields.Target = Value.Target.Value;
  Fields.Incarnation = toWire(Value.Incarnation.Value);
  Fields.LeftAtMillis = Value.LeftAt.Value;
  return Fields;
}

std::string encodeCommand(const Command &Value) {
  wire::RegistryCommand Fields;
  match(
      Value,
      [&](const ChangeDescription &C) { Fields.__set_Change(toFields(C)); },
      [&](const Claim &C) { Fields.__set_Claim(toFields(C)); },
      [&](const Complete &C) { Fields.__set_Complete(toFields(C)); },
      [&](const Release &C) { Fields.__set_Release(toFields(C)); },
      [&](const MarkUnknown &C) { Fields.__set_MarkUnknown(toFields(C)); },
      [&](const AdvanceLowWater &C) {
        Fields.__set_AdvanceLowWater(toFields(C));
      },
      [&](const AcquireOrderLease &C) {
        Fields.__set_AcquireLease(toFields(C));
      },
      [&](const RenewOrderLease &C) { Fields.__set_RenewLease(toFields(C)); },
      [&](const ReleaseOrderLease &C) {
        Fields.__set_ReleaseLease(toFields(C));
      },
      [&](const BeginWeightsLoad &C) { Fields.__set_BeginLoad(toFields(C)); },
      [&](const EndWeightsLoad &C) { Fields.__set_EndLoad(toFields(C)); },
      [&](const ReplaceDescription &C) { Fields.__set_Replace(toFields(C)); },
      [&](const NameWeights &C) { Fields.__set_NameWeights(toFields(C)); },
      [&](const RecordLeave &C) { Fields.__set_RecordLeave(toFields(C)); });
  return wire::encode(Fields);
}

static Command fromFields(const wire::ChangeCommand &Fields) {
  return ChangeDescription{
      {fromWire(Fields.Base)}, Fields.Operation, Fields.Text};
}

static Command fromFields(const wire::ClaimCommand &Fields) {
  return Claim{fromWire(Fields.Key),
               fromWire(Fields.Attempt),
               fromWire(Fields.BodyDigest),
               {Fields.AskedAtMillis}};
}

static Command fromFields(const wire::CompleteCommand &Fields) {
  return Complete{fromWire(Fields.Key), fromWire(Fields.Attempt),
                  fromWire(Fields.Answer)};
}

static Command fromFields(const wire::ReleaseCommand &Fields) {
  return Release{fromWire(Fields.Key), fromWire(Fields.Attempt)};
}

static Command fromFields(const wire::MarkUnknownCommand &Fields) {
  return MarkUnknown{fromWire(Fields.Key), fromWire(Fields.Holder)};
}

static Command fromFields(const wire::AdvanceLowWaterCommand &Fields) {
  return AdvanceLowWater{{Fields.MarkMillis}};
}

static Command fromFields(const wire::AcquireLeaseCommand &Fields) {
  return AcquireOrderLease{Fields.Name,
                           {Fields.Host},
                           {fromWire(Fields.Incarnation)},
                           {fromWire(Fields.SeenFencing)},
                           fromWire(Fields.SeenRenewals)};
}

static Command fromFields(const wire::RenewLeaseCommand &Fields) {
  return RenewOrderLease{Fields.Name,
                         {Fields.Host},
                         {fromWire(Fields.Incarnation)},
                         {fromWire(Fields.Fencing)},
                         fromWire(Fields.Renewals)};
}

static Command fromFields(const wire::ReleaseLeaseCommand &Fields) {
  return ReleaseOrderLease{Fields.Name,
                           {Fields.Host},
                           {fromWire(Fields.Incarnation)},
                           {fromWire(Fields.Fencing)}};
}

static Command fromFields(const wire::BeginLoadCommand &Fields) {
  return BeginWeightsLoad{fromWire(Fields.Slot),
                          static_cast<uint32_t>(Fields.MaxLoads)};
}

static Command fromFields(const wire::EndLoadCommand &Fields) {
  return EndWeightsLoad{fromWire(Fields.Slot)};
}

static Command fromFields(const wire::ReplaceCommand &Fields) {
  ReplaceDescription Value{{fromWire(Fields.Number)}, Fields.Text};
  if (Fields.__isset.Sharing)
    Value.Sharing = fromWire(Fields.Sharing);
  return Value;
}

static Command fromFields(const wire::NameWeightsCommand &Fields) {
  return NameWeights{
      {Fields.Model}, {fromWire(Fields.Weights)}, {Fields.NamedAtMillis}};
}

static Command fromFields(const wire::RecordLeaveCommand &Fields) {
  return RecordLeave{
      {Fields.Target}, {fromWire(Fields.Incarnation)}, {Fields.LeftAtMillis}};
}

static tl::unexpected<RegistryError> invalid(std::string Detail) {
  return makeTypedError(RegistryErrorKind::Invalid, std::move(Detail));
}

Result<Command, RegistryError> tryDecodeCommand(std::string_view Bytes) {
  if (Bytes.size() > MaxCommandBytes)
    return invalid("command too large");
  auto Decoded = wire::tryDecode<wire::RegistryCommand>(Bytes);
  if (!Decoded)
    return invalid(Decoded.error().message());
  const wire::RegistryCommand &Fields = *Decoded;
  std::vector<Command> Commands;
  if (Fields.__isset.Change)
    Commands.push_back(fromFields(Fields.Change));
  if (Fields.__isset.Claim)
    Commands.push_back(fromFields(Fields.Claim));
  if (Fields.__isset.Complete)
    Commands.push_back(fromFields(Fields.Complete));
  if (Fields.__isset.Release)
    Commands.push_back(fromFields(Fields.Release));
  if (Fields.__isset.MarkUnknown)
    Commands.push_back(fromFields(Fields.MarkUnknown));
  if (Fields.__isset.AdvanceLowWater)
    Commands.push_back(fromFields(Fields.AdvanceLowWater));
  if (Fields.__isset.AcquireLease)
    Commands.push_back(fromFields(Fields.AcquireLease));
  if (Fields.__isset.RenewLease)
    Commands.push_back(fromFields(Fields.RenewLease));
  if (Fields.__isset.ReleaseLease)
    Commands.push_back(fromFields(Fields.ReleaseLease));
  if (Fields.__isset.BeginLoad)
    Commands.push_back(fromFields(Fields.BeginLoad));
  if (Fields.__isset.EndLoad)
    Commands.push_back(fromFields(Fields.EndLoad));
  if (Fields.__isset.Replace)
    Commands.push_back(fromFields(Fields.Replace));
  if (Fields.__isset.NameWeights)
    Commands.push_back(fromFields(Fields.NameWeights));
  if (Fields.__isset.RecordLeave)
    Commands.push_back(fromFields(Fields.RecordLeave));
  if (Commands.size() != 1)
    return invalid("message does not hold exactly one command");
  return std::move(Commands.front());
}

} // namespace ferry::registry

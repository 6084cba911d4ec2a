#include "LibRegistry/Registry.h"
#include "LibCore/NamingHistory.h"
#include "LibCore/Visit.h"
#include "LibRegistry/Convert.h"
#include "LibWire/Codec.h"
#include <algorithm>

namespace ferry::registry {

/// Incremented when the meaning of a snapshot's fields changes.
static constexpr int32_t SnapshotFormat = 1;

Registry::Registry(LedgerLimits Limits) : Limits(Limits), Claims(Limits) {}

Reply Registry::applyDecoded(const Command &Value) {
  return match(
      Value,
      [&](const ChangeDescription &C) -> Reply {
        return Descriptions.apply(C);
      },
      [&](const Claim &C) -> Reply { return Claims.apply(C); },
      [&](const Complete &C) -> Reply { return Claims.apply(C); },
      [&](const Release &C) -> Reply { return Claims.apply(C); },
      [&](const MarkUnknown &C) -> Reply { return Claims.apply(C); },
      [&](const AdvanceLowWater &C) -> Reply { return Claims.apply(C); },
      [&](const AcquireOrderLease &C) -> Reply { return Leases.apply(C); },
      [&](const RenewOrderLease &C) -> Reply { return Leases.apply(C); },
      [&](const ReleaseOrderLease &C) -> Reply { return Leases.apply(C); },
      [&](const BeginWeightsLoad &C) -> Reply { return Leases.apply(C); },
      [&](const EndWeightsLoad &C) -> Reply { return Leases.apply(C); },
      [&](const ReplaceDescription &C) -> Reply {
        return Descriptions.apply(C);
      },
      [&](const registry::NameWeights &C) -> Reply { return apply(C); },
      [&](const RecordLeave &C) -> Reply { return apply(C); });
}

Reply Registry::apply(const registry::NameWeights &Command) {
  addNamedVersion(Command.Model, {Command.Weights, Command.NamedAt});
  return WeightsNamed{Command.Model, namedWeights(Command.Model)};
}

Reply Registry::apply(const RecordLeave &Command) {
  if (!LeaveLedger::accepts(Command.Target) || Command.Incarnation.Value == 0)
    return CommandInvalid{};
  Leaves.record(Command.Target, Command.Incarnation, Command.LeftAt);
  return RecordedLeave{Command.Target, Leaves.left(Command.Target),
                       Leaves.newestNumber()};
}

/// \returns the time of the naming; 0 if it is unknown.
static int64_t knownMillis(const NamedVersion &Version) {
  return std::max<int64_t>(Version.NamedAt.Value, 0);
}

void Registry::addNamedVersion(const ModelId &Model, NamedVersion Version) {
  if (Version.Weights <= namedWeights(Model))
    return;
  std::vector<NamedVersion> &Versions = NamedVersions[Model];
  Versions.push_back(Version);
  limitNamings(Versions, [](const NamedVersion &Earlier,
                            const NamedVersion &Later) {
    return std::chrono::milliseconds(knownMillis(Later) - knownMillis(Earlier));
  });
}

WeightsVersion Registry::namedWeights(const ModelId &Model) const {
  auto ModelIt = NamedVersions.find(Model);
  return ModelIt == NamedVersions.end() ? WeightsVersion{}
                                        : ModelIt->second.back().Weights;
}

std::vector<ModelId> Registry::namedModels() const {
  std::vector<ModelId> Models;
  for (const auto &[Model, Versions] : NamedVersions)
    Models.push_back(Model);
  return Models;
}

std::vector<NamedVersion> Registry::namedVersions(const ModelId &Model) const {
  auto ModelIt = NamedVersions.find(Model);
  return ModelIt == NamedVersions.end() ? std::vector<NamedVersion>()
                                        : ModelIt->second;
}

std::optional<std::string>
Registry::settledReply(const Command &Request) const {
  auto OfDescription = [this](const auto &Change) -> std::optional<Reply> {
    if (auto Settled = Descriptions.settled(Change))
      return *Settled;
    return std::nullopt;
  };
  std::optional<Reply> Settled;
  match(
      Request, [&](const ChangeDescription &C) { Settled = OfDescription(C); },
      [&](const ReplaceDescription &C) { Settled = OfDescription(C); },
      [&](const registry::NameWeights &C) {
        if (namedWeights(C.Model) >= C.Weights)
          Settled = WeightsNamed{C.Model, namedWeights(C.Model)};
      },
      [&](const RecordLeave &C) {
        if (Leaves.hasLeft(C.Target, C.Incarnation))
          Settled = RecordedLeave{C.Target, Leaves.left(C.Target),
                                  Leaves.newestNumber()};
      },
      [](const auto &) {});
  if (!Settled)
    return std::nullopt;
  return encodeReply(*Settled);
}

std::string Registry::apply(uint64_t Index, std::string_view Command) {
  AppliedIndex = Index;
  if (Command.size() > MaxCommandBytes)
    return encodeReply(CommandInvalid{CommandInvalid::Reason::TooLarge});
  auto Decoded = tryDecodeCommand(Command);
  if (!Decoded)
    return encodeReply(CommandInvalid{CommandInvalid::Reason::Malformed});
  return encodeReply(applyDecoded(*Decoded));
}

std::string Registry::snapshot() const {
  wire::RegistrySnapshot Snapshot;
  Snapshot.FormatVersion = SnapshotFormat;
  Snapshot.AppliedIndex = toWire(AppliedIndex);
  Descriptions.save(Snapshot);
  Claims.save(Snapshot);
  Leases.save(Snapshot);
  for (const auto &[Model, Versions] : NamedVersions)
    for (const NamedVersion &Version : Versions) {
      wire::NamedWeightsFields Fields;
      Fields.Model = Model.Value;
      Fields.Weights = toWire(Version.Weights.Value);
      Fields.NamedAtMillis = Version.NamedAt.Value;
      Snapshot.NamedWeights.push_back(std::move(Fields));
    }
  for (const RecordedLeave &Leave : Leaves.after(0))
    Snapshot.Leaves.push_back(toWire(Leave));
  return wire::encode(Snapshot);
}

Result<void, RegistryError> Registry::tryRestore(std::string_view Bytes) {
  auto Decoded = wire::tryDecode<wire::RegistrySnapshot>(Bytes);
  if (!Decoded)
    return makeTypedError(RegistryErrorKind::Invalid,
                          Decoded.error().message());
  if (Decoded->FormatVersion != SnapshotFormat)
    return makeTypedError(RegistryErrorKind::Invalid,
                          "unsupported snapshot format");
  Registry Restored(Limits);
  if (!Restored.Claims.tryLoad(*Decoded))
    return makeTypedError(RegistryErrorKind::Invalid,
                          "inconsistent claim ledger in snapshot");
  Restored.Descriptions.load(*Decoded);
  Restored.Leases.load(*Decoded);
  for (const wire::NamedWeightsFields &Fields : Decoded->NamedWeights)
    Restored.addNamedVersion(
        {Fields.Model}, {{fromWire(Fields.Weights)}, {Fields.NamedAtMillis}});
  for (const wire::LeaveFields &Fields : Decoded->Leaves)
    Restored.Leaves.add(fromWire(Fields));
  Restored.AppliedIndex = fromWire(Decoded->AppliedIndex);
  *this = std::move(Restored);
  return {};
}

void GreatestPossibleNumber::add(std::string_view Command) {
  auto Decoded = tryDecodeCommand(Command);
  if (!Decoded)
    return;
  if (const auto *Replace = std::get_if<ReplaceDescription>(&*Decoded))
    Greatest = std::max(Greatest, Replace->Number);
  const auto *Change = std::get_if<ChangeDescription>(&*Decoded);
  if (Change != nullptr && Change->Base == Greatest)
    Greatest.Value += 1;
}

} // namespace ferry::registry

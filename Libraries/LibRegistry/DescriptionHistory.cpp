#include "LibRegistry/DescriptionHistory.h"
#include "LibRegistry/Convert.h"

namespace ferry::registry {

DescriptionHistory::DescriptionHistory(size_t MaxOperations)
    : MaxOperations(MaxOperations) {}

ChangeConflict DescriptionHistory::conflict() const {
  return {Current.Number, Current.Operation, Current.Text};
}

void DescriptionHistory::rememberOperation(const Digest &Id, Operation Added) {
  Operations[Id] = Added;
  Order.push_back(Id);
  if (Order.size() <= MaxOperations)
    return;
  Operations.erase(Order.front());
  Order.pop_front();
}

std::optional<ChangeOutcome>
DescriptionHistory::settled(const ChangeDescription &Change) const {
  auto OperationIt = Operations.find(digestOf(Change.Operation));
  if (OperationIt == Operations.end())
    return std::nullopt;
  const Operation &Earlier = OperationIt->second;
  if (Earlier.Number.Value == 0)
    return conflict();
  if (Earlier.TextDigest != shortDigestOf(Change.Text))
    return ChangeOperationReused{Earlier.Number};
  return ChangeAccepted{Earlier.Number};
}

std::optional<ChangeOutcome>
DescriptionHistory::settled(const ReplaceDescription &Change) const {
  if (Change.Number > Current.Number)
    return std::nullopt;
  if (Change.Number == Current.Number && Change.Text != Current.Text)
    return conflict();
  return ChangeAccepted{Current.Number};
}

ChangeOutcome DescriptionHistory::apply(const ChangeDescription &Change) {
  if (auto Settled = settled(Change))
    return *Settled;
  Digest Id = digestOf(Change.Operation);
  uint64_t TextDigest = shortDigestOf(Change.Text);
  if (Change.Base != Current.Number) {
    // A base below the current number is refused for ever. A base above it is
    // remembered: otherwise a late duplicate would be accepted once the number
    // reaches the base, although the operator was told of a conflict.
    if (Change.Base > Current.Number)
      rememberOperation(Id, {TextDigest, {}});
    return conflict();
  }
  Current = {{Current.Number.Value + 1}, Change.Operation, Change.Text};
  rememberOperation(Id, {TextDigest, Current.Number});
  return ChangeAccepted{Current.Number};
}

ChangeOutcome DescriptionHistory::apply(const ReplaceDescription &Change) {
  if (auto Settled = settled(Change))
    return *Settled;
  Cache.apply(Change.Number, Change.Sharing);
  Current = {Change.Number, {}, Change.Text, Cache.since()};
  return ChangeAccepted{Current.Number};
}

void DescriptionHistory::save(wire::RegistrySnapshot &Snapshot) const {
  Snapshot.Description = toWire(Current);
  Cache.save(Snapshot);
  for (const Digest &Id : Order) {
    const Operation &Saved = Operations.at(Id);
    wire::OperationFields Fields;
    Fields.DigestHigh = toWire(Id.High);
    Fields.DigestLow = toWire(Id.Low);
    Fields.TextDigest = toWire(Saved.TextDigest);
    Fields.Number = toWire(Saved.Number.Value);
    Snapshot.Operations.push_back(Fields);
  }
}

void DescriptionHistory::load(const wire::RegistrySnapshot &Snapshot) {
  Current = fromWire(Snapshot.Description);
  Cache.load(Snapshot);
  Operations.clear();
  Order.clear();
  for (const wire::OperationFields &Fields : Snapshot.Operations)
    rememberOperation({fromWire(Fields.DigestHigh), fromWire(Fields.DigestLow)},
                      {fromWire(Fields.TextDigest), {fromWire(Fields.Number)}});
}

} // namespace ferry::registry

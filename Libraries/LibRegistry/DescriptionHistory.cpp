#include "LibRegistry/DescriptionHistory.h"
#include "LibRegistry/Convert.h"

namespace ferry::registry {

DescriptionHistory::DescriptionHistory(size_t MaxOperations)
    : MaxOperations(MaxOperations) {}

ChangeConflict DescriptionHistory::conflict() const {
  return {Current.Number, Current.Operation, Current.Text};
}

void DescriptionHistory::remember(const Digest &Id, Operation Entry) {
  Operations[Id] = Entry;
  Order.push_back(Id);
  if (Order.size() <= MaxOperations)
    return;
  Operations.erase(Order.front());
  Order.pop_front();
}

ChangeOutcome DescriptionHistory::apply(const ChangeDescription &Change) {
  Digest Id = digestOf(Change.Operation);
  uint64_t TextDigest = shortDigestOf(Change.Text);
  auto Known = Operations.find(Id);
  if (Known != Operations.end()) {
    const Operation &First = Known->second;
    if (First.Number.Value == 0)
      return conflict();
    if (First.TextDigest != TextDigest)
      return ChangeOperationReused{First.Number};
    return ChangeAccepted{First.Number};
  }
  if (Change.Base != Current.Number) {
    // A base below stays refused for ever. A base above would be accepted by a
    // late duplicate once the numbers reach it, after a conflict was answered.
    if (Change.Base > Current.Number)
      remember(Id, {TextDigest, {}});
    return conflict();
  }
  Current = {{Current.Number.Value + 1}, Change.Operation, Change.Text};
  remember(Id, {TextDigest, Current.Number});
  return ChangeAccepted{Current.Number};
}

ChangeOutcome DescriptionHistory::apply(const ReplaceDescription &Change) {
  if (Change.Number == Current.Number && Change.Text != Current.Text)
    return conflict();
  if (Change.Number > Current.Number)
    Current = {Change.Number, {}, Change.Text};
  return ChangeAccepted{Current.Number};
}

void DescriptionHistory::save(wire::RegistrySnapshot &Snapshot) const {
  Snapshot.Description = toWire(Current);
  for (const Digest &Id : Order) {
    const Operation &Entry = Operations.at(Id);
    wire::OperationFields Fields;
    Fields.DigestHigh = toWire(Id.High);
    Fields.DigestLow = toWire(Id.Low);
    Fields.TextDigest = toWire(Entry.TextDigest);
    Fields.Number = toWire(Entry.Number.Value);
    Snapshot.Operations.push_back(Fields);
  }
}

void DescriptionHistory::load(const wire::RegistrySnapshot &Snapshot) {
  Current = fromWire(Snapshot.Description);
  Operations.clear();
  Order.clear();
  for (const wire::OperationFields &Fields : Snapshot.Operations)
    remember({fromWire(Fields.DigestHigh), fromWire(Fields.DigestLow)},
             {fromWire(Fields.TextDigest), {fromWire(Fields.Number)}});
}

} // namespace ferry::registry

#include "LibRegistry/Convert.h"

namespace ferry::registry {

wire::ClaimKeyFields toWire(const ClaimKey &Key) {
  wire::ClaimKeyFields Fields;
  Fields.Workspace = Key.Workspace.Value;
  Fields.Service = Key.Service.Value;
  Fields.Key = Key.Key;
  return Fields;
}

wire::ClaimAttemptFields toWire(const ClaimAttempt &Attempt) {
  wire::ClaimAttemptFields Fields;
  Fields.Host = Attempt.Host.Value;
  Fields.Incarnation = toWire(Attempt.Incarnation.Value);
  Fields.Number = toWire(Attempt.Number);
  return Fields;
}

wire::AnswerFields toWire(const ClaimCompleted &Answer) {
  wire::AnswerFields Fields;
  Fields.Status = static_cast<int32_t>(Answer.Status);
  Fields.ContentType = Answer.ContentType;
  Fields.Body = Answer.Body;
  return Fields;
}

wire::LeaseFields toWire(const OrderLease &Lease) {
  wire::LeaseFields Fields;
  Fields.Name = Lease.Name;
  Fields.Host = Lease.Host.Value;
  Fields.Incarnation = toWire(Lease.Incarnation.Value);
  Fields.Fencing = toWire(Lease.Fencing.Value);
  Fields.Renewals = toWire(Lease.Renewals);
  return Fields;
}

wire::LoadSlotFields toWire(const LoadSlot &Slot) {
  wire::LoadSlotFields Fields;
  Fields.Target = Slot.Target.Value;
  Fields.Incarnation = toWire(Slot.Incarnation.Value);
  Fields.Weights = toWire(Slot.Weights.Value);
  Fields.Fencing = toWire(Slot.Fencing.Value);
  Fields.Sequence = toWire(Slot.Sequence);
  return Fields;
}

wire::CacheSharingFields toWire(const CacheSharing &Sharing) {
  wire::CacheSharingFields Fields;
  for (WorkspaceDigest Workspace : Sharing.Sharing)
    Fields.Sharing.push_back(toWire(Workspace));
  for (WorkspaceDigest Workspace : Sharing.Isolated)
    Fields.Isolated.push_back(toWire(Workspace));
  Fields.OpenToAll = Sharing.OpenToAll;
  return Fields;
}

wire::LeaveFields toWire(const RecordedLeave &Leave) {
  wire::LeaveFields Fields;
  Fields.Target = Leave.Target.Value;
  Fields.Incarnation = toWire(Leave.Incarnation.Value);
  Fields.Number = toWire(Leave.Number);
  return Fields;
}

wire::DescriptionFields toWire(const StoredDescription &Description) {
  wire::DescriptionFields Fields;
  Fields.Number = toWire(Description.Number.Value);
  Fields.Operation = Description.Operation;
  Fields.Text = Description.Text;
  if (Description.SharedCacheSince.Value != 0)
    Fields.__set_SharedCacheSince(toWire(Description.SharedCacheSince.Value));
  return Fields;
}

ClaimKey fromWire(const wire::ClaimKeyFields &Fields) {
  return {{Fields.Workspace}, {Fields.Service}, Fields.Key};
}

ClaimAttempt fromWire(const wire::ClaimAttemptFields &Fields) {
  return {
      {Fields.Host}, {fromWire(Fields.Incarnation)}, fromWire(Fields.Number)};
}

ClaimCompleted fromWire(const wire::AnswerFields &Fields) {
  return {static_cast<uint32_t>(Fields.Status), Fields.ContentType,
          Fields.Body};
}

OrderLease fromWire(const wire::LeaseFields &Fields) {
  return {Fields.Name,
          {Fields.Host},
          {fromWire(Fields.Incarnation)},
          {fromWire(Fields.Fencing)},
          fromWire(Fields.Renewals)};
}

LoadSlot fromWire(const wire::LoadSlotFields &Fields) {
  return {{Fields.Target},
          {fromWire(Fields.Incarnation)},
          {fromWire(Fields.Weights)},
          {fromWire(Fields.Fencing)},
          fromWire(Fields.Sequence)};
}

CacheSharing fromWire(const wire::CacheSharingFields &Fields) {
  CacheSharing Sharing;
  for (int64_t Workspace : Fields.Sharing)
    Sharing.Sharing.push_back(fromWire(Workspace));
  for (int64_t Workspace : Fields.Isolated)
    Sharing.Isolated.push_back(fromWire(Workspace));
  Sharing.OpenToAll = Fields.OpenToAll;
  return Sharing;
}

RecordedLeave fromWire(const wire::LeaveFields &Fields) {
  return {
      {Fields.Target}, {fromWire(Fields.Incarnation)}, fromWire(Fields.Number)};
}

StoredDescription fromWire(const wire::DescriptionFields &Fields) {
  return {{fromWire(Fields.Number)},
          Fields.Operation,
          Fields.Text,
          {fromWire(Fields.SharedCacheSince)}};
}

} // namespace ferry::registry

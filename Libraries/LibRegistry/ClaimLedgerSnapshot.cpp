#include "LibRegistry/ClaimLedger.h"
#include "LibRegistry/Convert.h"
#include <algorithm>

namespace ferry::registry {

/// Value in a snapshot for a key without a stamp; stamps are never negative.
static constexpr int64_t NoStamp = -1;

wire::ClaimEntryFields ClaimLedger::fieldsOf(const Digest &Id,
                                             const Entry &ClaimEntry) const {
  wire::ClaimEntryFields Fields;
  Fields.DigestHigh = toWire(Id.High);
  Fields.DigestLow = toWire(Id.Low);
  Fields.State = static_cast<int32_t>(ClaimEntry.State);
  Fields.BodyDigest = toWire(ClaimEntry.BodyDigest);
  Fields.Holder = toWire(ClaimEntry.Holder);
  for (const ClaimAttempt &Attempt : ClaimEntry.Ended)
    Fields.Ended.push_back(toWire(Attempt));
  Fields.Answer = toWire(ClaimEntry.Answer);
  Fields.StampMillis = ClaimEntry.Stamp ? ClaimEntry.Stamp->Value : NoStamp;
  Fields.Order = toWire(ClaimEntry.QueuePosition);
  return Fields;
}

static void saveTombstones(wire::RegistrySnapshot &Snapshot, int64_t Bucket,
                           const TombstoneSet &Set) {
  wire::TombstoneBucketFields Fields;
  Fields.Bucket = Bucket;
  Fields.Digests = Set.encode();
  Snapshot.Tombstones.push_back(std::move(Fields));
}

void ClaimLedger::save(wire::RegistrySnapshot &Snapshot) const {
  std::vector<std::pair<uint64_t, Digest>> InOrder;
  InOrder.reserve(Entries.size());
  for (const auto &[Id, ClaimEntry] : Entries)
    InOrder.emplace_back(ClaimEntry.QueuePosition, Id);
  // The order makes equal ledgers have equal snapshots on every replica.
  std::sort(InOrder.begin(), InOrder.end());
  Snapshot.Claims.reserve(InOrder.size());
  for (const auto &[Position, Id] : InOrder)
    Snapshot.Claims.push_back(fieldsOf(Id, Entries.at(Id)));
  saveTombstones(Snapshot, NoStamp, UnstampedTombstones);
  for (const auto &[First, Bucket] : StampedTombstones)
    saveTombstones(Snapshot, First, Bucket);
  Snapshot.LowWaterMillis = LowWater.Value;
  Snapshot.NextOrder = toWire(NextQueuePosition);
  for (const auto &[Host, Greatest] : ClaimingHosts) {
    wire::HostIncarnationFields Fields;
    Fields.Host = Host.Value;
    Fields.Incarnation = toWire(Greatest.Value);
    Snapshot.ClaimingHosts.push_back(std::move(Fields));
  }
}

bool ClaimLedger::tryLoadEntry(const wire::ClaimEntryFields &Fields) {
  if (Fields.State < 0 ||
      Fields.State > static_cast<int32_t>(ClaimState::Released))
    return false;
  // Entries are saved in the order of their queue positions, which are unique.
  if (fromWire(Fields.Order) < NextQueuePosition)
    return false;
  Digest Id{fromWire(Fields.DigestHigh), fromWire(Fields.DigestLow)};
  auto [EntryIt, Inserted] = Entries.try_emplace(Id);
  if (!Inserted)
    return false;
  Entry &Loaded = EntryIt->second;
  Loaded.State = static_cast<ClaimState>(Fields.State);
  Loaded.BodyDigest = fromWire(Fields.BodyDigest);
  Loaded.Holder = fromWire(Fields.Holder);
  for (const wire::ClaimAttemptFields &Attempt : Fields.Ended)
    Loaded.Ended.push_back(fromWire(Attempt));
  Loaded.Answer = fromWire(Fields.Answer);
  if (Fields.StampMillis != NoStamp)
    Loaded.Stamp = UnixMillis{Fields.StampMillis};
  NextQueuePosition = fromWire(Fields.Order);
  trackEntry(Loaded, Id);
  return true;
}

bool ClaimLedger::tryLoad(const wire::RegistrySnapshot &Snapshot) {
  *this = ClaimLedger(Limits);
  for (const wire::ClaimEntryFields &Fields : Snapshot.Claims)
    if (!tryLoadEntry(Fields))
      return false;
  for (const wire::TombstoneBucketFields &Fields : Snapshot.Tombstones) {
    auto Set = TombstoneSet::tryDecode(Fields.Digests);
    if (!Set)
      return false;
    if (Fields.Bucket == NoStamp) {
      UnstampedTombstones = std::move(*Set);
      continue;
    }
    StampedTombstoneCount += Set->size();
    StampedTombstones[Fields.Bucket] = std::move(*Set);
  }
  LowWater = {Snapshot.LowWaterMillis};
  if (fromWire(Snapshot.NextOrder) < NextQueuePosition)
    return false;
  NextQueuePosition = fromWire(Snapshot.NextOrder);
  for (const wire::HostIncarnationFields &Fields : Snapshot.ClaimingHosts)
    ClaimingHosts[{Fields.Host}] = {fromWire(Fields.Incarnation)};
  return true;
}

} // namespace ferry::registry

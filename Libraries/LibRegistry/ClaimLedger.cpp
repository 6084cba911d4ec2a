#include "LibRegistry/ClaimLedger.h"
#include <algorithm>
#include <cassert>

namespace ferry::registry {

/// Stamped tombstones are dropped in buckets that span this much time.
static constexpr int64_t BucketMillis = 10 * 60 * 1000;
/// Number of ended attempts kept for one key.
static constexpr size_t MaxEndedAttempts = 16;
/// Number of hosts whose greatest incarnation is kept.
static constexpr size_t MaxClaimingHosts = 4096;

static int64_t bucketOf(UnixMillis Stamp) {
  return Stamp.Value / BucketMillis * BucketMillis;
}

static bool contains(const std::vector<ClaimAttempt> &Attempts,
                     const ClaimAttempt &Attempt) {
  return std::find(Attempts.begin(), Attempts.end(), Attempt) != Attempts.end();
}

static void addEnded(std::vector<ClaimAttempt> &Ended,
                     const ClaimAttempt &Attempt) {
  if (contains(Ended, Attempt))
    return;
  if (Ended.size() == MaxEndedAttempts)
    Ended.erase(Ended.begin());
  Ended.push_back(Attempt);
}

ClaimLedger::ClaimLedger(LedgerLimits Limits) : Limits(Limits) {}

bool ClaimLedger::isFromEarlierIncarnation(const ClaimAttempt &Attempt) const {
  auto HostIt = ClaimingHosts.find(Attempt.Host);
  return HostIt != ClaimingHosts.end() && Attempt.Incarnation < HostIt->second;
}

void ClaimLedger::recordIncarnation(const ClaimAttempt &Attempt) {
  auto HostIt = ClaimingHosts.find(Attempt.Host);
  if (HostIt != ClaimingHosts.end())
    HostIt->second = std::max(HostIt->second, Attempt.Incarnation);
  else if (ClaimingHosts.size() < MaxClaimingHosts)
    ClaimingHosts.emplace(Attempt.Host, Attempt.Incarnation);
}

bool ClaimLedger::hasRoom(const std::optional<UnixMillis> &Stamp) const {
  if (OpenClaims >= Limits.OpenClaims)
    return false;
  if (Stamp)
    return true;
  return UnstampedEntries + UnstampedTombstones.size() < Limits.UnstampedKeys;
}

ClaimOutcome ClaimLedger::outcomeOf(const Entry &ClaimEntry) const {
  switch (ClaimEntry.State) {
  case ClaimState::Held:
    return ClaimHeld{ClaimEntry.Holder};
  case ClaimState::Completed:
    return ClaimEntry.Answer;
  case ClaimState::Unknown:
    return ClaimUnknown{};
  case ClaimState::Released:
    break;
  }
  return ClaimReleased{};
}

std::optional<ClaimOutcome>
ClaimLedger::outcomeWithoutEntry(const ClaimKey &Key, const Digest &Id) const {
  std::optional<UnixMillis> Stamp = stampOf(Key.Key);
  std::optional<TombstoneKind> Kind;
  if (!Stamp) {
    Kind = UnstampedTombstones.find(Id);
  } else {
    if (*Stamp < LowWater)
      return ClaimExpired{};
    auto BucketIt = StampedTombstones.find(bucketOf(*Stamp));
    if (BucketIt != StampedTombstones.end())
      Kind = BucketIt->second.find(Id);
  }
  if (!Kind)
    return std::nullopt;
  if (*Kind == TombstoneKind::Unknown)
    return ClaimUnknown{};
  return ClaimExpired{};
}

std::optional<ClaimOutcome> ClaimLedger::refusalOf(const Claim &Command) const {
  if (isFromEarlierIncarnation(Command.Attempt))
    return ClaimReleased{};
  std::optional<UnixMillis> Stamp = stampOf(Command.Key.Key);
  if (Stamp &&
      Stamp->Value - Command.ClaimedAt.Value > Limits.MaxStampAheadMillis)
    return ClaimStampAhead{};
  if (!hasRoom(Stamp))
    return ClaimLedgerFull{};
  return std::nullopt;
}

ClaimOutcome ClaimLedger::apply(const Claim &Command) {
  recordIncarnation(Command.Attempt);
  Digest Id = digestOf(Command.Key);
  auto EntryIt = Entries.find(Id);
  if (EntryIt == Entries.end())
    return claimNewKey(Command, Id);
  Entry &ClaimEntry = EntryIt->second;
  if (ClaimEntry.State == ClaimState::Released)
    return claimReleasedKey(Command, Id, ClaimEntry);
  if (ClaimEntry.State != ClaimState::Unknown &&
      ClaimEntry.BodyDigest != Command.BodyDigest)
    return ClaimMismatch{};
  // The holder has resent its own claim.
  if (ClaimEntry.State == ClaimState::Held &&
      ClaimEntry.Holder == Command.Attempt)
    return ClaimGranted{};
  return outcomeOf(ClaimEntry);
}

ClaimOutcome ClaimLedger::claimNewKey(const Claim &Command, const Digest &Id) {
  // Tombstones and the low-water mark are checked before refusals that tell the
  // caller that the call has not run.
  if (auto Remembered = outcomeWithoutEntry(Command.Key, Id))
    return *Remembered;
  if (auto Refusal = refusalOf(Command))
    return *Refusal;
  Entry &Added = Entries[Id];
  Added.Stamp = stampOf(Command.Key.Key);
  trackEntry(Added, Id);
  return grant(Command, Id, Added);
}

ClaimOutcome ClaimLedger::claimReleasedKey(const Claim &Command,
                                           const Digest &Id,
                                           Entry &ClaimEntry) {
  if (contains(ClaimEntry.Ended, Command.Attempt))
    return ClaimReleased{};
  if (auto Refusal = refusalOf(Command))
    return *Refusal;
  return grant(Command, Id, ClaimEntry);
}

ClaimGranted ClaimLedger::grant(const Claim &Command, const Digest &Id,
                                Entry &ClaimEntry) {
  ClaimEntry.Holder = Command.Attempt;
  ClaimEntry.BodyDigest = Command.BodyDigest;
  setState(Id, ClaimEntry, ClaimState::Held);
  return {};
}

ClaimOutcome ClaimLedger::apply(const Complete &Command) {
  Digest Id = digestOf(Command.Key);
  auto EntryIt = Entries.find(Id);
  if (EntryIt == Entries.end())
    return outcomeWithoutEntry(Command.Key, Id).value_or(ClaimReleased{});
  Entry &ClaimEntry = EntryIt->second;
  bool Open = ClaimEntry.State == ClaimState::Held ||
              ClaimEntry.State == ClaimState::Unknown;
  if (!Open || ClaimEntry.Holder != Command.Attempt)
    return outcomeOf(ClaimEntry);
  ClaimOutcome Outcome = Command.Answer;
  untrackEntry(ClaimEntry);
  ClaimEntry.Answer = Command.Answer;
  ClaimEntry.State = ClaimState::Completed;
  trackEntry(ClaimEntry, Id);
  evict();
  return Outcome;
}

ClaimOutcome ClaimLedger::apply(const Release &Command) {
  Digest Id = digestOf(Command.Key);
  auto EntryIt = Entries.find(Id);
  if (EntryIt == Entries.end()) {
    if (auto Remembered = outcomeWithoutEntry(Command.Key, Id))
      return *Remembered;
    // The release arrived before its claim. The entry makes the ledger refuse
    // the claim when it comes.
    Entry &Added = Entries[Id];
    Added.Stamp = stampOf(Command.Key.Key);
    addEnded(Added.Ended, Command.Attempt);
    trackEntry(Added, Id);
    evict();
    return ClaimGranted{};
  }
  Entry &ClaimEntry = EntryIt->second;
  bool IsHolder = ClaimEntry.Holder == Command.Attempt;
  bool Settled = ClaimEntry.State == ClaimState::Completed ||
                 ClaimEntry.State == ClaimState::Unknown;
  if (Settled)
    return outcomeOf(ClaimEntry);
  addEnded(ClaimEntry.Ended, Command.Attempt);
  if (ClaimEntry.State == ClaimState::Held && !IsHolder)
    return outcomeOf(ClaimEntry);
  setState(Id, ClaimEntry, ClaimState::Released);
  evict();
  return ClaimGranted{};
}

ClaimOutcome ClaimLedger::apply(const MarkUnknown &Command) {
  Digest Id = digestOf(Command.Key);
  auto EntryIt = Entries.find(Id);
  if (EntryIt == Entries.end()) {
    if (auto Remembered = outcomeWithoutEntry(Command.Key, Id))
      return *Remembered;
    std::optional<UnixMillis> Stamp = stampOf(Command.Key.Key);
    if (!hasRoom(Stamp))
      return ClaimLedgerFull{};
    Entry &Added = Entries[Id];
    Added.Stamp = Stamp;
    Added.Holder = Command.Holder;
    Added.State = ClaimState::Unknown;
    trackEntry(Added, Id);
    evict();
    return ClaimUnknown{};
  }
  Entry &ClaimEntry = EntryIt->second;
  if (ClaimEntry.State != ClaimState::Held ||
      ClaimEntry.Holder != Command.Holder)
    return outcomeOf(ClaimEntry);
  setState(Id, ClaimEntry, ClaimState::Unknown);
  evict();
  return ClaimUnknown{};
}

LowWaterMoved ClaimLedger::apply(const AdvanceLowWater &Command) {
  raiseLowWater(Command.Mark);
  return {LowWater};
}

void ClaimLedger::setState(const Digest &Id, Entry &ClaimEntry,
                           ClaimState State) {
  untrackEntry(ClaimEntry);
  ClaimEntry.State = State;
  trackEntry(ClaimEntry, Id);
}

ClaimLedger::Queue *ClaimLedger::queueOf(ClaimState State) {
  switch (State) {
  case ClaimState::Completed:
    return &CompletedQueue;
  case ClaimState::Unknown:
    return &UnknownQueue;
  case ClaimState::Released:
    return &ReleasedQueue;
  case ClaimState::Held:
    break;
  }
  return nullptr;
}

void ClaimLedger::trackEntry(Entry &ClaimEntry, const Digest &Id) {
  ClaimEntry.QueuePosition = NextQueuePosition++;
  if (Queue *StateQueue = queueOf(ClaimEntry.State))
    StateQueue->emplace(ClaimEntry.QueuePosition, Id);
  if (ClaimEntry.State == ClaimState::Held)
    ++OpenClaims;
  if (ClaimEntry.State == ClaimState::Completed)
    AnswerBytes +=
        ClaimEntry.Answer.Body.size() + ClaimEntry.Answer.ContentType.size();
  if (!ClaimEntry.Stamp && ClaimEntry.State != ClaimState::Released)
    ++UnstampedEntries;
}

void ClaimLedger::untrackEntry(const Entry &ClaimEntry) {
  if (Queue *StateQueue = queueOf(ClaimEntry.State))
    StateQueue->erase(ClaimEntry.QueuePosition);
  if (ClaimEntry.State == ClaimState::Held)
    --OpenClaims;
  if (ClaimEntry.State == ClaimState::Completed)
    AnswerBytes -=
        ClaimEntry.Answer.Body.size() + ClaimEntry.Answer.ContentType.size();
  if (!ClaimEntry.Stamp && ClaimEntry.State != ClaimState::Released)
    --UnstampedEntries;
}

void ClaimLedger::evict() {
  while (CompletedQueue.size() > Limits.Answers ||
         AnswerBytes > Limits.AnswerBytes)
    evictOldest(CompletedQueue, TombstoneKind::Answered);
  while (UnknownQueue.size() > Limits.Unknown)
    evictOldest(UnknownQueue, TombstoneKind::Unknown);
  while (ReleasedQueue.size() > Limits.Released)
    evictOldest(ReleasedQueue, std::nullopt);
  while (StampedTombstoneCount > Limits.StampedTombstones)
    raiseLowWater({StampedTombstones.begin()->first + BucketMillis});
}

void ClaimLedger::evictOldest(Queue &From, std::optional<TombstoneKind> Kind) {
  Digest Id = From.begin()->second;
  auto EntryIt = Entries.find(Id);
  assert(EntryIt != Entries.end() && "queues contain only keys of entries");
  untrackEntry(EntryIt->second);
  if (Kind)
    addTombstone(Id, EntryIt->second, *Kind);
  Entries.erase(EntryIt);
}

void ClaimLedger::addTombstone(const Digest &Id, const Entry &ClaimEntry,
                               TombstoneKind Kind) {
  if (!ClaimEntry.Stamp) {
    UnstampedTombstones.insert(Id, Kind);
    return;
  }
  // Claims of keys below the mark are refused without a tombstone.
  if (*ClaimEntry.Stamp < LowWater)
    return;
  TombstoneSet &Bucket = StampedTombstones[bucketOf(*ClaimEntry.Stamp)];
  size_t Before = Bucket.size();
  Bucket.insert(Id, Kind);
  StampedTombstoneCount += Bucket.size() - Before;
}

void ClaimLedger::raiseLowWater(UnixMillis Mark) {
  LowWater = std::max(LowWater, Mark);
  while (!StampedTombstones.empty()) {
    auto OldestBucket = StampedTombstones.begin();
    if (OldestBucket->first + BucketMillis > LowWater.Value)
      return;
    StampedTombstoneCount -= OldestBucket->second.size();
    StampedTombstones.erase(OldestBucket);
  }
}

size_t ClaimLedger::tombstoneCount() const {
  return UnstampedTombstones.size() + StampedTombstoneCount;
}

size_t ClaimLedger::memoryBytes() const {
  // Size of a map node, a queue node and the host's name.
  static constexpr size_t EntryOverheadBytes = 160;
  size_t Bytes = Entries.size() * (sizeof(Entry) + EntryOverheadBytes);
  Bytes += AnswerBytes + UnstampedTombstones.capacityBytes();
  for (const auto &[First, Bucket] : StampedTombstones)
    Bytes += Bucket.capacityBytes();
  return Bytes;
}

} // namespace ferry::registry

#include "LibRegistry/ClaimLedger.h"
#include <algorithm>
#include <cassert>

namespace ferry::registry {

/// Stamped tombstones are forgotten by spans of this length.
static constexpr int64_t BucketMillis = 10 * 60 * 1000;
/// Ended attempts kept for one key.
static constexpr size_t MaxEndedAttempts = 16;
/// Hosts of which the greatest incarnation is kept.
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

bool ClaimLedger::isDead(const ClaimAttempt &Attempt) const {
  auto Known = ClaimingHosts.find(Attempt.Host);
  return Known != ClaimingHosts.end() && Attempt.Incarnation < Known->second;
}

void ClaimLedger::noteIncarnation(const ClaimAttempt &Attempt) {
  auto Known = ClaimingHosts.find(Attempt.Host);
  if (Known != ClaimingHosts.end())
    Known->second = std::max(Known->second, Attempt.Incarnation);
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

ClaimOutcome ClaimLedger::outcomeOf(const Entry &Found) const {
  switch (Found.Phase) {
  case State::Held:
    return ClaimHeld{Found.Holder};
  case State::Completed:
    return Found.Answer;
  case State::Unknown:
    return ClaimUnknown{};
  case State::Released:
    break;
  }
  return ClaimReleased{};
}

std::optional<ClaimOutcome> ClaimLedger::withoutEntry(const ClaimKey &Key,
                                                      const Digest &Id) const {
  std::optional<UnixMillis> Stamp = stampOf(Key.Key);
  std::optional<TombstoneKind> Kind;
  if (!Stamp) {
    Kind = UnstampedTombstones.find(Id);
  } else {
    if (*Stamp < LowWater)
      return ClaimExpired{};
    auto Bucket = StampedTombstones.find(bucketOf(*Stamp));
    if (Bucket != StampedTombstones.end())
      Kind = Bucket->second.find(Id);
  }
  if (!Kind)
    return std::nullopt;
  if (*Kind == TombstoneKind::Unknown)
    return ClaimUnknown{};
  return ClaimExpired{};
}

std::optional<ClaimOutcome> ClaimLedger::refusalOf(const Claim &Command) const {
  if (isDead(Command.Attempt))
    return ClaimReleased{};
  std::optional<UnixMillis> Stamp = stampOf(Command.Key.Key);
  if (Stamp &&
      Stamp->Value - Command.AskedAt.Value > Limits.MaxStampAheadMillis)
    return ClaimStampAhead{};
  if (!hasRoom(Stamp))
    return ClaimLedgerFull{};
  return std::nullopt;
}

ClaimOutcome ClaimLedger::apply(const Claim &Command) {
  noteIncarnation(Command.Attempt);
  Digest Id = digestOf(Command.Key);
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return claimNew(Command, Id);
  Entry &Known = Found->second;
  if (Known.Phase == State::Released)
    return claimReleased(Command, Id, Known);
  if (Known.Phase != State::Unknown && Known.BodyDigest != Command.BodyDigest)
    return ClaimMismatch{};
  // A resend of the holder's own claim.
  if (Known.Phase == State::Held && Known.Holder == Command.Attempt)
    return ClaimGranted{};
  return outcomeOf(Known);
}

ClaimOutcome ClaimLedger::claimNew(const Claim &Command, const Digest &Id) {
  // What has been remembered decides before any refusal that says "not run".
  if (auto Remembered = withoutEntry(Command.Key, Id))
    return *Remembered;
  if (auto Refusal = refusalOf(Command))
    return *Refusal;
  Entry &Added = Entries[Id];
  Added.Stamp = stampOf(Command.Key.Key);
  count(Added, Id);
  return grant(Command, Id, Added);
}

ClaimOutcome ClaimLedger::claimReleased(const Claim &Command, const Digest &Id,
                                        Entry &Known) {
  if (contains(Known.Ended, Command.Attempt))
    return ClaimReleased{};
  if (auto Refusal = refusalOf(Command))
    return *Refusal;
  return grant(Command, Id, Known);
}

ClaimGranted ClaimLedger::grant(const Claim &Command, const Digest &Id,
                                Entry &Known) {
  Known.Holder = Command.Attempt;
  Known.BodyDigest = Command.BodyDigest;
  setPhase(Id, Known, State::Held);
  return {};
}

ClaimOutcome ClaimLedger::apply(const Complete &Command) {
  Digest Id = digestOf(Command.Key);
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return withoutEntry(Command.Key, Id).value_or(ClaimReleased{});
  Entry &Known = Found->second;
  bool Open = Known.Phase == State::Held || Known.Phase == State::Unknown;
  if (!Open || Known.Holder != Command.Attempt)
    return outcomeOf(Known);
  ClaimOutcome Outcome = Command.Answer;
  uncount(Known);
  Known.Answer = Command.Answer;
  Known.Phase = State::Completed;
  count(Known, Id);
  evict();
  return Outcome;
}

ClaimOutcome ClaimLedger::apply(const Release &Command) {
  Digest Id = digestOf(Command.Key);
  auto Found = Entries.find(Id);
  if (Found == Entries.end()) {
    if (auto Remembered = withoutEntry(Command.Key, Id))
      return *Remembered;
    // The release has overtaken its claim, which must find it here.
    Entry &Added = Entries[Id];
    Added.Stamp = stampOf(Command.Key.Key);
    addEnded(Added.Ended, Command.Attempt);
    count(Added, Id);
    evict();
    return ClaimGranted{};
  }
  Entry &Known = Found->second;
  bool Ours = Known.Holder == Command.Attempt;
  bool Settled =
      Known.Phase == State::Completed || Known.Phase == State::Unknown;
  if (Settled)
    return outcomeOf(Known);
  addEnded(Known.Ended, Command.Attempt);
  if (Known.Phase == State::Held && !Ours)
    return outcomeOf(Known);
  setPhase(Id, Known, State::Released);
  evict();
  return ClaimGranted{};
}

ClaimOutcome ClaimLedger::apply(const MarkUnknown &Command) {
  Digest Id = digestOf(Command.Key);
  auto Found = Entries.find(Id);
  if (Found == Entries.end()) {
    if (auto Remembered = withoutEntry(Command.Key, Id))
      return *Remembered;
    std::optional<UnixMillis> Stamp = stampOf(Command.Key.Key);
    if (!hasRoom(Stamp))
      return ClaimLedgerFull{};
    Entry &Added = Entries[Id];
    Added.Stamp = Stamp;
    Added.Holder = Command.Holder;
    Added.Phase = State::Unknown;
    count(Added, Id);
    evict();
    return ClaimUnknown{};
  }
  Entry &Known = Found->second;
  if (Known.Phase != State::Held || Known.Holder != Command.Holder)
    return outcomeOf(Known);
  setPhase(Id, Known, State::Unknown);
  evict();
  return ClaimUnknown{};
}

LowWaterMoved ClaimLedger::apply(const AdvanceLowWater &Command) {
  raiseLowWater(Command.Mark);
  return {LowWater};
}

void ClaimLedger::setPhase(const Digest &Id, Entry &Found, State Phase) {
  uncount(Found);
  Found.Phase = Phase;
  count(Found, Id);
}

ClaimLedger::Queue *ClaimLedger::queueOf(State Phase) {
  switch (Phase) {
  case State::Completed:
    return &Answers;
  case State::Unknown:
    return &Unknown;
  case State::Released:
    return &Released;
  case State::Held:
    break;
  }
  return nullptr;
}

void ClaimLedger::count(Entry &Found, const Digest &Id) {
  Found.Order = NextOrder++;
  if (Queue *Phase = queueOf(Found.Phase))
    Phase->emplace(Found.Order, Id);
  if (Found.Phase == State::Held)
    ++OpenClaims;
  if (Found.Phase == State::Completed)
    AnswerBytes += Found.Answer.Body.size() + Found.Answer.ContentType.size();
  if (!Found.Stamp && Found.Phase != State::Released)
    ++UnstampedEntries;
}

void ClaimLedger::uncount(const Entry &Found) {
  if (Queue *Phase = queueOf(Found.Phase))
    Phase->erase(Found.Order);
  if (Found.Phase == State::Held)
    --OpenClaims;
  if (Found.Phase == State::Completed)
    AnswerBytes -= Found.Answer.Body.size() + Found.Answer.ContentType.size();
  if (!Found.Stamp && Found.Phase != State::Released)
    --UnstampedEntries;
}

void ClaimLedger::evict() {
  while (Answers.size() > Limits.Answers || AnswerBytes > Limits.AnswerBytes)
    evictOldest(Answers, TombstoneKind::Answered);
  while (Unknown.size() > Limits.Unknown)
    evictOldest(Unknown, TombstoneKind::Unknown);
  while (Released.size() > Limits.Released)
    evictOldest(Released, std::nullopt);
  while (StampedTombstoneCount > Limits.StampedTombstones)
    raiseLowWater({StampedTombstones.begin()->first + BucketMillis});
}

void ClaimLedger::evictOldest(Queue &From, std::optional<TombstoneKind> Kind) {
  Digest Id = From.begin()->second;
  auto Found = Entries.find(Id);
  assert(Found != Entries.end() && "queues name entries only");
  uncount(Found->second);
  if (Kind)
    bury(Id, Found->second, *Kind);
  Entries.erase(Found);
}

void ClaimLedger::bury(const Digest &Id, const Entry &Found,
                       TombstoneKind Kind) {
  if (!Found.Stamp) {
    UnstampedTombstones.insert(Id, Kind);
    return;
  }
  // Below the mark every claim without an entry is refused anyway.
  if (*Found.Stamp < LowWater)
    return;
  TombstoneSet &Bucket = StampedTombstones[bucketOf(*Found.Stamp)];
  size_t Before = Bucket.size();
  Bucket.insert(Id, Kind);
  StampedTombstoneCount += Bucket.size() - Before;
}

void ClaimLedger::raiseLowWater(UnixMillis Mark) {
  LowWater = std::max(LowWater, Mark);
  while (!StampedTombstones.empty()) {
    auto Oldest = StampedTombstones.begin();
    if (Oldest->first + BucketMillis > LowWater.Value)
      return;
    StampedTombstoneCount -= Oldest->second.size();
    StampedTombstones.erase(Oldest);
  }
}

size_t ClaimLedger::tombstoneCount() const {
  return UnstampedTombstones.size() + StampedTombstoneCount;
}

size_t ClaimLedger::memoryBytes() const {
  // A map node, a queue node and the host's name besides the entry.
  static constexpr size_t EntryOverheadBytes = 160;
  size_t Bytes = Entries.size() * (sizeof(Entry) + EntryOverheadBytes);
  Bytes += AnswerBytes + UnstampedTombstones.capacityBytes();
  for (const auto &[First, Bucket] : StampedTombstones)
    Bytes += Bucket.capacityBytes();
  return Bytes;
}

} // namespace ferry::registry

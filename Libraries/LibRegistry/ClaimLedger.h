/// \file
/// The ledger of non-idempotent calls: each key runs at most once.
#ifndef FERRY_LIBREGISTRY_CLAIMLEDGER_H
#define FERRY_LIBREGISTRY_CLAIMLEDGER_H

#include "LibRegistry/Commands.h"
#include "LibRegistry/KeyDigest.h"
#include "LibRegistry/TombstoneSet.h"
#include <map>
#include <unordered_map>

namespace ferry::wire {
class ClaimEntryFields;
class RegistrySnapshot;
} // namespace ferry::wire

namespace ferry::registry {

/// Bounds of the ledger's memory; equal on all replicas of one log.
struct LedgerLimits {
  /// Claims that are held at the same time.
  size_t OpenClaims = 100'000;
  /// Answers kept for resends; the oldest go first.
  size_t Answers = 50'000;
  uint64_t AnswerBytes = 24 * 1024 * 1024;
  /// Attempts that ended without running, kept against late duplicates.
  size_t Released = 20'000;
  /// Unknown calls whose holder may still bring the answer.
  size_t Unknown = 20'000;
  /// Keys without a stamp, which are never forgotten.
  size_t UnstampedKeys = 500'000;
  /// Stamped keys remembered without their answers; above it the low-water
  /// mark rises.
  size_t StampedTombstones = 500'000;
  /// How far a key's stamp may lie ahead of the asker's clock.
  int64_t MaxStampAheadMillis = 5 * 60 * 1000;
};

/// Decides claims. Part of the replicated state machine: it reads no clock,
/// and its low-water mark moves by a command or by counts only.
///
/// A key that was granted is remembered until its stamp lies below the mark,
/// and for ever if it has none: as a whole entry, then as a tombstone. A key
/// below the mark is refused, so what was forgotten never runs again. Released
/// keys have not run; forgetting one only lets a late duplicate of its claim
/// hold the key for an attempt that no longer waits for it.
class ClaimLedger {
public:
  explicit ClaimLedger(LedgerLimits Limits = {});

  ClaimOutcome apply(const Claim &Command);
  ClaimOutcome apply(const Complete &Command);
  /// ClaimGranted means: the attempt has ended and will not run.
  ClaimOutcome apply(const Release &Command);
  ClaimOutcome apply(const MarkUnknown &Command);
  LowWaterMoved apply(const AdvanceLowWater &Command);

  /// \returns the number of entries that are no tombstones.
  size_t entryCount() const { return Entries.size(); }
  size_t openCount() const { return OpenClaims; }
  size_t tombstoneCount() const;
  UnixMillis lowWater() const { return LowWater; }
  /// \returns an estimate of the bytes held.
  size_t memoryBytes() const;

  void save(wire::RegistrySnapshot &Snapshot) const;
  /// \returns false if \p Snapshot is inconsistent; the ledger is then of no
  /// use.
  bool tryLoad(const wire::RegistrySnapshot &Snapshot);

private:
  enum class State : uint8_t { Held, Completed, Unknown, Released };

  struct Entry {
    State Phase = State::Released;
    uint64_t BodyDigest = 0;
    ClaimAttempt Holder;
    ClaimCompleted Answer;
    std::optional<UnixMillis> Stamp;
    /// Attempts on this key that ended without running.
    std::vector<ClaimAttempt> Ended;
    /// Place in the queue of its phase.
    uint64_t Order = 0;
  };

  using EntryMap = std::unordered_map<Digest, Entry, DigestHash>;
  using Queue = std::map<uint64_t, Digest>;

  ClaimOutcome claimNew(const Claim &Command, const Digest &Id);
  ClaimOutcome claimReleased(const Claim &Command, const Digest &Id,
                             Entry &Known);
  ClaimGranted grant(const Claim &Command, const Digest &Id, Entry &Known);
  std::optional<ClaimOutcome> refusalOf(const Claim &Command) const;
  std::optional<ClaimOutcome> withoutEntry(const ClaimKey &Key,
                                           const Digest &Id) const;
  ClaimOutcome outcomeOf(const Entry &Found) const;
  bool isDead(const ClaimAttempt &Attempt) const;
  bool hasRoom(const std::optional<UnixMillis> &Stamp) const;
  void noteIncarnation(const ClaimAttempt &Attempt);

  void setPhase(const Digest &Id, Entry &Found, State Phase);
  void count(Entry &Found, const Digest &Id);
  void uncount(const Entry &Found);
  Queue *queueOf(State Phase);
  void evict();
  void evictOldest(Queue &From, std::optional<TombstoneKind> Kind);
  void bury(const Digest &Id, const Entry &Found, TombstoneKind Kind);
  void raiseLowWater(UnixMillis Mark);

  wire::ClaimEntryFields fieldsOf(const Digest &Id, const Entry &Found) const;
  bool tryLoadEntry(const wire::ClaimEntryFields &Fields);

  LedgerLimits Limits;
  EntryMap Entries;
  Queue Answers;
  Queue Released;
  Queue Unknown;
  uint64_t AnswerBytes = 0;
  size_t OpenClaims = 0;
  /// Unstamped entries that are not released; their tombstones count besides.
  size_t UnstampedEntries = 0;
  uint64_t NextOrder = 1;
  TombstoneSet UnstampedTombstones;
  /// By the first stamp of each span of time.
  std::map<int64_t, TombstoneSet> StampedTombstones;
  size_t StampedTombstoneCount = 0;
  UnixMillis LowWater;
  /// Greatest incarnation that claimed, by host.
  std::map<HostId, Incarnation> ClaimingHosts;
};

} // namespace ferry::registry

#endif

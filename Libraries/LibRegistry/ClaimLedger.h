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

/// Limits of the ledger's memory; equal on all replicas of one log.
struct LedgerLimits {
  /// Number of claims held at the same time.
  size_t OpenClaims = 100'000;
  /// Number of answers kept for resends; the oldest are evicted first.
  size_t Answers = 50'000;
  /// Total size of the kept answers.
  uint64_t AnswerBytes = 24 * 1024 * 1024;
  /// Number of released keys kept, so that late duplicates of their claims are
  /// refused.
  size_t Released = 20'000;
  /// Number of calls in the unknown state whose holder may still complete them.
  size_t Unknown = 20'000;
  /// Number of keys without a stamp, which are never forgotten.
  size_t UnstampedKeys = 500'000;
  /// Number of stamped keys remembered without their answers; above it the
  /// low-water mark rises.
  size_t StampedTombstones = 500'000;
  /// How far a key's stamp may lie ahead of the claiming router's clock.
  int64_t MaxStampAheadMillis = 5 * 60 * 1000;
};

/// Decides claims. It is a part of the replicated state machine: it reads no
/// clock, and its low-water mark rises only by a command or when there are too
/// many tombstones.
///
/// A granted key is remembered first as a whole entry, then as a tombstone. A
/// tombstone is dropped once the key's stamp lies below the low-water mark, and
/// never if the key has no stamp. Claims of keys below the mark are refused, so
/// a forgotten call never runs again. Released keys have not run. If one is
/// forgotten, a late duplicate of its claim can at worst hold the key for an
/// attempt that has already ended.
class ClaimLedger {
public:
  explicit ClaimLedger(LedgerLimits Limits = {});

  ClaimOutcome apply(const Claim &Command);
  ClaimOutcome apply(const Complete &Command);
  /// \returns ClaimGranted if the attempt has ended and will not run.
  ClaimOutcome apply(const Release &Command);
  ClaimOutcome apply(const MarkUnknown &Command);
  LowWaterMoved apply(const AdvanceLowWater &Command);

  /// \returns the number of entries, without tombstones.
  size_t entryCount() const { return Entries.size(); }
  size_t openCount() const { return OpenClaims; }
  size_t tombstoneCount() const;
  UnixMillis lowWater() const { return LowWater; }
  /// \returns an estimate of the memory in use, in bytes.
  size_t memoryBytes() const;

  void save(wire::RegistrySnapshot &Snapshot) const;
  /// Replaces the ledger's state by that of \p Snapshot.
  /// \returns false if \p Snapshot is inconsistent; the ledger must then not be
  /// used any more.
  bool tryLoad(const wire::RegistrySnapshot &Snapshot);

private:
  enum class ClaimState : uint8_t { Held, Completed, Unknown, Released };

  struct Entry {
    ClaimState State = ClaimState::Released;
    uint64_t BodyDigest = 0;
    ClaimAttempt Holder;
    ClaimCompleted Answer;
    std::optional<UnixMillis> Stamp;
    /// Attempts on this key that ended without running the call.
    std::vector<ClaimAttempt> Ended;
    /// Key in the eviction queue of the entry's state.
    uint64_t QueuePosition = 0;
  };

  using EntryMap = std::unordered_map<Digest, Entry, DigestHash>;
  /// Entries in one state, the oldest first.
  using Queue = std::map<uint64_t, Digest>;

  ClaimOutcome claimNewKey(const Claim &Command, const Digest &Id);
  ClaimOutcome claimReleasedKey(const Claim &Command, const Digest &Id,
                                Entry &ClaimEntry);
  ClaimGranted grant(const Claim &Command, const Digest &Id, Entry &ClaimEntry);
  std::optional<ClaimOutcome> refusalOf(const Claim &Command) const;
  std::optional<ClaimOutcome> outcomeWithoutEntry(const ClaimKey &Key,
                                                  const Digest &Id) const;
  ClaimOutcome outcomeOf(const Entry &ClaimEntry) const;
  bool isFromEarlierIncarnation(const ClaimAttempt &Attempt) const;
  bool hasRoom(const std::optional<UnixMillis> &Stamp) const;
  void recordIncarnation(const ClaimAttempt &Attempt);

  void setState(const Digest &Id, Entry &ClaimEntry, ClaimState State);
  void trackEntry(Entry &ClaimEntry, const Digest &Id);
  void untrackEntry(const Entry &ClaimEntry);
  Queue *queueOf(ClaimState State);
  void evict();
  void evictOldest(Queue &From, std::optional<TombstoneKind> Kind);
  void addTombstone(const Digest &Id, const Entry &ClaimEntry,
                    TombstoneKind Kind);
  void raiseLowWater(UnixMillis Mark);

  wire::ClaimEntryFields fieldsOf(const Digest &Id,
                                  const Entry &ClaimEntry) const;
  bool tryLoadEntry(const wire::ClaimEntryFields &Fields);

  LedgerLimits Limits;
  EntryMap Entries;
  Queue CompletedQueue;
  Queue ReleasedQueue;
  Queue UnknownQueue;
  uint64_t AnswerBytes = 0;
  size_t OpenClaims = 0;
  /// Unstamped entries that are not released; tombstones are not included.
  size_t UnstampedEntries = 0;
  uint64_t NextQueuePosition = 1;
  TombstoneSet UnstampedTombstones;
  /// One set for each bucket of stamps, by the bucket's first stamp.
  std::map<int64_t, TombstoneSet> StampedTombstones;
  size_t StampedTombstoneCount = 0;
  UnixMillis LowWater;
  /// Greatest incarnation that sent a claim, by host.
  std::map<HostId, Incarnation> ClaimingHosts;
};

} // namespace ferry::registry

#endif

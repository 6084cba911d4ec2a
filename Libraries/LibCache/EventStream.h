/// \file
/// Puts one target's numbered event batches in order and detects gaps.
#ifndef FERRY_LIBCACHE_EVENTSTREAM_H
#define FERRY_LIBCACHE_EVENTSTREAM_H

#include "LibCache/CacheEvent.h"
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace ferry::cache {

/// What happened to a batch.
enum class BatchOutcome : uint8_t {
  Applied,
  /// All its events precede the next expected one: they were applied before, or
  /// are counted as lost.
  Duplicate,
  /// Earlier events are missing; the batch waits for them.
  Held,
  /// Too many batches are waiting: the earliest missing events are counted as
  /// lost, and the batches after them are applied.
  GapDeclared,
  /// A listing of the whole cache, which was applied.
  Resynced,
  /// A listing of the whole cache that is older than events applied since.
  StaleListing,
  /// From an incarnation that has ended.
  DeadIncarnation,
  /// From an unknown target, or from a later incarnation of a known one.
  UnknownTarget
};

/// Puts the events of one incarnation of a target in order.
class EventStream {
public:
  /// What the caller has to do, in order: make older entries unsure if a gap
  /// was declared, then apply the events.
  struct Step {
    BatchOutcome Outcome = BatchOutcome::Applied;
    std::vector<CacheEvent> Events;
  };

  /// Adds a batch of changes.
  Step addChanges(const CacheEventBatch &Batch);
  /// Adds a listing of the whole cache. \returns Resynced or StaleListing; the
  /// events are those of waiting batches that follow the listing.
  Step addListing(const CacheEventBatch &Batch);

  /// \returns whether no event is known to be missing.
  bool isContiguous() const { return PendingBatches.empty(); }
  /// \returns whether entries may be missing or unsure until a listing comes.
  bool wantsListing() const { return ListingWanted || !PendingBatches.empty(); }

  /// Batches that wait for earlier ones before a gap is declared.
  static constexpr size_t MaxPendingBatches = 4;

private:
  void appendFrom(const CacheEventBatch &Batch, std::vector<CacheEvent> &Out);
  void appendPending(std::vector<CacheEvent> &Out);

  /// Number of the next expected event; nothing before the first batch.
  std::optional<uint64_t> NextNumber;
  std::map<uint64_t, CacheEventBatch> PendingBatches;
  /// Set at first: what the target stored before it was added here is unknown.
  bool ListingWanted = true;
};

} // namespace ferry::cache

namespace ferry {

template <> struct EnumNames<cache::BatchOutcome> {
  using Outcome = cache::BatchOutcome;
  static constexpr EnumName<Outcome> Table[] = {
      {Outcome::Applied, "applied"},
      {Outcome::Duplicate, "duplicate"},
      {Outcome::Held, "held"},
      {Outcome::GapDeclared, "gap_declared"},
      {Outcome::Resynced, "resynced"},
      {Outcome::StaleListing, "stale_listing"},
      {Outcome::DeadIncarnation, "dead_incarnation"},
      {Outcome::UnknownTarget, "unknown_target"}};
};

} // namespace ferry

#endif

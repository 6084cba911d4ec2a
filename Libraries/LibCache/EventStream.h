/// \file
/// Puts one target's numbered event batches in order and finds gaps.
#ifndef FERRY_LIBCACHE_EVENTSTREAM_H
#define FERRY_LIBCACHE_EVENTSTREAM_H

#include "LibCache/CacheEvent.h"
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace ferry::cache {

/// What became of a batch.
enum class BatchOutcome : uint8_t {
  Applied,
  /// All its events were known.
  Duplicate,
  /// Events before it are missing; it waits for them.
  Held,
  /// Events before it are taken for lost; it was applied.
  GapDeclared,
  /// It lists the whole cache and was applied.
  Resynced,
  /// It lists the whole cache at a moment that is past.
  StaleListing,
  /// It comes from a life that has ended.
  DeadIncarnation,
  /// No such target, or not yet in this life.
  UnknownTarget
};

/// The order of one life's events.
class EventStream {
public:
  /// What is to be done, in order: forget trust if a gap was declared, then
  /// apply the events.
  struct Step {
    BatchOutcome Outcome = BatchOutcome::Applied;
    std::vector<CacheEvent> Events;
  };

  /// Takes a batch of changes.
  Step takeChanges(const CacheEventBatch &Batch);
  /// Takes a listing of the whole cache. \returns Resynced or StaleListing; the
  /// events are those held batches that follow the listing.
  Step takeListing(const CacheEventBatch &Batch);

  /// \returns whether no event is known to be missing.
  bool isContiguous() const { return Held.empty(); }
  /// \returns whether entries may be missing or unsure until a listing comes.
  bool wantsListing() const { return ListingWanted || !Held.empty(); }

  /// Batches that wait for earlier ones before a gap is declared.
  static constexpr size_t MaxHeldBatches = 4;

private:
  void appendFrom(const CacheEventBatch &Batch, std::vector<CacheEvent> &Out);
  void appendHeld(std::vector<CacheEvent> &Out);

  /// Number of the next event; nothing before the first batch.
  std::optional<uint64_t> Next;
  std::map<uint64_t, CacheEventBatch> Held;
  /// What a life had stored before this index knew it is unknown at first.
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

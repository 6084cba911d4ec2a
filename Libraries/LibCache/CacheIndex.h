/// \file
/// Which target's cache is thought to hold which blocks.
#ifndef FERRY_LIBCACHE_CACHEINDEX_H
#define FERRY_LIBCACHE_CACHEINDEX_H

#include "LibCache/BlockNames.h"
#include "LibCache/BlockTable.h"
#include "LibCache/CacheEvent.h"
#include "LibCache/EventStream.h"
#include "LibCore/Ids.h"
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace ferry::cache {

/// How much of a prompt one holder has, counted in leading blocks.
struct HolderMatch {
  uint32_t CachedBlocks = 0;
  /// Of these, the leading ones that may be relied on.
  uint32_t SureBlocks = 0;
};

/// The answer of one lookup, indexed by holder; reused between lookups.
class CacheMatches {
public:
  /// \returns the match of \p Holder; nothing cached if it has none.
  HolderMatch of(HolderNumber Holder) const {
    return Holder < Matches.size() ? Matches[Holder] : HolderMatch{};
  }
  /// \returns the holders that have the first block at least.
  std::span<const HolderNumber> holders() const { return Touched; }

private:
  friend class CacheIndex;
  void reset(size_t HolderCount);
  HolderMatch &at(HolderNumber Holder) { return Matches[Holder]; }

  std::vector<HolderMatch> Matches;
  std::vector<HolderNumber> Touched;
};

/// Figures for the state dump and the metrics.
struct CacheIndexStatus {
  uint64_t Entries = 0;
  uint64_t MemoryBytes = 0;
  uint64_t Holders = 0;
  uint64_t UnsureHolders = 0;
  uint64_t EventsApplied = 0;
  uint64_t EventsUnnamed = 0;
  uint64_t EntriesEvicted = 0;
  uint64_t Corrections = 0;
  std::map<BatchOutcome, uint64_t> Batches;
};

/// The index of all targets that this router gets events of. Each entry belongs
/// to one life of one target, its holder, and goes with it.
///
/// An entry is sure if the holder's own events brought it and none of its
/// events is missing since; a gap makes all older entries of the holder unsure
/// until a listing of its whole cache comes. Entries that this router only
/// presumes, from what it sent, are never sure. Unsure entries attract
/// requests; nothing may rely on them.
class CacheIndex {
public:
  struct Options {
    /// Entries kept; beyond that, cold ones are dropped.
    size_t MaxEntries = 4'000'000;
    /// Only blocks whose hash is a multiple of this are kept, so that events
    /// of the others need not be sent. A prompt's match is then known to the
    /// last sampled block, and is sure only as far as all blocks are sampled.
    uint32_t SampleEvery = 1;
  };

  static CacheIndex create(Options Chosen);

  /// Makes a holder for this life of \p Target; an older life's entries go.
  /// \returns its number, or NoHolder if this life is older than the known one.
  HolderNumber addHolder(const TargetId &Target, ferry::Incarnation Life);
  /// Drops the entries of \p Target.
  void removeHolder(const TargetId &Target);

  /// Takes a batch of events.
  BatchOutcome apply(const CacheEventBatch &Batch);

  /// Notes that \p Holder is being made to compute \p Blocks.
  void presume(HolderNumber Holder, std::span<const BlockHash> Blocks);
  /// Takes the holder's own count from an answer: \p CachedBlocks of \p Blocks
  /// were in its cache; it has computed the others since.
  void correct(HolderNumber Holder, std::span<const BlockHash> Blocks,
               size_t CachedBlocks);
  /// Learns the holder's own names for the blocks of a prompt.
  void learnNames(HolderNumber Holder, std::span<const BlockHash> Blocks,
                  std::span<const EngineBlockName> Names);

  /// Finds for each holder how many leading blocks of \p Blocks it has.
  void lookup(std::span<const BlockHash> Blocks, CacheMatches &Out);

  /// \returns whether \p Target should send a listing of its whole cache.
  bool wantsListing(const TargetId &Target) const;

  CacheIndexStatus status() const;
  size_t memoryBytes() const { return Table.memoryBytes(); }

private:
  explicit CacheIndex(Options Chosen) : Chosen(Chosen), Holders(1) {}

  /// One life of one target. Entries bear the epoch in which they were stored:
  /// sure are those of the present one, gone are those before the oldest.
  struct Holder {
    TargetId Target;
    ferry::Incarnation Life;
    bool Live = false;
    /// A later life has shown itself: nothing more is stored for this one.
    bool Ended = false;
    uint8_t Epoch = 1;
    uint8_t OldestEpoch = 1;
    uint64_t Entries = 0;
    EventStream Stream;
    BlockNames Names;
  };

  bool isSampled(BlockHash Block) const {
    return Block.Value % Chosen.SampleEvery == 0;
  }
  bool takesEntries(HolderNumber Number) const;
  bool isGone(const BlockEntry &Entry) const;
  bool isSure(const BlockEntry &Entry) const;
  HolderNumber takeFreeNumber();
  HolderNumber holderOf(const TargetId &Target) const;
  void retire(HolderNumber Number);
  void sweep();
  void advanceEpoch(HolderNumber Number);
  void endLife(HolderNumber Number);
  void forgetAll(HolderNumber Number);
  void applyEvents(HolderNumber Number, std::span<const CacheEvent> Events);
  void store(HolderNumber Number, BlockHash Block, uint8_t Mark);
  void drop(HolderNumber Number, BlockHash Block);
  void evictIfFull();

  Options Chosen;
  BlockTable Table;
  /// Indexed by HolderNumber; the first stands for NoHolder.
  std::vector<Holder> Holders;
  std::vector<HolderNumber> FreeNumbers;
  std::vector<HolderNumber> Retired;
  std::unordered_map<TargetId, HolderNumber> Numbers;
  /// At least the entries in the table that are gone; counted from the last
  /// sweep.
  uint64_t DeadEntries = 0;
  CacheIndexStatus Counts;
};

} // namespace ferry::cache

#endif

/// \file
/// An index of the blocks that the caches of targets are believed to hold.
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
  /// Number of leading blocks among them that are sure, see CacheIndex.
  uint32_t SureBlocks = 0;
};

/// The result of a lookup, indexed by holder; reused between lookups.
class CacheMatches {
public:
  /// \returns the match of \p Holder; nothing cached if it has none.
  HolderMatch of(HolderNumber Holder) const {
    return Holder < Matches.size() ? Matches[Holder] : HolderMatch{};
  }
  /// \returns the holders that have at least the first block.
  std::span<const HolderNumber> holders() const { return MatchedHolders; }

private:
  friend class CacheIndex;
  void reset(size_t HolderCount);
  HolderMatch &at(HolderNumber Holder) { return Matches[Holder]; }

  std::vector<HolderMatch> Matches;
  std::vector<HolderNumber> MatchedHolders;
};

/// Figures for the state dump and the metrics.
struct CacheIndexStatus {
  uint64_t Entries = 0;
  uint64_t MemoryBytes = 0;
  uint64_t Holders = 0;
  uint64_t UnsureHolders = 0;
  uint64_t EventsApplied = 0;
  uint64_t EventsUntranslated = 0;
  uint64_t EntriesEvicted = 0;
  uint64_t Corrections = 0;
  std::map<BatchOutcome, uint64_t> Batches;
};

/// The index of the caches of all targets whose events this router receives.
/// Each entry belongs to one incarnation of one target, its holder, and is
/// removed with it.
///
/// An entry is sure if the holder's own events reported it and none of its
/// events is missing since. A gap makes all older entries of the holder unsure
/// until a listing of its whole cache arrives. Entries that this router only
/// presumes, from the requests that it sent, are never sure. Unsure entries
/// attract requests, but nothing may rely on them.
class CacheIndex {
public:
  struct Options {
    /// Entries kept; beyond that, cold ones are evicted.
    size_t MaxEntries = 4'000'000;
    /// Only blocks whose hash is a multiple of this are kept, so that events of
    /// the others need not be sent. A match is then known up to the last
    /// sampled block, and is sure only up to the first block that is not
    /// sampled.
    uint32_t SampleEvery = 1;
  };

  static CacheIndex create(Options Opts);

  /// Adds a holder for \p Incarnation of \p Target, and removes the entries of
  /// an older one. \returns its number, or NoHolder if a later incarnation is
  /// known or no number is free.
  HolderNumber addHolder(const TargetId &Target,
                         ferry::Incarnation Incarnation);
  /// Removes the holder of \p Target and its entries.
  void removeHolder(const TargetId &Target);

  /// Applies a batch of events. \returns what happened to it.
  BatchOutcome apply(const CacheEventBatch &Batch);

  /// Adds presumed entries for \p Blocks, which a request makes \p Holder
  /// compute.
  void presume(HolderNumber Holder, std::span<const BlockHash> Blocks);
  /// Corrects the entries by the count in an answer of \p Holder: the first
  /// \p CachedBlocks of \p Blocks were in its cache, and it has computed the
  /// others since.
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
  explicit CacheIndex(Options Opts) : Opts(Opts), Holders(1) {}

  /// One incarnation of one target. Each entry has the epoch in which it was
  /// stored: those of the current epoch are sure, and those from before
  /// OldestEpoch no longer exist.
  struct Holder {
    TargetId Target;
    ferry::Incarnation Incarnation;
    bool InUse = false;
    /// Events of a later incarnation have arrived: nothing more is stored for
    /// this one.
    bool Ended = false;
    uint8_t Epoch = 1;
    uint8_t OldestEpoch = 1;
    uint64_t Entries = 0;
    EventStream Stream;
    BlockNames Names;
  };

  bool isSampled(BlockHash Block) const {
    return Block.Value % Opts.SampleEvery == 0;
  }
  bool acceptsEntries(HolderNumber Number) const;
  bool isGone(const BlockEntry &Entry) const;
  bool isSure(const BlockEntry &Entry) const;
  HolderNumber allocateNumber();
  HolderNumber holderOf(const TargetId &Target) const;
  void retire(HolderNumber Number);
  void sweep();
  void advanceEpoch(HolderNumber Number);
  void endIncarnation(HolderNumber Number);
  void invalidateAll(HolderNumber Number);
  void applyEvents(HolderNumber Number, std::span<const CacheEvent> Events);
  void store(HolderNumber Number, BlockHash Block, uint8_t TaggedEpoch);
  void drop(HolderNumber Number, BlockHash Block);
  void evictIfFull();

  Options Opts;
  BlockTable Table;
  /// Indexed by HolderNumber; the first stands for NoHolder.
  std::vector<Holder> Holders;
  std::vector<HolderNumber> FreeNumbers;
  std::vector<HolderNumber> RetiredNumbers;
  std::unordered_map<TargetId, HolderNumber> NumberByTarget;
  /// Upper bound on the number of entries in the table that isGone() reports;
  /// reset by sweep().
  uint64_t DeadEntries = 0;
  CacheIndexStatus Counts;
};

} // namespace ferry::cache

#endif

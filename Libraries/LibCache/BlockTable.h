/// \file
/// A compact hash table of which holder's cache has which block.
#ifndef FERRY_LIBCACHE_BLOCKTABLE_H
#define FERRY_LIBCACHE_BLOCKTABLE_H

#include "LibCache/BlockHash.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace ferry::cache {

/// Small number that identifies one incarnation of one target within an index.
using HolderNumber = uint16_t;
/// Stands for no holder.
inline constexpr HolderNumber NoHolder = 0;

/// One block in one holder's cache. Packed to 12 bytes: the hash is split, so
/// that no padding is needed.
struct BlockEntry {
  uint32_t HashHigh = 0;
  uint32_t HashLow = 0;
  HolderNumber Holder = NoHolder;
  /// The holder's epoch in which the entry was stored, with a flag; see
  /// CacheIndex.
  uint8_t TaggedEpoch = 0;
  /// How often lookups have found it; halved by eviction scans.
  uint8_t Heat = 0;

  uint64_t hash() const {
    return (static_cast<uint64_t>(HashHigh) << 32) | HashLow;
  }
};
static_assert(sizeof(BlockEntry) == 12, "the entry has no padding");

/// Open addressing with linear probing; the entries of one block lie in one
/// probe sequence. Deletion shifts entries back, so there are no tombstones.
class BlockTable {
public:
  BlockTable();

  /// \returns the entry of \p Block at \p Holder, or nullptr. Valid until the
  /// next insertion or erasure.
  BlockEntry *find(BlockHash Block, HolderNumber Holder);
  /// Adds an entry that is not in the table.
  BlockEntry &insert(BlockHash Block, HolderNumber Holder, uint8_t TaggedEpoch);
  /// Removes the entry of \p Block at \p Holder. \returns whether it was there.
  bool erase(BlockHash Block, HolderNumber Holder);

  /// Calls \p Visit with each entry of \p Block.
  template <typename VisitType>
  void forEachHolder(BlockHash Block, VisitType Visit) {
    for (size_t Index = homeOf(Block.Value); Slots[Index].Holder != NoHolder;
         Index = next(Index))
      if (Slots[Index].hash() == Block.Value)
        Visit(Slots[Index]);
  }

  /// Removes each entry for which \p IsGone returns true, in one pass.
  template <typename PredicateType> void eraseIf(PredicateType IsGone) {
    std::vector<BlockEntry> OldSlots = std::move(Slots);
    Slots.assign(OldSlots.size(), {});
    Count = 0;
    for (const BlockEntry &Entry : OldSlots)
      if (Entry.Holder != NoHolder && !IsGone(Entry))
        place(Entry);
  }

  /// Scans some slots from where the last scan ended, and halves the heat of
  /// their entries. \returns a copy of the coldest entry found, or nothing if
  /// all slots were empty.
  std::optional<BlockEntry> scanForColdest();

  size_t size() const { return Count; }
  size_t memoryBytes() const { return Slots.capacity() * sizeof(BlockEntry); }

private:
  size_t homeOf(uint64_t Hash) const;
  size_t next(size_t Index) const {
    return Index + 1 == Slots.size() ? 0 : Index + 1;
  }
  void place(const BlockEntry &Entry);
  void grow();
  void eraseAt(size_t Index);

  std::vector<BlockEntry> Slots;
  size_t Count = 0;
  size_t ScanPosition = 0;
};

} // namespace ferry::cache

#endif

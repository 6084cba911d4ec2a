#include "LibCache/BlockTable.h"
#include <cassert>
#include <utility>

namespace ferry::cache {

static constexpr size_t InitialSlots = 64;
/// The table grows when more than this part of its slots is used.
static constexpr size_t MaxLoadNumerator = 3;
static constexpr size_t MaxLoadDenominator = 4;
/// Entries looked at to find a cold one.
static constexpr size_t ScanLength = 16;
/// Slots passed over in search of these.
static constexpr size_t MaxScanSteps = 256;

BlockTable::BlockTable() : Slots(InitialSlots) {}

size_t BlockTable::homeOf(uint64_t Hash) const {
  // Block names given by engines need not be well mixed.
  Hash = (Hash ^ (Hash >> 32)) * 0x9E3779B97F4A7C15ULL;
  Hash ^= Hash >> 29;
  Hash *= 0xBF58476D1CE4E5B9ULL;
  // Maps to the slots without a division.
  return static_cast<size_t>(
      (static_cast<unsigned __int128>(Hash) * Slots.size()) >> 64);
}

BlockEntry *BlockTable::find(BlockHash Block, HolderNumber Holder) {
  for (size_t Index = homeOf(Block.Value); Slots[Index].Holder != NoHolder;
       Index = next(Index))
    if (Slots[Index].Holder == Holder && Slots[Index].hash() == Block.Value)
      return &Slots[Index];
  return nullptr;
}

BlockEntry &BlockTable::insert(BlockHash Block, HolderNumber Holder,
                               uint8_t Mark) {
  assert(Holder != NoHolder && "an entry has a holder");
  if ((Count + 1) * MaxLoadDenominator > Slots.size() * MaxLoadNumerator)
    grow();
  size_t Index = homeOf(Block.Value);
  while (Slots[Index].Holder != NoHolder)
    Index = next(Index);
  Slots[Index] = {static_cast<uint32_t>(Block.Value >> 32),
                  static_cast<uint32_t>(Block.Value), Holder, Mark, 0};
  ++Count;
  return Slots[Index];
}

void BlockTable::place(const BlockEntry &Entry) {
  size_t Index = homeOf(Entry.hash());
  while (Slots[Index].Holder != NoHolder)
    Index = next(Index);
  Slots[Index] = Entry;
  ++Count;
}

void BlockTable::grow() {
  // Half as much again: doubling would waste more of a large table.
  std::vector<BlockEntry> Old = std::move(Slots);
  Slots = std::vector<BlockEntry>(Old.size() + Old.size() / 2);
  Count = 0;
  for (const BlockEntry &Entry : Old)
    if (Entry.Holder != NoHolder)
      place(Entry);
}

bool BlockTable::erase(BlockHash Block, HolderNumber Holder) {
  BlockEntry *Entry = find(Block, Holder);
  if (!Entry)
    return false;
  eraseAt(static_cast<size_t>(Entry - Slots.data()));
  return true;
}

void BlockTable::eraseAt(size_t Hole) {
  for (size_t Index = next(Hole); Slots[Index].Holder != NoHolder;
       Index = next(Index)) {
    size_t Home = homeOf(Slots[Index].hash());
    // An entry may fill the hole unless its home lies between the two.
    bool HomeBetween = Hole < Index ? (Hole < Home && Home <= Index)
                                    : (Hole < Home || Home <= Index);
    if (HomeBetween)
      continue;
    Slots[Hole] = Slots[Index];
    Hole = Index;
  }
  Slots[Hole] = {};
  --Count;
}

std::optional<BlockEntry> BlockTable::scanForColdest() {
  std::optional<BlockEntry> Coldest;
  size_t Seen = 0;
  for (size_t Step = 0; Step < MaxScanSteps && Seen < ScanLength; ++Step) {
    ScanPosition = ScanPosition + 1 >= Slots.size() ? 0 : ScanPosition + 1;
    BlockEntry &Entry = Slots[ScanPosition];
    if (Entry.Holder == NoHolder)
      continue;
    ++Seen;
    if (!Coldest || Entry.Heat < Coldest->Heat)
      Coldest = Entry;
    Entry.Heat /= 2;
  }
  return Coldest;
}

} // namespace ferry::cache

#include "LibCache/BlockTable.h"
#include <cassert>
#include <utility>

namespace ferry::cache {

static constexpr size_t InitialSlots = 64;
/// The table grows when more than this part of its slots is used.
static constexpr size_t MaxLoadNumerator = 3;
static constexpr size_t MaxLoadDenominator = 4;
/// Entries that a scan compares to find a cold one.
static constexpr size_t ScanLength = 16;
/// Slots that a scan visits at most to find these entries.
static constexpr size_t MaxScanSteps = 256;

BlockTable::BlockTable() : Slots(InitialSlots) {}

size_t BlockTable::homeOf(uint64_t Hash) const {
  // Block names chosen by engines may be badly mixed.
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
                               uint8_t TaggedEpoch) {
  assert(Holder != NoHolder && "an entry has a holder");
  if ((Count + 1) * MaxLoadDenominator > Slots.size() * MaxLoadNumerator)
    grow();
  size_t Index = homeOf(Block.Value);
  while (Slots[Index].Holder != NoHolder)
    Index = next(Index);
  Slots[Index] = {static_cast<uint32_t>(Block.Value >> 32),
                  static_cast<uint32_t>(Block.Value), Holder, TaggedEpoch, 0};
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
  // Grows by half: doubling would waste more memory in a large table.
  std::vector<BlockEntry> OldSlots = std::move(Slots);
  Slots = std::vector<BlockEntry>(OldSlots.size() + OldSlots.size() / 2);
  Count = 0;
  for (const BlockEntry &Entry : OldSlots)
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
    // An entry may move into the hole unless its home slot lies between the
    // two.
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
  size_t Scanned = 0;
  for (size_t Step = 0; Step < MaxScanSteps && Scanned < ScanLength; ++Step) {
    ScanPosition = ScanPosition + 1 >= Slots.size() ? 0 : ScanPosition + 1;
    BlockEntry &Entry = Slots[ScanPosition];
    if (Entry.Holder == NoHolder)
      continue;
    ++Scanned;
    if (!Coldest || Entry.Heat < Coldest->Heat)
      Coldest = Entry;
    Entry.Heat /= 2;
  }
  return Coldest;
}

} // namespace ferry::cache

#include "LibCache/CacheIndex.h"
#include <algorithm>
#include <cassert>
#include <limits>

namespace ferry::cache {

/// Flag in an entry's mark: this router presumes it.
static constexpr uint8_t PresumedFlag = 0x80;
static constexpr uint8_t EpochMask = 0x7F;
static constexpr uint8_t MaxHeat = 255;
/// The table is swept once this part of its entries belongs to the dead.
static constexpr uint64_t MaxDeadDivisor = 4;

void CacheMatches::reset(size_t HolderCount) {
  for (HolderNumber Number : Touched)
    Matches[Number] = {};
  Touched.clear();
  Matches.resize(HolderCount);
}

CacheIndex CacheIndex::create(Options Chosen) {
  Chosen.MaxEntries = std::max<size_t>(Chosen.MaxEntries, 1);
  Chosen.SampleEvery = std::max<uint32_t>(Chosen.SampleEvery, 1);
  return CacheIndex(Chosen);
}

bool CacheIndex::isGone(const BlockEntry &Entry) const {
  const Holder &Owner = Holders[Entry.Holder];
  return !Owner.Live || (Entry.Mark & EpochMask) < Owner.OldestEpoch;
}

bool CacheIndex::isSure(const BlockEntry &Entry) const {
  const Holder &Owner = Holders[Entry.Holder];
  return Entry.Mark == Owner.Epoch && Owner.Stream.isContiguous();
}

HolderNumber CacheIndex::holderOf(const TargetId &Target) const {
  auto Found = Numbers.find(Target);
  return Found == Numbers.end() ? NoHolder : Found->second;
}

HolderNumber CacheIndex::takeFreeNumber() {
  constexpr size_t MaxHolders = std::numeric_limits<HolderNumber>::max();
  if (FreeNumbers.empty() && Holders.size() >= MaxHolders)
    sweep();
  if (!FreeNumbers.empty()) {
    HolderNumber Number = FreeNumbers.back();
    FreeNumbers.pop_back();
    return Number;
  }
  if (Holders.size() >= MaxHolders)
    return NoHolder;
  Holders.emplace_back();
  return static_cast<HolderNumber>(Holders.size() - 1);
}

HolderNumber CacheIndex::addHolder(const TargetId &Target,
                                   ferry::Incarnation Life) {
  HolderNumber Known = holderOf(Target);
  if (Known != NoHolder) {
    if (Holders[Known].Life == Life)
      return Known;
    if (Holders[Known].Life > Life)
      return NoHolder;
    retire(Known);
  }
  HolderNumber Number = takeFreeNumber();
  if (Number == NoHolder)
    return NoHolder;
  Holders[Number] = Holder{};
  Holders[Number].Target = Target;
  Holders[Number].Life = Life;
  Holders[Number].Live = true;
  Numbers[Target] = Number;
  return Number;
}

void CacheIndex::removeHolder(const TargetId &Target) {
  HolderNumber Number = holderOf(Target);
  if (Number != NoHolder)
    retire(Number);
}

void CacheIndex::retire(HolderNumber Number) {
  Holder &Owner = Holders[Number];
  Numbers.erase(Owner.Target);
  DeadEntries += Owner.Entries;
  Owner = Holder{};
  Retired.push_back(Number);
  if (DeadEntries * MaxDeadDivisor > Table.size())
    sweep();
}

void CacheIndex::sweep() {
  Table.eraseIf([this](const BlockEntry &Entry) {
    if (!isGone(Entry))
      return false;
    Holder &Owner = Holders[Entry.Holder];
    if (Owner.Live)
      --Owner.Entries;
    return true;
  });
  DeadEntries = 0;
  FreeNumbers.insert(FreeNumbers.end(), Retired.begin(), Retired.end());
  Retired.clear();
}

void CacheIndex::advanceEpoch(HolderNumber Number) {
  Holder &Owner = Holders[Number];
  if (Owner.Epoch < EpochMask) {
    ++Owner.Epoch;
    return;
  }
  // The epochs are used up: the entries go, and counting starts anew.
  Owner.OldestEpoch = EpochMask;
  sweep();
  Table.eraseIf(
      [Number](const BlockEntry &Entry) { return Entry.Holder == Number; });
  Owner.Entries = 0;
  Owner.Epoch = 1;
  Owner.OldestEpoch = 1;
}

void CacheIndex::forgetAll(HolderNumber Number) {
  DeadEntries += Holders[Number].Entries;
  advanceEpoch(Number);
  Holders[Number].OldestEpoch = Holders[Number].Epoch;
  if (DeadEntries * MaxDeadDivisor > Table.size())
    sweep();
}

void CacheIndex::endLife(HolderNumber Number) {
  forgetAll(Number);
  Holders[Number].Ended = true;
}

BatchOutcome CacheIndex::apply(const CacheEventBatch &Batch) {
  HolderNumber Number = holderOf(Batch.Target);
  BatchOutcome Outcome = BatchOutcome::UnknownTarget;
  if (Number != NoHolder && Batch.Incarnation < Holders[Number].Life)
    Outcome = BatchOutcome::DeadIncarnation;
  if (Number != NoHolder && Batch.Incarnation > Holders[Number].Life)
    // The known life has ended; the new one has not announced itself here.
    endLife(Number);
  else if (Number != NoHolder && Outcome != BatchOutcome::DeadIncarnation &&
           !Holders[Number].Ended) {
    EventStream &Stream = Holders[Number].Stream;
    bool IsListing = Batch.Coverage == CacheEventBatch::Scope::WholeCache;
    EventStream::Step Step =
        IsListing ? Stream.takeListing(Batch) : Stream.takeChanges(Batch);
    Outcome = Step.Outcome;
    if (Outcome == BatchOutcome::GapDeclared)
      advanceEpoch(Number);
    if (Outcome == BatchOutcome::Resynced) {
      forgetAll(Number);
      applyEvents(Number, Batch.Events);
    }
    applyEvents(Number, Step.Events);
  }
  ++Counts.Batches[Outcome];
  return Outcome;
}

void CacheIndex::applyEvents(HolderNumber Number,
                             std::span<const CacheEvent> Events) {
  for (const CacheEvent &Event : Events) {
    ++Counts.EventsApplied;
    if (Event.Kind == CacheEventKind::Cleared) {
      forgetAll(Number);
      continue;
    }
    auto Block = Holders[Number].Names.translate({Event.Block.Value});
    if (!Block) {
      ++Counts.EventsUnnamed;
      continue;
    }
    if (Event.Kind == CacheEventKind::Stored)
      store(Number, *Block, Holders[Number].Epoch);
    else
      drop(Number, *Block);
  }
}

void CacheIndex::store(HolderNumber Number, BlockHash Block, uint8_t Mark) {
  if (!isSampled(Block))
    return;
  if (BlockEntry *Entry = Table.find(Block, Number)) {
    Entry->Mark = Mark;
    return;
  }
  evictIfFull();
  Table.insert(Block, Number, Mark);
  ++Holders[Number].Entries;
}

void CacheIndex::drop(HolderNumber Number, BlockHash Block) {
  if (Table.erase(Block, Number))
    --Holders[Number].Entries;
}

void CacheIndex::evictIfFull() {
  while (Table.size() >= Chosen.MaxEntries) {
    auto Coldest = Table.scanForColdest();
    if (!Coldest)
      continue;
    ++Counts.EntriesEvicted;
    Table.erase({Coldest->hash()}, Coldest->Holder);
    Holder &Owner = Holders[Coldest->Holder];
    if (Owner.Live)
      --Owner.Entries;
    else
      --DeadEntries;
  }
}

bool CacheIndex::takesEntries(HolderNumber Number) const {
  if (Number == NoHolder)
    return false;
  assert(Holders[Number].Live && "a retired number is not used any more");
  return !Holders[Number].Ended;
}

void CacheIndex::presume(HolderNumber Holder,
                         std::span<const BlockHash> Blocks) {
  if (!takesEntries(Holder))
    return;
  uint8_t Mark = Holders[Holder].Epoch | PresumedFlag;
  for (BlockHash Block : Blocks) {
    BlockEntry *Entry = Table.find(Block, Holder);
    if (!Entry || isGone(*Entry))
      store(Holder, Block, Mark);
  }
}

void CacheIndex::correct(HolderNumber Holder, std::span<const BlockHash> Blocks,
                         size_t CachedBlocks) {
  if (!takesEntries(Holder))
    return;
  uint8_t Presumed = Holders[Holder].Epoch | PresumedFlag;
  for (size_t Index = 0; Index < Blocks.size(); ++Index) {
    BlockEntry *Entry = Table.find(Blocks[Index], Holder);
    bool Known = Entry && !isGone(*Entry);
    // A sure entry that was not there is no longer to be relied on; the block
    // is there again now, but only the holder's events make it sure.
    bool Wrong = Known && Index >= CachedBlocks && isSure(*Entry);
    Counts.Corrections += Wrong || (!Known && Index < CachedBlocks);
    if (!Known || Wrong)
      store(Holder, Blocks[Index], Presumed);
  }
}

void CacheIndex::learnNames(HolderNumber Holder,
                            std::span<const BlockHash> Blocks,
                            std::span<const EngineBlockName> Names) {
  if (Holder != NoHolder)
    Holders[Holder].Names.learn(Blocks, Names);
}

void CacheIndex::lookup(std::span<const BlockHash> Blocks, CacheMatches &Out) {
  Out.reset(Holders.size());
  // Leading blocks up to the sampled one before.
  uint32_t Reached = 0;
  for (uint32_t Index = 0; Index < Blocks.size(); ++Index) {
    if (!isSampled(Blocks[Index]))
      continue;
    bool Extended = false;
    Table.forEachHolder(Blocks[Index], [&](BlockEntry &Entry) {
      if (isGone(Entry))
        return;
      HolderMatch &Match = Out.at(Entry.Holder);
      if (Match.CachedBlocks != Reached)
        return;
      Match.CachedBlocks = Index + 1;
      if (Match.SureBlocks == Index && isSure(Entry))
        Match.SureBlocks = Index + 1;
      if (Reached == 0)
        Out.Touched.push_back(Entry.Holder);
      Entry.Heat += Entry.Heat < MaxHeat;
      Extended = true;
    });
    if (!Extended)
      return;
    Reached = Index + 1;
  }
}

bool CacheIndex::wantsListing(const TargetId &Target) const {
  HolderNumber Number = holderOf(Target);
  return Number != NoHolder && Holders[Number].Stream.wantsListing();
}

CacheIndexStatus CacheIndex::status() const {
  CacheIndexStatus Status = Counts;
  Status.Entries = Table.size();
  Status.MemoryBytes = Table.memoryBytes();
  Status.Holders = Numbers.size();
  for (const auto &[Target, Number] : Numbers)
    Status.UnsureHolders += Holders[Number].Stream.wantsListing();
  return Status;
}

} // namespace ferry::cache

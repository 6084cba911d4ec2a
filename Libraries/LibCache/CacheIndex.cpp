#include "LibCache/CacheIndex.h"
#include <algorithm>
#include <cassert>
#include <limits>

namespace ferry::cache {

/// Flag in BlockEntry::TaggedEpoch: this router only presumes the entry.
static constexpr uint8_t PresumedFlag = 0x80;
static constexpr uint8_t EpochMask = 0x7F;
static constexpr uint8_t MaxHeat = 255;
/// The table is swept once more than one in this many entries is dead.
static constexpr uint64_t MaxDeadDivisor = 4;

void CacheMatches::reset(size_t HolderCount) {
  for (HolderNumber Number : MatchedHolders)
    Matches[Number] = {};
  MatchedHolders.clear();
  Matches.resize(HolderCount);
}

CacheIndex CacheIndex::create(Options Opts) {
  Opts.MaxEntries = std::max<size_t>(Opts.MaxEntries, 1);
  Opts.SampleEvery = std::max<uint32_t>(Opts.SampleEvery, 1);
  return CacheIndex(Opts);
}

bool CacheIndex::isGone(const BlockEntry &Entry) const {
  const Holder &Owner = Holders[Entry.Holder];
  return !Owner.InUse || (Entry.TaggedEpoch & EpochMask) < Owner.OldestEpoch;
}

bool CacheIndex::isSure(const BlockEntry &Entry) const {
  const Holder &Owner = Holders[Entry.Holder];
  return Entry.TaggedEpoch == Owner.Epoch && Owner.Stream.isContiguous();
}

HolderNumber CacheIndex::holderOf(const TargetId &Target) const {
  auto It = NumberByTarget.find(Target);
  return It == NumberByTarget.end() ? NoHolder : It->second;
}

HolderNumber CacheIndex::allocateNumber() {
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
                                   ferry::Incarnation Incarnation) {
  HolderNumber Current = holderOf(Target);
  if (Current != NoHolder) {
    if (Holders[Current].Incarnation == Incarnation)
      return Current;
    if (Holders[Current].Incarnation > Incarnation)
      return NoHolder;
    retire(Current);
  }
  HolderNumber Number = allocateNumber();
  if (Number == NoHolder)
    return NoHolder;
  Holders[Number] = Holder{};
  Holders[Number].Target = Target;
  Holders[Number].Incarnation = Incarnation;
  Holders[Number].InUse = true;
  NumberByTarget[Target] = Number;
  return Number;
}

void CacheIndex::removeHolder(const TargetId &Target) {
  HolderNumber Number = holderOf(Target);
  if (Number != NoHolder)
    retire(Number);
}

void CacheIndex::retire(HolderNumber Number) {
  Holder &Owner = Holders[Number];
  NumberByTarget.erase(Owner.Target);
  DeadEntries += Owner.Entries;
  Owner = Holder{};
  RetiredNumbers.push_back(Number);
  if (DeadEntries * MaxDeadDivisor > Table.size())
    sweep();
}

void CacheIndex::sweep() {
  Table.eraseIf([this](const BlockEntry &Entry) {
    if (!isGone(Entry))
      return false;
    Holder &Owner = Holders[Entry.Holder];
    if (Owner.InUse)
      --Owner.Entries;
    return true;
  });
  DeadEntries = 0;
  FreeNumbers.insert(FreeNumbers.end(), RetiredNumbers.begin(),
                     RetiredNumbers.end());
  RetiredNumbers.clear();
}

void CacheIndex::advanceEpoch(HolderNumber Number) {
  Holder &Owner = Holders[Number];
  if (Owner.Epoch < EpochMask) {
    ++Owner.Epoch;
    return;
  }
  // The epochs are used up: drop the holder's entries and start again with the
  // first epoch.
  Owner.OldestEpoch = EpochMask;
  sweep();
  Table.eraseIf(
      [Number](const BlockEntry &Entry) { return Entry.Holder == Number; });
  Owner.Entries = 0;
  Owner.Epoch = 1;
  Owner.OldestEpoch = 1;
}

void CacheIndex::invalidateAll(HolderNumber Number) {
  DeadEntries += Holders[Number].Entries;
  advanceEpoch(Number);
  Holders[Number].OldestEpoch = Holders[Number].Epoch;
  if (DeadEntries * MaxDeadDivisor > Table.size())
    sweep();
}

void CacheIndex::endIncarnation(HolderNumber Number) {
  invalidateAll(Number);
  Holders[Number].Ended = true;
}

BatchOutcome CacheIndex::apply(const CacheEventBatch &Batch) {
  HolderNumber Number = holderOf(Batch.Target);
  BatchOutcome Outcome = BatchOutcome::UnknownTarget;
  if (Number != NoHolder && Batch.Incarnation < Holders[Number].Incarnation)
    Outcome = BatchOutcome::DeadIncarnation;
  if (Number != NoHolder && Batch.Incarnation > Holders[Number].Incarnation)
    // The known incarnation has ended, and the later one has not been added
    // yet.
    endIncarnation(Number);
  else if (Number != NoHolder && Outcome != BatchOutcome::DeadIncarnation &&
           !Holders[Number].Ended) {
    EventStream &Stream = Holders[Number].Stream;
    bool IsListing = Batch.Coverage == CacheEventBatch::Scope::WholeCache;
    EventStream::Step Step =
        IsListing ? Stream.addListing(Batch) : Stream.addChanges(Batch);
    Outcome = Step.Outcome;
    if (Outcome == BatchOutcome::GapDeclared)
      advanceEpoch(Number);
    if (Outcome == BatchOutcome::Resynced) {
      invalidateAll(Number);
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
      invalidateAll(Number);
      continue;
    }
    auto Block = Holders[Number].Names.translate({Event.Block.Value});
    if (!Block) {
      ++Counts.EventsUntranslated;
      continue;
    }
    if (Event.Kind == CacheEventKind::Stored)
      store(Number, *Block, Holders[Number].Epoch);
    else
      drop(Number, *Block);
  }
}

void CacheIndex::store(HolderNumber Number, BlockHash Block,
                       uint8_t TaggedEpoch) {
  if (!isSampled(Block))
    return;
  if (BlockEntry *Entry = Table.find(Block, Number)) {
    Entry->TaggedEpoch = TaggedEpoch;
    return;
  }
  evictIfFull();
  Table.insert(Block, Number, TaggedEpoch);
  ++Holders[Number].Entries;
}

void CacheIndex::drop(HolderNumber Number, BlockHash Block) {
  if (Table.erase(Block, Number))
    --Holders[Number].Entries;
}

void CacheIndex::evictIfFull() {
  while (Table.size() >= Opts.MaxEntries) {
    auto Coldest = Table.scanForColdest();
    if (!Coldest)
      continue;
    ++Counts.EntriesEvicted;
    Table.erase({Coldest->hash()}, Coldest->Holder);
    Holder &Owner = Holders[Coldest->Holder];
    if (Owner.InUse)
      --Owner.Entries;
    else
      --DeadEntries;
  }
}

bool CacheIndex::acceptsEntries(HolderNumber Number) const {
  if (Number == NoHolder)
    return false;
  assert(Holders[Number].InUse && "a retired number is not used any more");
  return !Holders[Number].Ended;
}

void CacheIndex::presume(HolderNumber Holder,
                         std::span<const BlockHash> Blocks) {
  if (!acceptsEntries(Holder))
    return;
  uint8_t TaggedEpoch = Holders[Holder].Epoch | PresumedFlag;
  for (BlockHash Block : Blocks) {
    BlockEntry *Entry = Table.find(Block, Holder);
    if (!Entry || isGone(*Entry))
      store(Holder, Block, TaggedEpoch);
  }
}

void CacheIndex::correct(HolderNumber Holder, std::span<const BlockHash> Blocks,
                         size_t CachedBlocks) {
  if (!acceptsEntries(Holder))
    return;
  uint8_t PresumedEpoch = Holders[Holder].Epoch | PresumedFlag;
  for (size_t Index = 0; Index < Blocks.size(); ++Index) {
    BlockEntry *Entry = Table.find(Blocks[Index], Holder);
    bool IsPresent = Entry && !isGone(*Entry);
    // A sure entry whose block was missing becomes a presumed one. The holder
    // has the block again now, but only its events make an entry sure.
    bool WasMissing = IsPresent && Index >= CachedBlocks && isSure(*Entry);
    Counts.Corrections += WasMissing || (!IsPresent && Index < CachedBlocks);
    if (!IsPresent || WasMissing)
      store(Holder, Blocks[Index], PresumedEpoch);
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
  // Number of leading blocks up to the previous sampled one.
  uint32_t MatchedBlocks = 0;
  for (uint32_t Index = 0; Index < Blocks.size(); ++Index) {
    if (!isSampled(Blocks[Index]))
      continue;
    bool Extended = false;
    Table.forEachHolder(Blocks[Index], [&](BlockEntry &Entry) {
      if (isGone(Entry))
        return;
      HolderMatch &Match = Out.at(Entry.Holder);
      if (Match.CachedBlocks != MatchedBlocks)
        return;
      Match.CachedBlocks = Index + 1;
      if (Match.SureBlocks == Index && isSure(Entry))
        Match.SureBlocks = Index + 1;
      if (MatchedBlocks == 0)
        Out.MatchedHolders.push_back(Entry.Holder);
      Entry.Heat += Entry.Heat < MaxHeat;
      Extended = true;
    });
    if (!Extended)
      return;
    MatchedBlocks = Index + 1;
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
  Status.Holders = NumberByTarget.size();
  for (const auto &[Target, Number] : NumberByTarget)
    Status.UnsureHolders += Holders[Number].Stream.wantsListing();
  return Status;
}

} // namespace ferry::cache

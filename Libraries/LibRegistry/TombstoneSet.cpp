#include "LibRegistry/TombstoneSet.h"
#include <algorithm>
#include <cstring>

namespace ferry::registry {

static constexpr size_t InitialSlots = 16;
/// The set grows when more than four fifths of its slots are used.
static constexpr size_t MaxUsedFifths = 4;

static Digest withoutKind(const Digest &Entry) {
  return {Entry.High, Entry.Low & ~uint64_t{1}};
}

static bool isEmpty(const Digest &Slot) {
  return Slot.High == 0 && Slot.Low == 0;
}

size_t TombstoneSet::slotOf(const Digest &Key) const {
  size_t Mask = Slots.size() - 1;
  size_t Slot = Key.High & Mask;
  while (!isEmpty(Slots[Slot]) && withoutKind(Slots[Slot]) != Key)
    Slot = (Slot + 1) & Mask;
  return Slot;
}

void TombstoneSet::grow() {
  std::vector<Digest> Old = std::move(Slots);
  Slots.assign(std::max(InitialSlots, Old.size() * 2), {});
  for (const Digest &Entry : Old)
    if (!isEmpty(Entry))
      Slots[slotOf(withoutKind(Entry))] = Entry;
}

void TombstoneSet::insert(const Digest &Key, TombstoneKind Kind) {
  if ((Count + 1) * 5 > Slots.size() * MaxUsedFifths)
    grow();
  Digest &Slot = Slots[slotOf(Key)];
  if (!isEmpty(Slot))
    return;
  Slot = Key;
  if (Kind == TombstoneKind::Unknown)
    Slot.Low |= 1;
  ++Count;
}

std::optional<TombstoneKind> TombstoneSet::find(const Digest &Key) const {
  if (Slots.empty())
    return std::nullopt;
  const Digest &Slot = Slots[slotOf(Key)];
  if (isEmpty(Slot))
    return std::nullopt;
  return (Slot.Low & 1) != 0 ? TombstoneKind::Unknown : TombstoneKind::Answered;
}

static void appendWord(std::string &Bytes, uint64_t Word) {
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>((Word >> Shift) & 0xFF));
}

static uint64_t wordAt(std::string_view Bytes, size_t Start) {
  uint64_t Word = 0;
  for (size_t Index = 0; Index < sizeof(Word); ++Index)
    Word = (Word << 8) | static_cast<uint8_t>(Bytes[Start + Index]);
  return Word;
}

std::string TombstoneSet::encode() const {
  std::vector<Digest> Entries;
  Entries.reserve(Count);
  for (const Digest &Slot : Slots)
    if (!isEmpty(Slot))
      Entries.push_back(Slot);
  // The order makes equal sets have equal bytes on every replica.
  std::sort(Entries.begin(), Entries.end());
  std::string Bytes;
  Bytes.reserve(Entries.size() * sizeof(Digest));
  for (const Digest &Entry : Entries) {
    appendWord(Bytes, Entry.High);
    appendWord(Bytes, Entry.Low);
  }
  return Bytes;
}

std::optional<TombstoneSet> TombstoneSet::tryDecode(std::string_view Bytes) {
  if (Bytes.size() % sizeof(Digest) != 0)
    return std::nullopt;
  TombstoneSet Set;
  for (size_t Start = 0; Start < Bytes.size(); Start += sizeof(Digest)) {
    Digest Entry{wordAt(Bytes, Start), wordAt(Bytes, Start + sizeof(uint64_t))};
    if (isEmpty(withoutKind(Entry)))
      return std::nullopt;
    bool Unknown = (Entry.Low & 1) != 0;
    Set.insert(withoutKind(Entry),
               Unknown ? TombstoneKind::Unknown : TombstoneKind::Answered);
  }
  return Set;
}

} // namespace ferry::registry

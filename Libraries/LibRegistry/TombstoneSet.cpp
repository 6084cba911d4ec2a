#include "LibRegistry/TombstoneSet.h"
#include <algorithm>
#include <cstring>

namespace ferry::registry {

static constexpr size_t FirstPlaces = 16;
/// The set grows when more than four fifths of its places are taken.
static constexpr size_t MaxFilledFifths = 4;

static Digest withoutKind(const Digest &Entry) {
  return {Entry.High, Entry.Low & ~uint64_t{1}};
}

static bool isFree(const Digest &Place) {
  return Place.High == 0 && Place.Low == 0;
}

size_t TombstoneSet::placeOf(const Digest &Key) const {
  size_t Mask = Places.size() - 1;
  size_t Place = Key.High & Mask;
  while (!isFree(Places[Place]) && withoutKind(Places[Place]) != Key)
    Place = (Place + 1) & Mask;
  return Place;
}

void TombstoneSet::grow() {
  std::vector<Digest> Old = std::move(Places);
  Places.assign(std::max(FirstPlaces, Old.size() * 2), {});
  for (const Digest &Entry : Old)
    if (!isFree(Entry))
      Places[placeOf(withoutKind(Entry))] = Entry;
}

void TombstoneSet::insert(const Digest &Key, TombstoneKind Kind) {
  if ((Count + 1) * 5 > Places.size() * MaxFilledFifths)
    grow();
  Digest &Place = Places[placeOf(Key)];
  if (!isFree(Place))
    return;
  Place = Key;
  if (Kind == TombstoneKind::Unknown)
    Place.Low |= 1;
  ++Count;
}

std::optional<TombstoneKind> TombstoneSet::find(const Digest &Key) const {
  if (Places.empty())
    return std::nullopt;
  const Digest &Place = Places[placeOf(Key)];
  if (isFree(Place))
    return std::nullopt;
  return (Place.Low & 1) != 0 ? TombstoneKind::Unknown
                              : TombstoneKind::Answered;
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
  for (const Digest &Place : Places)
    if (!isFree(Place))
      Entries.push_back(Place);
  // Sorted, so that equal sets have equal bytes on every replica.
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
    if (isFree(withoutKind(Entry)))
      return std::nullopt;
    bool Unknown = (Entry.Low & 1) != 0;
    Set.insert(withoutKind(Entry),
               Unknown ? TombstoneKind::Unknown : TombstoneKind::Answered);
  }
  return Set;
}

} // namespace ferry::registry

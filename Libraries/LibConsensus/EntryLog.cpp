#include "LibConsensus/EntryLog.h"
#include "LibConsensus/Message.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

void EntryLog::reset(uint64_t Index, uint64_t Term, Configuration Members) {
  BaseIndex = Index;
  BaseTerm = Term;
  Bytes = 0;
  Entries.clear();
  Configurations.clear();
  Configurations.emplace(Index, std::move(Members));
}

std::optional<uint64_t> EntryLog::termAt(uint64_t Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  if (Index < BaseIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).Term;
}

const Entry &EntryLog::at(uint64_t Index) const {
  assert(Index > BaseIndex && Index <= lastIndex());
  return Entries[Index - BaseIndex - 1];
}

void EntryLog::append(Entry NewEntry) {
  assert(NewEntry.Index == lastIndex() + 1 && "entries have no gaps");
  Bytes += NewEntry.Payload.size();
  if (NewEntry.Kind == EntryKind::Configuration)
    if (auto Members = decodeConfiguration(NewEntry.Payload))
      Configurations[NewEntry.Index] = std::move(*Members);
  Entries.push_back(std::move(NewEntry));
}

void EntryLog::truncateFrom(uint64_t Index) {
  assert(Index > BaseIndex && "what a snapshot covers is committed");
  while (lastIndex() >= Index) {
    Bytes -= Entries.back().Payload.size();
    Entries.pop_back();
  }
  Configurations.erase(Configurations.lower_bound(Index), Configurations.end());
}

uint64_t EntryLog::bytesIn(uint64_t First, uint64_t Last) const {
  uint64_t Size = 0;
  for (uint64_t Index = std::max(First, BaseIndex) + 1; Index <= Last; ++Index)
    Size += at(Index).Payload.size();
  return Size;
}

void EntryLog::compactTo(uint64_t Index) {
  assert(Index >= BaseIndex && Index <= lastIndex());
  Configuration Members = membersAt(Index);
  BaseTerm = *termAt(Index);
  for (; BaseIndex < Index; ++BaseIndex) {
    Bytes -= Entries.front().Payload.size();
    Entries.pop_front();
  }
  Configurations.erase(Configurations.begin(),
                       Configurations.upper_bound(Index));
  Configurations.emplace(Index, std::move(Members));
}

const Configuration &EntryLog::membersAt(uint64_t Index) const {
  auto After = Configurations.upper_bound(Index);
  assert(After != Configurations.begin() && "the base has a configuration");
  return std::prev(After)->second;
}

std::vector<Entry> EntryLog::slice(uint64_t Index, uint64_t MaxBytes) const {
  std::vector<Entry> Slice;
  uint64_t Size = 0;
  for (; Index <= lastIndex(); ++Index) {
    Size += at(Index).Payload.size();
    if (!Slice.empty() && Size > MaxBytes)
      break;
    Slice.push_back(at(Index));
  }
  return Slice;
}

} // namespace ferry::consensus

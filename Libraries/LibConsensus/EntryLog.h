/// \file
/// The log of one replica in memory: a base, and the entries behind it.
#ifndef FERRY_LIBCONSENSUS_ENTRYLOG_H
#define FERRY_LIBCONSENSUS_ENTRYLOG_H

#include "LibConsensus/Types.h"
#include <deque>
#include <map>
#include <optional>

namespace ferry::consensus {

/// Entries in (base, last]; the base stands for the snapshot, or for index 0.
class EntryLog {
public:
  /// Starts empty behind \p Index, where \p Members were in force.
  void reset(uint64_t Index, uint64_t Term, Configuration Members);

  uint64_t baseIndex() const { return BaseIndex; }
  uint64_t baseTerm() const { return BaseTerm; }
  uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  uint64_t lastTerm() const { return *termAt(lastIndex()); }
  uint64_t bytes() const { return Bytes; }

  /// \returns the term at \p Index, or nothing if it is not held.
  std::optional<uint64_t> termAt(uint64_t Index) const;
  /// \returns the entry at \p Index, which must be behind the base.
  const Entry &at(uint64_t Index) const;

  /// Adds \p Next, whose index must be the next one.
  void append(Entry Next);
  /// Drops all entries from \p Index on.
  void truncateFrom(uint64_t Index);
  /// Moves the base up to \p Index, which must be held.
  void compactTo(uint64_t Index);

  /// \returns the configuration in force at the end of the log.
  const Configuration &members() const {
    return Configurations.rbegin()->second;
  }
  /// \returns the index of that configuration's entry.
  uint64_t membersIndex() const { return Configurations.rbegin()->first; }
  /// \returns the configuration in force at \p Index, at or behind the base.
  const Configuration &membersAt(uint64_t Index) const;

  /// \returns entries from \p Index on, at least one if there is one, and
  /// then as many as \p MaxBytes hold.
  std::vector<Entry> slice(uint64_t Index, uint64_t MaxBytes) const;

private:
  uint64_t BaseIndex = 0;
  uint64_t BaseTerm = 0;
  uint64_t Bytes = 0;
  std::deque<Entry> Entries;
  /// By the index from which each is in force.
  std::map<uint64_t, Configuration> Configurations{{0, {}}};
};

} // namespace ferry::consensus

#endif

/// \file
/// The log of one replica in memory: a base, and the entries after it.
#ifndef FERRY_LIBCONSENSUS_ENTRYLOG_H
#define FERRY_LIBCONSENSUS_ENTRYLOG_H

#include "LibConsensus/Types.h"
#include <deque>
#include <map>
#include <optional>

namespace ferry::consensus {

/// Entries in (base, last]. The base is the last index that a snapshot has
/// replaced, or 0.
class EntryLog {
public:
  /// Empties the log and sets its base to \p Index, where \p Members are in
  /// force.
  void reset(uint64_t Index, uint64_t Term, Configuration Members);

  uint64_t baseIndex() const { return BaseIndex; }
  uint64_t baseTerm() const { return BaseTerm; }
  uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  uint64_t lastTerm() const { return *termAt(lastIndex()); }
  /// \returns the total size of the payloads in bytes.
  uint64_t bytes() const { return Bytes; }
  /// \returns the size of the payloads after \p First up to \p Last, without
  /// those up to the base.
  uint64_t bytesIn(uint64_t First, uint64_t Last) const;

  /// \returns the term at \p Index, or nothing if it is before the base
  /// or after the end.
  std::optional<uint64_t> termAt(uint64_t Index) const;
  /// \returns the entry at \p Index, which must be after the base.
  const Entry &at(uint64_t Index) const;

  /// Appends \p NewEntry, whose index must be lastIndex() + 1.
  void append(Entry NewEntry);
  /// Removes all entries from \p Index on.
  void truncateFrom(uint64_t Index);
  /// Moves the base up to \p Index, which must be in the log.
  void compactTo(uint64_t Index);

  /// \returns the configuration in force at the end of the log.
  const Configuration &members() const {
    return Configurations.rbegin()->second;
  }
  /// \returns the index of that configuration's entry.
  uint64_t membersIndex() const { return Configurations.rbegin()->first; }
  /// \returns the configuration in force at \p Index, which must not be before
  /// the base.
  const Configuration &membersAt(uint64_t Index) const;

  /// \returns the entries from \p Index on whose payloads fit into \p MaxBytes
  /// together; always the first one, if there is one.
  std::vector<Entry> slice(uint64_t Index, uint64_t MaxBytes) const;

private:
  uint64_t BaseIndex = 0;
  uint64_t BaseTerm = 0;
  uint64_t Bytes = 0;
  std::deque<Entry> Entries;
  /// Configurations by the index from which each is in force.
  std::map<uint64_t, Configuration> Configurations{{0, {}}};
};

} // namespace ferry::consensus

#endif

/// \file
/// Remembers which lives of targets have ended.
#ifndef FERRY_LIBMEMBERSHIP_TARGETMEMORY_H
#define FERRY_LIBMEMBERSHIP_TARGETMEMORY_H

#include "LibCore/Ids.h"
#include <cstdint>
#include <map>

namespace ferry::membership {

/// The greatest incarnation of each target that was seen or that left. A life
/// that has ended never comes back, also long after its record went.
class TargetMemory {
public:
  /// Targets that are remembered; the least recently noted go first.
  static constexpr size_t MaxTargets = 20'000;

  /// Takes an incarnation that was seen alive. \returns whether it is greater
  /// than all before.
  bool noteSeen(const TargetId &Target, Incarnation Life);

  /// Takes an incarnation that has left. \returns whether that is news.
  bool noteLeft(const TargetId &Target, Incarnation Life);

  /// \returns whether \p Life has ended: a greater one was seen, or it left.
  bool hasEnded(const TargetId &Target, Incarnation Life) const;

  /// \returns the greatest incarnation seen, or 0.
  Incarnation greatest(const TargetId &Target) const;

  size_t size() const { return Memories.size(); }

private:
  struct Memory {
    Incarnation Seen;
    Incarnation Left;
    uint64_t NotedAs = 0;
  };

  Memory &note(const TargetId &Target);

  std::map<TargetId, Memory> Memories;
  /// Targets by the order in which they were last noted.
  std::map<uint64_t, TargetId> Order;
  uint64_t NextNote = 1;
};

} // namespace ferry::membership

#endif

/// \file
/// Remembers which incarnations of targets have ended.
#ifndef FERRY_LIBMEMBERSHIP_TARGETMEMORY_H
#define FERRY_LIBMEMBERSHIP_TARGETMEMORY_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstdint>
#include <map>
#include <optional>

namespace ferry::membership {

/// The greatest incarnations of each target that were seen and that left. An
/// incarnation that has ended never returns, even long after its record was
/// removed.
class TargetMemory {
public:
  /// Number of targets that are remembered; the least recently updated ones are
  /// dropped first.
  static constexpr size_t MaxTargets = 20'000;

  /// Records an incarnation that was seen alive at \p Now. \returns whether it
  /// is greater than all earlier ones.
  bool recordSeen(const TargetId &Target, Incarnation Seen, Timestamp Now);

  /// Records an incarnation that has left. \returns whether this was not known
  /// yet.
  bool recordLeft(const TargetId &Target, Incarnation Left);

  /// \returns whether \p Candidate has ended: a greater incarnation was seen,
  /// or this one has left.
  bool hasEnded(const TargetId &Target, Incarnation Candidate) const;

  /// \returns the greatest incarnation seen, or 0.
  Incarnation greatest(const TargetId &Target) const;

  /// \returns whether the greatest incarnation followed another one and was
  /// first seen after \p Since.
  bool hasFollowed(const TargetId &Target, Timestamp Since) const;

  size_t size() const { return HistoryByTarget.size(); }

private:
  struct TargetHistory {
    Incarnation Seen;
    Incarnation Left;
    /// When Seen was first seen, if it followed another incarnation.
    std::optional<Timestamp> FollowedAt;
    uint64_t UpdateNumber = 0;
  };

  TargetHistory &touch(const TargetId &Target);

  std::map<TargetId, TargetHistory> HistoryByTarget;
  /// Targets in the order of their last updates.
  std::map<uint64_t, TargetId> TargetsByUpdate;
  uint64_t NextUpdateNumber = 1;
};

} // namespace ferry::membership

#endif

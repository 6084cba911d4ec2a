/// \file
/// The targets that announce themselves to one host, as a versioned list.
#ifndef FERRY_LIBMEMBERSHIP_ORIGINLIST_H
#define FERRY_LIBMEMBERSHIP_ORIGINLIST_H

#include "LibCore/TargetRecord.h"
#include "LibWire/Generated/Membership_types.h"
#include <map>

namespace ferry::membership {

/// No new work goes to a target this long after its last announcement arrived.
/// Together with StallThreshold this is the promised limit of three seconds.
inline constexpr Duration DefaultTrustDuration =
    std::chrono::milliseconds(2750);

/// How often the targets of a deployment announce themselves, and how long an
/// announcement is trusted.
struct TargetTiming {
  /// Time within which a target announces itself again.
  Duration AnnounceInterval = std::chrono::milliseconds(500);
  /// A target is late this long after its last announcement: two announcements
  /// are missing then.
  Duration LateAfter = std::chrono::milliseconds(1000);
  /// No new work goes to a target this long after its last announcement.
  Duration TrustDuration = DefaultTrustDuration;

  /// \returns the timing of targets that announce themselves every \p Interval
  /// and are trusted for \p TrustDuration.
  static TargetTiming forInterval(Duration Interval, Duration TrustDuration) {
    return {Interval, 2 * Interval + Interval / 4, TrustDuration};
  }
};

/// A process whose steps lie this far apart has stalled: the events that follow
/// may have waited in its buffers since the last step.
inline constexpr Duration StallThreshold = std::chrono::milliseconds(250);

/// Earlier than any message can have arrived; used for what has not been
/// received yet.
inline constexpr Timestamp DistantPast{Duration(-(int64_t{1} << 60))};

/// One target in an origin's list.
struct ListedTarget {
  /// UsableUntil is the end of the trust at the origin itself, and in a copy
  /// the end that was frozen when the target became late.
  TargetRecord Record;
  /// Version of the list with the last change of this target.
  uint64_t Version = 0;
  /// Version of the list with its last change other than of load figures.
  uint64_t StructureVersion = 0;
  /// Announcements are missing, so that heartbeats of the list no longer extend
  /// the trust in this target.
  bool Late = false;
  /// Removed from the list, but kept for a while so that copies learn of it.
  bool Gone = false;
};

/// The list of one incarnation of one host, the origin. Only the origin changes
/// it; every other host holds a copy that is complete up to its version and
/// applies deltas.
class OriginList {
public:
  /// What an announcement changed.
  enum class Change : uint8_t { None, Load, Structure };

  uint64_t version() const { return Version; }
  /// \returns the version of the last change other than of load figures.
  uint64_t structureVersion() const { return StructureVersion; }
  const std::map<TargetId, ListedTarget> &targets() const { return Targets; }

  /// Increases the version for a change of the origin's standing.
  void bumpVersion() { ++Version; }

  /// Updates a target's record at the origin. A change of load figures alone is
  /// stored without a new version, and is sent with a later change, unless
  /// \p Publish is Change::Load. \returns the change that got a new version.
  Change announce(const TargetRecord &Record, Change Publish);
  /// Marks \p Id late at the origin.
  void markLate(const TargetId &Id);
  /// Removes \p Id at the origin. \returns false if it is not listed.
  bool remove(const TargetId &Id);

  /// \returns the changes after \p HaveVersion, or the whole list if the
  /// removals since then have been forgotten. A delta is never truncated: a
  /// copy with only the old version of a target could not apply its load
  /// without its details.
  wire::OriginDelta deltaSince(uint64_t HaveVersion) const;

  /// Applies a delta to a copy. The trust in targets that become late is frozen
  /// at \p TrustedUntil. \returns whether the list has changed.
  bool apply(const wire::OriginDelta &Delta, Timestamp TrustedUntil);

  /// Adopts \p OtherStructureVersion from a host whose list has
  /// \p OtherVersion, if that list is no older than this one and this one has
  /// all of its structural changes.
  void updateStructureVersion(uint64_t OtherVersion,
                              uint64_t OtherStructureVersion);

private:
  ListedTarget &touch(const TargetId &Id);
  bool accepts(const wire::OriginDelta &Delta) const;
  void applyChange(const wire::TargetChange &Change, Timestamp TrustedUntil);
  void pruneGone();

  uint64_t Version = 0;
  uint64_t StructureVersion = 0;
  /// Deltas from a base version below this are not possible: removals have been
  /// forgotten.
  uint64_t MinBaseVersion = 0;
  std::map<TargetId, ListedTarget> Targets;
};

} // namespace ferry::membership

#endif

/// \file
/// The targets that announce themselves to one host, as a versioned list.
#ifndef FERRY_LIBMEMBERSHIP_ORIGINLIST_H
#define FERRY_LIBMEMBERSHIP_ORIGINLIST_H

#include "LibCore/TargetRecord.h"
#include "LibWire/Generated/Membership_types.h"
#include <map>

namespace ferry::membership {

/// No new work goes to a target this long after its last announcement came.
/// With StallAfter it makes the three seconds that are promised.
inline constexpr Duration TargetTrust = std::chrono::milliseconds(2750);

/// How targets of a deployment announce themselves and are trusted.
struct TargetTiming {
  /// Targets announce themselves again within this.
  Duration AnnounceInterval = std::chrono::milliseconds(500);
  /// A target that announced nothing for this long is late: two announcements
  /// are missing.
  Duration LateAfter = std::chrono::milliseconds(1000);
  /// No new work goes to a target this long after its last announcement.
  Duration Trust = TargetTrust;

  /// \returns the timing of targets that announce themselves each \p Interval
  /// and are kept for \p Trust.
  static TargetTiming forInterval(Duration Interval, Duration Trust) {
    return {Interval, 2 * Interval + Interval / 4, Trust};
  }
};

/// A process whose steps lie farther apart has stalled: what comes next may
/// have waited in its buffers since the last step.
inline constexpr Duration StallAfter = std::chrono::milliseconds(250);

/// Before all that any host can have heard.
inline constexpr Timestamp NeverHeard{Duration(-(int64_t{1} << 60))};

/// One target in an origin's list.
struct ListedTarget {
  /// UsableUntil is the trust that has been frozen or, at the origin itself,
  /// the whole of it.
  TargetRecord Record;
  /// Version of the list with this entry's last change.
  uint64_t Version = 0;
  /// Version with the last change other than of load figures.
  uint64_t Structure = 0;
  /// It misses announcements: the list's trust no longer covers it.
  bool Late = false;
  /// It has left the list; kept for a while, so that others learn it.
  bool Gone = false;
};

/// The list of one life of one host. The origin itself changes it; every other
/// host holds a copy that is complete up to its version and takes deltas.
class OriginList {
public:
  /// What changes with an announcement.
  enum class Change : uint8_t { None, Load, Structure };

  uint64_t version() const { return Version; }
  /// \returns the version of the last change other than of load figures.
  uint64_t structure() const { return Structure; }
  const std::map<TargetId, ListedTarget> &targets() const { return Targets; }

  /// Takes a version for a change of the origin's standing.
  void advance() { ++Version; }

  /// Takes a record at the origin; a load figure is only stored, to go with
  /// a later change, unless \p Publish is Change::Load.
  Change announce(const TargetRecord &Record, Change Publish);
  /// Marks \p Id late at the origin.
  void markLate(const TargetId &Id);
  /// Takes \p Id out at the origin. \returns false if it is not listed.
  bool remove(const TargetId &Id);

  /// \returns the changes behind \p Have, or the whole list if too much has
  /// been forgotten since. It is never cut: a copy that has an entry's old
  /// version only could not take its load without its details.
  wire::OriginDelta deltaSince(uint64_t Have) const;

  /// Takes a delta at a copy. Trust of targets that become late is frozen at
  /// \p Trust. \returns whether the list has changed.
  bool apply(const wire::OriginDelta &Delta, Timestamp Trust);

  /// Takes the structure that a host with this or a later version names.
  void learnStructure(uint64_t OtherVersion, uint64_t OtherStructure);

private:
  ListedTarget &touch(const TargetId &Id);
  bool accepts(const wire::OriginDelta &Delta) const;
  void applyChange(const wire::TargetChange &Change, Timestamp Trust);
  void forgetOldest();

  uint64_t Version = 0;
  uint64_t Structure = 0;
  /// Changes up to this version can't be told apart any more.
  uint64_t Floor = 0;
  std::map<TargetId, ListedTarget> Targets;
};

} // namespace ferry::membership

#endif

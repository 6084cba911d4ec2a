/// \file
/// What targets have asked of this router in the heads of their answers.
#ifndef FERRY_LIBROUTING_TARGETSIGNALS_H
#define FERRY_LIBROUTING_TARGETSIGNALS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstdint>
#include <map>
#include <utility>

namespace ferry::routing {

/// Remembers which targets leave and which have asked for a pause.
///
/// Answers the load of a rolling release, in which targets end while callers
/// still send, and of a burst, in which targets that are full ask to be left
/// alone. The entries are this router's own and outlive the targets' records:
/// a target whose record is lost for a moment must not be called again.
/// Owns no clock; callers serialise all calls.
class TargetSignals {
public:
  /// Number of incarnations that are remembered. Those that were updated least
  /// recently are dropped first.
  static constexpr size_t MaxEntries = 4096;
  /// Longest pause that a target can ask for.
  static constexpr Duration MaxPause = std::chrono::hours(24);
  /// After a pause, the number of requests that a target may have got since
  /// doubles with each step, starting from one.
  static constexpr Duration RampStep = std::chrono::milliseconds(100);
  static constexpr uint32_t RampSteps = 6;

  /// Notes that an incarnation leaves. \returns whether this is new.
  bool noteLeaving(const TargetId &Target, Incarnation Leaving);

  /// Notes that an incarnation wants no request before \p Until. An earlier end
  /// than the known one changes nothing. \returns whether the pause is longer
  /// than before.
  bool notePause(const TargetId &Target, Incarnation Asking, Timestamp Until,
                 Timestamp Now);

  /// Counts a request that is sent to the target.
  void noteSent(const TargetId &Target, Incarnation Current, Timestamp Now);

  /// \returns whether this incarnation, or a later one of the target, leaves.
  bool isLeaving(const TargetId &Target, Incarnation Current) const;

  /// Whether the target has asked for a pause that has not ended.
  bool isPaused(const TargetId &Target, Incarnation Current,
                Timestamp Now) const;

  /// \returns when the target accepts the next request: the end of its pause
  /// or of the current step after it; a time before \p Now if it accepts one
  /// now.
  Timestamp openFrom(const TargetId &Target, Incarnation Current,
                     Timestamp Now) const;

  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    bool Leaving = false;
    Timestamp PausedUntil;
    /// Requests sent since the end of the pause.
    uint32_t SentSince = 0;
    uint64_t UpdateNumber = 0;
  };
  using Key = std::pair<TargetId, Incarnation>;

  Entry &touch(const TargetId &Target, Incarnation Subject);

  std::map<Key, Entry> Entries;
  /// Keys in the order of their last updates.
  std::map<uint64_t, Key> KeysByUpdate;
  uint64_t NextUpdateNumber = 1;
};

} // namespace ferry::routing

#endif

/// \file
/// The leaves of targets that are recorded in the replicated log.
#ifndef FERRY_LIBCORE_LEAVELEDGER_H
#define FERRY_LIBCORE_LEAVELEDGER_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstddef>
#include <map>
#include <vector>

namespace ferry {

/// A target has left: this incarnation and all earlier ones get no new work.
struct RecordedLeave {
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// Position in the ledger. Numbers rise, also across a loss of all disks, as
  /// they follow the time of day.
  uint64_t Number = 0;
  bool operator==(const RecordedLeave &) const = default;
};

/// The newest recorded leaves, one for each target. The log's replicas record
/// them; all other hosts have copies, which are complete up to their newest
/// number. Deterministic: equal calls give equal ledgers.
class LeaveLedger {
public:
  /// Leaves that are kept; the oldest are dropped first. Enough for each target
  /// of the largest deployment to leave once before any is dropped.
  static constexpr size_t MaxLeaves = 4096;
  /// Longest id of a target that can be recorded, in bytes.
  static constexpr size_t MaxIdBytes = 128;

  /// \returns whether a target of this id can be recorded.
  static bool accepts(const TargetId &Target) {
    return !Target.empty() && Target.Value.size() <= MaxIdBytes;
  }

  /// Records that \p Left and the earlier incarnations have left, unless that
  /// is recorded already.
  /// \param LeftAt the time of day from which the number follows.
  void record(const TargetId &Target, Incarnation Left, UnixMillis LeftAt);

  /// Adds the next leave to a copy. \returns false if its number is not above
  /// the newest one, or if the leave is malformed.
  bool add(const RecordedLeave &Next);

  /// \returns whether a leave of \p Candidate or of a later incarnation is
  /// recorded.
  bool hasLeft(const TargetId &Target, Incarnation Candidate) const;
  /// \returns the incarnation whose leave is recorded, or 0.
  Incarnation left(const TargetId &Target) const;
  /// \returns the number of the newest leave, or 0.
  uint64_t newestNumber() const { return NewestNumber; }
  /// \returns at most \p MaxCount leaves after \p Number, the oldest first.
  std::vector<RecordedLeave> after(uint64_t Number,
                                   size_t MaxCount = MaxLeaves) const;
  size_t size() const { return NumberByTarget.size(); }

private:
  std::map<uint64_t, RecordedLeave> LeaveByNumber;
  std::map<TargetId, uint64_t> NumberByTarget;
  uint64_t NewestNumber = 0;
};

} // namespace ferry

#endif

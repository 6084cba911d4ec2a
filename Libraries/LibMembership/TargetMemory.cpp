#include "LibMembership/TargetMemory.h"
#include <algorithm>

namespace ferry::membership {

TargetMemory::TargetHistory &TargetMemory::touch(const TargetId &Target) {
  TargetHistory &History = HistoryByTarget[Target];
  TargetsByUpdate.erase(History.UpdateNumber);
  History.UpdateNumber = NextUpdateNumber++;
  TargetsByUpdate.emplace(History.UpdateNumber, Target);
  if (HistoryByTarget.size() > MaxTargets) {
    HistoryByTarget.erase(TargetsByUpdate.begin()->second);
    TargetsByUpdate.erase(TargetsByUpdate.begin());
  }
  return History;
}

bool TargetMemory::recordSeen(const TargetId &Target, Incarnation Seen,
                              Timestamp Now) {
  TargetHistory &History = touch(Target);
  bool IsNew = History.Seen < Seen;
  if (IsNew && History.Seen.Value != 0)
    History.FollowedAt = Now;
  History.Seen = std::max(History.Seen, Seen);
  return IsNew;
}

bool TargetMemory::recordLeft(const TargetId &Target, Incarnation Left) {
  TargetHistory &History = touch(Target);
  bool IsNew = History.Left < Left;
  History.Left = std::max(History.Left, Left);
  History.Seen = std::max(History.Seen, Left);
  return IsNew;
}

bool TargetMemory::hasEnded(const TargetId &Target,
                            Incarnation Candidate) const {
  auto It = HistoryByTarget.find(Target);
  if (It == HistoryByTarget.end())
    return false;
  return Candidate < It->second.Seen || Candidate <= It->second.Left;
}

Incarnation TargetMemory::greatest(const TargetId &Target) const {
  auto It = HistoryByTarget.find(Target);
  return It == HistoryByTarget.end() ? Incarnation{} : It->second.Seen;
}

bool TargetMemory::hasFollowed(const TargetId &Target, Timestamp Since) const {
  auto It = HistoryByTarget.find(Target);
  return It != HistoryByTarget.end() && It->second.FollowedAt &&
         *It->second.FollowedAt > Since;
}

} // namespace ferry::membership

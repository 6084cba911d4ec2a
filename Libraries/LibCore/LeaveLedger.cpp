#include "LibCore/LeaveLedger.h"
#include <algorithm>

namespace ferry {

void LeaveLedger::record(const TargetId &Target, Incarnation Left,
                         UnixMillis LeftAt) {
  if (hasLeft(Target, Left))
    return;
  auto Time = static_cast<uint64_t>(std::max<int64_t>(LeftAt.Value, 0));
  add({Target, Left, std::max(NewestNumber + 1, Time)});
}

bool LeaveLedger::add(const RecordedLeave &Next) {
  if (!accepts(Next.Target) || Next.Number <= NewestNumber)
    return false;
  NewestNumber = Next.Number;
  RecordedLeave Kept = Next;
  auto [Known, IsNew] = NumberByTarget.try_emplace(Next.Target, Next.Number);
  if (!IsNew) {
    Kept.Incarnation =
        std::max(Kept.Incarnation, LeaveByNumber.at(Known->second).Incarnation);
    LeaveByNumber.erase(Known->second);
    Known->second = Next.Number;
  }
  LeaveByNumber.emplace(Next.Number, std::move(Kept));
  if (LeaveByNumber.size() > MaxLeaves) {
    NumberByTarget.erase(LeaveByNumber.begin()->second.Target);
    LeaveByNumber.erase(LeaveByNumber.begin());
  }
  return true;
}

bool LeaveLedger::hasLeft(const TargetId &Target, Incarnation Candidate) const {
  auto Known = NumberByTarget.find(Target);
  return Known != NumberByTarget.end() &&
         Candidate <= LeaveByNumber.at(Known->second).Incarnation;
}

Incarnation LeaveLedger::left(const TargetId &Target) const {
  auto Known = NumberByTarget.find(Target);
  return Known == NumberByTarget.end()
             ? Incarnation{}
             : LeaveByNumber.at(Known->second).Incarnation;
}

std::vector<RecordedLeave> LeaveLedger::after(uint64_t Number,
                                              size_t MaxCount) const {
  std::vector<RecordedLeave> Leaves;
  for (auto Next = LeaveByNumber.upper_bound(Number);
       Next != LeaveByNumber.end() && Leaves.size() < MaxCount; ++Next)
    Leaves.push_back(Next->second);
  return Leaves;
}

} // namespace ferry

#include "LibMembership/TargetMemory.h"
#include <algorithm>

namespace ferry::membership {

TargetMemory::Memory &TargetMemory::note(const TargetId &Target) {
  Memory &Found = Memories[Target];
  Order.erase(Found.NotedAs);
  Found.NotedAs = NextNote++;
  Order.emplace(Found.NotedAs, Target);
  if (Memories.size() > MaxTargets) {
    Memories.erase(Order.begin()->second);
    Order.erase(Order.begin());
  }
  return Found;
}

bool TargetMemory::noteSeen(const TargetId &Target, Incarnation Life) {
  Memory &Found = note(Target);
  bool News = Found.Seen < Life;
  Found.Seen = std::max(Found.Seen, Life);
  return News;
}

bool TargetMemory::noteLeft(const TargetId &Target, Incarnation Life) {
  Memory &Found = note(Target);
  bool News = Found.Left < Life;
  Found.Left = std::max(Found.Left, Life);
  Found.Seen = std::max(Found.Seen, Life);
  return News;
}

bool TargetMemory::hasEnded(const TargetId &Target, Incarnation Life) const {
  auto Found = Memories.find(Target);
  if (Found == Memories.end())
    return false;
  return Life < Found->second.Seen || Life <= Found->second.Left;
}

Incarnation TargetMemory::greatest(const TargetId &Target) const {
  auto Found = Memories.find(Target);
  return Found == Memories.end() ? Incarnation{} : Found->second.Seen;
}

} // namespace ferry::membership

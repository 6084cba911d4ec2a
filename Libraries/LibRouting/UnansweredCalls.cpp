#include "LibRouting/UnansweredCalls.h"
#include <utility>

namespace ferry::routing {

void UnansweredCalls::add(UnansweredCall Call) {
  if (Calls.size() >= MaxCalls)
    Calls.pop_front();
  Calls.push_back(std::move(Call));
}

std::vector<UnansweredCall>
UnansweredCalls::takeEnded(const ReplacedTargets &Ended, Timestamp Now) {
  std::vector<UnansweredCall> Taken;
  std::deque<UnansweredCall> Kept;
  for (UnansweredCall &Each : Calls) {
    if (Each.Suspect.SeenAt + Lifetime <= Now)
      continue;
    if (Ended.contains(Each.Target, Each.Incarnation, Each.Address))
      Taken.push_back(std::move(Each));
    else
      Kept.push_back(std::move(Each));
  }
  Calls = std::move(Kept);
  return Taken;
}

} // namespace ferry::routing

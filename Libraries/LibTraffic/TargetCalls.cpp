#include "LibTraffic/TargetCalls.h"
#include <Poco/Exception.h>

namespace ferry::traffic {

using namespace ferry::routing;

TargetCalls::Id TargetCalls::add(const PlacedCall &Placed,
                                 const Poco::Net::StreamSocket &Socket) {
  std::lock_guard Lock(Mutex);
  InProgress.emplace(
      NextId, Entry{Placed.Target, Placed.Incarnation, Placed.Address, Socket});
  return NextId++;
}

bool TargetCalls::wasEnded(Id Call) const {
  std::lock_guard Lock(Mutex);
  auto Found = InProgress.find(Call);
  return Found != InProgress.end() && Found->second.Ended;
}

void TargetCalls::remove(Id Call) {
  std::lock_guard Lock(Mutex);
  InProgress.erase(Call);
}

void TargetCalls::noteUnanswered(const PlacedCall &Placed,
                                 const CrashSuspect &Suspect) {
  std::lock_guard Lock(Mutex);
  Unanswered.add({Placed.Target, Placed.Incarnation, Placed.Address, Suspect});
}

void TargetCalls::applyTargets(const std::vector<TargetRecord> &Announced,
                               const EndedHook &Report) {
  std::vector<UnansweredCall> Ended;
  {
    std::lock_guard Lock(Mutex);
    if (InProgress.empty() && Unanswered.empty())
      return;
    ReplacedTargets Replaced(Announced);
    for (auto &[Call, Each] : InProgress) {
      if (Each.Ended ||
          !Replaced.contains(Each.Target, Each.Incarnation, Each.Address))
        continue;
      Each.Ended = true;
      try {
        Each.Socket.shutdown();
      } catch (const Poco::Exception &) {
        // The connection has ended in the meantime.
      }
    }
    Ended = Unanswered.takeEnded(Replaced, steadyNow());
  }
  for (const UnansweredCall &Each : Ended)
    Report(Each);
}

} // namespace ferry::traffic

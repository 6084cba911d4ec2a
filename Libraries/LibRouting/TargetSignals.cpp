#include "LibRouting/TargetSignals.h"
#include <algorithm>

namespace ferry::routing {

TargetSignals::Entry &TargetSignals::touch(const TargetId &Target,
                                           Incarnation Subject) {
  Key Updated{Target, Subject};
  Entry &Found = Entries[Updated];
  KeysByUpdate.erase(Found.UpdateNumber);
  Found.UpdateNumber = NextUpdateNumber++;
  KeysByUpdate.emplace(Found.UpdateNumber, std::move(Updated));
  if (Entries.size() > MaxEntries) {
    Entries.erase(KeysByUpdate.begin()->second);
    KeysByUpdate.erase(KeysByUpdate.begin());
  }
  return Found;
}

bool TargetSignals::noteLeaving(const TargetId &Target, Incarnation Leaving) {
  return !std::exchange(touch(Target, Leaving).Leaving, true);
}

bool TargetSignals::notePause(const TargetId &Target, Incarnation Asking,
                              Timestamp Until, Timestamp Now) {
  Entry &Found = touch(Target, Asking);
  Timestamp End = std::min(Until, Now + MaxPause);
  if (End <= Found.PausedUntil)
    return false;
  Found.PausedUntil = End;
  Found.SentSince = 0;
  return true;
}

void TargetSignals::noteSent(const TargetId &Target, Incarnation Current,
                             Timestamp Now) {
  auto Found = Entries.find({Target, Current});
  if (Found != Entries.end() && Now >= Found->second.PausedUntil)
    ++Found->second.SentSince;
}

bool TargetSignals::isLeaving(const TargetId &Target,
                              Incarnation Current) const {
  // Incarnations of one target are neighbours in the map.
  auto Found = Entries.lower_bound({Target, Current});
  for (; Found != Entries.end() && Found->first.first == Target; ++Found)
    if (Found->second.Leaving)
      return true;
  return false;
}

bool TargetSignals::isPaused(const TargetId &Target, Incarnation Current,
                             Timestamp Now) const {
  auto Found = Entries.find({Target, Current});
  return Found != Entries.end() && Now < Found->second.PausedUntil;
}

Timestamp TargetSignals::openFrom(const TargetId &Target, Incarnation Current,
                                  Timestamp Now) const {
  auto Found = Entries.find({Target, Current});
  if (Found == Entries.end())
    return Now;
  const Entry &Signals = Found->second;
  // Step N ends at PausedUntil + N * RampStep and allows 2^(N-1) requests.
  for (uint32_t Step = 1; Step <= RampSteps; ++Step) {
    uint32_t Allowed = 1U << (Step - 1);
    if (Signals.SentSince < Allowed)
      return Signals.PausedUntil + (Step - 1) * RampStep;
  }
  return std::min(Now, Signals.PausedUntil + RampSteps * RampStep);
}

} // namespace ferry::routing

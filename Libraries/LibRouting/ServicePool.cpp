#include "LibRouting/ServicePool.h"
#include <algorithm>

namespace ferry::routing {

static constexpr double WindowSeconds = 0.5;
static constexpr double NewestWindowWeight = 0.3;
static constexpr double AnswerSampleWeight = 0.05;

void DrainMeter::close(Timestamp Now) {
  double Elapsed = secondsBetween(WindowStart, Now);
  if (Elapsed < WindowSeconds)
    return;
  // Without a backlog the work that left equals the work that arrived, which
  // says nothing about the service's capacity.
  if (WindowBacklogged) {
    double Sample = WindowWork / Elapsed;
    Rate = Rate ? *Rate + NewestWindowWeight * (Sample - *Rate) : Sample;
  }
  WindowStart = Now;
  WindowWork = 0;
  WindowBacklogged = true;
}

void DrainMeter::note(double Work, bool Backlogged, Timestamp Now) {
  WindowWork += Work;
  WindowBacklogged = WindowBacklogged && Backlogged;
  close(Now);
}

bool ServicePool::isIdle() const {
  return std::all_of(
      Targets.begin(), Targets.end(),
      [](const TargetState *Target) { return Target->ownRunning() == 0; });
}

void AnswerTime::note(double Seconds, uint64_t OutputTokens) {
  if (OutputTokens == 0)
    return;
  double Sample = Seconds / static_cast<double>(OutputTokens);
  SecondsPerOutputToken +=
      AnswerSampleWeight * (Sample - SecondsPerOutputToken);
}

} // namespace ferry::routing

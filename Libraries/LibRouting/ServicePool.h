/// \file
/// The targets, queue and retry budget of one service within the Scheduler.
#ifndef FERRY_LIBROUTING_SERVICEPOOL_H
#define FERRY_LIBROUTING_SERVICEPOOL_H

#include "LibConfig/Description.h"
#include "LibRouting/FairQueue.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/TargetState.h"
#include <optional>
#include <vector>

namespace ferry::routing {

/// Measures the rate at which work leaves a queue while requests wait in it.
class DrainMeter {
public:
  /// Counts \p Work prompt tokens that left the queue at \p Now.
  /// \param Backlogged whether requests still wait in the queue.
  void note(double Work, bool Backlogged, Timestamp Now);
  /// \returns the prompt tokens per second, or nothing before the first
  /// backlog.
  std::optional<double> rate() const { return Rate; }

private:
  void close(Timestamp Now);

  std::optional<double> Rate;
  Timestamp WindowStart;
  double WindowWork = 0;
  bool WindowBacklogged = false;
};

/// Smoothed time per output token from the first byte to the end of an answer.
struct AnswerTime {
  double SecondsPerOutputToken = 0;
  /// Adds an answer of \p OutputTokens that took \p Seconds after its first
  /// byte.
  void note(double Seconds, uint64_t OutputTokens);
};

/// The Scheduler's state of one service.
struct ServicePool {
  config::Service Service;
  std::vector<TargetState *> Targets;
  /// The targets of the cache stores that the service depends on.
  std::vector<TargetState *> Stores;
  FairQueue Queue;
  RetryBudget Budget;
  DrainMeter Drain;
  AnswerTime Answers;
  /// When an idle pool next admits, as a probe, a request that its estimates
  /// would refuse; zero before the first such refusal.
  Timestamp NextProbeAt;

  /// \returns whether this router has no try running on any of the targets.
  bool isIdle() const;
};

} // namespace ferry::routing

#endif

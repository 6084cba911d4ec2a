/// \file
/// One service's targets, queue and budgets within the Scheduler.
#ifndef FERRY_LIBROUTING_SERVICEPOOL_H
#define FERRY_LIBROUTING_SERVICEPOOL_H

#include "LibConfig/Description.h"
#include "LibRouting/FairQueue.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/TargetState.h"
#include <optional>
#include <vector>

namespace ferry::routing {

/// Measures the work that leaves a queue while requests wait in it.
class DrainMeter {
public:
  /// Counts \p Work prompt tokens that left at \p Now.
  void note(double Work, bool Backlogged, Timestamp Now);
  /// \returns prompt tokens per second, or nothing before the first backlog.
  std::optional<double> rate() const { return Rate; }

private:
  void close(Timestamp Now);

  std::optional<double> Rate;
  Timestamp WindowStart;
  double WindowWork = 0;
  bool WindowBacklogged = false;
};

/// Smoothed time from the first byte to the end of an answer.
struct AnswerTime {
  double SecondsPerOutputToken = 0;
  void note(double Seconds, uint64_t OutputTokens);
};

struct ServicePool {
  config::Service Service;
  std::vector<TargetState *> Targets;
  /// Cache stores that the service depends on.
  std::vector<TargetState *> Stores;
  FairQueue Queue;
  RetryBudget Budget;
  DrainMeter Drain;
  AnswerTime Answers;
  /// When an idle pool next takes a request that its estimates would refuse;
  /// zero before the first such refusal.
  Timestamp NextProbeAt;

  /// \returns whether no try of this router runs on its targets.
  bool isIdle() const;
};

} // namespace ferry::routing

#endif

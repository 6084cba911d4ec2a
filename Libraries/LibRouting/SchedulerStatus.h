/// \file
/// Figures of the Scheduler for the state dump and the metrics.
#ifndef FERRY_LIBROUTING_SCHEDULERSTATUS_H
#define FERRY_LIBROUTING_SCHEDULERSTATUS_H

#include "LibCache/CacheIndex.h"
#include "LibRouting/SchedulerEvents.h"
#include <map>
#include <vector>

namespace ferry::routing {

/// Counts since the start of the process.
struct SchedulerCounters {
  uint64_t Submitted = 0;
  uint64_t Dispatched = 0;
  uint64_t Retried = 0;
  uint64_t ExpectedCachedTokens = 0;
  uint64_t FoundCachedTokens = 0;
  uint64_t PromptTokens = 0;
  std::map<RefusalKind, uint64_t> Refused;
};

/// This router's estimates of one target.
struct TargetStatus {
  TargetId Target;
  ferry::Incarnation Incarnation;
  ServiceId Service;
  uint32_t OwnRunning = 0;
  double Occupancy = 0;
  double QueuedPrefillTokens = 0;
  double PrefillTokensPerSecond = 0;
  double DeviationSeconds = 0;
  double Limit = 0;
  double FailureRate = 0;
  Timestamp CoolUntil;
};

/// One flow of waiting requests.
struct FlowStatus {
  ServiceId Service;
  WorkspaceId Workspace;
  routing::Priority Priority = routing::Priority::Interactive;
  uint64_t Waiting = 0;
  double QueuedWorkTokens = 0;
};

struct SchedulerStatus {
  /// Requests that wait or run.
  uint64_t Known = 0;
  uint64_t Queued = 0;
  SchedulerCounters Counters;
  cache::CacheIndexStatus Cache;
  std::vector<TargetStatus> Targets;
  std::vector<FlowStatus> Flows;
};

} // namespace ferry::routing

#endif

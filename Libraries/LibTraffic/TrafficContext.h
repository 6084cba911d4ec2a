/// \file
/// State that all request handlers of one process share.
#ifndef FERRY_LIBTRAFFIC_TRAFFICCONTEXT_H
#define FERRY_LIBTRAFFIC_TRAFFICCONTEXT_H

#include "LibConfig/Settings.h"
#include "LibTraffic/ControlPort.h"
#include "LibTraffic/Dispatcher.h"
#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/TokenStore.h"
#include "LibTraffic/TrafficCounters.h"
#include <atomic>

namespace ferry::traffic {

/// Time limits of requests, each relative to the start of what it limits.
struct TrafficLimits {
  /// Longest wait for the first byte of an engine's answer.
  Duration FirstByteLimit = std::chrono::seconds(60);
  /// Longest wait for the next byte of a stream.
  Duration StallLimit = std::chrono::seconds(10);
  /// Time between two requests for a claim that another attempt holds.
  Duration ClaimPollPeriod = std::chrono::milliseconds(50);
  /// Longest wait for the ledger to commit the end of a call.
  Duration SettleLimit = std::chrono::seconds(3);
};

/// The state that the handlers share. Outlives them.
struct TrafficContext {
  config::Settings Settings;
  ferry::Incarnation Incarnation;
  ControlPort Control;
  TrafficLimits Limits;
  TokenStore Tokens;
  Dispatcher &Placements;
  TrafficCounters Counters;
  /// Numbers the requests of this process.
  std::atomic<uint64_t> NextRequest{1};
  /// New requests are refused from then on, for the graceful shutdown.
  std::atomic<Timestamp> RefuseFrom{NeverExpires};
  /// Number of callers' requests in progress, without those for entries.
  std::atomic<int64_t> ActiveRequests{0};
  /// Limit of the bytes of all answers above BudgetShare::FreeBytes.
  static constexpr uint64_t MaxLargeAnswerBytes = 32ULL << 20;
  ByteBudget LargeAnswers{MaxLargeAnswerBytes};
};

} // namespace ferry::traffic

#endif

/// \file
/// Counters of the HTTP servers, for metrics.
#ifndef FERRY_LIBTRAFFIC_TRAFFICCOUNTERS_H
#define FERRY_LIBTRAFFIC_TRAFFICCOUNTERS_H

#include "LibCore/EnumNames.h"
#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace ferry::traffic {

enum class TrafficCount : uint8_t {
  Requests,
  AnsweredWhole,
  Refused,
  FailedTries,
  StreamsResumed,
  StreamsLost,
  EchoMismatches,
  CallersLeft,
  ClaimedCalls,
  CallsUnknown,
  LateSendsStopped
};

/// One counter for each TrafficCount. Thread-safe.
class TrafficCounters {
public:
  void add(TrafficCount Count) { ++Values[static_cast<size_t>(Count)]; }
  uint64_t value(TrafficCount Count) const {
    return Values[static_cast<size_t>(Count)];
  }
  /// \returns all counters in the Prometheus text format.
  std::string metricsText() const;

private:
  static constexpr size_t Size =
      static_cast<size_t>(TrafficCount::LateSendsStopped) + 1;
  std::array<std::atomic<uint64_t>, Size> Values{};
};

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::TrafficCount> {
  using Count = traffic::TrafficCount;
  static constexpr EnumName<Count> Table[] = {
      {Count::Requests, "requests"},
      {Count::AnsweredWhole, "answered_whole"},
      {Count::Refused, "refused"},
      {Count::FailedTries, "failed_tries"},
      {Count::StreamsResumed, "streams_resumed"},
      {Count::StreamsLost, "streams_lost"},
      {Count::EchoMismatches, "echo_mismatches"},
      {Count::CallersLeft, "callers_left"},
      {Count::ClaimedCalls, "claimed_calls"},
      {Count::CallsUnknown, "calls_unknown"},
      {Count::LateSendsStopped, "late_sends_stopped"}};
};

} // namespace ferry

#endif

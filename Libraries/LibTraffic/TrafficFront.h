/// \file
/// The whole HTTP side of one ferryd.
#ifndef FERRY_LIBTRAFFIC_TRAFFICFRONT_H
#define FERRY_LIBTRAFFIC_TRAFFICFRONT_H

#include "LibTraffic/CallerServer.h"
#include "LibTraffic/OperatorServer.h"
#include "LibTraffic/TargetServer.h"
#include "LibTraffic/TrafficContext.h"
#include <functional>
#include <memory>
#include <string>

namespace ferry::traffic {

/// What a TrafficFront is built from.
struct TrafficOptions {
  config::Settings Settings;
  /// This life of the host; greater than that of any earlier one.
  ferry::Incarnation Incarnation;
  ControlPort Control;
  routing::Scheduler::Options Scheduler;
  /// Metrics of the other parts, in the Prometheus text format.
  std::function<std::string()> MetricsText = [] { return std::string(); };
  TrafficLimits Limits;
};

/// Owns the dispatcher and the servers for callers, targets and operators.
class TrafficFront {
public:
  /// Reads the tokens, binds all addresses and serves at once.
  static Result<std::unique_ptr<TrafficFront>, TrafficError>
  tryStart(TrafficOptions Options);

  ~TrafficFront();
  TrafficFront(const TrafficFront &) = delete;
  TrafficFront &operator=(const TrafficFront &) = delete;

  /// Takes a snapshot from the control thread. The first one that shows this
  /// host as draining begins the drain.
  void setView(routing::RoutingViewPtr View);

  /// Begins the drain: entries that were given out stay good, then new work is
  /// refused. Has no effect the second time.
  void beginDrain();

  /// Whether new work is refused and nothing is in hand.
  bool drained() const;

  /// Blocks until drained() or the settings' drain limit after the entries have
  /// expired. Only after beginDrain().
  void awaitDrained();

  /// Ends all servers; requests in work have until \p Deadline.
  void stop(Timestamp Deadline);

  std::string callerAddress() const { return Callers->address(); }
  std::string targetAddress() const { return Targets->address(); }
  std::string operatorAddress() const { return Operators->address(); }

  Dispatcher &placements() { return Placements; }
  const TrafficCounters &counters() const { return Context.Counters; }
  /// \returns the state of the HTTP side as a JSON object.
  std::string dumpJson() const;

private:
  TrafficFront(TrafficOptions &&Options, TokenStore Tokens);

  Dispatcher Placements;
  TrafficContext Context;
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<TargetServer> Targets;
  std::unique_ptr<OperatorServer> Operators;
};

} // namespace ferry::traffic

#endif

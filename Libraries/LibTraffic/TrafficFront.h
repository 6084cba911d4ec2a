/// \file
/// All HTTP servers of one ferryd.
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
  /// The incarnation of this process; greater than every earlier one.
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
  /// Reads the tokens, binds all addresses and starts to serve.
  static Result<std::unique_ptr<TrafficFront>, TrafficError>
  tryStart(TrafficOptions Options);

  ~TrafficFront();
  TrafficFront(const TrafficFront &) = delete;
  TrafficFront &operator=(const TrafficFront &) = delete;

  /// Sets a new snapshot from the control thread. The first snapshot that shows
  /// this host as draining begins the drain.
  void setView(routing::RoutingViewPtr View);

  /// Begins the drain: new requests are refused once the entries that callers
  /// have received are expired. Further calls have no effect.
  void beginDrain();

  /// Whether new requests are refused and none is in progress.
  bool drained() const;

  /// Blocks until drained(), for at most the settings' drain limit after the
  /// expiry of the entries. May be called only after beginDrain().
  void awaitDrained();

  /// Stops all servers. Requests in progress may finish until \p Deadline.
  void stop(Timestamp Deadline);

  std::string callerAddress() const { return Callers->address(); }
  std::string targetAddress() const { return Targets->address(); }
  std::string operatorAddress() const { return Operators->address(); }

  Dispatcher &placements() { return Placements; }
  const TrafficCounters &counters() const { return Context.Counters; }
  /// \returns the state of the HTTP servers as a JSON object.
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

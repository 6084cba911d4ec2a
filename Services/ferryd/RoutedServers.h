/// \file
/// The listeners of a daemon with the routed interface.
#ifndef FERRY_FERRYD_ROUTEDSERVERS_H
#define FERRY_FERRYD_ROUTEDSERVERS_H

#include "LibTraffic/MetricsServer.h"
#include "LibTraffic/RoutedFront.h"
#include "ferryd/ControlPlane.h"
#include "platform/ControlApi.h"
#include "platform/Directory.h"

namespace ferry::daemon {

/// \returns the platform's formats and calls, for host \p Self.
PlatformBindings platformBindings(const HostId &Self);

/// Owns the servers of the host's role: those for callers, for the directory
/// and readiness, for targets and operators, and for metrics.
class RoutedServers {
public:
  /// Starts the servers that the settings name addresses for.
  static Result<std::unique_ptr<RoutedServers>, StartError>
  tryStart(const config::Settings &Settings, ControlPlane &Control);

  void setView(const routing::RoutingViewPtr &View);
  /// \returns the server for callers; nullptr on a host that serves none.
  traffic::RoutedFront *front() { return Front.get(); }
  void beginDrain();
  /// Blocks until callers have had the time to switch to other hosts and no
  /// request is active, or until the grace is nearly over.
  void awaitDrained();
  void stop(Timestamp Deadline);

private:
  RoutedServers(const config::Settings &Settings) : Settings(Settings) {}
  Result<void, traffic::TrafficError> tryServe(ControlPlane &Control);
  std::vector<std::string> entriesFor(const std::string &DataCentre) const;
  bool isReady() const;

  config::Settings Settings;
  observe::Metrics Metrics;
  std::unique_ptr<traffic::RoutedFront> Front;
  std::unique_ptr<platform::Directory> Directory;
  std::unique_ptr<platform::ControlApi> Api;
  std::unique_ptr<traffic::MetricsServer> MetricsEndpoint;
  mutable std::mutex Mutex;
  routing::RoutingViewPtr View;
  /// Requests are served until then, for callers that still have this host's
  /// address.
  Timestamp RefuseFrom = NeverExpires;
  /// The drain ends then, even if requests are active.
  Timestamp DrainLimit = NeverExpires;
};

} // namespace ferry::daemon

#endif

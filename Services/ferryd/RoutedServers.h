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

/// \returns what the platform brings, for host \p Self.
RoutedParts platformParts(const HostId &Self);

/// Owns what the role serves: callers, directory and readiness, or the calls of
/// targets and operators; and the figures of both.
class RoutedServers {
public:
  static Result<std::unique_ptr<RoutedServers>, StartError>
  tryStart(const config::Settings &Settings, ControlPlane &Control);

  void setView(const routing::RoutingViewPtr &View);
  /// nullptr on a host that routes nothing.
  traffic::RoutedFront *front() { return Front.get(); }
  void beginDrain();
  /// Blocks until callers have had the time to go elsewhere and nothing is in
  /// hand, or until the grace is nearly over.
  void awaitDrained();
  void stop(Timestamp Deadline);

private:
  RoutedServers(const config::Settings &Settings) : Settings(Settings) {}
  Result<void, traffic::TrafficError> tryServe(ControlPlane &Control);
  std::vector<std::string> entriesFor(const std::string &DataCentre) const;
  bool isReady() const;

  config::Settings Settings;
  observe::Metrics Figures;
  std::unique_ptr<traffic::RoutedFront> Front;
  std::unique_ptr<platform::Directory> Directory;
  std::unique_ptr<platform::ControlApi> Api;
  std::unique_ptr<traffic::MetricsServer> Shown;
  mutable std::mutex Mutex;
  routing::RoutingViewPtr View;
  Timestamp DrainedFrom = NeverExpires;
  Timestamp DrainLimit = NeverExpires;
};

} // namespace ferry::daemon

#endif

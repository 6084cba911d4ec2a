/// \file
/// A ferryd process: its control plane, its traffic servers, their start and
/// shutdown.
#ifndef FERRY_FERRYD_DAEMON_H
#define FERRY_FERRYD_DAEMON_H

#include "LibObserve/Guard.h"
#include "LibTraffic/TrafficFront.h"
#include "ferryd/ControlPlane.h"
#include "ferryd/RoutedServers.h"
#include <thread>

namespace ferry::daemon {

/// Owns all parts of the process. The main thread starts and stops it.
class Daemon {
public:
  /// Starts everything; requests are answered once this returns.
  /// \param DrainRequested called from any thread when an operator requests
  /// the graceful shutdown; the owner then calls drainAndStop().
  /// \returns the daemon, or why it could not start.
  static Result<std::unique_ptr<Daemon>, StartError>
  tryStart(const config::Settings &Settings,
           std::function<void()> DrainRequested);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Removes this host from the entries, serves until the entries that callers
  /// hold have expired, finishes the active requests, and stops.
  void drainAndStop();

  /// Applies the seeds of \p NewSettings. Other settings need a restart.
  void reload(const config::Settings &NewSettings);

  /// Stops without a drain; active requests get a short grace.
  void stop();

private:
  explicit Daemon(const config::Settings &Settings);
  Result<void, StartError>
  tryStartControl(std::function<void()> DrainRequested);
  void setCapHooks(CapHooks &Hooks);
  Result<void, StartError> tryStartTraffic();
  Result<void, StartError> tryStartNative();
  Result<void, StartError> tryStartRouted();
  std::string metricsText();
  void stopControl();

  config::Settings Settings;
  ControlLoop Loop{[](std::string_view Reason) {
    observe::logWorkFailed("control", Reason);
  }};
  std::unique_ptr<ControlPlane> Control;
  /// Serves the native interface; nullptr with the routed one.
  std::unique_ptr<traffic::TrafficFront> Traffic;
  /// Serves the routed interface; nullptr with the native one.
  std::unique_ptr<RoutedServers> Routed;
  observe::Metrics RoutingMetrics;
  std::thread ControlThread;
};

} // namespace ferry::daemon

#endif

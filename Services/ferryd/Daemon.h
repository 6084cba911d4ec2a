/// \file
/// One ferryd: the control side, the traffic side and their shutdown.
#ifndef FERRY_FERRYD_DAEMON_H
#define FERRY_FERRYD_DAEMON_H

#include "LibTraffic/TrafficFront.h"
#include "ferryd/ControlPlane.h"
#include "ferryd/RoutedServers.h"
#include <thread>

namespace ferry::daemon {

/// Owns all parts of the process. Started and stopped on the main thread.
class Daemon {
public:
  /// Starts everything; requests are answered once this returns.
  /// \param DrainRequested called from any thread when an operator asks for
  /// the graceful shutdown; the owner then calls drainAndStop().
  static Result<std::unique_ptr<Daemon>, StartError>
  tryStart(const config::Settings &Settings,
           std::function<void()> DrainRequested);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Leaves the entry lists, serves until given-out entries have expired,
  /// finishes what runs, and stops.
  void drainAndStop();

  /// Takes what may change while the daemon runs: the seeds. The rest needs a
  /// restart.
  void reload(const config::Settings &Newer);

  /// Stops without waiting for requests in hand.
  void stop();

private:
  explicit Daemon(const config::Settings &Settings);
  Result<void, StartError>
  tryStartControl(std::function<void()> DrainRequested);
  Result<void, StartError> tryStartTraffic();
  Result<void, StartError> tryStartNative();
  Result<void, StartError> tryStartRouted();
  std::string metricsText();
  void stopControl();

  config::Settings Settings;
  ControlLoop Loop;
  std::unique_ptr<ControlPlane> Control;
  /// One of the two, by the settings' interface.
  std::unique_ptr<traffic::TrafficFront> Traffic;
  std::unique_ptr<RoutedServers> Routed;
  observe::Metrics RoutingFigures;
  std::thread ControlThread;
};

} // namespace ferry::daemon

#endif

/// \file
/// The HTTP side of a router with the routed interface.
#ifndef FERRY_LIBTRAFFIC_ROUTEDFRONT_H
#define FERRY_LIBTRAFFIC_ROUTEDFRONT_H

#include "LibTraffic/HttpListener.h"
#include "LibTraffic/RoutedContext.h"
#include <memory>

namespace ferry::traffic {

/// Owns the callers' listener and the decisions behind it.
class RoutedFront {
public:
  /// Binds the callers' address and serves at once; without routes it answers
  /// that none are known yet.
  static Result<std::unique_ptr<RoutedFront>, TrafficError>
  tryStart(const config::Settings &Settings, RouteDialect Dialect,
           observe::Metrics &Figures,
           routing::RoutedPlacement::Options Options);
  ~RoutedFront();
  RoutedFront(const RoutedFront &) = delete;
  RoutedFront &operator=(const RoutedFront &) = delete;

  /// Takes a snapshot from the control thread.
  void setView(routing::RoutingViewPtr View) {
    Context.Placements.setView(std::move(View));
  }

  /// Whether callers should be sent here: routes and targets are known, and the
  /// host is not leaving.
  bool isReady() const;

  /// Callers keep what a directory told them: requests are still served, and
  /// their connections closed.
  /// From \p RefuseFrom on the requests that still come are refused.
  void beginDrain(Timestamp RefuseFrom) {
    Context.Leaving = true;
    Context.RefuseFrom = RefuseFrom;
  }

  int64_t inHand() const { return Context.InHand; }
  /// The "IP:port" for callers.
  const std::string &address() const { return Listener->address(); }

  /// Takes no new connections; requests in work have until \p Deadline.
  void stop(Timestamp Deadline);

  SharedPlacement &placements() { return Context.Placements; }

private:
  RoutedFront(const config::Settings &Settings, RouteDialect Dialect,
              observe::Metrics &Figures,
              routing::RoutedPlacement::Options Options);

  RoutedContext Context;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif

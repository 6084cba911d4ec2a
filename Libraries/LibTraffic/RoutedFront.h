/// \file
/// The HTTP server of a router with the routed interface.
#ifndef FERRY_LIBTRAFFIC_ROUTEDFRONT_H
#define FERRY_LIBTRAFFIC_ROUTEDFRONT_H

#include "LibTraffic/HttpListener.h"
#include "LibTraffic/RoutedContext.h"
#include <memory>

namespace ferry::traffic {

/// Owns the callers' listener, the placement and the retry shares.
class RoutedFront {
public:
  /// Binds the callers' address and starts to serve. Until the first routes
  /// arrive, requests are refused with a time to retry.
  static Result<std::unique_ptr<RoutedFront>, TrafficError>
  tryStart(const config::Settings &Settings, RouteDialect Dialect,
           observe::Metrics &Metrics, routing::RoutedPlacement::Options Options,
           RoutedHooks Hooks = {});
  ~RoutedFront();
  RoutedFront(const RoutedFront &) = delete;
  RoutedFront &operator=(const RoutedFront &) = delete;

  /// Sets a new snapshot from the control thread.
  void setView(const routing::RoutingViewPtr &View);

  /// Whether the host is ready for callers: it knows routes and targets and is
  /// not draining.
  bool isReady() const;

  /// Starts the drain. Callers may still have this host's address from a
  /// directory, so requests are served until \p RefuseFrom. From then on those
  /// that were not sent to a target yet are refused as not run. Connections are
  /// closed after each answer.
  /// \param AnswerBy when the last answers are due; see endTargetCalls().
  void beginDrain(Timestamp RefuseFrom, Timestamp AnswerBy) {
    Context.Draining = true;
    Context.AnswerBy = AnswerBy;
    Context.RefuseFrom = RefuseFrom;
  }

  /// Ends the waits for targets that began before the drain. To be called once
  /// \c AnswerBy has passed: the callers get an error that leaves open whether
  /// the request ran, in place of a connection that ends without an answer.
  void endTargetCalls() { Context.CallsInProgress.endAll(); }

  /// \returns the number of requests in progress.
  int64_t activeRequests() const { return Context.ActiveRequests; }
  /// The "IP:port" for callers.
  const std::string &address() const { return Listener->address(); }

  /// Stops the listener. Requests in progress may finish until \p Deadline.
  void stop(Timestamp Deadline);

  SharedPlacement &placements() { return Context.Placements; }
  SharedStreamBuilds &streams() { return Context.Streams; }
  SharedCaps &caps() { return Context.Caps; }

  /// \returns what this router has learnt since the last call and the others
  /// need.
  routing::Beliefs takeNews();
  /// \returns all that this router believes.
  routing::Beliefs beliefs();
  /// \returns what this router says of its reach to others.
  routing::RouterReach reach() const;
  /// Whether other routers are to be asked for their reach.
  bool needsHelpers() const { return Context.Reach.isCutOff(); }
  void noteHelper(const HostId &Router, const routing::RouterReach &Reach) {
    Context.Reach.noteHelper(Router, Reach);
  }

  /// Applies what another router tells. \param PassOn whether changes are news
  /// for further routers.
  void applyBeliefs(const routing::Beliefs &Told, bool PassOn);

private:
  RoutedFront(const config::Settings &Settings, RouteDialect Dialect,
              observe::Metrics &Metrics,
              routing::RoutedPlacement::Options Options, RoutedHooks Hooks);

  RoutedContext Context;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif

/// \file
/// The immutable snapshot of the deployment that traffic threads read.
#ifndef FERRY_LIBROUTING_ROUTINGVIEW_H
#define FERRY_LIBROUTING_ROUTINGVIEW_H

#include "LibConfig/Description.h"
#include "LibConfig/RouteTable.h"
#include "LibCore/HostStanding.h"
#include "LibCore/Ids.h"
#include "LibCore/TargetRecord.h"
#include "LibCore/Time.h"
#include <memory>
#include <string>
#include <vector>

namespace ferry::routing {

using ferry::HostStanding;

/// One host as this router sees it.
struct HostView {
  HostId Id;
  DataCentreId DataCentre;
  /// "IP:port" for callers.
  std::string CallerAddress;
  HostStanding Standing = HostStanding::Silent;
  /// The greatest incarnation known; 0 if none is known yet.
  ferry::Incarnation Incarnation = {};
};

/// The hosts, targets, description and routes that this router knows at one
/// moment. The control thread builds it and shares it read-only with the
/// traffic threads.
struct RoutingView {
  HostId Self;
  DataCentreId DataCentre;
  /// Number of the description in force here; 0 before the first one.
  DescriptionNumber Number;
  /// nullptr before the first description.
  std::shared_ptr<const config::Description> Description;
  /// The routes in force, on hosts with the routed interface.
  std::shared_ptr<const config::RouteTable> Routes;
  /// Number of the description with which the cache began that workspaces
  /// share. What was cached before may be of one that is isolated now.
  DescriptionNumber SharedCacheSince;
  /// New work is refused after this, because a newer description may be in
  /// force elsewhere.
  Timestamp ConfirmedUntil;
  /// The greatest number that another host is known to have in force; 0 if none
  /// is known.
  DescriptionNumber NewestElsewhere;
  /// Standing of this host; Draining once its graceful shutdown has begun.
  HostStanding OwnStanding = HostStanding::Serving;
  std::vector<TargetRecord> Targets;
  std::vector<HostView> Hosts;

  /// \returns whether the routes are known to be the newest ones. What they
  /// allow is served in any case, as no control host may be left to confirm
  /// them; what they do not allow must not be refused for good without it.
  bool vouchesForRoutes(Timestamp Now) const {
    return Now < ConfirmedUntil && NewestElsewhere <= Number;
  }

  /// \returns the routers that serve callers, this one included if it does.
  std::vector<HostId> servingRouters() const {
    std::vector<HostId> Serving;
    for (const HostView &Host : Hosts)
      if (Host.Standing == HostStanding::Serving && !Host.CallerAddress.empty())
        Serving.push_back(Host.Id);
    return Serving;
  }
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

} // namespace ferry::routing

#endif

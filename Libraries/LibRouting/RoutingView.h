/// \file
/// The immutable snapshot that traffic threads read.
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
  /// The greatest incarnation heard of; 0 before the first.
  ferry::Incarnation Incarnation = {};
};

/// What this router knows at one moment. Built by the control thread; shared
/// read-only with the traffic threads.
struct RoutingView {
  HostId Self;
  DataCentreId DataCentre;
  /// The number in force here; 0 before the first description.
  DescriptionNumber Number;
  /// nullptr before the first description.
  std::shared_ptr<const config::Description> Description;
  /// The routes in force, on hosts with the routed interface.
  std::shared_ptr<const config::RouteTable> Routes;
  /// New work is refused after this: the number may be out of date.
  Timestamp ConfirmedUntil;
  /// Set once this host has begun its graceful shutdown.
  HostStanding OwnStanding = HostStanding::Serving;
  std::vector<TargetRecord> Targets;
  std::vector<HostView> Hosts;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

} // namespace ferry::routing

#endif

/// \file
/// The platform's formats and calls for a daemon with the routed interface.
#ifndef FERRY_FERRYD_PLATFORMBINDINGS_H
#define FERRY_FERRYD_PLATFORMBINDINGS_H

#include "LibTraffic/RouteDialect.h"
#include "ferryd/DescriptionHolder.h"
#include "ferryd/OrderDialect.h"
#include <optional>

namespace ferry::daemon {

/// The formats and calls that a platform provides.
struct PlatformBindings {
  /// Parses descriptions.
  DescriptionReader ReadDescription = readNativeDescription;
  /// The calls that give engines orders; nothing for native engines.
  std::optional<OrderDialect> Orders;
  traffic::RouteDialect Route;
};

} // namespace ferry::daemon

#endif

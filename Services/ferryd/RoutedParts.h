/// \file
/// What a platform brings to a daemon with the routed interface.
#ifndef FERRY_FERRYD_ROUTEDPARTS_H
#define FERRY_FERRYD_ROUTEDPARTS_H

#include "LibTraffic/RouteDialect.h"
#include "ferryd/DescriptionHolder.h"
#include "ferryd/OrderDialect.h"
#include <optional>

namespace ferry::daemon {

/// All of it names, formats and calls.
struct RoutedParts {
  DescriptionReader ReadRoutes = readNative;
  std::optional<OrderDialect> Orders;
  traffic::RouteDialect Route;
};

} // namespace ferry::daemon

#endif

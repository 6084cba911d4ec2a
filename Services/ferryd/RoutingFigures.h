/// \file
/// The scheduler's state in the dump and in the metrics.
#ifndef FERRY_FERRYD_ROUTINGFIGURES_H
#define FERRY_FERRYD_ROUTINGFIGURES_H

#include "LibObserve/Metrics.h"
#include "LibRouting/SchedulerStatus.h"
#include <Poco/JSON/Object.h>

namespace ferry::daemon {

/// \returns \p Status as a section of the dump.
Poco::JSON::Object::Ptr routingSection(const routing::SchedulerStatus &Status);

/// Sets the gauges of \p Figures to \p Status.
void setRoutingFigures(observe::Metrics &Figures,
                       const routing::SchedulerStatus &Status);

} // namespace ferry::daemon

#endif

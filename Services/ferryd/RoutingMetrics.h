/// \file
/// The scheduler's section of the state dump, and its metrics.
#ifndef FERRY_FERRYD_ROUTINGMETRICS_H
#define FERRY_FERRYD_ROUTINGMETRICS_H

#include "LibObserve/Metrics.h"
#include "LibRouting/SchedulerStatus.h"
#include <Poco/JSON/Object.h>

namespace ferry::daemon {

/// \returns \p Status as a section of the state dump.
Poco::JSON::Object::Ptr routingSection(const routing::SchedulerStatus &Status);

/// Sets the gauges in \p Metrics to the values of \p Status.
void setRoutingMetrics(observe::Metrics &Metrics,
                       const routing::SchedulerStatus &Status);

} // namespace ferry::daemon

#endif

/// \file
/// The sections of the scheduler and of caps in the state dump, and their
/// metrics.
#ifndef FERRY_FERRYD_ROUTINGMETRICS_H
#define FERRY_FERRYD_ROUTINGMETRICS_H

#include "LibObserve/Metrics.h"
#include "LibRouting/SchedulerStatus.h"
#include "LibTraffic/SharedCaps.h"
#include <Poco/JSON/Object.h>

namespace ferry::daemon {

/// \returns \p Status as a section of the state dump.
Poco::JSON::Object::Ptr routingSection(const routing::SchedulerStatus &Status);

/// Sets the gauges in \p Metrics to the values of \p Status.
void setRoutingMetrics(observe::Metrics &Metrics,
                       const routing::SchedulerStatus &Status);

/// \returns the caps that \p Caps knows as a section of the state dump.
Poco::JSON::Object::Ptr capsSection(traffic::SharedCaps &Caps);

/// Sets the gauges in \p Metrics to the values of \p Caps.
void setCapMetrics(observe::Metrics &Metrics, traffic::SharedCaps &Caps);

} // namespace ferry::daemon

#endif

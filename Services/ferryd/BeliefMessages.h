/// \file
/// Beliefs in the form in which they are sent and stored.
#ifndef FERRY_FERRYD_BELIEFMESSAGES_H
#define FERRY_FERRYD_BELIEFMESSAGES_H

#include "LibCore/Time.h"
#include "LibRouting/Beliefs.h"
#include "LibWire/Generated/Routing_types.h"

namespace ferry::daemon {

/// \returns the whole milliseconds of \p Span, at least 0.
int32_t wireMillis(Duration Span);
Duration fromWireMillis(int32_t Millis);

/// Points in time become ages at \p Now, as the clocks of hosts differ.
wire::QuarantinedParts toWire(const routing::QuarantinedParts &Set,
                              Timestamp Now);
routing::QuarantinedParts fromWire(const wire::QuarantinedParts &Fields,
                                   Timestamp Now);

wire::BeliefMessage toWire(const routing::Beliefs &Known, Timestamp Now);
routing::Beliefs fromWire(const wire::BeliefMessage &Message, Timestamp Now);

} // namespace ferry::daemon

#endif

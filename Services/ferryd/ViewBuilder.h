/// \file
/// Builds the snapshot that traffic threads read.
#ifndef FERRY_FERRYD_VIEWBUILDER_H
#define FERRY_FERRYD_VIEWBUILDER_H

#include "LibConfig/Settings.h"
#include "LibMembership/Events.h"
#include "LibRouting/RoutingView.h"
#include "ferryd/DescriptionHolder.h"

namespace ferry::daemon {

/// The parts of a snapshot.
struct ViewInputs {
  const config::Settings &Settings;
  const DescriptionHolder &Holder;
  Timestamp ConfirmedUntil;
  membership::Standing OwnStanding;
  std::vector<TargetRecord> Targets;
  std::vector<membership::HostState> Hosts;
  /// The weights that engines should have, if the description has only routes.
  std::shared_ptr<const config::Description> WantedWeights = nullptr;
};

/// \returns the snapshot made of \p Inputs.
routing::RoutingViewPtr buildView(const ViewInputs &Inputs);

} // namespace ferry::daemon

#endif

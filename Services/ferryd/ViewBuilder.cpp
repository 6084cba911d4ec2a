#include "ferryd/ViewBuilder.h"
#include <algorithm>

namespace ferry::daemon {

static routing::HostView hostView(const config::Settings &Settings,
                                  const membership::HostState &Host) {
  routing::HostView View;
  View.Id = Host.Id;
  View.DataCentre = Host.DataCentre;
  View.Standing = Host.Standing;
  View.Incarnation = Host.Incarnation;
  if (const config::PeerHost *Configured = Settings.findHost(Host.Id))
    View.CallerAddress = Configured->CallerAddress;
  else
    View.CallerAddress = Host.CallerAddress;
  return View;
}

routing::RoutingViewPtr buildView(const ViewInputs &Inputs) {
  auto View = std::make_shared<routing::RoutingView>();
  View->Self = Inputs.Settings.Host;
  View->DataCentre = Inputs.Settings.DataCentre;
  View->Number = Inputs.Holder.number();
  View->Description =
      Inputs.WantedWeights ? Inputs.WantedWeights : Inputs.Holder.description();
  View->Routes = Inputs.Holder.routes();
  View->SharedCacheSince = Inputs.Holder.sharedCacheSince();
  View->ConfirmedUntil = Inputs.ConfirmedUntil;
  View->OwnStanding = Inputs.OwnStanding;
  // Readers check ConfirmedUntil at each use instead.
  if (View->OwnStanding == routing::HostStanding::Unconfirmed)
    View->OwnStanding = routing::HostStanding::Serving;
  View->Targets = Inputs.Targets;
  for (const membership::HostState &Host : Inputs.Hosts) {
    View->Hosts.push_back(hostView(Inputs.Settings, Host));
    View->NewestElsewhere = std::max(View->NewestElsewhere, Host.Number);
  }
  return View;
}

} // namespace ferry::daemon

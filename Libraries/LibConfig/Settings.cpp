#include "LibConfig/Settings.h"

namespace ferry::config {

std::vector<HostId> Settings::controlHosts() const {
  std::vector<HostId> Control;
  for (const PeerHost &Host : Hosts)
    if (Host.Role == HostRole::Control)
      Control.push_back(Host.Id);
  return Control;
}

const PeerHost *Settings::findHost(const HostId &Id) const {
  for (const PeerHost &Host : Hosts)
    if (Host.Id == Id)
      return &Host;
  return nullptr;
}

} // namespace ferry::config

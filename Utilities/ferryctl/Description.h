/// \file
/// Reads the newest accepted description and its spread from the hosts.
#ifndef FERRY_FERRYCTL_DESCRIPTION_H
#define FERRY_FERRYCTL_DESCRIPTION_H

#include "LibCore/Ids.h"
#include "ferryctl/Hosts.h"

namespace ferry::ctl {

/// An accepted description. Number 0 means that none has been accepted yet.
struct RemoteDescription {
  DescriptionNumber Number;
  std::string Operation;
  std::string Text;
};

/// On how many hosts a description number is in force, as one host knows it.
struct Spread {
  DescriptionNumber Number;
  uint64_t HostsInForce = 0;
  uint64_t HostsKnown = 0;

  bool isEverywhere() const {
    return HostsKnown > 0 && HostsInForce >= HostsKnown;
  }
};

/// Reads the newest accepted description.
Result<RemoteDescription, CommandError>
tryReadDescription(const HostAccess &Access);

/// Reads on how many hosts \p Number is in force.
Result<Spread, CommandError> tryReadSpread(const HostAccess &Access,
                                           DescriptionNumber Number);

} // namespace ferry::ctl

#endif

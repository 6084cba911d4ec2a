/// \file
/// The newest accepted description, as a host tells it.
#ifndef FERRY_FERRYCTL_DESCRIPTION_H
#define FERRY_FERRYCTL_DESCRIPTION_H

#include "LibCore/Ids.h"
#include "ferryctl/Hosts.h"

namespace ferry::ctl {

/// A description with its place in the history; number 0 before the first.
struct RemoteDescription {
  DescriptionNumber Number;
  std::string Operation;
  std::string Text;
};

/// How far a number has come, as one host knows it.
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

/// Reads how far \p Number has come.
Result<Spread, CommandError> tryReadSpread(const HostAccess &Access,
                                           DescriptionNumber Number);

} // namespace ferry::ctl

#endif

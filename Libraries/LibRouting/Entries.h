/// \file
/// Ranks the hosts that a caller may use as entries.
#ifndef FERRY_LIBROUTING_ENTRIES_H
#define FERRY_LIBROUTING_ENTRIES_H

#include "LibRouting/RoutingView.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ferry::routing {

/// One host that a caller may use.
struct EntryHost {
  HostId Id;
  DataCentreId DataCentre;
  /// "IP:port" for callers.
  std::string CallerAddress;
  /// Homes are the hosts that the callers of a workspace use first, and so know
  /// where its prompt prefixes are cached.
  enum class Role : uint8_t { Home, Fallback } Use = Role::Fallback;
};

/// Ranks the entries for \p Workspace, best first. Only serving hosts are
/// listed. The homes come first: the top hosts of the caller's data centre by
/// rendezvous hashing, in a number proportional to the workspace's share. The
/// hosts of other data centres follow, then the rest of the caller's own data
/// centre.
/// \param CallerDataCentre the caller's data centre; if unknown, all hosts are
/// treated as one data centre.
/// \param CallerKey rotates the homes, so that the callers of a workspace with
/// several homes spread over them; equal keys give equal results.
std::vector<EntryHost>
rankEntries(const RoutingView &View, const WorkspaceId &Workspace,
            const std::optional<DataCentreId> &CallerDataCentre,
            uint64_t CallerKey = 0);

} // namespace ferry::routing

#endif

/// \file
/// The order in which callers are told to use the hosts.
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
  /// Whether it is one of the hosts that learn this workspace's prefixes.
  enum class Role : uint8_t { Home, Fallback } Use = Role::Fallback;
};

/// Ranks the entries for \p Workspace, best first. Only serving hosts are
/// listed. The homes are the first hosts by rendezvous hashing within the
/// caller's data centre, as many as the workspace's share asks for; the hosts
/// of other data centres follow, then the rest of the caller's own.
/// \param CallerDataCentre nothing if unknown: all hosts count as one place.
/// \param CallerKey rotates the homes, so that the callers of a workspace with
/// several homes spread over them; equal keys get equal answers.
std::vector<EntryHost>
rankEntries(const RoutingView &View, const WorkspaceId &Workspace,
            const std::optional<DataCentreId> &CallerDataCentre,
            uint64_t CallerKey = 0);

} // namespace ferry::routing

#endif

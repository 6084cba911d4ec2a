#include "LibRouting/Entries.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>

namespace ferry::routing {

static bool isServing(const RoutingView &View, const HostView &Host) {
  if (Host.Id == View.Self && View.OwnStanding != HostStanding::Serving)
    return false;
  return Host.Standing == HostStanding::Serving;
}

/// \returns the number of homes: \p Hosts times the workspace's part of the sum
/// of all shares, rounded up, and at least one.
static size_t countHomes(const RoutingView &View, const WorkspaceId &Workspace,
                         size_t Hosts) {
  if (!View.Description || Hosts == 0)
    return std::min<size_t>(Hosts, 1);
  uint64_t TotalShares = 0;
  uint64_t OwnShare = 1;
  for (const config::Workspace &Each : View.Description->Workspaces) {
    TotalShares += Each.Share;
    if (Each.Id == Workspace)
      OwnShare = Each.Share;
  }
  TotalShares = std::max(TotalShares, OwnShare);
  uint64_t Homes = (OwnShare * Hosts + TotalShares - 1) / TotalShares;
  return std::clamp<uint64_t>(Homes, 1, Hosts);
}

static EntryHost makeEntry(const HostView &Host, EntryHost::Role Use) {
  return {Host.Id, Host.DataCentre, Host.CallerAddress, Use};
}

std::vector<EntryHost>
rankEntries(const RoutingView &View, const WorkspaceId &Workspace,
            const std::optional<DataCentreId> &CallerDataCentre,
            uint64_t CallerKey) {
  uint64_t Key = hashIdentifier(Workspace.Value);
  std::vector<const HostView *> Near;
  std::vector<const HostView *> Far;
  for (const HostView &Host : View.Hosts) {
    if (!isServing(View, Host))
      continue;
    bool IsNear = !CallerDataCentre || Host.DataCentre == *CallerDataCentre;
    (IsNear ? Near : Far).push_back(&Host);
  }
  auto ByWeight = [Key](const HostView *Left, const HostView *Right) {
    uint64_t LeftWeight = rendezvousWeight(hashIdentifier(Left->Id.Value), Key);
    uint64_t RightWeight =
        rendezvousWeight(hashIdentifier(Right->Id.Value), Key);
    if (LeftWeight != RightWeight)
      return LeftWeight > RightWeight;
    return Left->Id < Right->Id;
  };
  std::sort(Near.begin(), Near.end(), ByWeight);
  std::sort(Far.begin(), Far.end(), ByWeight);

  size_t Homes = countHomes(View, Workspace, Near.size());
  if (Homes > 1)
    std::rotate(Near.begin(), Near.begin() + CallerKey % Homes,
                Near.begin() + Homes);
  std::vector<EntryHost> Entries;
  for (size_t Index = 0; Index < Homes; ++Index)
    Entries.push_back(makeEntry(*Near[Index], EntryHost::Role::Home));
  for (const HostView *Host : Far)
    Entries.push_back(makeEntry(*Host, EntryHost::Role::Fallback));
  for (size_t Index = Homes; Index < Near.size(); ++Index)
    Entries.push_back(makeEntry(*Near[Index], EntryHost::Role::Fallback));
  return Entries;
}

} // namespace ferry::routing

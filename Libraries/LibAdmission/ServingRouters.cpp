#include "LibAdmission/ServingRouters.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>

namespace ferry::admission {

std::optional<HostId> capOwnerOf(const WorkspaceId &Workspace,
                                 const std::vector<HostId> &Serving) {
  uint64_t Key = routing::hashIdentifier(Workspace.Value);
  const HostId *Best = nullptr;
  uint64_t BestWeight = 0;
  for (const HostId &Router : Serving) {
    uint64_t Weight =
        routing::rendezvousWeight(routing::hashIdentifier(Router.Value), Key);
    if (Best &&
        (Weight < BestWeight || (Weight == BestWeight && Router >= *Best)))
      continue;
    Best = &Router;
    BestWeight = Weight;
  }
  return Best ? std::optional(*Best) : std::nullopt;
}

bool ServingRouters::set(const HostId &NewSelf,
                         const std::vector<HostId> &NewServing, Timestamp Now) {
  std::vector<HostId> Sorted = NewServing;
  std::sort(Sorted.begin(), Sorted.end());
  Sorted.erase(std::unique(Sorted.begin(), Sorted.end()), Sorted.end());
  if (Self == NewSelf && Serving == Sorted)
    return false;
  if (Now >= GreatestUntil)
    Greatest = 0;
  if (Sorted.size() >= Greatest) {
    Greatest = Sorted.size();
    First = Sorted.empty() ? HostId() : Sorted.front();
    GreatestUntil = NeverExpires;
  } else if (GreatestUntil == NeverExpires) {
    GreatestUntil = Now + CutOffLifetime;
  }
  Self = NewSelf;
  Serving = std::move(Sorted);
  return true;
}

bool ServingRouters::isMinority(Timestamp Now) const {
  if (Now >= GreatestUntil || Serving.size() * 2 > Greatest)
    return false;
  return Serving.size() * 2 < Greatest ||
         !std::binary_search(Serving.begin(), Serving.end(), First);
}

std::optional<HostId> ServingRouters::ownerOf(const WorkspaceId &Workspace,
                                              Timestamp Now) const {
  if (isMinority(Now))
    return std::nullopt;
  return capOwnerOf(Workspace, Serving);
}

size_t ServingRouters::sharers(Timestamp Now) const {
  return std::max<size_t>(1, isMinority(Now) ? Greatest : Serving.size());
}

} // namespace ferry::admission

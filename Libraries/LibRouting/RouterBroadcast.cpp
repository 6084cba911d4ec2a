#include "LibRouting/RouterBroadcast.h"
#include <algorithm>
#include <set>

namespace ferry::routing {

std::vector<RouterBroadcast::Receiver>
RouterBroadcast::receivers(const std::vector<KnownRouter> &Known) {
  std::vector<Receiver> Result;
  if (Known.size() <= WorkExchange::MaxDirectRouters) {
    for (const KnownRouter &Each : Known)
      Result.push_back({Each.Router.Id, {}});
    return Result;
  }
  std::vector<WorkExchange::Router> Routers;
  std::set<HostId> Silent;
  for (const KnownRouter &Each : Known) {
    Routers.push_back(Each.Router);
    if (Each.IsSilent)
      Silent.insert(Each.Router.Id);
  }
  for (std::vector<HostId> &Group :
       WorkExchange::groupsOf(std::move(Routers))) {
    std::rotate(Group.begin(),
                Group.begin() + std::ptrdiff_t(NextRelay % Group.size()),
                Group.end());
    std::stable_partition(Group.begin(), Group.end(), [&](const HostId &Id) {
      return Silent.count(Id) == 0;
    });
    size_t Relays = std::min(Group.size(), RelayCount);
    std::vector<HostId> Others(Group.begin() + std::ptrdiff_t(Relays),
                               Group.end());
    for (size_t Index = 0; Index < Relays; ++Index)
      Result.push_back({Group[Index], Others});
  }
  if (Choice == RelayChoice::InTurn)
    NextRelay += RelayCount;
  return Result;
}

} // namespace ferry::routing

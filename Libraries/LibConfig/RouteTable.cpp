#include "LibConfig/RouteTable.h"
#include <algorithm>
#include <cassert>

namespace ferry::config {

std::shared_ptr<const RouteTable> RouteTable::create(Parts TableParts) {
  return std::shared_ptr<const RouteTable>(
      new RouteTable(std::move(TableParts)));
}

RouteTable::RouteTable(Parts TableParts) : Content(std::move(TableParts)) {
  for (size_t Index = 0; Index < Content.Routes.size(); ++Index)
    RoutesByHost[Content.Routes[Index].Host].push_back(Index);
  for (auto &[Host, Indexes] : RoutesByHost)
    std::sort(Indexes.begin(), Indexes.end(),
              [this](size_t Left, size_t Right) {
                return Content.Routes[Left].PathPrefix.size() >
                       Content.Routes[Right].PathPrefix.size();
              });
  for (size_t Index = 0; Index < workspaces().size(); ++Index)
    for (const std::string &Key : workspaces()[Index].Keys)
      if (!Key.empty())
        WorkspaceByKey.emplace(Key, Index);
}

const Route *RouteTable::findRoute(std::string_view Host,
                                   std::string_view Path) const {
  auto It = RoutesByHost.find(std::string(Host));
  if (It == RoutesByHost.end())
    return nullptr;
  for (size_t Index : It->second)
    if (Path.starts_with(Content.Routes[Index].PathPrefix))
      return &Content.Routes[Index];
  return nullptr;
}

const RoutedWorkspace *RouteTable::findWorkspace(const std::string &Key) const {
  auto It = WorkspaceByKey.find(Key);
  return It == WorkspaceByKey.end() ? nullptr : &workspaces()[It->second];
}

const RoutedService *RouteTable::findService(const ServiceId &Id) const {
  auto It = std::find_if(
      Content.Services.begin(), Content.Services.end(),
      [&](const RoutedService &Service) { return Service.Id == Id; });
  return It == Content.Services.end() ? nullptr : &*It;
}

const ServiceId &RouteTable::pickService(const Route &SelectedRoute,
                                         uint64_t RandomNumber) {
  uint64_t Total = 0;
  for (const RouteShare &Share : SelectedRoute.Shares)
    Total += Share.Weight;
  assert(Total > 0 && "the decoder rejects routes whose weights add up to 0");
  uint64_t Remaining = RandomNumber % Total;
  for (const RouteShare &Share : SelectedRoute.Shares) {
    if (Remaining < Share.Weight)
      return Share.Service;
    Remaining -= Share.Weight;
  }
  return SelectedRoute.Shares.back().Service;
}

} // namespace ferry::config

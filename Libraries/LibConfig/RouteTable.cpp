#include "LibConfig/RouteTable.h"
#include <algorithm>
#include <cassert>

namespace ferry::config {

std::shared_ptr<const RouteTable> RouteTable::create(Parts Given) {
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(Given)));
}

RouteTable::RouteTable(Parts Given) : Content(std::move(Given)) {
  for (size_t Place = 0; Place < Content.Routes.size(); ++Place)
    ByHost[Content.Routes[Place].Host].push_back(Place);
  for (auto &[Host, Places] : ByHost)
    std::sort(Places.begin(), Places.end(), [this](size_t Left, size_t Right) {
      return Content.Routes[Left].PathPrefix.size() >
             Content.Routes[Right].PathPrefix.size();
    });
  for (size_t Place = 0; Place < Content.Workspaces.size(); ++Place)
    for (const std::string &Key : Content.Workspaces[Place].Keys)
      ByKey.emplace(Key, Place);
}

const Route *RouteTable::findRoute(std::string_view Host,
                                   std::string_view Path) const {
  auto Found = ByHost.find(std::string(Host));
  if (Found == ByHost.end())
    return nullptr;
  for (size_t Place : Found->second)
    if (Path.starts_with(Content.Routes[Place].PathPrefix))
      return &Content.Routes[Place];
  return nullptr;
}

const RoutedWorkspace *RouteTable::findWorkspace(const std::string &Key) const {
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : &Content.Workspaces[Found->second];
}

const RoutedService *RouteTable::findService(const ServiceId &Id) const {
  auto Found =
      std::find_if(Content.Services.begin(), Content.Services.end(),
                   [&](const RoutedService &Known) { return Known.Id == Id; });
  return Found == Content.Services.end() ? nullptr : &*Found;
}

const ServiceId &RouteTable::serviceOf(const Route &Chosen, uint64_t Draw) {
  uint64_t Total = 0;
  for (const RouteShare &Share : Chosen.Shares)
    Total += Share.Weight;
  assert(Total > 0 && "a decoder lets no route without weight pass");
  uint64_t Left = Draw % Total;
  for (const RouteShare &Share : Chosen.Shares) {
    if (Left < Share.Weight)
      return Share.Service;
    Left -= Share.Weight;
  }
  return Chosen.Shares.back().Service;
}

} // namespace ferry::config

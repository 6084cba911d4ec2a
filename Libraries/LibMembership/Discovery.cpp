// Discovery of hosts from seeds, and removal of hosts that are gone.
#include "LibMembership/Membership.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace ferry::membership {

Membership::Origin &Membership::addPeer(const Peer &Other, Timestamp Now) {
  int32_t Tag = tagOf(Other.Id);
  Origin &NewOrigin = Origins[Tag];
  NewOrigin.Host = Other;
  if (Settings.Source == HostSource::Discovered)
    NewOrigin.ForgetAt = Now + ForgetAfter;
  (isNear(Other) ? NearTags : FarTags).push_back(Tag);
  // All hosts are near until there are too many.
  if (Origins.size() == Settings.MaxFullExchangeHosts + 1)
    divideHosts();
  HostsDirty = true;
  return NewOrigin;
}

void Membership::divideHosts() {
  auto IsNear = [&](int32_t Tag) { return isNear(Origins.at(Tag).Host); };
  std::vector<int32_t> Tags = std::exchange(NearTags, {});
  Tags.insert(Tags.end(), FarTags.begin(), FarTags.end());
  FarTags.clear();
  std::partition_copy(Tags.begin(), Tags.end(), std::back_inserter(NearTags),
                      std::back_inserter(FarTags), IsNear);
}

wire::HostFields Membership::introductionOf(const Origin &Subject) const {
  wire::HostFields Fields;
  Fields.Id = Subject.Host.Id.Value;
  Fields.DataCentre = Subject.Host.DataCentre.Value;
  Fields.Role = static_cast<int32_t>(Subject.Host.Duty);
  Fields.CallerAddress = Subject.Host.CallerAddress;
  return Fields;
}

void Membership::handleIntroduction(const wire::HostFields &Fields,
                                    Timestamp Now) {
  bool InRange = Fields.Role == static_cast<int32_t>(HostDuty::Router) ||
                 Fields.Role == static_cast<int32_t>(HostDuty::Control);
  int32_t Tag = tagOf({Fields.Id});
  // The introduction of a seed that no host has reached yet lacks its data
  // centre.
  if (Settings.Source != HostSource::Discovered || !InRange ||
      Fields.Id.empty() || Fields.DataCentre.empty() || Tag == OwnTag)
    return;
  Peer Introduced{{Fields.Id},
                  {Fields.DataCentre},
                  static_cast<HostDuty>(Fields.Role),
                  Fields.CallerAddress};
  auto It = Origins.find(Tag);
  if (It == Origins.end()) {
    addPeer(Introduced, Now);
    return;
  }
  Origin &Remote = It->second;
  if (Remote.Host.Id != Introduced.Id)
    return;
  bool HasMoved = Remote.Host.DataCentre != Introduced.DataCentre ||
                  Remote.Host.Duty != Introduced.Duty;
  HostsDirty |=
      HasMoved || Remote.Host.CallerAddress != Introduced.CallerAddress;
  Remote.Host = std::move(Introduced);
  if (HasMoved)
    divideHosts();
}

void Membership::raiseIncarnation(Incarnation Remembered, Effects &Out) {
  Origin &Own = Origins.at(OwnTag);
  // A listed host has its incarnation on disk, and more than heartbeats depend
  // on it.
  if (Settings.Source != HostSource::Discovered ||
      Remembered <= Own.Incarnation)
    return;
  Own.Incarnation = {Remembered.Value + 1};
  Out.emplace_back(IncarnationRaised{Remembered, Own.Incarnation});
}

void Membership::forgetHosts(Timestamp Now) {
  size_t Before = Origins.size();
  for (auto It = Origins.begin(); It != Origins.end();) {
    auto &[Tag, Each] = *It;
    if (Tag == OwnTag || Each.ForgetAt > Now) {
      ++It;
      continue;
    }
    std::erase(NearTags, Tag);
    std::erase(FarTags, Tag);
    HostsDirty = true;
    TargetsDirty = true;
    It = Origins.erase(It);
  }
  if (Before > Settings.MaxFullExchangeHosts &&
      Origins.size() <= Settings.MaxFullExchangeHosts)
    divideHosts();
}

} // namespace ferry::membership

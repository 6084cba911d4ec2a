// Hosts that are found from seeds, and forgotten again.
#include "LibMembership/Membership.h"
#include <algorithm>

namespace ferry::membership {

Membership::Origin &Membership::addPeer(const Peer &Other, Timestamp Now) {
  int32_t Tag = tagOf(Other.Id);
  Origin &Added = Origins[Tag];
  Added.Host = Other;
  if (Settings.Source == HostSource::Discovered)
    Added.ForgetAt = Now + ForgetAfter;
  (isNear(Other.DataCentre) ? NearTags : FarTags).push_back(Tag);
  HostsMoved = true;
  return Added;
}

wire::HostFields Membership::introductionOf(const Origin &Known) const {
  wire::HostFields Fields;
  Fields.Id = Known.Host.Id.Value;
  Fields.DataCentre = Known.Host.DataCentre.Value;
  Fields.Role = static_cast<int32_t>(Known.Host.Duty);
  Fields.CallerAddress = Known.Host.CallerAddress;
  return Fields;
}

void Membership::introduce(const wire::HostFields &Fields, Timestamp Now) {
  bool InRange = Fields.Role == static_cast<int32_t>(HostDuty::Router) ||
                 Fields.Role == static_cast<int32_t>(HostDuty::Control);
  int32_t Tag = tagOf({Fields.Id});
  // A seed that nobody has reached yet is passed on without its data centre.
  if (Settings.Source != HostSource::Discovered || !InRange ||
      Fields.Id.empty() || Fields.DataCentre.empty() || Tag == OwnTag)
    return;
  Peer Told{{Fields.Id},
            {Fields.DataCentre},
            static_cast<HostDuty>(Fields.Role),
            Fields.CallerAddress};
  auto Found = Origins.find(Tag);
  if (Found == Origins.end()) {
    addPeer(Told, Now);
    return;
  }
  Origin &Known = Found->second;
  if (Known.Host.Id != Told.Id)
    return;
  HostsMoved |= Known.Host.DataCentre != Told.DataCentre ||
                Known.Host.CallerAddress != Told.CallerAddress;
  Known.Host = std::move(Told);
}

void Membership::outlive(Incarnation Remembered, Effects &Out) {
  Origin &Own = Origins.at(OwnTag);
  // Elsewhere the life is on disk and has a meaning beyond the heartbeats.
  if (Settings.Source != HostSource::Discovered ||
      Remembered <= Own.Incarnation)
    return;
  Own.Incarnation = {Remembered.Value + 1};
  Out.emplace_back(LifeRaised{Remembered, Own.Incarnation});
}

void Membership::forgetHosts(Timestamp Now) {
  for (auto Next = Origins.begin(); Next != Origins.end();) {
    auto &[Tag, Known] = *Next;
    if (Tag == OwnTag || Known.ForgetAt > Now) {
      ++Next;
      continue;
    }
    std::erase(NearTags, Tag);
    std::erase(FarTags, Tag);
    HostsMoved = true;
    TargetsMoved = true;
    Next = Origins.erase(Next);
  }
}

} // namespace ferry::membership

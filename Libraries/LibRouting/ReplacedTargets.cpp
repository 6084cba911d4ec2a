#include "LibRouting/ReplacedTargets.h"
#include <algorithm>

namespace ferry::routing {

ReplacedTargets::ReplacedTargets(const std::vector<TargetRecord> &Announced) {
  for (const TargetRecord &Each : Announced) {
    Incarnation &OfId = NewestById[Each.Id.Value];
    OfId = std::max(OfId, Each.Incarnation);
    Incarnation &AtAddress = NewestByAddress[Each.Address];
    AtAddress = std::max(AtAddress, Each.Incarnation);
  }
}

bool ReplacedTargets::contains(const TargetId &Target, Incarnation Subject,
                               std::string_view Address) const {
  auto IsOlder = [Subject](const auto &Newest, std::string_view Key) {
    auto Found = Newest.find(Key);
    return Found != Newest.end() && Subject < Found->second;
  };
  return IsOlder(NewestById, Target.Value) || IsOlder(NewestByAddress, Address);
}

} // namespace ferry::routing

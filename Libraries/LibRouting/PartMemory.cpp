#include "LibRouting/PartMemory.h"
#include "LibRouting/Rendezvous.h"

namespace ferry::routing {

uint64_t PartMemory::keyOf(uint64_t Scope, uint64_t Id) {
  return Scope == 0 ? Id : rendezvousWeight(Scope, Id);
}

void PartMemory::use(uint64_t Key, uint32_t Tokens, PartState State) {
  auto Known = ByKey.find(Key);
  if (Known != ByKey.end()) {
    Known->second->State = std::max(Known->second->State, State);
    Order.splice(Order.end(), Order, Known->second);
    return;
  }
  Order.push_back({Key, Tokens, State});
  ByKey[Key] = std::prev(Order.end());
  Held += Tokens;
  while (Held > Capacity && Order.size() > 1) {
    Held -= Order.front().Tokens;
    ByKey.erase(Order.front().Key);
    Order.pop_front();
  }
}

void PartMemory::forgetAwaited(uint64_t Key) {
  auto Known = ByKey.find(Key);
  if (Known == ByKey.end() || Known->second->State != PartState::Awaited)
    return;
  Held -= Known->second->Tokens;
  Order.erase(Known->second);
  ByKey.erase(Known);
}

uint32_t PartMemory::cachedTokens(uint64_t Scope,
                                  const std::vector<PromptPart> &Parts,
                                  PartState Least) const {
  uint32_t Cached = 0;
  for (const PromptPart &Part : Parts) {
    auto Known = ByKey.find(keyOf(Scope, Part.Id));
    if (Known == ByKey.end() || Known->second->State < Least)
      break;
    Cached += Part.Tokens;
  }
  return Cached;
}

void PartMemory::clear() {
  Order.clear();
  ByKey.clear();
  Held = 0;
}

} // namespace ferry::routing

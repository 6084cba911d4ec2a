#include "LibRouting/CachedParts.h"
#include "LibRouting/Rendezvous.h"
#include <utility>

namespace ferry::routing {

uint64_t CachedParts::keyOf(uint64_t Scope, uint64_t Id) {
  return Scope == 0 ? Id : rendezvousWeight(Scope, Id);
}

bool CachedParts::use(uint64_t Key, uint32_t Tokens, PartState State) {
  auto Position = ByKey.find(Key);
  if (Position != ByKey.end()) {
    PartState Before = std::exchange(Position->second->State,
                                     std::max(Position->second->State, State));
    Order.splice(Order.end(), Order, Position->second);
    return Position->second->State != Before;
  }
  Order.push_back({Key, Tokens, State});
  ByKey[Key] = std::prev(Order.end());
  TotalTokens += Tokens;
  while (TotalTokens > Capacity && Order.size() > 1) {
    TotalTokens -= Order.front().Tokens;
    ByKey.erase(Order.front().Key);
    Order.pop_front();
  }
  return true;
}

void CachedParts::removeAwaited(uint64_t Key) {
  auto Position = ByKey.find(Key);
  if (Position == ByKey.end() || Position->second->State != PartState::Awaited)
    return;
  TotalTokens -= Position->second->Tokens;
  Order.erase(Position->second);
  ByKey.erase(Position);
}

uint32_t CachedParts::cachedTokens(uint64_t Scope,
                                   const std::vector<PromptPart> &Parts,
                                   PartState MinState) const {
  uint32_t Cached = 0;
  for (const PromptPart &Part : Parts) {
    auto Position = ByKey.find(keyOf(Scope, Part.Id));
    if (Position == ByKey.end() || Position->second->State < MinState)
      break;
    Cached += Part.Tokens;
  }
  return Cached;
}

void CachedParts::clear() {
  Order.clear();
  ByKey.clear();
  TotalTokens = 0;
}

} // namespace ferry::routing

#include "Fakes/FakeBlockCache.h"

namespace ferry::fakes {

size_t FakeBlockCache::useLeading(const std::vector<cache::BlockHash> &Blocks) {
  std::lock_guard Lock(Mutex);
  Timestamp Now = steadyNow();
  evict(Now);
  size_t Count = 0;
  for (cache::BlockHash Block : Blocks) {
    auto Found = Known.find(Block);
    if (Found == Known.end())
      break;
    Found->second->ExpiresAt = Now + Lifetime;
    Order.splice(Order.end(), Order, Found->second);
    ++Count;
  }
  return Count;
}

void FakeBlockCache::store(const std::vector<cache::BlockHash> &Blocks) {
  std::lock_guard Lock(Mutex);
  Timestamp Now = steadyNow();
  for (cache::BlockHash Block : Blocks) {
    auto Found = Known.find(Block);
    if (Found != Known.end()) {
      Found->second->ExpiresAt = Now + Lifetime;
      Order.splice(Order.end(), Order, Found->second);
      continue;
    }
    Order.push_back({Block, Now + Lifetime});
    Known.emplace(Block, std::prev(Order.end()));
    Publish({cache::CacheEventKind::Stored, Block});
  }
  evict(Now);
}

void FakeBlockCache::evict(Timestamp Now) {
  while (!Order.empty() &&
         (Order.size() > Capacity || Order.front().ExpiresAt <= Now)) {
    cache::BlockHash Block = Order.front().Block;
    Known.erase(Block);
    Order.pop_front();
    Publish({cache::CacheEventKind::Evicted, Block});
  }
}

void FakeBlockCache::clear() {
  std::lock_guard Lock(Mutex);
  Order.clear();
  Known.clear();
  Publish({cache::CacheEventKind::Cleared, {}});
}

std::vector<cache::BlockHash> FakeBlockCache::blocks() {
  std::lock_guard Lock(Mutex);
  std::vector<cache::BlockHash> Held;
  for (const Entry &Each : Order)
    Held.push_back(Each.Block);
  return Held;
}

} // namespace ferry::fakes

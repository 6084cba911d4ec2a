#include "Fakes/FakeBlockCache.h"

namespace ferry::fakes {

size_t FakeBlockCache::useLeading(const std::vector<cache::BlockHash> &Blocks) {
  std::lock_guard Lock(Mutex);
  Timestamp Now = steadyNow();
  evict(Now);
  size_t Count = 0;
  for (cache::BlockHash Block : Blocks) {
    auto Cached = EntryByBlock.find(Block);
    if (Cached == EntryByBlock.end())
      break;
    Cached->second->ExpiresAt = Now + Lifetime;
    Entries.splice(Entries.end(), Entries, Cached->second);
    ++Count;
  }
  return Count;
}

void FakeBlockCache::store(const std::vector<cache::BlockHash> &Blocks) {
  std::lock_guard Lock(Mutex);
  Timestamp Now = steadyNow();
  for (cache::BlockHash Block : Blocks) {
    auto Cached = EntryByBlock.find(Block);
    if (Cached != EntryByBlock.end()) {
      Cached->second->ExpiresAt = Now + Lifetime;
      Entries.splice(Entries.end(), Entries, Cached->second);
      continue;
    }
    Entries.push_back({Block, Now + Lifetime});
    EntryByBlock.emplace(Block, std::prev(Entries.end()));
    Publish({cache::CacheEventKind::Stored, Block});
  }
  evict(Now);
}

void FakeBlockCache::evict(Timestamp Now) {
  while (!Entries.empty() &&
         (Entries.size() > Capacity || Entries.front().ExpiresAt <= Now)) {
    cache::BlockHash Block = Entries.front().Block;
    EntryByBlock.erase(Block);
    Entries.pop_front();
    Publish({cache::CacheEventKind::Evicted, Block});
  }
}

void FakeBlockCache::clear() {
  std::lock_guard Lock(Mutex);
  Entries.clear();
  EntryByBlock.clear();
  Publish({cache::CacheEventKind::Cleared, {}});
}

std::vector<cache::BlockHash> FakeBlockCache::blocks() {
  std::lock_guard Lock(Mutex);
  std::vector<cache::BlockHash> Blocks;
  for (const Entry &Each : Entries)
    Blocks.push_back(Each.Block);
  return Blocks;
}

} // namespace ferry::fakes

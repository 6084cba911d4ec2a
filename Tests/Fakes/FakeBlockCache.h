/// \file
/// A prefix cache of limited size whose blocks expire within seconds.
#ifndef FERRY_FAKES_FAKEBLOCKCACHE_H
#define FERRY_FAKES_FAKEBLOCKCACHE_H

#include "LibCache/CacheEvent.h"
#include "LibCore/Time.h"
#include <functional>
#include <list>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace ferry::fakes {

/// Evicts the least recently used block first, and blocks that were not used
/// for the lifetime. Publishes an event for each change. Safe from any thread.
class FakeBlockCache {
public:
  using Publisher = std::function<void(cache::CacheEvent)>;

  FakeBlockCache(size_t Capacity, Duration Lifetime, Publisher Publish)
      : Capacity(Capacity), Lifetime(Lifetime), Publish(std::move(Publish)) {}

  /// Marks the leading blocks that are cached as used.
  /// \returns their number.
  size_t useLeading(const std::vector<cache::BlockHash> &Blocks);
  /// Stores all blocks; evicts the least recently used ones if the cache is
  /// full.
  void store(const std::vector<cache::BlockHash> &Blocks);
  void clear();
  /// \returns all cached blocks, least recently used first.
  std::vector<cache::BlockHash> blocks();

private:
  struct Entry {
    cache::BlockHash Block;
    Timestamp ExpiresAt;
  };

  void evict(Timestamp Now);

  size_t Capacity;
  Duration Lifetime;
  Publisher Publish;
  std::mutex Mutex;
  /// Least recently used first.
  std::list<Entry> Entries;
  std::unordered_map<cache::BlockHash, std::list<Entry>::iterator> EntryByBlock;
};

} // namespace ferry::fakes

#endif

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

/// Blocks in the order of their last use. Safe from any thread.
class FakeBlockCache {
public:
  using Publisher = std::function<void(cache::CacheEvent)>;

  FakeBlockCache(size_t Capacity, Duration Lifetime, Publisher Publish)
      : Capacity(Capacity), Lifetime(Lifetime), Publish(std::move(Publish)) {}

  /// \returns how many leading blocks are held, and marks them as used.
  size_t useLeading(const std::vector<cache::BlockHash> &Blocks);
  /// Stores all blocks, evicting the ones unused for longest.
  void store(const std::vector<cache::BlockHash> &Blocks);
  void clear();
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
  std::list<Entry> Order;
  std::unordered_map<cache::BlockHash, std::list<Entry>::iterator> Known;
};

} // namespace ferry::fakes

#endif

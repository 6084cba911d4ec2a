/// \file
/// The events by which a target tells which blocks its cache holds.
#ifndef FERRY_LIBCACHE_CACHEEVENT_H
#define FERRY_LIBCACHE_CACHEEVENT_H

#include "LibCache/BlockHash.h"
#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <vector>

namespace ferry::cache {

enum class CacheEventKind : uint8_t { Stored, Evicted, Cleared };

/// One change of a target's cache.
struct CacheEvent {
  CacheEventKind Kind = CacheEventKind::Stored;
  /// The engine's name for the block; the router's own where the target took
  /// the router's hashes from the request.
  BlockHash Block;
};

/// Events of one target, numbered without gaps by the target.
struct CacheEventBatch {
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// Number of the first event. A listing of the whole cache takes no numbers
  /// itself: there it is the number of the next change after the listing.
  uint64_t FirstNumber = 0;
  /// Whether the batch lists the whole cache, as Stored events, instead of
  /// changes.
  enum class Scope : uint8_t { Changes, WholeCache } Coverage = Scope::Changes;
  std::vector<CacheEvent> Events;
};

} // namespace ferry::cache

namespace ferry {

template <> struct EnumNames<cache::CacheEventKind> {
  using Kind = cache::CacheEventKind;
  static constexpr EnumName<Kind> Table[] = {{Kind::Stored, "stored"},
                                             {Kind::Evicted, "evicted"},
                                             {Kind::Cleared, "cleared"}};
};

} // namespace ferry

#endif

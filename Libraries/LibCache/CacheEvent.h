/// \file
/// The events by which a target reports which blocks its cache holds.
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
  /// The engine's name for the block, or the router's hash if the target took
  /// the hashes from the request.
  BlockHash Block;
};

/// Consecutive events of one target, which numbers them without gaps.
struct CacheEventBatch {
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// Number of the first event. The events of a listing of the whole cache have
  /// no numbers: there it is the number of the first change after the listing.
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

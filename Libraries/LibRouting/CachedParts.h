/// \file
/// The prompt parts that a router believes one engine or store has cached.
#ifndef FERRY_LIBROUTING_CACHEDPARTS_H
#define FERRY_LIBROUTING_CACHEDPARTS_H

#include "LibRouting/RoutedCall.h"
#include <list>
#include <unordered_map>

namespace ferry::routing {

/// A least-recently-used model of a cache: like an engine, it evicts the least
/// recently used parts once their tokens exceed the capacity.
class CachedParts {
public:
  explicit CachedParts(uint64_t Capacity = 0) : Capacity(Capacity) {}

  void setCapacity(uint64_t Tokens) { Capacity = Tokens; }

  /// \returns the key of the part \p Id within \p Scope; scope 0 is common.
  static uint64_t keyOf(uint64_t Scope, uint64_t Id);

  /// Marks the part \p Key as the most recently used one, and adds it if it is
  /// new. A part in the state Read never returns to Awaited.
  /// \returns whether the part is new or has been read only now.
  bool use(uint64_t Key, uint32_t Tokens, PartState State);

  /// Removes the part \p Key unless it has been read; its request ended early.
  void removeAwaited(uint64_t Key);

  /// \returns the tokens of the leading parts of \p Parts that are cached in at
  /// least the state \p MinState.
  uint32_t cachedTokens(uint64_t Scope, const std::vector<PromptPart> &Parts,
                        PartState MinState) const;

  /// Removes all parts, as a load of weights or a restart does.
  void clear();

  size_t size() const { return ByKey.size(); }

private:
  struct Entry {
    uint64_t Key = 0;
    uint32_t Tokens = 0;
    PartState State = PartState::Awaited;
  };
  uint64_t Capacity;
  uint64_t TotalTokens = 0;
  /// Least recently used first.
  std::list<Entry> Order;
  std::unordered_map<uint64_t, std::list<Entry>::iterator> ByKey;
};

} // namespace ferry::routing

#endif

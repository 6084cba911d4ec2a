/// \file
/// What a router believes that one engine has cached.
#ifndef FERRY_LIBROUTING_PARTMEMORY_H
#define FERRY_LIBROUTING_PARTMEMORY_H

#include "LibRouting/PromptCall.h"
#include <list>
#include <unordered_map>

namespace ferry::routing {

/// Parts by their last use. The least recently used ones are dropped once more
/// tokens are held than fit, as the engine does.
class PartMemory {
public:
  explicit PartMemory(uint64_t Capacity = 0) : Capacity(Capacity) {}

  void setCapacity(uint64_t Tokens) { Capacity = Tokens; }

  /// \returns what stands for the part \p Id within \p Scope.
  static uint64_t keyOf(uint64_t Scope, uint64_t Id);

  /// Counts the part of \p Key as used last. A part that was read stays so.
  void use(uint64_t Key, uint32_t Tokens, PartState State);

  /// Forgets a part whose request ended before it was read.
  void forgetAwaited(uint64_t Key);

  /// \returns the tokens of the leading parts of \p Parts that are held in at
  /// least the state \p Least.
  uint32_t cachedTokens(uint64_t Scope, const std::vector<PromptPart> &Parts,
                        PartState Least) const;

  /// Forgets everything, as after new weights or a restart.
  void clear();

  size_t size() const { return ByKey.size(); }

private:
  struct Entry {
    uint64_t Key = 0;
    uint32_t Tokens = 0;
    PartState State = PartState::Awaited;
  };
  uint64_t Capacity;
  uint64_t Held = 0;
  /// The least recently used one first.
  std::list<Entry> Order;
  std::unordered_map<uint64_t, std::list<Entry>::iterator> ByKey;
};

} // namespace ferry::routing

#endif

/// \file
/// Learns which of an engine's own block names stand for which block hashes.
#ifndef FERRY_LIBCACHE_BLOCKNAMES_H
#define FERRY_LIBCACHE_BLOCKNAMES_H

#include "LibCache/BlockHash.h"
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace ferry::cache {

/// An engine's own name for a block.
struct EngineBlockName {
  uint64_t Value = 0;
  auto operator<=>(const EngineBlockName &) const = default;
};

/// The names of one engine's life. An engine that takes the router's hashes
/// from the requests needs none: its names are the hashes.
class BlockNames {
public:
  /// Notes that the engine named the leading whole blocks of a prompt, hashed
  /// as \p Blocks, by \p Names. What one of the two has beyond the other is a
  /// partial last piece and is not learned.
  void learn(std::span<const BlockHash> Blocks,
             std::span<const EngineBlockName> Names);

  /// \returns the hash that \p Name stands for; the name itself while the
  /// engine has shown no names of its own; nothing for an unknown name.
  std::optional<BlockHash> translate(EngineBlockName Name) const;

  size_t size() const { return Known.size(); }

  /// Names kept for one engine; beyond that, learning starts anew.
  static constexpr size_t MaxNames = 65'536;

private:
  bool HasOwnNames = false;
  std::unordered_map<uint64_t, BlockHash> Known;
};

} // namespace ferry::cache

#endif

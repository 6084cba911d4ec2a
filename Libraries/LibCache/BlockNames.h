/// \file
/// Maps the block names of an engine to block hashes.
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

/// The block names of one incarnation of an engine. An engine that takes the
/// router's hashes from the requests needs no mapping: its names are the
/// hashes.
class BlockNames {
public:
  /// Learns that \p Names are the engine's names of the leading whole blocks of
  /// a prompt, whose hashes are \p Blocks. If one of the two is longer, the
  /// rest belongs to a partial last block and is ignored.
  void learn(std::span<const BlockHash> Blocks,
             std::span<const EngineBlockName> Names);

  /// \returns the hash of the block \p Name; the name itself as long as the
  /// engine has shown no names of its own; nothing for an unknown name.
  std::optional<BlockHash> translate(EngineBlockName Name) const;

  size_t size() const { return HashByName.size(); }

  /// Names kept for one engine. When there are more, all are dropped and
  /// learned again.
  static constexpr size_t MaxNames = 65'536;

private:
  bool HasOwnNames = false;
  std::unordered_map<uint64_t, BlockHash> HashByName;
};

} // namespace ferry::cache

#endif

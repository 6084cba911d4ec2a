/// \file
/// Hashes of prompt blocks, chained so that a hash names a whole prefix.
#ifndef FERRY_LIBCACHE_BLOCKHASH_H
#define FERRY_LIBCACHE_BLOCKHASH_H

#include "LibCore/Ids.h"
#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace ferry::cache {

/// Names a prefix of a prompt up to the end of one block, within one seed.
struct BlockHash {
  uint64_t Value = 0;
  auto operator<=>(const BlockHash &) const = default;
};

/// What blocks must share to be the same: the chain starts from its hash.
struct CacheScope {
  WorkspaceId Workspace;
  ModelId Model;
  AdapterId Adapter;
  WeightsVersion Weights;
};

/// Tokens in a block.
inline constexpr uint64_t BlockTokens = 2000;
/// Bytes of text that stand for one token, as the router has no tokenizer.
inline constexpr uint64_t BytesPerToken = 4;

/// \returns the estimated number of tokens of \p Prompt.
uint64_t estimateTokens(std::string_view Prompt);

/// \returns the chained hashes of the whole blocks of \p Prompt, from the
/// front; a last partial block has none.
std::vector<BlockHash> hashBlocks(const CacheScope &Scope,
                                  std::string_view Prompt);

} // namespace ferry::cache

template <> struct std::hash<ferry::cache::BlockHash> {
  size_t operator()(const ferry::cache::BlockHash &Hash) const {
    return Hash.Value;
  }
};

#endif

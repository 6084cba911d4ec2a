/// \file
/// Hashes of prompt blocks, chained so that a hash identifies a whole
/// prefix.
#ifndef FERRY_LIBCACHE_BLOCKHASH_H
#define FERRY_LIBCACHE_BLOCKHASH_H

#include "LibCore/Ids.h"
#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace ferry::cache {

/// Identifies the prefix of a prompt that ends with one block, within one
/// CacheScope.
struct BlockHash {
  uint64_t Value = 0;
  auto operator<=>(const BlockHash &) const = default;
};

/// What prompts must have in common to share blocks. The chain of hashes starts
/// from the hash of these fields.
struct CacheScope {
  WorkspaceId Workspace;
  ModelId Model;
  AdapterId Adapter;
  WeightsVersion Weights;
};

/// Tokens in a block.
inline constexpr uint64_t BlockTokens = 2000;
/// Bytes of text that count as one token; the router has no tokenizer.
inline constexpr uint64_t BytesPerToken = 4;

/// \returns the estimated number of tokens of \p Prompt.
uint64_t estimateTokens(std::string_view Prompt);

/// \returns the chained hashes of the whole blocks of \p Prompt, in order. A
/// partial last block has none.
std::vector<BlockHash> hashBlocks(const CacheScope &Scope,
                                  std::string_view Prompt);

} // namespace ferry::cache

template <> struct std::hash<ferry::cache::BlockHash> {
  size_t operator()(const ferry::cache::BlockHash &Hash) const {
    return Hash.Value;
  }
};

#endif

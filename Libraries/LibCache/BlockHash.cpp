#include "LibCache/BlockHash.h"
#include <string>
#include <xxhash.h>

namespace ferry::cache {

/// Bytes of prompt text in a block.
static constexpr uint64_t BlockBytes = BlockTokens * BytesPerToken;

static void appendField(std::string &Text, std::string_view Field) {
  Text += std::to_string(Field.size());
  Text += ':';
  Text += Field;
}

static uint64_t hashScope(const CacheScope &Scope) {
  // Each field follows its length, so that no two scopes have the same text.
  std::string Text;
  appendField(Text, Scope.Workspace.Value);
  appendField(Text, Scope.Model.Value);
  appendField(Text, Scope.Adapter.Value);
  Text += std::to_string(Scope.Weights.Value);
  return XXH3_64bits(Text.data(), Text.size());
}

uint64_t estimateTokens(std::string_view Prompt) {
  return (Prompt.size() + BytesPerToken - 1) / BytesPerToken;
}

std::vector<BlockHash> hashBlocks(const CacheScope &Scope,
                                  std::string_view Prompt) {
  std::vector<BlockHash> Hashes;
  Hashes.reserve(Prompt.size() / BlockBytes);
  uint64_t Chain = hashScope(Scope);
  for (size_t Start = 0; Start + BlockBytes <= Prompt.size();
       Start += BlockBytes) {
    Chain = XXH3_64bits_withSeed(Prompt.data() + Start, BlockBytes, Chain);
    Hashes.push_back({Chain});
  }
  return Hashes;
}

} // namespace ferry::cache

#include "LibCache/BlockNames.h"
#include <algorithm>

namespace ferry::cache {

void BlockNames::learn(std::span<const BlockHash> Blocks,
                       std::span<const EngineBlockName> Names) {
  size_t Common = std::min(Blocks.size(), Names.size());
  for (size_t Index = 0; Index < Common; ++Index) {
    if (Names[Index].Value == Blocks[Index].Value)
      continue;
    HasOwnNames = true;
    if (HashByName.size() >= MaxNames)
      HashByName.clear();
    HashByName[Names[Index].Value] = Blocks[Index];
  }
}

std::optional<BlockHash> BlockNames::translate(EngineBlockName Name) const {
  if (!HasOwnNames)
    return BlockHash{Name.Value};
  auto It = HashByName.find(Name.Value);
  if (It == HashByName.end())
    return std::nullopt;
  return It->second;
}

} // namespace ferry::cache

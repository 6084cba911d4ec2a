#include "LibTraffic/HeldBody.h"
#include <algorithm>

namespace ferry::traffic {

/// Each block is as large as all before it, within these bounds. The allocator
/// returns blocks of the largest size to the system as soon as they are freed.
static constexpr uint64_t MinBlockBytes = 16ULL << 10;
static constexpr uint64_t MaxBlockBytes = 256ULL << 10;

uint64_t HeldBody::nextBlock(uint64_t Needed) const {
  return std::max(Needed, std::clamp(Taken, MinBlockBytes, MaxBlockBytes));
}

uint64_t HeldBody::takenWith(uint64_t Added) const {
  uint64_t Free =
      Blocks.empty() ? 0 : Blocks.back().capacity() - Blocks.back().size();
  return Added <= Free ? Taken : Taken + nextBlock(Added - Free);
}

void HeldBody::append(std::string_view Piece) {
  Size += Piece.size();
  if (!Blocks.empty()) {
    std::string &Last = Blocks.back();
    size_t Count = std::min(Piece.size(), Last.capacity() - Last.size());
    Last.append(Piece.substr(0, Count));
    Piece.remove_prefix(Count);
  }
  if (Piece.empty())
    return;
  uint64_t Capacity = nextBlock(Piece.size());
  std::string &Added = Blocks.emplace_back();
  Added.reserve(Capacity);
  Added.append(Piece);
  Taken += Added.capacity();
}

char HeldBody::firstVisible() const {
  for (const std::string &Block : Blocks)
    if (size_t At = Block.find_first_not_of(" \t\r\n"); At != std::string::npos)
      return Block[At];
  return '\0';
}

std::string HeldBody::text() const {
  std::string Whole;
  Whole.reserve(Size);
  for (const std::string &Block : Blocks)
    Whole += Block;
  return Whole;
}

} // namespace ferry::traffic

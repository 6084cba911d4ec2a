/// \file
/// The body of an answer while it is in memory.
#ifndef FERRY_LIBTRAFFIC_HELDBODY_H
#define FERRY_LIBTRAFFIC_HELDBODY_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ferry::traffic {

/// Holds a body in blocks that are never copied. A string that grows has its
/// old and its new copy side by side, and up to twice the memory afterwards.
class HeldBody {
public:
  /// \returns the bytes of memory that are taken once \p Added further bytes
  /// are appended.
  uint64_t takenWith(uint64_t Added) const;
  /// \returns the bytes of memory that are taken.
  uint64_t taken() const { return Taken; }
  void append(std::string_view Piece);

  uint64_t size() const { return Size; }
  /// \returns the first byte that is neither a space nor a line end; '\0' if
  /// there is none.
  char firstVisible() const;
  const std::vector<std::string> &blocks() const { return Blocks; }
  /// \returns a copy in one piece.
  std::string text() const;

private:
  /// \returns the capacity of the next block, at least \p Needed.
  uint64_t nextBlock(uint64_t Needed) const;

  std::vector<std::string> Blocks;
  uint64_t Size = 0;
  uint64_t Taken = 0;
};

} // namespace ferry::traffic

#endif

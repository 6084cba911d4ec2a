#include "LibTraffic/EventBoundary.h"

namespace ferry::traffic {

std::optional<size_t> EventBoundary::readToEnd(std::string_view Piece) {
  size_t Read = 0;
  while (Read < Piece.size()) {
    size_t LineEnd = Piece.find('\n', Read);
    if (LineBytes == 0)
      LineStart = Piece[Read];
    if (LineEnd == std::string_view::npos) {
      LineBytes += Piece.size() - Read;
      UnfinishedBytes += Piece.size() - Read;
      return std::nullopt;
    }
    LineBytes += LineEnd - Read;
    UnfinishedBytes += LineEnd + 1 - Read;
    Read = LineEnd + 1;
    if (endLine())
      return Read;
  }
  return std::nullopt;
}

bool EventBoundary::endLine() {
  bool Empty = LineBytes == 0 || (LineBytes == 1 && LineStart == '\r');
  LineBytes = 0;
  if (Empty) {
    EventStarted = false;
    UnfinishedBytes = 0;
    return true;
  }
  if (LineStart != ':')
    EventStarted = true;
  return false;
}

} // namespace ferry::traffic

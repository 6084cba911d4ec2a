#include "LibTraffic/EventSplitter.h"
#include "LibCore/ParseNumber.h"
#include <algorithm>

namespace ferry::traffic {

static constexpr size_t LargeEventBytes = 32 << 10;

uint64_t EventSplitter::takenWith(uint64_t Added) const {
  uint64_t Needed = Pending.size() + Added;
  if (Needed <= Pending.capacity())
    return Pending.capacity();
  // The string's old and new copy.
  return Pending.capacity() + std::max(Needed, 2 * Pending.capacity());
}

bool EventSplitter::push(std::string_view Piece) {
  Pending.append(Piece);
  return Pending.size() <= MaxEventBytes;
}

/// Adds the field of one line to \p Event.
static void parseLine(ServerEvent &Event, std::string_view Line) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  std::string_view Field = Line.substr(0, Colon);
  std::string_view Value = Line.substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (Field == "id")
    Event.Token = parseNumber<uint64_t>(Value);
  if (Field != "data")
    return;
  if (!Event.Data.empty())
    Event.Data += '\n';
  Event.Data.append(Value);
}

std::optional<ServerEvent> EventSplitter::next() {
  auto End = Boundary.readToEnd(std::string_view(Pending).substr(Scanned));
  if (!End) {
    Scanned = Pending.size();
    return std::nullopt;
  }
  ServerEvent Event;
  Event.Raw = Pending.substr(0, Scanned + *End);
  Pending.erase(0, Scanned + *End);
  // The memory of a large event is not kept for the rest of the stream.
  if (Event.Raw.size() > LargeEventBytes)
    Pending.shrink_to_fit();
  Scanned = 0;
  std::string_view Unparsed(Event.Raw);
  while (!Unparsed.empty()) {
    size_t End = Unparsed.find('\n');
    std::string_view Line = Unparsed.substr(0, End);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    parseLine(Event, Line);
    Unparsed.remove_prefix(End + 1);
  }
  return Event;
}

void EventSplitter::skip(std::string_view Piece) {
  while (auto End = Boundary.readToEnd(Piece))
    Piece.remove_prefix(*End);
}

} // namespace ferry::traffic

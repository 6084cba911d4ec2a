#include "LibTraffic/EventSplitter.h"
#include "LibCore/ParseNumber.h"

namespace ferry::traffic {

bool EventSplitter::push(std::string_view Piece) {
  Pending.append(Piece);
  return Pending.size() <= MaxEventBytes;
}

/// Takes one line into \p Event.
static void readLine(ServerEvent &Event, std::string_view Line) {
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
  ServerEvent Event;
  size_t LineStart = 0;
  // Lines before Scanned are known to hold no end of an event.
  size_t Feed = Pending.find('\n', Scanned);
  if (Scanned > 0)
    LineStart = Scanned;
  while (Feed != std::string::npos) {
    std::string_view Line(Pending.data() + LineStart, Feed - LineStart);
    if (Line.empty() || Line == "\r") {
      Event.Raw = Pending.substr(0, Feed + 1);
      Pending.erase(0, Feed + 1);
      Scanned = 0;
      break;
    }
    LineStart = Feed + 1;
    Feed = Pending.find('\n', LineStart);
  }
  if (Event.Raw.empty()) {
    Scanned = LineStart;
    return std::nullopt;
  }
  std::string_view Rest(Event.Raw);
  while (!Rest.empty()) {
    size_t End = Rest.find('\n');
    std::string_view Line = Rest.substr(0, End);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    readLine(Event, Line);
    Rest.remove_prefix(End + 1);
  }
  return Event;
}

} // namespace ferry::traffic

/// \file
/// Splits a stream of server-sent events into whole events.
#ifndef FERRY_LIBTRAFFIC_EVENTSPLITTER_H
#define FERRY_LIBTRAFFIC_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferry::traffic {

/// One whole event.
struct ServerEvent {
  /// The received bytes, including the empty line at the end.
  std::string Raw;
  /// The "data:" field; "" if it has none.
  std::string Data;
  /// The "id:" field, if it is a whole number: the index of the event's token.
  std::optional<uint64_t> Token;
};

/// Collects the pieces of a stream. Lines end with a line feed, with or without
/// a carriage return before it.
class EventSplitter {
public:
  /// Largest event, in bytes.
  static constexpr size_t MaxEventBytes = 256 << 10;

  /// Adds the next piece. \returns false if an event grows too large.
  bool push(std::string_view Piece);

  /// \returns the next whole event, or nothing until more pieces come.
  std::optional<ServerEvent> next();

private:
  std::string Pending;
  /// Start of the first line in Pending that has not fully arrived.
  size_t Scanned = 0;
};

} // namespace ferry::traffic

#endif

/// \file
/// Splits a stream of server-sent events into whole events.
#ifndef FERRY_LIBTRAFFIC_EVENTSPLITTER_H
#define FERRY_LIBTRAFFIC_EVENTSPLITTER_H

#include "LibTraffic/EventBoundary.h"
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

/// Collects the pieces of a stream. EventBoundary tells where its events end.
class EventSplitter {
public:
  /// Largest event, in bytes.
  static constexpr size_t MaxEventBytes = 256 << 10;

  /// \returns the bytes of memory that push() takes at most while it adds a
  /// piece of \p Added bytes.
  uint64_t takenWith(uint64_t Added) const;

  /// Adds the next piece. \returns false if an event grows too large.
  bool push(std::string_view Piece);

  /// \returns the next whole event, or nothing until more pieces come.
  std::optional<ServerEvent> next();

  /// Reads the next piece of a stream whose events are not wanted.
  void skip(std::string_view Piece);

  /// Where the stream stands after all pieces whose events were taken.
  const EventBoundary &boundary() const { return Boundary; }

private:
  std::string Pending;
  /// Bytes of Pending that the boundary has read.
  size_t Scanned = 0;
  EventBoundary Boundary;
};

} // namespace ferry::traffic

#endif

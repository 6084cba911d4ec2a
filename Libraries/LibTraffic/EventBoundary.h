/// \file
/// Tells where the events of a stream of server-sent events end.
#ifndef FERRY_LIBTRAFFIC_EVENTBOUNDARY_H
#define FERRY_LIBTRAFFIC_EVENTBOUNDARY_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ferry::traffic {

/// Reads a stream piece by piece. A line ends with a line feed, with or without
/// a carriage return before it; an empty line ends an event. A comment line
/// (":...") belongs to no event by itself.
class EventBoundary {
public:
  /// Reads \p Piece up to the end of the next event.
  /// \returns the number of bytes read if an event ends there, or nothing if
  /// the whole piece was read without one.
  std::optional<size_t> readToEnd(std::string_view Piece);

  /// Whether a stream that ends here is broken off: a line has not ended, or an
  /// event has begun.
  bool insideEvent() const { return LineBytes > 0 || EventStarted; }

  /// \returns the number of bytes read since the last event ended.
  uint64_t unfinishedBytes() const { return UnfinishedBytes; }

private:
  /// Handles the end of a line. \returns whether it ends an event.
  bool endLine();

  uint64_t UnfinishedBytes = 0;
  /// Bytes of the current line.
  uint64_t LineBytes = 0;
  char LineStart = '\0';
  /// Whether a field's line has ended since the last event.
  bool EventStarted = false;
};

} // namespace ferry::traffic

#endif

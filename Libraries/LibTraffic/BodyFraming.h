/// \file
/// Decodes the framing of a message body and tells whether the body is
/// complete.
#ifndef FERRY_LIBTRAFFIC_BODYFRAMING_H
#define FERRY_LIBTRAFFIC_BODYFRAMING_H

#include "LibCore/EnumNames.h"
#include "LibCore/Result.h"
#include "LibTraffic/TargetLink.h"
#include <string>
#include <string_view>
#include <variant>

namespace ferry::traffic {

/// The body has a length that was sent ahead.
struct LengthFraming {
  uint64_t RemainingBytes = 0;
};
/// The body comes in chunks and ends with an empty one.
struct ChunkFraming {
  enum class Expect : uint8_t { Size, Data, DataEnd, Trailer, Nothing };
  Expect Expected = Expect::Size;
  /// Bytes of the current chunk that are still to come.
  uint64_t RemainingBytes = 0;
  /// The received part of the current line.
  std::string Line;
  /// Bytes of all trailer lines.
  uint64_t TrailerBytes = 0;
};
/// The body ends with its connection.
struct CloseFraming {};

/// How the end of a body is told.
enum class FramingKind : uint8_t { Length, Chunks, Connection };

/// Decodes the raw bytes of a body piece by piece. Replaces the HTTP library's
/// chunked stream, which ends in the same way after the last chunk and after a
/// lost connection.
class BodyFraming {
public:
  using Kind = std::variant<LengthFraming, ChunkFraming, CloseFraming>;

  explicit BodyFraming(Kind Initial) : Framing(std::move(Initial)) {}

  /// Decodes \p Raw and appends its body bytes to \p Body. Bytes after the end
  /// of the body are dropped.
  /// \returns LinkErrorKind::Broken for malformed framing.
  LinkResult<void> decode(std::string_view Raw, std::string &Body);

  /// Whether the whole body was decoded.
  bool isComplete() const;
  /// \returns how many bytes may be read next so that none behind the body is
  /// among them; 0 once it is complete. A body that ends with its connection
  /// has no such bound.
  uint64_t safeReadBytes() const;
  /// Whether the body is complete if its connection ends now.
  bool mayEndWithConnection() const;
  FramingKind kind() const;

private:
  LinkResult<void> decodeChunks(ChunkFraming &Chunks, std::string_view Raw,
                                std::string &Body);
  static LinkResult<void> parseLine(ChunkFraming &Chunks);

  Kind Framing;
};

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::FramingKind> {
  using Kind = traffic::FramingKind;
  static constexpr EnumName<Kind> Table[] = {{Kind::Length, "length"},
                                             {Kind::Chunks, "chunks"},
                                             {Kind::Connection, "connection"}};
};

} // namespace ferry

#endif

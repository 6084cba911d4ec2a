/// \file
/// Splits a byte stream into length-prefixed frames.
#ifndef FERRY_LIBWIRE_FRAMEREADER_H
#define FERRY_LIBWIRE_FRAMEREADER_H

#include "LibCore/Result.h"
#include "LibWire/WireError.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferry::wire {

/// Bytes of the length before each frame, in big-endian order.
inline constexpr size_t FrameHeaderBytes = 4;

/// \returns \p Body with its length prepended.
std::string frame(std::string_view Body);

/// Collects the bytes of one connection and returns whole frames.
class FrameReader {
public:
  /// \param MaxFrameBytes longer frames are an error, reported as soon as their
  /// length has arrived.
  explicit FrameReader(uint64_t MaxFrameBytes);

  /// Replaces the limit for the frames that follow.
  void setMaxFrameBytes(uint64_t Bytes) { MaxFrameBytes = Bytes; }

  /// Appends bytes as received from the connection.
  void append(std::string_view Bytes);

  /// \returns the next whole frame, nothing if more bytes are needed, or
  /// WireErrorKind::TooLarge, after which the stream cannot be read further.
  Result<std::optional<std::string>, WireError> tryNext();

private:
  uint64_t MaxFrameBytes;
  std::string Buffer;
  size_t Consumed = 0;
};

} // namespace ferry::wire

#endif

/// \file
/// Cuts a byte stream into length-prefixed frames.
#ifndef FERRY_LIBWIRE_FRAMEREADER_H
#define FERRY_LIBWIRE_FRAMEREADER_H

#include "LibCore/Result.h"
#include "LibWire/WireError.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferry::wire {

/// Bytes of the length before each frame, most significant first.
inline constexpr size_t FrameHeaderBytes = 4;

/// \returns \p Body with its length before it.
std::string frame(std::string_view Body);

/// Collects bytes of one connection and gives out whole frames.
class FrameReader {
public:
  /// \param MaxFrameBytes longer frames are an error, found from the length.
  explicit FrameReader(uint64_t MaxFrameBytes);

  /// Takes bytes as they came from the connection.
  void append(std::string_view Bytes);

  /// \returns the next whole frame, nothing if more bytes are needed, or
  /// WireErrorKind::TooLarge, after which the connection is of no use.
  Result<std::optional<std::string>, WireError> tryNext();

private:
  uint64_t MaxFrameBytes;
  std::string Buffer;
  size_t Consumed = 0;
};

} // namespace ferry::wire

#endif

#include "LibWire/FrameReader.h"

namespace ferry::wire {

/// Consumed bytes are erased from the buffer once there are this many.
static constexpr size_t CompactAfterBytes = 64 * 1024;

std::string frame(std::string_view Body) {
  auto Size = static_cast<uint32_t>(Body.size());
  std::string Framed;
  Framed.reserve(FrameHeaderBytes + Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Framed.push_back(static_cast<char>((Size >> Shift) & 0xFF));
  Framed.append(Body);
  return Framed;
}

FrameReader::FrameReader(uint64_t MaxFrameBytes)
    : MaxFrameBytes(MaxFrameBytes) {}

void FrameReader::append(std::string_view Bytes) { Buffer.append(Bytes); }

Result<std::optional<std::string>, WireError> FrameReader::tryNext() {
  if (Buffer.size() - Consumed < FrameHeaderBytes)
    return std::nullopt;
  uint64_t Size = 0;
  for (size_t Index = 0; Index < FrameHeaderBytes; ++Index)
    Size = (Size << 8) | static_cast<uint8_t>(Buffer[Consumed + Index]);
  if (Size > MaxFrameBytes)
    return makeTypedError(WireErrorKind::TooLarge, std::to_string(Size));
  if (Buffer.size() - Consumed - FrameHeaderBytes < Size)
    return std::nullopt;
  std::string Body = Buffer.substr(Consumed + FrameHeaderBytes, Size);
  Consumed += FrameHeaderBytes + Size;
  if (Consumed >= CompactAfterBytes || Consumed == Buffer.size()) {
    Buffer.erase(0, Consumed);
    Consumed = 0;
  }
  return Body;
}

} // namespace ferry::wire

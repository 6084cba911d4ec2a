/// \file
/// Encodes Thrift structs in the compact protocol, and decodes them strictly.
#ifndef FERRY_LIBWIRE_CODEC_H
#define FERRY_LIBWIRE_CODEC_H

#include "LibCore/Result.h"
#include "LibWire/WireError.h"
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace ferry::wire {

using MemoryBuffer = apache::thrift::transport::TMemoryBuffer;
using CompactProtocol =
    apache::thrift::protocol::TCompactProtocolT<MemoryBuffer>;

/// \returns the encoded \p Message.
template <typename MessageType> std::string encode(const MessageType &Message) {
  auto Buffer = std::make_shared<MemoryBuffer>();
  CompactProtocol Protocol(Buffer);
  Message.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Decodes all of \p Bytes as one message.
/// \returns the message, or WireErrorKind::Malformed, TooLarge or
/// TrailingBytes. Never reads beyond \p Bytes, whatever lengths they contain.
template <typename MessageType>
Result<MessageType, WireError> tryDecode(std::string_view Bytes) {
  if (Bytes.size() > std::numeric_limits<int32_t>::max())
    return makeTypedError(WireErrorKind::TooLarge);
  auto Size = static_cast<uint32_t>(Bytes.size());
  // OBSERVE does not write through the pointer.
  auto *Data = reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer =
      std::make_shared<MemoryBuffer>(Data, Size, MemoryBuffer::OBSERVE);
  // The size of the input limits strings and containers, so that a false length
  // cannot allocate more.
  auto Limit = static_cast<int32_t>(Size);
  CompactProtocol Protocol(Buffer, Limit, Limit);
  MessageType Message;
  try {
    Message.read(&Protocol);
  } catch (const std::exception &Failure) {
    return makeTypedError(WireErrorKind::Malformed, Failure.what());
  }
  if (Buffer->available_read() != 0)
    return makeTypedError(WireErrorKind::TrailingBytes);
  return Message;
}

} // namespace ferry::wire

#endif

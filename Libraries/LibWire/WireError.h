/// \file
/// Errors of frames, messages and peer connections.
#ifndef FERRY_LIBWIRE_WIREERROR_H
#define FERRY_LIBWIRE_WIREERROR_H

#include "LibCore/Error.h"

namespace ferry::wire {

enum class WireErrorKind : uint8_t {
  /// The bytes are not a message of the expected type.
  Malformed,
  /// A frame or a message is larger than the limit.
  TooLarge,
  /// There are bytes after the end of the message.
  TrailingBytes,
  /// The peer belongs to another cluster or does not know the cluster's key.
  Untrusted,
  /// The connection or the listening socket could not be opened, or the
  /// connection was lost.
  Disconnected,
  /// The address is not "IP:port".
  BadAddress
};

using WireError = TypedError<WireErrorKind>;

} // namespace ferry::wire

namespace ferry {

template <> struct EnumNames<wire::WireErrorKind> {
  using Kind = wire::WireErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::Malformed, "malformed"},
      {Kind::TooLarge, "too_large"},
      {Kind::TrailingBytes, "trailing_bytes"},
      {Kind::Untrusted, "untrusted"},
      {Kind::Disconnected, "disconnected"},
      {Kind::BadAddress, "bad_address"}};
};

} // namespace ferry

#endif

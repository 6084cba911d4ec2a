/// \file
/// Why an HTTP server could not start.
#ifndef FERRY_LIBTRAFFIC_TRAFFICERROR_H
#define FERRY_LIBTRAFFIC_TRAFFICERROR_H

#include "LibCore/EnumNames.h"
#include "LibCore/Error.h"

namespace ferry::traffic {

enum class TrafficErrorKind : uint8_t {
  BadAddress,
  BindFailed,
  TokenFileUnreadable,
  TokenFileMalformed
};

using TrafficError = TypedError<TrafficErrorKind>;

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::TrafficErrorKind> {
  using Kind = traffic::TrafficErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::BadAddress, "bad_address"},
      {Kind::BindFailed, "bind_failed"},
      {Kind::TokenFileUnreadable, "token_file_unreadable"},
      {Kind::TokenFileMalformed, "token_file_malformed"}};
};

} // namespace ferry

#endif

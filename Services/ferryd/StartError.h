/// \file
/// Why a daemon could not start.
#ifndef FERRY_FERRYD_STARTERROR_H
#define FERRY_FERRYD_STARTERROR_H

#include "LibCore/Error.h"

namespace ferry::daemon {

enum class StartErrorKind : uint8_t { BadSettings, CannotListen, Storage };

using StartError = TypedError<StartErrorKind>;

} // namespace ferry::daemon

namespace ferry {

template <> struct EnumNames<daemon::StartErrorKind> {
  using Kind = daemon::StartErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::BadSettings, "bad_settings"},
      {Kind::CannotListen, "cannot_listen"},
      {Kind::Storage, "storage"}};
};

} // namespace ferry

#endif

/// \file
/// Whether a host may be listed as an entry.
#ifndef FERRY_LIBCORE_HOSTSTANDING_H
#define FERRY_LIBCORE_HOSTSTANDING_H

#include "LibCore/EnumNames.h"
#include <cstdint>

namespace ferry {

/// The standing that a host announces, or Silent if it announces none. Only a
/// serving host is listed as an entry.
enum class HostStanding : uint8_t { Serving, Draining, Unconfirmed, Silent };

template <> struct EnumNames<HostStanding> {
  static constexpr EnumName<HostStanding> Table[] = {
      {HostStanding::Serving, "serving"},
      {HostStanding::Draining, "draining"},
      {HostStanding::Unconfirmed, "unconfirmed"},
      {HostStanding::Silent, "silent"}};
};

} // namespace ferry

#endif

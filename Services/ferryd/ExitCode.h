/// \file
/// Exit codes of ferryd, by kind of failure.
#ifndef FERRY_FERRYD_EXITCODE_H
#define FERRY_FERRYD_EXITCODE_H

#include <cstdint>

namespace ferry::daemon {

enum class ExitCode : uint8_t {
  Success = 0,
  /// The command line is wrong.
  Usage = 2,
  /// The settings are wrong; each fault is printed.
  BadSettings = 3,
  /// ferryd could not listen on an address.
  CannotListen = 4,
  /// The data folder could not be read or written.
  Storage = 5
};

} // namespace ferry::daemon

#endif

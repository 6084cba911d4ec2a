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
  /// The settings are wrong; each fault was printed.
  BadSettings = 3,
  /// An address could not be listened on.
  CannotListen = 4,
  /// The data folder could not be read or written.
  Storage = 5
};

} // namespace ferry::daemon

#endif

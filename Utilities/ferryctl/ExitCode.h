/// \file
/// Exit codes of ferryctl, one per kind of failure.
#ifndef FERRY_FERRYCTL_EXITCODE_H
#define FERRY_FERRYCTL_EXITCODE_H

#include "LibCore/EnumNames.h"
#include <cstdint>

namespace ferry::ctl {

/// The outcome of a run of ferryctl. Scripts depend on the values: a value is
/// never reused with another meaning.
enum class ExitCode : uint8_t {
  Success = 0,
  /// Something inside ferryctl failed.
  InternalError = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A file cannot be read or is invalid.
  InvalidInput = 3,
  /// No host answered; nothing was done.
  Unreachable = 4,
  /// A host refused; nothing was done.
  Refused = 5,
  /// The change is based on another number than the current one.
  Conflict = 6,
  /// The change is accepted, but not yet in force on every host.
  NotYetInForce = 7,
  /// It is unknown whether the change or call was carried out; a resend with
  /// the same operation id or idempotency key is safe.
  OutcomeUnknown = 8,
  /// The compared texts differ.
  Different = 9
};

} // namespace ferry::ctl

namespace ferry {

template <> struct EnumNames<ctl::ExitCode> {
  using Code = ctl::ExitCode;
  static constexpr EnumName<Code> Table[] = {
      {Code::Success, "success"},
      {Code::InternalError, "internal_error"},
      {Code::Usage, "usage"},
      {Code::InvalidInput, "invalid_input"},
      {Code::Unreachable, "unreachable"},
      {Code::Refused, "refused"},
      {Code::Conflict, "conflict"},
      {Code::NotYetInForce, "not_yet_in_force"},
      {Code::OutcomeUnknown, "outcome_unknown"},
      {Code::Different, "different"}};
};

} // namespace ferry

#endif

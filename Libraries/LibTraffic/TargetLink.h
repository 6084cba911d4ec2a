/// \file
/// Errors and limits of the connections to targets.
#ifndef FERRY_LIBTRAFFIC_TARGETLINK_H
#define FERRY_LIBTRAFFIC_TARGETLINK_H

#include "LibCore/EnumNames.h"
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include <string>
#include <utility>
#include <vector>

namespace ferry::traffic {

/// Why an attempt on a target ended early.
enum class LinkErrorKind : uint8_t {
  /// No connection: nothing was sent.
  ConnectFailed,
  /// It was too late to send: nothing was sent.
  NotSent,
  /// Parts of the request may have been sent.
  SendFailed,
  /// The connection ended or the answer is malformed.
  Broken,
  /// The answer is shorter than its length, or nothing shows that it is whole.
  Incomplete,
  TooLarge,
  /// The answer names another request, incarnation or weights.
  WrongEcho,
  /// No byte came within the stall limit.
  Stalled,
  DeadlinePassed,
  CallerGone
};

/// What is known of the end of a connection that ends an answer. A kernel
/// closes the connections of a process that was killed in the same way as the
/// process itself does behind its answer.
enum class ConnectionEnd : uint8_t {
  /// The target has the whole request and still accepts connections.
  Confirmed,
  /// This host has ended the connection.
  EndedHere,
  /// The target had not read the whole request.
  RequestUnsent,
  /// A reset came behind the end.
  ResetBehind,
  /// The target accepts no connections any more.
  TargetGone
};

using LinkError = TypedError<LinkErrorKind>;
template <typename ValueType> using LinkResult = Result<ValueType, LinkError>;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What ends a wait on a target.
struct WaitLimits {
  Timestamp Deadline;
  /// Longest wait for the next byte. Each wait turns it into a point in time.
  Duration StallLimit = Duration::max();
  /// The caller's socket descriptor, polled for its end; -1 for none.
  int CallerDescriptor = -1;

  /// \returns when a wait that starts at \p Now counts as stalled, at the
  /// latest the deadline.
  Timestamp stallTime(Timestamp Now) const;
};

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::ConnectionEnd> {
  using End = traffic::ConnectionEnd;
  static constexpr EnumName<End> Table[] = {
      {End::Confirmed, "confirmed"},
      {End::EndedHere, "ended_here"},
      {End::RequestUnsent, "request_unsent"},
      {End::ResetBehind, "reset_behind"},
      {End::TargetGone, "target_gone"}};
};

template <> struct EnumNames<traffic::LinkErrorKind> {
  using Kind = traffic::LinkErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::ConnectFailed, "connect_failed"},
      {Kind::NotSent, "not_sent"},
      {Kind::SendFailed, "send_failed"},
      {Kind::Broken, "broken"},
      {Kind::Incomplete, "incomplete"},
      {Kind::TooLarge, "too_large"},
      {Kind::WrongEcho, "wrong_echo"},
      {Kind::Stalled, "stalled"},
      {Kind::DeadlinePassed, "deadline_passed"},
      {Kind::CallerGone, "caller_gone"}};
};

} // namespace ferry

#endif

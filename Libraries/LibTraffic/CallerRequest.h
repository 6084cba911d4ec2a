/// \file
/// The checked headers that every request of a caller carries.
#ifndef FERRY_LIBTRAFFIC_CALLERREQUEST_H
#define FERRY_LIBTRAFFIC_CALLERREQUEST_H

#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/TrafficContext.h"
#include <optional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// Whether new work may start on this host at present.
enum class Admission : uint8_t { Open, ReadsOnly, Refused };

/// A caller's request before its body is looked at.
struct CallerRequest {
  /// Unique over all hosts and their lives.
  RequestId Id;
  WorkspaceId Workspace;
  routing::Priority Priority = routing::Priority::Interactive;
  /// 0 if the caller named no deadline.
  uint64_t DeadlineMillis = 0;
  /// "" if the caller named none.
  std::string IdempotencyKey;
  /// The snapshot that the request was checked against.
  routing::RoutingViewPtr View;
};

/// Reads and checks the headers: form, workspace and token.
AnswerResult<CallerRequest> tryReadCaller(TrafficContext &Context,
                                          const HttpExchange &Exchange);

/// \returns the point in time by which the request must be answered.
Timestamp requestDeadline(const CallerRequest &Caller,
                          const config::Service &Service);

/// Reads whether this host takes new work at \p Now; a refusal comes with the
/// hosts to use instead.
struct AdmissionAnswer {
  Admission Mode = Admission::Open;
  /// Set unless the mode is Admission::Open.
  ErrorAnswer Refusal;
};
AdmissionAnswer admissionAt(const TrafficContext &Context,
                            const routing::RoutingView &View,
                            const WorkspaceId &Workspace, Timestamp Now);

/// What a send does, as far as an unconfirmed description matters to it.
enum class SendKind : uint8_t {
  /// Goes on with an answer that the caller has in part.
  Resume,
  /// Changes no record behind the target.
  Read,
  Write
};

/// The last look before the first byte of a try is sent: a process that was
/// frozen since the request was placed must not send it late.
/// \returns why nothing may be sent, or nothing.
std::optional<ErrorAnswer> stopBeforeSend(TrafficContext &Context,
                                          const CallerRequest &Caller,
                                          Timestamp Deadline, SendKind Kind);

/// \returns the addresses of other hosts that serve \p Workspace, best first.
std::vector<std::string> otherEntries(const TrafficContext &Context,
                                      const WorkspaceId &Workspace);

} // namespace ferry::traffic

#endif

/// \file
/// Reads and checks the headers that every caller's request carries.
#ifndef FERRY_LIBTRAFFIC_CALLERREQUEST_H
#define FERRY_LIBTRAFFIC_CALLERREQUEST_H

#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/TrafficContext.h"
#include <optional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// Which new requests this host accepts.
enum class Admission : uint8_t { Open, ReadsOnly, Refused };

/// The checked headers of a caller's request.
struct CallerRequest {
  /// Unique across all hosts and their incarnations.
  RequestId Id;
  WorkspaceId Workspace;
  routing::Priority Priority = routing::Priority::Interactive;
  /// 0 if the caller sent no deadline.
  uint64_t DeadlineMillis = 0;
  /// "" if the caller sent none.
  std::string IdempotencyKey;
  /// The routing snapshot that the headers were checked against.
  routing::RoutingViewPtr View;
};

/// Reads the headers and checks their form, the workspace and its token.
AnswerResult<CallerRequest> tryReadCaller(TrafficContext &Context,
                                          const HttpExchange &Exchange);

/// \returns the point in time by which the request must be answered.
Timestamp requestDeadline(const CallerRequest &Caller,
                          const config::Service &Service);

/// The result of an admission check.
struct AdmissionAnswer {
  Admission Mode = Admission::Open;
  /// Set unless the mode is Admission::Open; lists the hosts to use instead.
  ErrorAnswer Refusal;
};

/// \returns which new requests this host accepts at \p Now.
AdmissionAnswer admissionAt(const TrafficContext &Context,
                            const routing::RoutingView &View,
                            const WorkspaceId &Workspace, Timestamp Now);

/// Kinds of requests to targets, which differ in whether a host with an
/// unconfirmed description may send them.
enum class SendKind : uint8_t {
  /// Continues an answer that the caller has received in part.
  Resume,
  /// Changes no data of the target.
  Read,
  Write
};

/// Checks the deadline and the confirmation of the description again, right
/// before the first byte of an attempt is sent: a process that was frozen after
/// the placement must not send late.
/// \returns the refusal if nothing may be sent, or nothing.
std::optional<ErrorAnswer> checkBeforeSend(TrafficContext &Context,
                                           const CallerRequest &Caller,
                                           Timestamp Deadline, SendKind Kind);

/// \returns the addresses of other hosts that serve \p Workspace, best first.
std::vector<std::string> otherEntries(const TrafficContext &Context,
                                      const WorkspaceId &Workspace);

} // namespace ferry::traffic

#endif

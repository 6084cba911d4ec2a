/// \file
/// One call of a plain service, and one try of it on a target.
#ifndef FERRY_LIBTRAFFIC_SERVICECALL_H
#define FERRY_LIBTRAFFIC_SERVICECALL_H

#include "LibTraffic/CallerRequest.h"
#include "LibTraffic/TargetConnection.h"
#include <optional>
#include <string>

namespace ferry::traffic {

/// What may be done with a call whose outcome is not known.
enum class RepeatRule : uint8_t {
  /// It may run again.
  Idempotent,
  /// It is not tried again once a byte was sent.
  OnceSent,
  /// The description lists it: it is claimed in the ledger and runs once.
  Claimed
};

/// One call of a plain service.
struct ServiceCall {
  CallerRequest Caller;
  ServiceId Service;
  std::string Method;
  /// Decoded path on the target.
  std::string Path;
  std::string RawQuery;
  std::string ContentType;
  std::string Accept;
  std::string Body;
  RepeatRule Rule = RepeatRule::Idempotent;
  Timestamp Deadline;
};

/// The whole answer of a target.
struct ServiceAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// \returns the rule for \p Method on \p Path by the description.
RepeatRule repeatRule(const config::Service &Service, const std::string &Method,
                      const std::string &Path);

/// \returns a digest of everything that makes two calls the same call.
uint64_t callDigest(const ServiceCall &Call);

/// Sends the call once and reads its whole answer. \p CallerDescriptor is the
/// caller's socket, -1 to finish also without a caller. A stop before the send
/// leaves its reason in \p Stop and returns LinkErrorKind::NotSent.
LinkResult<ServiceAnswer>
tryCallTarget(TrafficContext &Context, const ServiceCall &Call,
              const routing::Dispatch &Dispatch, const RequestId &TryId,
              int CallerDescriptor, std::optional<ErrorAnswer> &Stop);

/// \returns whether a try that ended with \p Error may have run.
bool mayHaveRun(const LinkError &Error);

/// Runs a call that is not claimed: tries, retries by its rule, and answers.
void relayCall(TrafficContext &Context, HttpExchange &Exchange,
               const ServiceCall &Call);

} // namespace ferry::traffic

#endif

/// \file
/// One call of a plain service, and one attempt of it on a target.
#ifndef FERRY_LIBTRAFFIC_SERVICECALL_H
#define FERRY_LIBTRAFFIC_SERVICECALL_H

#include "LibTraffic/CallerRequest.h"
#include "LibTraffic/TargetConnection.h"
#include <optional>
#include <string>

namespace ferry::traffic {

/// Whether the router may retry a call whose outcome is unknown.
enum class RetryRule : uint8_t {
  /// It may run again.
  Idempotent,
  /// It may not run again; it is retried only while no byte of it was sent.
  UntilSent,
  /// The description lists it as non-idempotent. It is claimed in the ledger
  /// and runs at most once.
  Claimed
};

/// One call of a plain service.
struct ServiceCall {
  CallerRequest Caller;
  ServiceId Service;
  std::string Method;
  /// The decoded path on the target.
  std::string Path;
  std::string RawQuery;
  std::string ContentType;
  std::string Accept;
  std::string Body;
  RetryRule Rule = RetryRule::Idempotent;
  Timestamp Deadline;
};

/// The whole answer of a target.
struct ServiceAnswer {
  int Status = 0;
  std::string ContentType;
  HeldBody Body;
  /// What the body takes of the budget.
  std::unique_ptr<BudgetShare> Share;
};

/// \returns the rule for \p Method on \p Path by the description.
RetryRule retryRule(const config::Service &Service, const std::string &Method,
                    const std::string &Path);

/// \returns a digest that is equal for a call and its resends.
uint64_t callDigest(const ServiceCall &Call);

/// Sends the call once and reads its whole answer.
/// \param CallerDescriptor the caller's socket, whose end stops the wait, or -1
/// to finish even if the caller disconnects.
/// \param SendRefusal set if the check before the send fails; the result is
/// then LinkErrorKind::NotSent.
LinkResult<ServiceAnswer>
tryCallTarget(TrafficContext &Context, const ServiceCall &Call,
              const routing::Dispatch &Dispatch, const RequestId &TryId,
              int CallerDescriptor, std::optional<ErrorAnswer> &SendRefusal);

/// \returns whether the call may have run in an attempt that ended with \p
/// Error.
bool mayHaveRun(const LinkError &Error);

/// Runs a call that is not claimed: sends it, retries it by its rule and
/// answers the caller.
void relayCall(TrafficContext &Context, HttpExchange &Exchange,
               const ServiceCall &Call);

} // namespace ferry::traffic

#endif

/// \file
/// Runs one non-idempotent call at most once by means of a claim in the ledger.
#ifndef FERRY_LIBTRAFFIC_CLAIMEDCALL_H
#define FERRY_LIBTRAFFIC_CLAIMEDCALL_H

#include "LibTraffic/ClaimSettler.h"
#include "LibTraffic/ServiceCall.h"
#include <variant>

namespace ferry::traffic {

/// Serves one non-idempotent call. Used by the connection's thread only.
///
/// The order of steps guarantees that the call runs at most once: commit of the
/// claim, checks and placement, one send on a new connection, commit of the
/// claim's end, answer. An answer says "not run" only after a committed
/// release.
class ClaimedCall {
public:
  ClaimedCall(TrafficContext &Context, ClaimSettler &Settler,
              HttpExchange &Exchange, const ServiceCall &Call);

  /// Claims the call, runs it and answers the caller.
  void run();

private:
  using ClaimReply = RegistryResult<registry::ClaimOutcome>;

  /// Requests the claim until the ledger decides it or the deadline passes.
  std::optional<registry::ClaimOutcome> awaitClaim();
  std::optional<ClaimReply> requestClaim();
  /// Ends a claim whose holder can no longer end it.
  /// \returns whether to request the claim again.
  bool resolveHeldClaim(const registry::ClaimAttempt &Holder);
  bool isHolderGone(const registry::ClaimAttempt &Holder);

  void answer(const registry::ClaimOutcome &Outcome);
  void runGranted();
  /// Tries targets until a byte of the call may have been sent.
  void sendOnce(Placement Destination);
  void finishCall(const LinkResult<ServiceAnswer> &Answer);
  /// Releases the claim and answers with the refusal.
  void refuse(ErrorAnswer Refusal);
  void sendUnknownOutcome(const std::string &Message);

  TrafficContext &Context;
  ClaimSettler &Settler;
  HttpExchange &Exchange;
  const ServiceCall &Call;
  registry::ClaimKey Key;
  registry::ClaimAttempt Attempt;
  /// Start of the current silence of the holder's host.
  std::optional<Timestamp> SilentSince;
};

} // namespace ferry::traffic

#endif

/// \file
/// Runs one non-idempotent call at most once, by a claim in the ledger.
#ifndef FERRY_LIBTRAFFIC_CLAIMEDCALL_H
#define FERRY_LIBTRAFFIC_CLAIMEDCALL_H

#include "LibTraffic/ClaimSettler.h"
#include "LibTraffic/ServiceCall.h"
#include <variant>

namespace ferry::traffic {

/// One non-idempotent call. Used by the connection's thread only.
///
/// The order of steps carries the promise: claim committed, then checks and
/// placement, then one send on a fresh connection, then the end of the claim
/// committed, then the answer. "Not run" is said only of a committed release.
class ClaimedCall {
public:
  ClaimedCall(TrafficContext &Context, ClaimSettler &Settler,
              HttpExchange &Exchange, const ServiceCall &Call);

  /// Claims, runs and answers.
  void run();

private:
  using ClaimReply = RegistryResult<registry::ClaimOutcome>;

  /// Asks for the claim until it is decided or the deadline passes.
  std::optional<registry::ClaimOutcome> awaitClaim();
  std::optional<ClaimReply> askClaim();
  /// Acts on a claim that another attempt holds. \returns whether to ask again.
  bool waitForHolder(const registry::ClaimAttempt &Holder);
  bool holderGone(const registry::ClaimAttempt &Holder);

  void answer(const registry::ClaimOutcome &Outcome);
  void runGranted();
  /// Tries targets until a byte may have been sent.
  void sendOnce(Placement Placed);
  void finishSent(const LinkResult<ServiceAnswer> &Answer);
  /// Releases the claim and answers with the refusal.
  void refuse(ErrorAnswer Refusal);
  void sendUnknown(const std::string &Message);

  TrafficContext &Context;
  ClaimSettler &Settler;
  HttpExchange &Exchange;
  const ServiceCall &Call;
  registry::ClaimKey Key;
  registry::ClaimAttempt Attempt;
  /// Since when the holder's host has been silent without a break.
  std::optional<Timestamp> SilentSince;
};

} // namespace ferry::traffic

#endif

/// \file
/// One request that a router passes on to another one.
#ifndef FERRY_LIBTRAFFIC_PASSEDCALL_H
#define FERRY_LIBTRAFFIC_PASSEDCALL_H

#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/RoutedContext.h"
#include "LibTraffic/TargetExchange.h"

namespace ferry::traffic {

/// Sends a caller's request to another router and relays the answer as it is,
/// so that "not run", the target's attestation and the times to retry stay what
/// they were. Exists as long as the request, on its thread.
class PassedCall {
public:
  enum class End : uint8_t {
    /// The caller has got an answer.
    Answered,
    /// Nothing was sent to the other router.
    NotSent,
    /// The other router, or a target of it, may have run the request. The
    /// caller has got nothing.
    Unknown,
    /// The caller has got a part of a stream.
    Cut,
    CallerLeft
  };

  PassedCall(RoutedContext &Context, HttpExchange &Exchange, Timestamp Deadline)
      : Context(Context), Exchange(Exchange), Deadline(Deadline),
        LargeAnswer(Context.LargeAnswers) {}

  End run(const SharedReach::Address &To, const std::string &Body);

  /// \returns why it was not answered.
  const std::string &failure() const { return Failure; }
  /// \returns the status of the answer.
  int status() const { return Status; }

private:
  End relayAnswer(TargetExchange &Router);
  End relayStream(TargetExchange &Router);
  End fail(const LinkError &Error, End Otherwise);
  WaitLimits limits() const;

  RoutedContext &Context;
  HttpExchange &Exchange;
  Timestamp Deadline;
  BudgetShare LargeAnswer;
  std::string Failure;
  int Status = 0;
};

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::PassedCall::End> {
  using End = traffic::PassedCall::End;
  static constexpr EnumName<End> Table[] = {{End::Answered, "answered"},
                                            {End::NotSent, "not_sent"},
                                            {End::Unknown, "unknown"},
                                            {End::Cut, "cut"},
                                            {End::CallerLeft, "caller_left"}};
};

} // namespace ferry

#endif

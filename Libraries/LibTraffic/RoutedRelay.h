/// \file
/// One request of the routed interface: checks, placement, relay, retries.
#ifndef FERRY_LIBTRAFFIC_ROUTEDRELAY_H
#define FERRY_LIBTRAFFIC_ROUTEDRELAY_H

#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/RoutedContext.h"
#include "LibTraffic/TargetExchange.h"

namespace ferry::traffic {

/// Lives as long as its request, on the thread of the caller's connection.
///
/// A request that may run once is sent again only after an attempt of which
/// nothing was sent or whose target said that it did not run it. So the promise
/// of "not run" needs no memory beyond this object.
class RoutedRelay {
public:
  RoutedRelay(RoutedContext &Context, HttpExchange &Exchange);
  ~RoutedRelay();
  RoutedRelay(const RoutedRelay &) = delete;
  RoutedRelay &operator=(const RoutedRelay &) = delete;

  /// Answers the request or ends its connection.
  void run();

private:
  /// What follows an attempt.
  enum class Next : uint8_t { Done, RetryUnsent, RetryRun };

  /// Finds route and workspace. \returns the answer that ends the request.
  std::optional<ErrorAnswer> check();
  std::optional<ErrorAnswer> checkKey();
  void relay();
  Next attempt(const routing::PlacedCall &Placed);
  Next relayAnswer(const routing::PlacedCall &Placed, TargetExchange &Target);
  Next relayWhole(const routing::PlacedCall &Placed, TargetExchange &Target);
  Next relayStream(const routing::PlacedCall &Placed, TargetExchange &Target);
  bool takeEvents(EventSplitter &Events, std::string &Piece,
                  std::string &Ready);
  void beginStream(const routing::PlacedCall &Placed, TargetExchange &Target);
  Next streamBroken(const routing::PlacedCall &Placed,
                    const LinkError &Failure);
  void cutStream();
  Next failed(const routing::PlacedCall &Placed, const LinkError &Failure,
              bool Sent);
  Next end(const routing::PlacedCall &Placed, routing::CallEnd End, Next Then);
  bool mayRetry(Next Wanted);
  void turnAway(const routing::RefusedCall &Refusal);
  void giveUp();
  void refuse(const ErrorAnswer &Answer);
  void logPlaced(const routing::PlacedCall &Placed);
  void logEnd(std::string_view Event, int Status);
  WaitLimits limits() const;
  TargetDetails detailsFor(const routing::PlacedCall &Placed) const;

  RoutedContext &Context;
  HttpExchange &Exchange;
  routing::RoutingViewPtr View;
  CallerDetails Caller;
  const config::Route *Route = nullptr;
  const config::RoutedWorkspace *Workspace = nullptr;
  std::string Body;
  routing::RoutedCall Call;
  Timestamp ArrivedAt;
  /// When the answer began; the epoch before that.
  Timestamp FirstByteAt;
  /// Targets that may have run the request.
  uint32_t Runs = 0;
  uint32_t Attempts = 0;
  /// A part of the answer was passed on.
  bool Streaming = false;
  /// The newest event that was.
  std::optional<uint64_t> LastEvent;
  /// A target's failure, passed on if no other target serves the request.
  struct HeldAnswer {
    Poco::Net::HTTPResponse Head;
    std::string Body;
  };
  std::optional<HeldAnswer> Held;
  LinkError LastFailure{LinkErrorKind::NotSent, ""};
};

} // namespace ferry::traffic

#endif

/// \file
/// Carries one chat completion from a caller to engines and its answer back.
#ifndef FERRY_LIBTRAFFIC_CHATRELAY_H
#define FERRY_LIBTRAFFIC_CHATRELAY_H

#include "LibTraffic/CallerRequest.h"
#include "LibTraffic/ChatRequest.h"
#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/TargetConnection.h"
#include <string>
#include <variant>

namespace ferry::traffic {

/// One chat completion. Used by the connection's thread only.
class ChatRelay {
public:
  ChatRelay(TrafficContext &Context, HttpExchange &Exchange,
            CallerRequest Caller, ChatRequest Request, std::string Body,
            const config::Service &Service);

  /// Places, sends, relays and resumes until the caller has its whole answer,
  /// a typed error, or has gone away.
  void run();

private:
  /// The caller has the whole answer.
  struct Answered {};
  /// The caller went away.
  struct CallerLeft {};
  /// No try can be in time any more.
  struct DeadlinePassed {};
  /// Nothing may be sent any more; nothing was sent on this try.
  struct NotSent {
    ErrorAnswer Why;
  };
  /// The engine refuses the request for its content.
  struct EngineRefused {
    int Status;
  };
  /// Another engine may do better.
  struct TryFailed {
    routing::TryOutcome Outcome;
  };
  using TryEnd = std::variant<Answered, CallerLeft, DeadlinePassed, NotSent,
                              EngineRefused, TryFailed>;

  Placement submit();
  Placement retry(routing::TryOutcome Outcome);
  TryEnd tryOn(const routing::Dispatch &Dispatch);
  TryEnd exchangeOn(TargetConnection &Connection,
                    const routing::Dispatch &Dispatch);
  TryEnd relayWhole(TargetConnection &Connection);
  TryEnd relayEvents(TargetConnection &Connection);
  /// Takes one event into \p Out. \returns the end of the try, if it is one.
  std::optional<TryEnd> takeEvent(const ServerEvent &Event, std::string &Out);
  TryEnd afterLinkError(const LinkError &Error);
  bool streamFinished() const;
  WaitLimits limits(Duration Stall) const;
  CallerGone callerGone() const;
  void fail(ErrorAnswer Error);
  void refuse(const routing::Refusal &Refusal);

  TrafficContext &Context;
  HttpExchange &Exchange;
  CallerRequest Caller;
  ChatRequest Request;
  std::string Body;
  const config::Service &Service;
  Timestamp Deadline;
  RequestId TryId;
  uint32_t Tries = 0;
  /// Whether an engine may have begun the work.
  bool MayHaveRun = false;
  bool StreamBegun = false;
  /// Whether each event so far named its token.
  bool Resumable = true;
  uint64_t NextToken = 0;
  WeightsVersion StreamWeights;
  std::string LastData;
};

} // namespace ferry::traffic

#endif

/// \file
/// Relays one chat completion from a caller to engines and its answer back.
#ifndef FERRY_LIBTRAFFIC_CHATRELAY_H
#define FERRY_LIBTRAFFIC_CHATRELAY_H

#include "LibTraffic/CallerRequest.h"
#include "LibTraffic/ChatRequest.h"
#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/TargetConnection.h"
#include <string>
#include <variant>

namespace ferry::traffic {

/// Serves one chat completion. Used by the connection's thread only.
class ChatRelay {
public:
  ChatRelay(TrafficContext &Context, HttpExchange &Exchange,
            CallerRequest Caller, ChatRequest Request, std::string Body,
            const config::Service &Service);

  /// Places, sends, relays and resumes the request until the caller has the
  /// whole answer or a typed error, or has closed its connection.
  void run();

private:
  /// The caller has the whole answer.
  struct Answered {};
  /// The caller closed its connection.
  struct CallerLeft {};
  /// The request's deadline passed during the attempt.
  struct DeadlinePassed {};
  /// The check before the send failed. This attempt sent nothing.
  struct NotSent {
    ErrorAnswer Answer;
  };
  /// The engine rejected the content of the request.
  struct EngineRefused {
    int Status;
  };
  /// The attempt failed. Another engine may serve the request.
  struct TryFailed {
    routing::TryOutcome Outcome;
  };
  using TryEnd = std::variant<Answered, CallerLeft, DeadlinePassed, NotSent,
                              EngineRefused, TryFailed>;

  Placement submit();
  Placement retry(routing::TryOutcome Outcome);
  TryEnd attemptOn(const routing::Dispatch &Dispatch);
  TryEnd exchangeWith(TargetConnection &Connection,
                      const routing::Dispatch &Dispatch);
  TryEnd relayWhole(TargetConnection &Connection);
  TryEnd relayEvents(TargetConnection &Connection);
  /// Appends \p Event to \p EventText unless the caller has it already.
  /// \returns how the attempt ends, if it ends with this event.
  std::optional<TryEnd> handleEvent(const ServerEvent &Event,
                                    std::string &EventText);
  TryEnd afterLinkError(const LinkError &Error);
  bool streamFinished() const;
  WaitLimits limits(Duration Stall) const;
  CallerGoneCheck callerGoneCheck() const;
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
  /// Whether an engine may have started to serve the request.
  bool MayHaveRun = false;
  bool StreamStarted = false;
  /// Whether every event so far named its token, so that another engine can
  /// resume the stream.
  bool Resumable = true;
  uint64_t NextToken = 0;
  WeightsVersion StreamWeights;
  std::string LastEventData;
};

} // namespace ferry::traffic

#endif

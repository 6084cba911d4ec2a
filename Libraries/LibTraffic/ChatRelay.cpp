#include "LibTraffic/ChatRelay.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"
#include "LibTraffic/EngineProtocol.h"
#include "LibTraffic/Json.h"
#include <Poco/JSON/Array.h>
#include <algorithm>

namespace ferry::traffic {

using observe::logEvent;
using observe::Severity;

using namespace ferry::routing;

/// Largest answer of an engine that is not a stream, in bytes.
static constexpr uint64_t MaxAnswerBytes = 16ULL << 20;
/// Time after which a caller whose stream was lost may resend.
static constexpr std::chrono::seconds LostStreamRetryDelay{1};

static cache::CacheScope cacheScope(const CallerRequest &Caller,
                                    const config::Service &Service,
                                    WeightsVersion Weights) {
  return {Caller.Workspace, Service.Model, Service.Adapter, Weights};
}

ChatRelay::ChatRelay(TrafficContext &Context, HttpExchange &Exchange,
                     CallerRequest Caller, ChatRequest Request,
                     std::string Body, const config::Service &Service)
    : Context(Context), Exchange(Exchange), Caller(std::move(Caller)),
      Request(std::move(Request)), Body(std::move(Body)), Service(Service),
      Deadline(requestDeadline(this->Caller, Service)) {}

void ChatRelay::run() {
  Placement Destination = submit();
  while (Destination) {
    TryEnd End = attemptOn(*Destination);
    if (auto *Failed = std::get_if<TryFailed>(&End)) {
      Context.Counters.add(TrafficCount::FailedTries);
      logEvent(Severity::Info, "traffic", "try_failed",
               {{"target", Destination->Target}, {"outcome", Failed->Outcome}},
               Caller.Id);
      Destination = retry(Failed->Outcome);
      continue;
    }
    bool Succeeded = std::holds_alternative<Answered>(End);
    Context.Placements.finished(Caller.Id, Succeeded ? TryOutcome::Succeeded
                                                     : TryOutcome::Cancelled);
    bool Cancel = MayHaveRun && (std::holds_alternative<CallerLeft>(End) ||
                                 std::holds_alternative<DeadlinePassed>(End));
    if (Cancel)
      cancelOnEngine(*Destination, TryId);
    match(
        End,
        [&](Answered) { Context.Counters.add(TrafficCount::AnsweredWhole); },
        [&](CallerLeft) { Context.Counters.add(TrafficCount::CallersLeft); },
        [&](DeadlinePassed) {
          refuse({Caller.Id, RefusalKind::DeadlinePassed, {}});
        },
        [&](NotSent &Stopped) { fail(std::move(Stopped.Answer)); },
        [&](EngineRefused Refused) {
          fail({AnswerError::BadRequest,
                "the engine rejected the request with status " +
                    std::to_string(Refused.Status)});
        },
        [](TryFailed) {});
    return;
  }
  refuse(Destination.error());
}

Placement ChatRelay::submit() {
  SubmitRequest Submission;
  Submission.Id = Caller.Id;
  Submission.Workspace = Caller.Workspace;
  Submission.Service = Service.Id;
  Submission.Priority = Caller.Priority;
  Submission.Deadline = Deadline;
  Submission.Blocks = cache::hashBlocks(
      cacheScope(Caller, Service, Service.Weights), Request.Prompt);
  Submission.PromptTokens = cache::estimateTokens(Request.Prompt);
  Submission.MaxOutputTokens = Request.MaxOutputTokens;
  return Context.Placements.submit(std::move(Submission), callerGoneCheck());
}

Placement ChatRelay::retry(TryOutcome Outcome) {
  if (StreamStarted && !Resumable) {
    Context.Placements.finished(Caller.Id, Outcome);
    return makeError(Refusal{Caller.Id, RefusalKind::NoTarget,
                             steadyNow() + LostStreamRetryDelay});
  }
  return Context.Placements.retry(Caller.Id, Outcome, Deadline,
                                  callerGoneCheck());
}

ChatRelay::TryEnd ChatRelay::attemptOn(const Dispatch &Dispatch) {
  TryId = {Caller.Id.Value + "." + std::to_string(++Tries)};
  // Tokens of other weights would not continue the text that the caller has.
  if (StreamStarted && Dispatch.Weights != StreamWeights)
    return TryFailed{TryOutcome::NotSent};
  auto Connection = TargetConnection::tryConnect(Dispatch.Address, Deadline);
  if (!Connection)
    return TryFailed{TryOutcome::NotSent};
  return exchangeWith(**Connection, Dispatch);
}

ChatRelay::TryEnd ChatRelay::exchangeWith(TargetConnection &Connection,
                                          const Dispatch &Dispatch) {
  auto Blocks = cache::hashBlocks(cacheScope(Caller, Service, Dispatch.Weights),
                                  Request.Prompt);
  HeaderList Headers =
      engineHeaders(Dispatch, TryId, Caller.Priority, Blocks, NextToken);
  // A host that refuses new requests still finishes its started streams.
  auto Kind = StreamStarted ? SendKind::Resume : SendKind::Read;
  if (auto SendRefusal = checkBeforeSend(Context, Caller, Deadline, Kind))
    return NotSent{std::move(*SendRefusal)};
  MayHaveRun = true;
  if (auto Sent = Connection.trySend("POST", ChatPath, Headers, Body, Deadline);
      !Sent)
    return afterLinkError(Sent.error());
  if (auto Head =
          Connection.tryReceiveHead(limits(Context.Limits.FirstByteLimit));
      !Head)
    return afterLinkError(Head.error());
  if (auto Echo = tryCheckEcho(Connection, Dispatch, TryId); !Echo)
    return afterLinkError(Echo.error());
  int Status = Connection.status();
  if (Status == 429 || Status == 503)
    return TryFailed{TryOutcome::Rejected};
  if (Status >= 400 && Status < 500)
    return EngineRefused{Status};
  if (Status != 200)
    return TryFailed{TryOutcome::Failed};
  if (!StreamStarted)
    Context.Placements.firstByte(Caller.Id, cachedTokens(Connection));
  if (Request.Form == AnswerForm::Whole)
    return relayWhole(Connection);
  if (StreamStarted) {
    Context.Counters.add(TrafficCount::StreamsResumed);
    logEvent(Severity::Info, "traffic", "stream_resumed",
             {{"target", Dispatch.Target}}, Caller.Id);
  }
  StreamWeights = Dispatch.Weights;
  return relayEvents(Connection);
}

ChatRelay::TryEnd ChatRelay::relayWhole(TargetConnection &Connection) {
  BudgetShare Share(Context.LargeAnswers);
  auto Whole = Connection.tryReadWhole(
      MaxAnswerBytes, limits(Context.Limits.StallLimit),
      [&](uint64_t Bytes) { return Share.tryHoldAnswer(Bytes); });
  if (!Whole)
    return afterLinkError(Whole.error());
  if (!isWholeObject(*Whole))
    return TryFailed{TryOutcome::Failed};
  if (!Exchange.send(200, "application/json", *Whole))
    return CallerLeft{};
  return Answered{};
}

ChatRelay::TryEnd ChatRelay::relayEvents(TargetConnection &Connection) {
  BudgetShare Share(Context.LargeAnswers);
  EventSplitter Splitter;
  // An engine that hangs may still send single bytes or comments, so only whole
  // events count as progress.
  Timestamp StallAt = steadyNow() + Context.Limits.StallLimit;
  while (true) {
    auto Piece = Connection.tryReadPiece(
        limits(std::max(StallAt - steadyNow(), Duration::zero())));
    if (!Piece)
      return afterLinkError(Piece.error());
    if (Piece->empty() ||
        !Share.tryHoldAnswer(Splitter.takenWith(Piece->size())) ||
        !Splitter.push(*Piece))
      return TryFailed{TryOutcome::Failed};
    std::string EventText;
    std::optional<TryEnd> End;
    while (!End) {
      auto Event = Splitter.next();
      if (!Event)
        break;
      End = handleEvent(*Event, EventText);
    }
    if (!EventText.empty() && !StreamStarted) {
      Exchange.beginEvents();
      StreamStarted = true;
    }
    if (!EventText.empty() && !Exchange.writeEvents(EventText))
      return CallerLeft{};
    if (End)
      return *End;
    if (!EventText.empty())
      StallAt = steadyNow() + Context.Limits.StallLimit;
  }
}

std::optional<ChatRelay::TryEnd>
ChatRelay::handleEvent(const ServerEvent &Event, std::string &EventText) {
  if (Event.Data.empty())
    return std::nullopt;
  if (Event.Data == "[DONE]") {
    if (!streamFinished())
      return TryFailed{TryOutcome::Failed};
    EventText += Event.Raw;
    return Answered{};
  }
  if (Event.Token && *Event.Token < NextToken)
    return std::nullopt;
  if (Event.Token && *Event.Token > NextToken)
    return TryFailed{TryOutcome::Failed};
  Resumable = Resumable && Event.Token.has_value();
  ++NextToken;
  LastEventData = Event.Data;
  EventText += Event.Raw;
  return std::nullopt;
}

bool ChatRelay::streamFinished() const {
  auto Object = tryParseObject(LastEventData);
  if (!Object)
    return false;
  auto Choices = (*Object)->getArray("choices");
  if (!Choices || Choices->size() == 0)
    return false;
  auto Choice = Choices->getObject(0);
  return Choice && stringMember(*Choice, "finish_reason").has_value();
}

ChatRelay::TryEnd ChatRelay::afterLinkError(const LinkError &Error) {
  switch (Error.Kind) {
  case LinkErrorKind::CallerGone:
    return CallerLeft{};
  case LinkErrorKind::DeadlinePassed:
  case LinkErrorKind::NotSent:
    return DeadlinePassed{};
  case LinkErrorKind::WrongEcho:
    Context.Counters.add(TrafficCount::EchoMismatches);
    logEvent(Severity::Warning, "traffic", "echo_mismatch", {}, Caller.Id);
    break;
  default:
    break;
  }
  return TryFailed{TryOutcome::Failed};
}

WaitLimits ChatRelay::limits(Duration Stall) const {
  return {Deadline, Stall, Exchange.socket().impl()->sockfd()};
}

CallerGoneCheck ChatRelay::callerGoneCheck() const {
  return [this] { return Exchange.callerGone(); };
}

void ChatRelay::refuse(const Refusal &Refusal) {
  ErrorAnswer Error = refusalAnswer(Refusal);
  if (StreamStarted && Refusal.Kind != RefusalKind::DeadlinePassed) {
    Error.Type = AnswerError::StreamLost;
    Error.Message =
        "the engine was lost and no other engine can resume the stream";
  }
  if (!MayHaveRun)
    Error.Entries = otherEntries(Context, Caller.Workspace);
  fail(std::move(Error));
}

void ChatRelay::fail(ErrorAnswer Error) {
  Error.NotRun = MayHaveRun ? NotRun::Unknown : NotRun::True;
  if (StreamStarted)
    Error.NotRun = NotRun::False;
  if (!Exchange.answerStarted()) {
    Context.Counters.add(TrafficCount::Refused);
    logEvent(Severity::Info, "traffic", "refused", {{"type", Error.Type}},
             Caller.Id);
    Exchange.sendError(Error);
    return;
  }
  Context.Counters.add(TrafficCount::StreamsLost);
  logEvent(Severity::Warning, "traffic", "stream_lost", {{"type", Error.Type}},
           Caller.Id);
  Exchange.writeEvents("event: error\ndata: " + errorBody(Error, steadyNow()) +
                       "\n\n");
}

} // namespace ferry::traffic

#include "LibTraffic/RoutedRelay.h"
#include "LibObserve/Log.h"
#include "LibRouting/Rendezvous.h"

namespace ferry::traffic {

using namespace ferry::routing;
using observe::Severity;

/// Largest answer that is held whole before it is passed on.
static constexpr uint64_t MaxWholeAnswerBytes = 8ULL << 20;
/// Attempts at the most, those included of which nothing was sent.
static constexpr uint32_t MaxAttempts = 4;
/// When a request to a router that knows no routes yet may come again: one
/// question to a control host later.
static constexpr Duration NoRoutesPause = std::chrono::milliseconds(500);
/// When a request may come again that another router takes at once.
static constexpr Duration ElsewherePause = std::chrono::milliseconds(50);
/// A target that was given less would hardly begin.
static constexpr Duration LeastWait = std::chrono::milliseconds(5);
static constexpr int FirstFailureStatus = 500;

/// \returns the time until \p Moment in seconds, with milliseconds.
static std::string secondsText(Timestamp Moment) {
  static constexpr int64_t MillisInSecond = 1000;
  int64_t Millis = millisUntil(Moment, steadyNow()) + 1;
  std::string Fraction =
      std::to_string(MillisInSecond + Millis % MillisInSecond);
  return std::to_string(Millis / MillisInSecond) + "." + Fraction.substr(1);
}

/// Whether callers take \p Status for a promise that the request has not run.
static bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

RoutedRelay::RoutedRelay(RoutedContext &Context, HttpExchange &Exchange)
    : Context(Context), Exchange(Exchange), View(Context.Placements.view()),
      ArrivedAt(steadyNow()) {
  ++Context.InHand;
}

RoutedRelay::~RoutedRelay() { --Context.InHand; }

void RoutedRelay::run() {
  Caller = Context.Dialect.ReadCaller(Exchange.head());
  if (Context.Leaving)
    Exchange.closeAfterAnswer();
  if (auto Refusal = check())
    return refuse(*Refusal);
  auto Read = Exchange.tryReadFramedBody(View->Routes->limits().MaxBodyBytes);
  if (!Read)
    return refuse(Read.error());
  Body = std::move(*Read);
  relay();
}

std::optional<ErrorAnswer> RoutedRelay::check() {
  if (ArrivedAt >= Context.RefuseFrom.load())
    return ErrorAnswer{AnswerError::Draining, "this host is stopping",
                       NotRun::True, ArrivedAt + ElsewherePause};
  if (!View || !View->Routes)
    return ErrorAnswer{AnswerError::NoDescription, "no routes are known yet",
                       NotRun::True, ArrivedAt + NoRoutesPause};
  const config::RouteTable &Routes = *View->Routes;
  const std::string &Uri = Exchange.head().getURI();
  std::string_view Path = std::string_view(Uri).substr(0, Uri.find('?'));
  std::string Host = Exchange.header("Host");
  Route =
      Routes.findRoute(std::string_view(Host).substr(0, Host.find(':')), Path);
  if (Route == nullptr)
    return ErrorAnswer{AnswerError::NotFound, "no route leads there"};
  if (auto Refusal = checkKey())
    return Refusal;
  Call.Service = config::RouteTable::serviceOf(
      *Route, hashIdentifier(Caller.Id.Value) ^ Context.NextDraw++);
  Call.Parts = Caller.Parts;
  Call.PromptTokens = Caller.PromptTokens;
  Call.OutputTokens = Caller.OutputTokens;
  uint64_t Wait = Route->TimeoutMillis;
  if (Caller.WaitMillis)
    Wait = std::min(Wait, *Caller.WaitMillis);
  Call.Deadline = ArrivedAt + std::chrono::milliseconds(Wait);
  if (Route->LatencyTargetMillis > 0 && !Call.Parts.empty())
    Call.FirstByteDueAt =
        ArrivedAt + std::chrono::milliseconds(Route->LatencyTargetMillis);
  if (Workspace && Workspace->Isolated)
    Call.CacheScope = hashIdentifier(Workspace->Id.Value);
  return std::nullopt;
}

std::optional<ErrorAnswer> RoutedRelay::checkKey() {
  const config::RouteTable &Routes = *View->Routes;
  if (!Routes.needsKeys() || Route->Public)
    return std::nullopt;
  Workspace = Routes.findWorkspace(Caller.Key);
  if (Workspace == nullptr)
    return ErrorAnswer{AnswerError::Unauthorized,
                       "the key is that of no workspace"};
  return std::nullopt;
}

void RoutedRelay::relay() {
  Context.Placements.countRequest(Call.Service);
  while (true) {
    if (steadyNow() + LeastWait >= Call.Deadline)
      return giveUp();
    // A stream that goes on is late already.
    if (Streaming)
      Call.FirstByteDueAt = NeverExpires;
    auto Placed = Context.Placements.place(Call);
    if (const auto *Refusal = std::get_if<RefusedCall>(&Placed))
      return turnAway(*Refusal);
    ++Attempts;
    logPlaced(std::get<PlacedCall>(Placed));
    Next Then = attempt(std::get<PlacedCall>(Placed));
    if (Then == Next::Done)
      return;
    if (!mayRetry(Then))
      return giveUp();
    Context.Figures.Retries.add();
  }
}

WaitLimits RoutedRelay::limits() const {
  return {Call.Deadline, Duration::max(), Exchange.socket().impl()->sockfd()};
}

TargetDetails RoutedRelay::detailsFor(const PlacedCall &Placed) const {
  TargetDetails Details;
  Details.Expected = Placed.Target;
  Details.WaitMillis =
      static_cast<uint64_t>(millisUntil(Call.Deadline, steadyNow()));
  uint32_t Rank = Route->Priority;
  if (Workspace) {
    Details.Workspace = Workspace->Id;
    Rank = Workspace->Priority.value_or(Rank);
  }
  // Of equal rank, a short prompt first: it delays a long one by little.
  bool Long = Call.PromptTokens >= LongPromptTokens;
  Details.Priority = 2 * Rank + (Long ? 1 : 0);
  if (Streaming && LastEvent)
    Details.AfterEvent = std::to_string(*LastEvent);
  if (Placed.Weights.Value == 0)
    return Details;
  // A part is found only under the weights that it was read with, also by
  // another engine that fetches it later.
  Details.Weights = Placed.Weights;
  Details.FetchFrom = Placed.FetchFrom;
  Details.SaveTo = Placed.SaveTo;
  Details.CacheScope = "w" + std::to_string(Placed.Weights.Value);
  if (Workspace && Workspace->Isolated)
    Details.CacheScope += "." + Workspace->Id.Value;
  return Details;
}

RoutedRelay::Next RoutedRelay::attempt(const PlacedCall &Placed) {
  auto Connected = TargetExchange::tryConnect(Placed.Address, limits());
  if (!Connected)
    return failed(Placed, Connected.error(), /*Sent=*/false);
  TargetExchange &Target = **Connected;
  Poco::Net::HTTPRequest Head =
      Context.Dialect.WriteTarget(Exchange.head(), detailsFor(Placed));
  if (!Body.empty() || Exchange.method() != "GET")
    Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  if (auto Sent = Target.trySend(Head, Body, limits()); !Sent)
    return failed(Placed, Sent.error(), /*Sent=*/true);
  if (auto Received = Target.tryReceiveHead(limits()); !Received)
    return failed(Placed, Received.error(), /*Sent=*/true);
  return relayAnswer(Placed, Target);
}

RoutedRelay::Next RoutedRelay::relayAnswer(const PlacedCall &Placed,
                                           TargetExchange &Target) {
  AnswerDetails Details = Context.Dialect.ReadAnswer(Target.head(), Caller.Id);
  if (Details.ForAnother)
    return failed(Placed, {LinkErrorKind::WrongEcho, "another request's"},
                  /*Sent=*/true);
  if (Details.OtherTarget)
    return end(Placed, CallEnd::Replaced, Next::RetryUnsent);
  if (Details.NotRun)
    return end(Placed, CallEnd::NotRun, Next::RetryUnsent);
  bool Success = Target.head().getStatus() / 100 == 2;
  // A success that its target does not vouch for is nobody's answer.
  if (Success && !Details.Vouched)
    return failed(Placed, {LinkErrorKind::WrongEcho, "not vouched for"},
                  /*Sent=*/true);
  if (Success && Route->Answers == config::AnswerForm::Stream)
    return relayStream(Placed, Target);
  if (Streaming)
    return failed(Placed, {LinkErrorKind::Broken, "did not go on"},
                  /*Sent=*/true);
  return relayWhole(Placed, Target);
}

RoutedRelay::Next RoutedRelay::relayWhole(const PlacedCall &Placed,
                                          TargetExchange &Target) {
  auto Answer = Target.tryReadWhole(MaxWholeAnswerBytes, limits());
  if (!Answer)
    return failed(Placed, Answer.error(), /*Sent=*/true);
  Context.Placements.firstByte(Placed.PlacementId);
  int Status = Target.head().getStatus();
  if (Status >= FirstFailureStatus || promisesNotRun(Status)) {
    ++Runs;
    LastFailure = {LinkErrorKind::Broken, "status " + std::to_string(Status)};
    // The target did not say that nothing ran, so this status must not either.
    if (!promisesNotRun(Status))
      Held = HeldAnswer{Target.head(), std::move(*Answer)};
    return end(Placed, CallEnd::Failed, Next::RetryRun);
  }
  end(Placed, CallEnd::Served, Next::Done);
  Exchange.sendRelayed(Target.head(), *Answer);
  logEnd("answered", Status);
  return Next::Done;
}

RoutedRelay::Next RoutedRelay::relayStream(const PlacedCall &Placed,
                                           TargetExchange &Target) {
  EventSplitter Events;
  while (true) {
    auto Piece = Target.tryReadPiece(limits());
    if (!Piece)
      return streamBroken(Placed, Piece.error());
    if (Piece->empty())
      break;
    std::string Ready;
    if (!takeEvents(Events, *Piece, Ready))
      return streamBroken(Placed, {LinkErrorKind::TooLarge, "event"});
    if (Ready.empty())
      continue;
    if (!Streaming)
      beginStream(Placed, Target);
    else
      Context.Placements.firstByte(Placed.PlacementId);
    if (!Exchange.writeEvents(Ready))
      return streamBroken(Placed, {LinkErrorKind::CallerGone, "write"});
  }
  if (!Streaming)
    beginStream(Placed, Target);
  end(Placed, CallEnd::Served, Next::Done);
  logEnd("answered", Target.head().getStatus());
  return Next::Done;
}

bool RoutedRelay::takeEvents(EventSplitter &Events, std::string &Piece,
                             std::string &Ready) {
  // Without a place to go on from, the bytes go as they come.
  if (!Route->Resumable) {
    Ready = std::move(Piece);
    return true;
  }
  if (!Events.push(Piece))
    return false;
  while (auto Event = Events.next()) {
    bool Known = Event->Token && LastEvent && *Event->Token <= *LastEvent;
    if (Known)
      continue;
    if (Event->Token)
      LastEvent = Event->Token;
    Ready += Event->Raw;
  }
  return true;
}

void RoutedRelay::beginStream(const PlacedCall &Placed,
                              TargetExchange &Target) {
  Streaming = true;
  Context.Placements.firstByte(Placed.PlacementId);
  FirstByteAt = steadyNow();
  Context.Figures.FirstByteSeconds.with({Route->Name})
      .observe(double((FirstByteAt - ArrivedAt).count()) / 1e6);
  Exchange.beginRelayed(Target.head());
}

RoutedRelay::Next RoutedRelay::streamBroken(const PlacedCall &Placed,
                                            const LinkError &Failure) {
  // A stream goes on at another target after the last event that was passed
  // on; without a number to name, only one of which nothing was.
  Next Then = failed(Placed, Failure, /*Sent=*/true);
  bool MayGoOn = !Streaming || (Route->Resumable && LastEvent);
  if (Then == Next::Done || MayGoOn)
    return Then;
  cutStream();
  return Next::Done;
}

void RoutedRelay::cutStream() {
  Exchange.abort();
  Context.Figures.StreamsCut.add();
  logEnd("stream_cut", 0);
}

RoutedRelay::Next RoutedRelay::failed(const PlacedCall &Placed,
                                      const LinkError &Failure, bool Sent) {
  LastFailure = {Failure.Kind, Failure.message()};
  bool Gone = Failure.Kind == LinkErrorKind::CallerGone;
  bool Late = Failure.Kind == LinkErrorKind::DeadlinePassed;
  if (Sent)
    ++Runs;
  observe::logEvent(Severity::Info, "routed", "attempt_failed",
                    {{"target", Placed.Target},
                     {"service", Call.Service},
                     {"reason", Failure.message()},
                     {"may_have_run", Sent},
                     {"attempt", Attempts}},
                    Caller.Id);
  if (Gone) {
    end(Placed, CallEnd::Abandoned, Next::Done);
    Context.Figures.CallersLeft.add();
    Exchange.abort();
    logEnd("caller_left", 0);
    return Next::Done;
  }
  CallEnd End = Sent ? CallEnd::Broken : CallEnd::Unreachable;
  return end(Placed, Late ? CallEnd::Abandoned : End,
             Sent ? Next::RetryRun : Next::RetryUnsent);
}

RoutedRelay::Next RoutedRelay::end(const PlacedCall &Placed, CallEnd End,
                                   Next Then) {
  Context.Placements.ended(Placed.PlacementId, End);
  Context.Figures.TargetCalls.with({std::string(enumName(End))}).add();
  if (Then != Next::Done)
    Call.Tried.push_back(Placed.Target);
  if (End == CallEnd::NotRun || End == CallEnd::Replaced) {
    LastFailure = {LinkErrorKind::NotSent, "not run by the target"};
    observe::logEvent(Severity::Info, "routed", "attempt_refused",
                      {{"target", Placed.Target},
                       {"service", Call.Service},
                       {"end", End},
                       {"attempt", Attempts}},
                      Caller.Id);
  }
  return Then;
}

bool RoutedRelay::mayRetry(Next Wanted) {
  if (Attempts >= MaxAttempts || steadyNow() >= Call.Deadline)
    return false;
  if (Wanted == Next::RetryRun) {
    bool Repeats = Route->Repeats == config::RepeatPolicy::Idempotent;
    if (!Repeats || Runs >= Route->MaxTargets)
      return false;
  }
  // What never arrived at a target adds nothing to its load.
  bool Arrived = Wanted == Next::RetryRun ||
                 LastFailure.Kind != LinkErrorKind::ConnectFailed;
  return !Arrived || Context.Placements.takeRetry(Call.Service);
}

void RoutedRelay::turnAway(const RefusedCall &Refusal) {
  if (Streaming)
    return cutStream();
  if (Runs > 0)
    return giveUp();
  Context.Figures.TurnedAway.with({std::string(enumName(Refusal.Reason))})
      .add();
  refuse({AnswerError::NoTarget, std::string(enumName(Refusal.Reason)),
          NotRun::True, Refusal.RetryAt});
}

void RoutedRelay::giveUp() {
  if (Streaming)
    return cutStream();
  if (Held) {
    Exchange.sendRelayed(Held->Head, Held->Body);
    logEnd("answered", Held->Head.getStatus());
    return;
  }
  if (Runs == 0)
    return refuse({AnswerError::NoTarget, LastFailure.Detail, NotRun::True,
                   steadyNow() + NoRoutesPause});
  bool Late = steadyNow() >= Call.Deadline;
  refuse({Late ? AnswerError::DeadlinePassed : AnswerError::TargetFailed,
          LastFailure.Detail, NotRun::Unknown});
}

void RoutedRelay::refuse(const ErrorAnswer &Answer) {
  // Callers of this interface read fractions of a second: a place is often free
  // sooner than in a whole one.
  if (Answer.RetryAt)
    Exchange.setHeader("Retry-After", secondsText(*Answer.RetryAt));
  Exchange.sendJson(httpStatus(Answer.Type), errorBody(Answer, steadyNow()));
  LastFailure = {LastFailure.Kind, Answer.Message};
  logEnd("refused", httpStatus(Answer.Type));
}

void RoutedRelay::logPlaced(const PlacedCall &Placed) {
  observe::logEvent(
      Severity::Info, "routed", "placed",
      {{"target", Placed.Target},
       {"service", Call.Service},
       {"number", View->Number},
       {"weights", Placed.Weights},
       {"leading_part", Call.Parts.empty() ? 0 : Call.Parts[0].Id},
       {"prompt_tokens", Call.PromptTokens},
       {"cached_tokens", Placed.CachedTokens},
       {"fetch_from", Placed.FetchFrom},
       {"estimate_ms", Placed.Estimate.count() / 1000},
       {"deadline_ms", millisUntil(Call.Deadline, steadyNow())},
       {"attempt", Attempts}},
      Caller.Id);
}

void RoutedRelay::logEnd(std::string_view Event, int Status) {
  std::string Name = Route ? Route->Name : "none";
  Context.Figures.Answers.with({Name, std::to_string(Status)}).add();
  bool Failed = Event != "answered";
  observe::logEvent(
      Severity::Info, "routed", Event,
      {{"route", Name},
       {"status", Status},
       {"number", View ? View->Number.Value : 0},
       {"attempts", Attempts},
       {"runs", Runs},
       {"targets_tried", Call.Tried.size()},
       {"reason", Failed ? LastFailure.Detail : std::string()},
       {"first_byte_ms",
        std::max<int64_t>(0, (FirstByteAt - ArrivedAt).count() / 1000)},
       {"millis", (steadyNow() - ArrivedAt).count() / 1000}},
      Caller.Id);
}

} // namespace ferry::traffic

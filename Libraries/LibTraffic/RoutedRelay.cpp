#include "LibTraffic/RoutedRelay.h"
#include "LibObserve/Log.h"
#include "LibRouting/Rendezvous.h"
#include "LibTraffic/AwaitReply.h"
#include <Poco/String.h>

namespace ferry::traffic {

using namespace ferry::routing;
using observe::Severity;

/// Largest number of attempts, including those in which nothing was sent.
static constexpr uint32_t MaxAttempts = 4;
/// Time after which a caller may resend a request that no target ran. A router
/// that has no routes yet has asked a control host for them again by then.
static constexpr Duration RetryDelay = std::chrono::milliseconds(500);
/// Time after which a caller may resend a request that another router would
/// accept at once.
static constexpr Duration OtherRouterRetryDelay = std::chrono::milliseconds(50);
/// Smallest time before the deadline at which a request is still sent: in less,
/// a target could hardly start on it.
static constexpr Duration MinTimeForTarget = std::chrono::milliseconds(5);
/// Longest wait for the routers that know which build began a stream. They are
/// a few milliseconds away, and some may have ended with the stream.
static constexpr Duration AskLimit = std::chrono::milliseconds(150);
/// Time for the end of that wait to reach the request's thread.
static constexpr Duration AskMargin = std::chrono::milliseconds(50);
/// Time after a request's deadline for which its stream may be taken up.
static constexpr Duration TakeUpMargin = std::chrono::seconds(5);
static constexpr int FirstFailureStatus = 500;
static constexpr std::string_view EventStreamType = "text/event-stream";

/// \returns the time until \p Moment in seconds, with three decimal places.
static std::string secondsText(Timestamp Moment) {
  static constexpr int64_t MillisInSecond = 1000;
  int64_t Millis = millisUntil(Moment, steadyNow()) + 1;
  std::string Fraction =
      std::to_string(MillisInSecond + Millis % MillisInSecond);
  return std::to_string(Millis / MillisInSecond) + "." + Fraction.substr(1);
}

bool RoutedRelay::meansNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Whether the answer with \p Head is a stream of events. On a route that
/// expects one, an answer without a type is. Other successes than 200, such as
/// 204, have no events: taken for a resumed stream, they would end it as
/// complete.
static bool carriesEvents(const Poco::Net::HTTPResponse &Head) {
  if (Head.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return false;
  return !Head.has("Content-Type") ||
         Poco::icompare(Head.getContentType().substr(0, EventStreamType.size()),
                        std::string(EventStreamType)) == 0;
}

RoutedRelay::RoutedRelay(RoutedContext &Context, HttpExchange &Exchange)
    : Context(Context), Exchange(Exchange), View(Context.Placements.view()),
      LargeAnswer(Context.LargeAnswers) {
  // A drain must see each request that arrived before it refuses.
  ++Context.ActiveRequests;
  ArrivedAt = steadyNow();
}

RoutedRelay::~RoutedRelay() {
  giveBackSlot();
  settleCap();
  --Context.ActiveRequests;
  if (PassedIn)
    --Context.PassedIn;
}

void RoutedRelay::run() {
  Caller = Context.Dialect.ReadCaller(Exchange.head());
  if (Context.Draining)
    Exchange.closeAfterAnswer();
  if (auto Refusal = acceptPassed())
    return refuse(*Refusal);
  if (auto Refusal = checkRequest())
    return refuse(*Refusal);
  auto ReceivedBody =
      Exchange.tryReadFramedBody(View->Routes->limits().MaxBodyBytes);
  if (!ReceivedBody)
    return refuse(ReceivedBody.error());
  Body = std::move(*ReceivedBody);
  if (auto Refusal = countAgainstCap())
    return refuse(*Refusal);
  if (auto Refusal = checkDrain())
    return refuse(*Refusal);
  if (passOn())
    return;
  if (auto Refusal = findBuild())
    return refuse(*Refusal);
  relay();
}

std::optional<ErrorAnswer> RoutedRelay::checkDrain() const {
  Timestamp Now = steadyNow();
  if (Now < Context.RefuseFrom.load())
    return std::nullopt;
  return ErrorAnswer{AnswerError::Draining, "this host is stopping",
                     NotRun::True, Now + OtherRouterRetryDelay};
}

std::optional<ErrorAnswer> RoutedRelay::checkRequest() {
  if (auto Refusal = checkDrain())
    return Refusal;
  if (!View || !View->Routes)
    return ErrorAnswer{AnswerError::NoDescription, "no routes are known yet",
                       NotRun::True, ArrivedAt + RetryDelay};
  const config::RouteTable &Routes = *View->Routes;
  const std::string &Uri = Exchange.head().getURI();
  std::string_view Path = std::string_view(Uri).substr(0, Uri.find('?'));
  std::string Host = Exchange.header("Host");
  Route =
      Routes.findRoute(std::string_view(Host).substr(0, Host.find(':')), Path);
  if (Route == nullptr)
    return refusalByRoutes(AnswerError::NotFound,
                           "no route matches the host and path");
  if (auto Refusal = checkKey())
    return Refusal;
  Call.Service = config::RouteTable::pickService(
      *Route, hashIdentifier(Caller.Id.Value) ^ Context.SplitCounter++);
  Call.Parts = Caller.Parts;
  SharedParts = sharedParts(Call.Parts);
  Call.PromptTokens = Caller.PromptTokens;
  Call.OutputTokens = Caller.OutputTokens;
  uint64_t Wait = Route->TimeoutMillis;
  if (Caller.WaitMillis)
    Wait = std::min(Wait, *Caller.WaitMillis);
  Call.Deadline = ArrivedAt + std::chrono::milliseconds(Wait);
  if (Route->DesiredLatencyMillis > 0 && !Call.Parts.empty())
    Call.FirstByteDueAt =
        ArrivedAt + std::chrono::milliseconds(Route->DesiredLatencyMillis);
  Call.CacheScope = hashIdentifier(cacheScope());
  return std::nullopt;
}

std::optional<ErrorAnswer> RoutedRelay::checkKey() {
  const config::RouteTable &Routes = *View->Routes;
  if (!Routes.needsKeys() || Route->Public)
    return std::nullopt;
  Workspace = Routes.findWorkspace(Caller.Key);
  if (Workspace == nullptr)
    return refusalByRoutes(AnswerError::Unauthorized,
                           "the key belongs to no workspace");
  return std::nullopt;
}

ErrorAnswer RoutedRelay::refusalByRoutes(AnswerError Type,
                                         std::string Reason) const {
  if (View->vouchesForRoutes(steadyNow()))
    return {Type, std::move(Reason)};
  // Newer routes may allow the request, and callers do not repeat it after a
  // refusal for good.
  Context.Metrics.Unplaced.with({"routes_unconfirmed"}).add();
  return {AnswerError::NoDescription,
          "these routes may be out of date: " + Reason, NotRun::True,
          steadyNow() + RetryDelay};
}

std::optional<ErrorAnswer> RoutedRelay::findBuild() {
  bool TakesUp = Caller.AfterEvent || !Caller.Resumes.empty();
  if (Route->Answers != config::AnswerForm::Stream || !TakesUp)
    return std::nullopt;
  // The stream is late already, so its due time no longer applies.
  Call.FirstByteDueAt = NeverExpires;
  std::optional<BuildId> Build =
      buildToContinue(askBuild(), Context.Placements.onlyBuild(Call.Service),
                      /*NamesRequest=*/!Caller.Resumes.empty());
  if (!Build) {
    Context.Metrics.Unplaced.with({"build_unknown"}).add();
    return ErrorAnswer{AnswerError::NoTarget,
                       "the build that began the stream is not known",
                       NotRun::True};
  }
  Call.Build = *Build;
  return std::nullopt;
}

std::optional<BuildId> RoutedRelay::askBuild() {
  if (Caller.Resumes.empty())
    return std::nullopt;
  StreamKey Key = keyOf(Caller.Resumes);
  if (auto Known = Context.Streams.find(Key))
    return Known;
  Timestamp Deadline = std::min(Call.Deadline, steadyNow() + AskLimit);
  auto Answer =
      awaitReply<std::optional<BuildId>>(Deadline + AskMargin, [&](auto Done) {
        Context.Hooks.AskStream(Key, Deadline, Done);
      });
  return Answer.value_or(std::nullopt);
}

StreamKey RoutedRelay::keyOf(const RequestId &Request) const {
  return streamKey(Workspace ? Workspace->Id : WorkspaceId(), Request);
}

void RoutedRelay::tellBuild() {
  const RequestId &First = Caller.Resumes.empty() ? Caller.Id : Caller.Resumes;
  if (!Route->Resumable || Call.Build.empty() || First.empty())
    return;
  BegunStream Stream{keyOf(First), Call.Build, Call.Deadline + TakeUpMargin};
  Context.Streams.note(Stream);
  Context.Hooks.TellStream(std::move(Stream));
}

void RoutedRelay::relay() {
  Context.Placements.countRequest(Call.Service);
  while (true) {
    bool MayHaveRun = StreamStarted || PossibleRuns > 0;
    if (auto Refusal = checkDrain(); Refusal && !MayHaveRun)
      return refuse(*Refusal);
    if (steadyNow() + MinTimeForTarget >= answerDeadline())
      return failRequest();
    // A resumed stream is late already, so its due time no longer applies.
    if (StreamStarted)
      Call.FirstByteDueAt = NeverExpires;
    if (Context.Quarantine.check(judgedParts()) == PartAdmission::Refused)
      return refuseUnplaced({CallRefusalReason::PartsQuarantined, {}, {}});
    auto Decision = Context.Placements.place(Call);
    if (const auto *Refusal = std::get_if<RefusedCall>(&Decision)) {
      if (Refusal->Reason == CallRefusalReason::SlotsTaken && borrowSlot())
        continue;
      return refuseUnplaced(*Refusal);
    }
    ++Attempts;
    logPlaced(std::get<PlacedCall>(Decision));
    NextStep Step = attempt(std::get<PlacedCall>(Decision));
    AtTarget.reset();
    Watched.reset();
    if (Step == NextStep::Done)
      return;
    MayHaveRun = StreamStarted || PossibleRuns > 0;
    if (!MayHaveRun && !checkDrain() && passOn())
      return;
    if (!mayRetry(Step))
      return failRequest();
    if (Step == NextStep::RetryRun)
      countRepeat();
    Context.Metrics.Retries.add();
  }
}

Timestamp RoutedRelay::answerDeadline() const {
  return std::min(Call.Deadline, Context.AnswerBy.load());
}

WaitLimits RoutedRelay::limits() const {
  return {answerDeadline(), Duration::max(),
          Exchange.socket().impl()->sockfd()};
}

TargetDetails RoutedRelay::detailsFor(const PlacedCall &Destination) const {
  TargetDetails Details;
  Details.ExpectedTarget = Destination.Target;
  Details.WaitMillis =
      static_cast<uint64_t>(millisUntil(answerDeadline(), steadyNow()));
  uint32_t RequestPriority = Route->Priority;
  if (Workspace) {
    Details.Workspace = Workspace->Id;
    RequestPriority = Workspace->Priority.value_or(RequestPriority);
  }
  // Among requests of equal priority, short prompts run first: they delay long
  // ones only little.
  bool IsLong = Call.PromptTokens >= LongPromptTokens;
  Details.Priority = 2 * RequestPriority + (IsLong ? 1 : 0);
  if (StreamStarted && LastEvent)
    Details.AfterEvent = std::to_string(*LastEvent);
  if (Destination.Weights.Value == 0)
    return Details;
  // The scope includes the weights, so that a part is reused only under the
  // weights that computed it, even by another engine that fetches it later.
  Details.Weights = Destination.Weights;
  Details.FetchFrom = Destination.FetchFrom;
  Details.SaveTo = Destination.SaveTo;
  Details.CacheScope =
      "w" + std::to_string(Destination.Weights.Value) + cacheScope();
  return Details;
}

std::string RoutedRelay::cacheScope() const {
  // On public routes a key grants nothing, but still names whose request it is.
  const config::RoutedWorkspace *Owner =
      Workspace ? Workspace : View->Routes->findWorkspace(Caller.Key);
  if (Owner && Owner->Isolated)
    return "." + Owner->Id.Value;
  return "/" + std::to_string(View->SharedCacheSince.Value);
}

RoutedRelay::NextStep RoutedRelay::attempt(const PlacedCall &Destination) {
  Framing.reset();
  EndOfConnection.reset();
  FirstEventAt.reset();
  UnfinishedBytes = 0;
  // What was read of the answer before is gone, except for a whole failure.
  mayHold(0);
  auto Connected = TargetExchange::tryConnect(Destination.Address, limits());
  if (!Connected)
    return recordFailure(Destination, Connected.error(), /*Sent=*/false);
  Timestamp ConnectedAt = steadyNow();
  Context.Reach.noteConnected(ConnectedAt);
  TargetExchange &Target = **Connected;
  Watched.emplace(Context.CallsInProgress, Target.socket());
  AtTarget.emplace(Context.AtTargets, Destination, Target.socket());
  bool MayHaveRun = StreamStarted || PossibleRuns > 0;
  // Other answers and routers may have told more since the placement, and the
  // drain may have gone on.
  if ((!MayHaveRun && checkDrain()) ||
      !Context.Placements.maySend(Destination) ||
      !Context.Quarantine.admit(judgedParts())) {
    LastFailure = {LinkErrorKind::ConnectFailed,
                   "news after the placement forbids it"};
    observe::logEvent(Severity::Info, "routed", "attempt_withheld",
                      {{"target", Destination.Target}, {"attempt", Attempts}},
                      Caller.Id);
    return endAttempt(Destination, CallEnd::Abandoned, NextStep::RetryUnsent);
  }
  Poco::Net::HTTPRequest Head =
      Context.Dialect.WriteTarget(Exchange.head(), detailsFor(Destination));
  if (!Body.empty() || Exchange.method() != "GET")
    Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  SentAt = steadyNow();
  if (auto Sent = Target.trySend(Head, Body, limits()); !Sent)
    return recordFailure(Destination, Sent.error(),
                         Sent.error().Kind != LinkErrorKind::NotSent);
  if (auto Received = Target.tryReceiveHead(limits()); !Received)
    return recordFailure(Destination, Received.error(), /*Sent=*/true);
  Context.Reach.noteAnswered(ConnectedAt);
  Context.Quarantine.noteAnswered(Destination.Target, Destination.Incarnation,
                                  SentAt);
  return relayAnswer(Destination, Target);
}

RoutedRelay::NextStep RoutedRelay::relayAnswer(const PlacedCall &Destination,
                                               TargetExchange &Target) {
  Framing = Target.framing();
  AnswerDetails Details = Context.Dialect.ReadAnswer(Target.head(), Caller.Id);
  if (!Details.OtherTarget)
    noteSignals(Destination, Details);
  if (Details.OtherRequest)
    return recordFailure(
        Destination,
        {LinkErrorKind::WrongEcho, "the answer names another request"},
        /*Sent=*/true);
  if (Details.OtherTarget)
    return endAttempt(Destination, CallEnd::Replaced, NextStep::RetryUnsent);
  if (Details.NotRun)
    return endAttempt(Destination, CallEnd::NotRun, NextStep::RetryUnsent);
  bool Success = Target.head().getStatus() / 100 == 2;
  // A success without the target's attestation may come from anywhere.
  if (Success && !Details.Attested)
    return recordFailure(
        Destination,
        {LinkErrorKind::WrongEcho, "the answer lacks the target's attestation"},
        /*Sent=*/true);
  if (Success && Route->Answers == config::AnswerForm::Stream &&
      carriesEvents(Target.head()))
    return relayStream(Destination, Target);
  if (StreamStarted)
    return recordFailure(
        Destination,
        {LinkErrorKind::Broken, "the target did not resume the stream"},
        /*Sent=*/true);
  return relayWhole(Destination, Target);
}

void RoutedRelay::noteSignals(const PlacedCall &Destination,
                              const AnswerDetails &Details) {
  if (Details.Leaving && Context.Placements.noteLeaving(Destination)) {
    Context.Metrics.TargetsLeaving.add();
    observe::logEvent(Severity::Info, "routed", "target_leaving",
                      {{"target", Destination.Target},
                       {"incarnation", Destination.Incarnation},
                       {"source", "answer"}},
                      Caller.Id);
    Context.Hooks.LeaveNoticed(Destination.Target, Destination.Incarnation);
  }
  // A limit that cannot be read changes nothing: it neither names nor ends one.
  if (Details.LimitUnreadable)
    observe::logEvent(Severity::Warning, "routed", "limit_unreadable",
                      {{"target", Destination.Target},
                       {"incarnation", Destination.Incarnation}},
                      Caller.Id);
  bool NamesLimit = Details.Limit || Details.RejectionsPerSecond;
  if ((NamesLimit || !Details.LimitUnreadable) &&
      Context.Placements.noteLimit(Destination, Details))
    Context.Hooks.BeliefsChanged();
  if (!Details.Pause)
    return;
  Timestamp Now = steadyNow();
  if (!Context.Placements.notePause(Destination, Now + *Details.Pause))
    return;
  Context.Metrics.TargetPauses.add();
  observe::logEvent(Severity::Info, "routed", "target_paused",
                    {{"target", Destination.Target},
                     {"incarnation", Destination.Incarnation},
                     {"pause_ms", Details.Pause->count() / 1000},
                     {"source", "answer"}},
                    Caller.Id);
}

bool RoutedRelay::mayHold(uint64_t Bytes) {
  if (LastFailureAnswer)
    Bytes += LastFailureAnswer->Body.taken();
  return LargeAnswer.tryHoldAnswer(Bytes);
}

RoutedRelay::NextStep RoutedRelay::relayWhole(const PlacedCall &Destination,
                                              TargetExchange &Target) {
  auto Answer =
      Target.tryReadWhole(RoutedContext::MaxWholeAnswerBytes, limits(),
                          [this](uint64_t Bytes) { return mayHold(Bytes); });
  noteEnd(Target);
  if (!Answer)
    return recordFailure(Destination, Answer.error(), /*Sent=*/true);
  if (auto Cut = findCut(Target))
    return recordFailure(Destination, *Cut, /*Sent=*/true);
  Context.Placements.firstByte(Destination.PlacementId);
  int Status = Target.head().getStatus();
  if (Status >= FirstFailureStatus || meansNotRun(Status)) {
    ++PossibleRuns;
    LastFailure = {LinkErrorKind::Broken, "status " + std::to_string(Status)};
    // The target did not say that the request was not run, so the caller must
    // not get a status that means it.
    if (!meansNotRun(Status))
      LastFailureAnswer = TargetAnswer{Target.head(), std::move(*Answer)};
    return endAttempt(Destination, CallEnd::Failed, NextStep::RetryRun);
  }
  endAttempt(Destination, CallEnd::Served, NextStep::Done);
  if (Status / 100 == 2)
    Context.Quarantine.noteServed(judgedParts());
  Exchange.sendRelayed(Target.head(), *Answer);
  logEnd("answered", Status);
  return NextStep::Done;
}

RoutedRelay::NextStep RoutedRelay::relayStream(const PlacedCall &Destination,
                                               TargetExchange &Target) {
  EventSplitter Events;
  while (true) {
    auto Piece = Target.tryReadPiece(limits());
    if (!Piece)
      return handleStreamFailure(Destination, Piece.error());
    if (Piece->empty())
      break;
    std::string Ready;
    if (!collectEvents(Events, *Piece, Ready))
      return handleStreamFailure(Destination,
                                 {LinkErrorKind::TooLarge, "event"});
    if (Ready.empty())
      continue;
    if (!FirstEventAt)
      FirstEventAt = steadyNow();
    if (!StreamStarted)
      beginStream(Destination, Target);
    else
      Context.Placements.firstByte(Destination.PlacementId);
    if (!Exchange.writeEvents(Ready))
      return handleStreamFailure(Destination,
                                 {LinkErrorKind::CallerGone, "write"});
  }
  LinkResult<ConnectionEnd> End = ConnectionEnd::Confirmed;
  if (Target.framing() == FramingKind::Connection &&
      !Events.boundary().insideEvent())
    End = Target.tryExamineEnd(limits());
  noteEnd(Target);
  if (auto Cut = findCut(Target))
    return handleStreamFailure(Destination, *Cut);
  // No framing shows this: a target may end its answer in order where its work
  // was broken off.
  if (Events.boundary().insideEvent()) {
    Context.Metrics.EndsInsideEvent
        .with({std::string(enumName(Target.framing()))})
        .add();
    return handleStreamFailure(
        Destination,
        {LinkErrorKind::Incomplete, "the stream ended inside an event"});
  }
  // So does one that crashes with a head and no event behind it.
  if (!StreamStarted && Target.framing() == FramingKind::Connection)
    return handleStreamFailure(Destination,
                               {LinkErrorKind::Incomplete,
                                "the connection ended before the first event"});
  if (!End)
    return handleStreamFailure(Destination, End.error());
  if (!StreamStarted)
    beginStream(Destination, Target);
  endAttempt(Destination, CallEnd::Served, NextStep::Done);
  Context.Quarantine.noteServed(judgedParts());
  logEnd("answered", Target.head().getStatus());
  return NextStep::Done;
}

bool RoutedRelay::collectEvents(EventSplitter &Events, std::string &Piece,
                                std::string &Ready) {
  // A stream that cannot be resumed is relayed without splitting its events.
  if (!Route->Resumable) {
    Events.skip(Piece);
    UnfinishedBytes = Events.boundary().unfinishedBytes();
    Ready = std::move(Piece);
    return true;
  }
  if (!mayHold(Events.takenWith(Piece.size())) || !Events.push(Piece))
    return false;
  while (auto Event = Events.next()) {
    bool AlreadySent = Event->Token && LastEvent && *Event->Token <= *LastEvent;
    if (AlreadySent)
      continue;
    if (Event->Token)
      LastEvent = Event->Token;
    Ready += Event->Raw;
  }
  UnfinishedBytes = Events.boundary().unfinishedBytes();
  return mayHold(Events.takenWith(0));
}

void RoutedRelay::beginStream(const PlacedCall &Destination,
                              TargetExchange &Target) {
  StreamStarted = true;
  Call.Build = Destination.Build;
  tellBuild();
  Context.Placements.firstByte(Destination.PlacementId);
  FirstByteAt = steadyNow();
  Context.Metrics.FirstByteSeconds.with({Route->Name})
      .observe(double((FirstByteAt - ArrivedAt).count()) / 1e6);
  Exchange.beginRelayedStream(Target.head());
}

RoutedRelay::NextStep
RoutedRelay::handleStreamFailure(const PlacedCall &Destination,
                                 const LinkError &Failure) {
  // Another target can continue the stream if nothing was relayed yet, or if
  // the route is resumable and the id of the last relayed event is known.
  NextStep Step = recordFailure(Destination, Failure, /*Sent=*/true);
  bool MayResume = !StreamStarted || (Route->Resumable && LastEvent);
  if (Step == NextStep::Done || MayResume)
    return Step;
  cutStream();
  return NextStep::Done;
}

void RoutedRelay::cutStream() {
  Exchange.abort();
  Context.Metrics.StreamsCut.add();
  logEnd("stream_cut", 0);
}

RoutedRelay::NextStep RoutedRelay::endAttempt(const PlacedCall &Destination,
                                              CallEnd End, NextStep Step) {
  Context.Placements.ended(Destination.PlacementId, End);
  giveBackSlot();
  WasServed |= End == CallEnd::Served;
  Context.Metrics.TargetCalls.with({std::string(enumName(End))}).add();
  if (Step != NextStep::Done)
    Call.Tried.push_back(Destination.Target);
  if (End == CallEnd::NotRun || End == CallEnd::Replaced) {
    LastFailure = {LinkErrorKind::NotSent,
                   "the target did not run the request"};
    observe::logEvent(Severity::Info, "routed", "attempt_refused",
                      {{"target", Destination.Target},
                       {"service", Call.Service},
                       {"end", End},
                       {"attempt", Attempts}},
                      Caller.Id);
  }
  return Step;
}

bool RoutedRelay::mayRetry(NextStep Retry) {
  if (Attempts >= MaxAttempts || steadyNow() >= answerDeadline())
    return false;
  if (Retry == NextStep::RetryRun) {
    bool MayRepeat = Route->Repeats == config::RepeatPolicy::Idempotent;
    if (!MayRepeat || PossibleRuns >= Route->MaxTargets ||
        !Context.Quarantine.mayRepeat(identified()))
      return false;
  }
  // A request that never arrived at a target added nothing to the load, so its
  // retry is not counted against the bound.
  bool MayHaveArrived = Retry == NextStep::RetryRun ||
                        LastFailure.Kind != LinkErrorKind::ConnectFailed;
  return !MayHaveArrived || Context.Placements.spendRetry(Call.Service);
}

void RoutedRelay::refuseUnplaced(const RefusedCall &Refusal) {
  if (StreamStarted)
    return cutStream();
  if (PossibleRuns > 0)
    return failRequest();
  Context.Metrics.Unplaced.with({std::string(enumName(Refusal.Reason))}).add();
  RefusedEstimate = Refusal.Estimate;
  // A build that is gone does not come back for its streams, and a part that
  // crashes targets stays what it is.
  std::optional<Timestamp> RetryAt = Refusal.RetryAt;
  if (Refusal.Reason == CallRefusalReason::BuildGone ||
      Refusal.Reason == CallRefusalReason::PartsQuarantined)
    RetryAt.reset();
  refuse({AnswerError::NoTarget, std::string(enumName(Refusal.Reason)),
          NotRun::True, RetryAt});
}

void RoutedRelay::failRequest() {
  if (StreamStarted)
    return cutStream();
  if (LastFailureAnswer) {
    Exchange.sendRelayed(LastFailureAnswer->Head, LastFailureAnswer->Body);
    logEnd("answered", LastFailureAnswer->Head.getStatus());
    return;
  }
  if (PossibleRuns == 0)
    return refuse({AnswerError::NoTarget, LastFailure.Detail, NotRun::True,
                   steadyNow() + RetryDelay});
  bool PastDeadline = steadyNow() >= answerDeadline();
  refuse(
      {PastDeadline ? AnswerError::DeadlinePassed : AnswerError::TargetFailed,
       LastFailure.Detail, NotRun::Unknown});
}

void RoutedRelay::refuse(const ErrorAnswer &Answer) {
  // The caller may come back as soon as it has the answer.
  settleCap();
  // Callers of this interface accept fractions of a second: a target often has
  // a free slot in less than a whole one.
  if (Answer.RetryAt)
    Exchange.setHeader("Retry-After", secondsText(*Answer.RetryAt));
  Exchange.sendJson(httpStatus(Answer.Type), errorBody(Answer, steadyNow()));
  LastFailure = {LastFailure.Kind, Answer.Message};
  logEnd("refused", httpStatus(Answer.Type));
}

void RoutedRelay::logPlaced(const PlacedCall &Destination) {
  Timestamp Now = steadyNow();
  std::optional<int64_t> WeightsDeadlineMillis;
  if (Destination.WeightsDeadline != NeverExpires)
    WeightsDeadlineMillis = millisUntil(Destination.WeightsDeadline, Now);
  std::optional<int64_t> AfterEvent;
  if (auto Resumed = StreamStarted ? LastEvent : Caller.AfterEvent)
    AfterEvent = static_cast<int64_t>(*Resumed);
  observe::logEvent(Severity::Info, "routed", "placed",
                    {{"target", Destination.Target},
                     {"service", Call.Service},
                     {"number", View->Number},
                     {"weights", Destination.Weights},
                     {"build", Destination.Build},
                     {"after_event", AfterEvent},
                     {"resumes", Caller.Resumes},
                     {"shared_parts", partsText(SharedParts)},
                     {"prompt_tokens", Call.PromptTokens},
                     {"cached_tokens", Destination.CachedTokens},
                     {"cache_scope", cacheScope()},
                     {"fetch_from", Destination.FetchFrom},
                     {"estimate_ms", Destination.Estimate.count() / 1000},
                     {"deadline_ms", millisUntil(Call.Deadline, Now)},
                     {"weights_deadline_ms", WeightsDeadlineMillis},
                     {"attempt", Attempts}},
                    Caller.Id);
}

void RoutedRelay::logEnd(std::string_view Event, int Status) {
  std::string Name = Route ? Route->Name : "none";
  Context.Metrics.Answers.with({Name, std::to_string(Status)}).add();
  bool Failed = Event != "answered";
  std::optional<int64_t> ConfirmedMillis;
  bool WasConfirmed = View && View->ConfirmedUntil != Timestamp();
  if (Event == "refused" && WasConfirmed)
    ConfirmedMillis = (View->ConfirmedUntil - steadyNow()).count() / 1000;
  observe::logEvent(
      Severity::Info, "routed", Event,
      {{"route", Name},
       {"status", Status},
       {"number", View ? View->Number.Value : 0},
       {"confirmed_ms", ConfirmedMillis},
       {"attempts", Attempts},
       {"runs", PossibleRuns},
       {"targets_tried", Call.Tried.size()},
       {"reason", Failed ? LastFailure.Detail : std::string()},
       {"framing", framingName()},
       {"connection_end", endName()},
       {"unfinished_bytes", UnfinishedBytes},
       {"prompt_tokens", Call.PromptTokens},
       {"shared_parts", Attempts == 0 ? partsText(SharedParts) : std::string()},
       {"estimate_ms", RefusedEstimate.count() / 1000},
       {"first_byte_ms",
        std::max<int64_t>(0, (FirstByteAt - ArrivedAt).count() / 1000)},
       {"millis", (steadyNow() - ArrivedAt).count() / 1000}},
      Caller.Id);
}

} // namespace ferry::traffic

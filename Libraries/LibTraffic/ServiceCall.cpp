#include "LibTraffic/ServiceCall.h"
#include "LibObserve/Log.h"
#include "LibTraffic/EngineProtocol.h"
#include <Poco/URI.h>
#include <xxhash.h>

namespace ferry::traffic {

using observe::logEvent;
using observe::Severity;

using namespace ferry::routing;

/// Largest answer of a plain service, in bytes.
static constexpr uint64_t MaxAnswerBytes = 16ULL << 20;

RetryRule retryRule(const config::Service &Service, const std::string &Method,
                    const std::string &Path) {
  for (const config::NonIdempotentCall &Listed : Service.NonIdempotent)
    if (Listed.Method == Method && Path.starts_with(Listed.PathPrefix))
      return RetryRule::Claimed;
  if (Method == "POST" || Method == "PATCH")
    return RetryRule::UntilSent;
  return RetryRule::Idempotent;
}

uint64_t callDigest(const ServiceCall &Call) {
  std::string Text;
  for (const std::string *Part :
       {&Call.Method, &Call.Path, &Call.RawQuery, &Call.ContentType}) {
    Text += std::to_string(Part->size());
    Text += ':';
    Text += *Part;
  }
  return XXH3_64bits_withSeed(Call.Body.data(), Call.Body.size(),
                              XXH3_64bits(Text.data(), Text.size()));
}

static std::string targetPath(const ServiceCall &Call) {
  Poco::URI Uri;
  Uri.setPath(Call.Path);
  Uri.setRawQuery(Call.RawQuery);
  return Uri.getPathEtc();
}

static HeaderList serviceHeaders(const ServiceCall &Call,
                                 const RequestId &TryId) {
  HeaderList Headers = {{RequestHeader, TryId.Value},
                        {"X-Workspace", Call.Caller.Workspace.Value}};
  if (!Call.ContentType.empty())
    Headers.emplace_back("Content-Type", Call.ContentType);
  if (!Call.Accept.empty())
    Headers.emplace_back("Accept", Call.Accept);
  if (!Call.Caller.IdempotencyKey.empty())
    Headers.emplace_back("Idempotency-Key", Call.Caller.IdempotencyKey);
  return Headers;
}

LinkResult<ServiceAnswer>
tryCallTarget(TrafficContext &Context, const ServiceCall &Call,
              const Dispatch &Dispatch, const RequestId &TryId,
              int CallerDescriptor, std::optional<ErrorAnswer> &SendRefusal) {
  auto Connection =
      TargetConnection::tryConnect(Dispatch.Address, Call.Deadline);
  if (!Connection)
    return makeError(Connection.error());
  std::string Path = targetPath(Call);
  HeaderList Headers = serviceHeaders(Call, TryId);
  bool IsRead = Call.Method == "GET" || Call.Method == "HEAD";
  auto Kind = IsRead ? SendKind::Read : SendKind::Write;
  SendRefusal = checkBeforeSend(Context, Call.Caller, Call.Deadline, Kind);
  if (SendRefusal)
    return makeTypedError(LinkErrorKind::NotSent);
  auto Sent =
      (*Connection)
          ->trySend(Call.Method, Path, Headers, Call.Body, Call.Deadline);
  if (!Sent)
    return makeError(Sent.error());
  WaitLimits Limits{Call.Deadline, Duration::max(), CallerDescriptor};
  if (auto Head = (*Connection)->tryReceiveHead(Limits); !Head)
    return makeError(Head.error());
  // Plain services need not echo the id. One that does must echo this
  // attempt's.
  std::string Echo = (*Connection)->header(RequestHeader);
  if (!Echo.empty() && Echo != TryId.Value) {
    Context.Counters.add(TrafficCount::EchoMismatches);
    return makeTypedError(LinkErrorKind::WrongEcho);
  }
  ServiceAnswer Answer{(*Connection)->status(),
                       (*Connection)->header("Content-Type"),
                       {},
                       nullptr};
  if (Call.Method == "HEAD")
    return Answer;
  Answer.Share = std::make_unique<BudgetShare>(Context.LargeAnswers);
  auto Body =
      (*Connection)->tryReadWhole(MaxAnswerBytes, Limits, [&](uint64_t Bytes) {
        return Answer.Share->tryHoldAnswer(Bytes);
      });
  if (!Body)
    return makeError(Body.error());
  Answer.Body = std::move(*Body);
  return Answer;
}

bool mayHaveRun(const LinkError &Error) {
  return Error.Kind != LinkErrorKind::ConnectFailed &&
         Error.Kind != LinkErrorKind::NotSent;
}

/// \returns the answer to a call that failed and is not retried.
static ErrorAnswer failureAnswer(const LinkError &Error) {
  if (Error.Kind == LinkErrorKind::DeadlinePassed)
    return {AnswerError::DeadlinePassed,
            "the deadline passed while the target was working",
            NotRun::Unknown};
  return {AnswerError::TargetFailed,
          "the target failed: " + std::string(enumName(Error.Kind)),
          NotRun::Unknown};
}

void relayCall(TrafficContext &Context, HttpExchange &Exchange,
               const ServiceCall &Call) {
  CallerGoneCheck IsGone = [&] { return Exchange.callerGone(); };
  bool MayHaveRun = false;
  uint32_t Tries = 0;
  Placement Destination = Context.Placements.submit(
      SubmitCall{Call.Caller.Id, Call.Caller.Workspace, Call.Service,
                 Call.Caller.Priority, Call.Deadline},
      IsGone);
  while (Destination) {
    RequestId TryId{Call.Caller.Id.Value + "." + std::to_string(++Tries)};
    std::optional<ErrorAnswer> SendRefusal;
    auto Answer =
        tryCallTarget(Context, Call, *Destination, TryId,
                      Exchange.socket().impl()->sockfd(), SendRefusal);
    if (Answer) {
      Context.Placements.finished(Call.Caller.Id, TryOutcome::Succeeded);
      Context.Counters.add(TrafficCount::AnsweredWhole);
      Exchange.send(Answer->Status, Answer->ContentType, Answer->Body);
      return;
    }
    Context.Counters.add(TrafficCount::FailedTries);
    const LinkError &Error = Answer.error();
    logEvent(Severity::Info, "traffic", "try_failed",
             {{"target", Destination->Target}, {"reason", Error.Kind}},
             Call.Caller.Id);
    MayHaveRun = MayHaveRun || mayHaveRun(Error);
    bool Final = SendRefusal || Error.Kind == LinkErrorKind::CallerGone ||
                 Error.Kind == LinkErrorKind::DeadlinePassed ||
                 (MayHaveRun && Call.Rule == RetryRule::UntilSent);
    if (Final) {
      Context.Placements.finished(Call.Caller.Id, SendRefusal
                                                      ? TryOutcome::Cancelled
                                                      : TryOutcome::Failed);
      ErrorAnswer Refused = SendRefusal ? *SendRefusal : failureAnswer(Error);
      Refused.NotRun = MayHaveRun ? NotRun::Unknown : NotRun::True;
      Exchange.sendError(Refused);
      return;
    }
    Destination = Context.Placements.retry(
        Call.Caller.Id,
        mayHaveRun(Error) ? TryOutcome::Failed : TryOutcome::NotSent,
        Call.Deadline, IsGone);
  }
  ErrorAnswer Refused = refusalAnswer(Destination.error());
  Refused.NotRun = MayHaveRun ? NotRun::Unknown : NotRun::True;
  Refused.Entries = otherEntries(Context, Call.Caller.Workspace);
  Context.Counters.add(TrafficCount::Refused);
  logEvent(Severity::Info, "traffic", "refused", {{"type", Refused.Type}},
           Call.Caller.Id);
  Exchange.sendError(Refused);
}

} // namespace ferry::traffic

#include "ferryctl/Hosts.h"
#include <Poco/Thread.h>
#include <algorithm>

namespace ferry::ctl {

/// Limits the wait for one host, so that a silent host leaves time to try the
/// others before the deadline.
static constexpr Duration HostTimeout = std::chrono::seconds(3);
static constexpr long RetryPauseMillis = 200;
static constexpr int TooManyRequests = 429;
static constexpr int FirstServerError = 500;

HostError hostErrorOf(const HttpAnswer &Answer) {
  HostError Error;
  Error.Status = Answer.Status;
  Error.Message = "status " + std::to_string(Answer.Status);
  auto Root = tryParseObject(Answer.Body);
  if (!Root)
    return Error;
  Poco::JSON::Object::Ptr ErrorObject = (*Root)->getObject("error");
  if (!ErrorObject)
    return Error;
  Error.Type = textIn(*ErrorObject, "type");
  Error.Message = textIn(*ErrorObject, "message");
  if (textIn(*ErrorObject, "not_run") == "true")
    Error.State = HostError::ExecutionState::NotRun;
  return Error;
}

HttpRequest HostAccess::withToken(HttpRequest Request) const {
  if (!Token.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + Token});
  return Request;
}

static bool isFinal(int Status) {
  return Status < FirstServerError && Status != TooManyRequests;
}

namespace {

/// The outcome of the attempts so far.
struct AttemptRecord {
  /// Whether a host may have carried out the request.
  bool MayHaveRun = false;
  bool Answered = false;
  std::string LastDetail = "the deadline passed before any host was tried";

  void noteError(const HttpError &Error) {
    LastDetail = Error.message();
    MayHaveRun |= Error.Kind != HttpErrorKind::NotSent;
  }

  void noteAnswer(const std::string &Address, const HttpAnswer &Answer) {
    HostError Error = hostErrorOf(Answer);
    LastDetail = Address + ": " + Error.Type + ": " + Error.Message;
    Answered = true;
    MayHaveRun |= Error.State != HostError::ExecutionState::NotRun;
  }

  CommandError error() const {
    if (MayHaveRun)
      return {ExitCode::OutcomeUnknown, LastDetail};
    return {Answered ? ExitCode::Refused : ExitCode::Unreachable, LastDetail};
  }
};

} // namespace

Result<HttpAnswer, CommandError>
HostAccess::trySend(const HttpRequest &Request) const {
  HttpRequest Authenticated = withToken(Request);
  AttemptRecord Attempts;
  while (steadyNow() < Deadline) {
    for (const std::string &Address : Addresses) {
      Timestamp Limit = std::min(Deadline, steadyNow() + HostTimeout);
      auto Answer = tryExchange(Address, Authenticated, Limit);
      if (!Answer) {
        Attempts.noteError(Answer.error());
        continue;
      }
      if (isFinal(Answer->Status))
        return *Answer;
      Attempts.noteAnswer(Address, *Answer);
    }
    Poco::Thread::sleep(RetryPauseMillis);
  }
  return makeError(Attempts.error());
}

Result<std::string, CommandError>
HostAccess::tryGetText(const std::string &Path) const {
  auto Answer = trySend({"GET", Path, {}, "", ""});
  if (!Answer) {
    // Reading changes nothing, so an unknown outcome needs no care.
    if (Answer.error().Kind == ExitCode::OutcomeUnknown)
      Answer.error().Kind = ExitCode::Unreachable;
    return makeError(Answer.error());
  }
  if (Answer->succeeded())
    return std::move(Answer->Body);
  HostError Error = hostErrorOf(*Answer);
  return makeTypedError(ExitCode::Refused,
                        Path + ": " + Error.Type + ": " + Error.Message);
}

Result<Poco::JSON::Object::Ptr, CommandError>
HostAccess::tryGetObject(const std::string &Path) const {
  auto Text = tryGetText(Path);
  if (!Text)
    return makeError(Text.error());
  auto Object = tryParseObject(*Text);
  if (!Object)
    return makeTypedError(ExitCode::InternalError, Object.error().message());
  return *Object;
}

} // namespace ferry::ctl

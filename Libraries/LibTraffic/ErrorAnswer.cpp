#include "LibTraffic/ErrorAnswer.h"
#include <Poco/JSONString.h>
#include <Poco/UTF8Encoding.h>

namespace ferry::traffic {

int httpStatus(AnswerError Type) {
  switch (Type) {
  case AnswerError::BadRequest:
  case AnswerError::BadHeader:
  case AnswerError::BadJson:
  case AnswerError::BadPath:
  case AnswerError::KeyRequired:
    return 400;
  case AnswerError::Unauthorized:
    return 401;
  case AnswerError::NotFound:
  case AnswerError::UnknownService:
  case AnswerError::UnknownWorkspace:
  case AnswerError::UnknownModel:
    return 404;
  case AnswerError::MethodNotAllowed:
    return 405;
  case AnswerError::RequestTimeout:
    return 408;
  case AnswerError::Conflict:
  case AnswerError::OperationReused:
  case AnswerError::InProgress:
  case AnswerError::StaleIncarnation:
    return 409;
  case AnswerError::KeyExpired:
    return 410;
  case AnswerError::LengthRequired:
    return 411;
  case AnswerError::TooLarge:
    return 413;
  case AnswerError::BadDescription:
  case AnswerError::KeyMismatch:
    return 422;
  case AnswerError::PreconditionRequired:
    return 428;
  case AnswerError::QueueFull:
  case AnswerError::ShareExceeded:
  case AnswerError::DeadlineTooNear:
  case AnswerError::CapExceeded:
    return 429;
  case AnswerError::HeadersTooLarge:
    return 431;
  case AnswerError::Internal:
    return 500;
  case AnswerError::OutcomeUnknown:
  case AnswerError::TargetFailed:
  case AnswerError::StreamLost:
    return 502;
  case AnswerError::NoQuorum:
  case AnswerError::LedgerFull:
  case AnswerError::NoDescription:
  case AnswerError::Unconfirmed:
  case AnswerError::Draining:
  case AnswerError::NoTarget:
  case AnswerError::RetryBudgetSpent:
    return 503;
  case AnswerError::DeadlinePassed:
    return 504;
  }
  return 500;
}

/// \returns \p Text with each byte that is not part of valid UTF-8 replaced.
static std::string replaceInvalidUtf8(std::string_view Text) {
  Poco::UTF8Encoding Encoding;
  std::string Clean;
  Clean.reserve(Text.size());
  const auto *Bytes = reinterpret_cast<const unsigned char *>(Text.data());
  size_t Position = 0;
  while (Position < Text.size()) {
    int Available =
        static_cast<int>(std::min<size_t>(Text.size() - Position, 4));
    int Length = Encoding.sequenceLength(Bytes + Position, Available);
    bool Valid = Length > 0 && Length <= Available &&
                 Poco::UTF8Encoding::isLegal(Bytes + Position, Length);
    if (Valid)
      Clean.append(Text.substr(Position, static_cast<size_t>(Length)));
    else
      Clean.push_back('?');
    Position += Valid ? static_cast<size_t>(Length) : 1;
  }
  return Clean;
}

std::string jsonString(std::string_view Text) {
  return Poco::toJSON(replaceInvalidUtf8(Text), true);
}

static std::string notRunJson(NotRun Value) {
  if (Value == NotRun::Unknown)
    return "\"unknown\"";
  return std::string(enumName(Value));
}

std::string errorBody(const ErrorAnswer &Error, Timestamp Now) {
  std::string Body = "{\"error\":{\"type\":";
  Body += jsonString(enumName(Error.Type));
  Body += ",\"message\":" + jsonString(Error.Message);
  Body += ",\"not_run\":" + notRunJson(Error.NotRun);
  Body += ",\"retry_at\":";
  if (Error.RetryAt)
    Body += std::to_string(unixNow().Value + millisUntil(*Error.RetryAt, Now));
  else
    Body += "null";
  if (!Error.Entries.empty()) {
    Body += ",\"entries\":[";
    for (size_t I = 0; I < Error.Entries.size(); ++I)
      Body += (I ? "," : "") + jsonString(Error.Entries[I]);
    Body += "]";
  }
  for (const auto &[Name, Value] : Error.Members)
    Body += "," + jsonString(Name) + ":" + Value;
  Body += "}}";
  return Body;
}

std::optional<int64_t> retryAfterSeconds(const ErrorAnswer &Error,
                                         Timestamp Now) {
  if (!Error.RetryAt)
    return std::nullopt;
  return std::max<int64_t>(1, (millisUntil(*Error.RetryAt, Now) + 999) / 1000);
}

/// The answer to one kind of refusal.
struct RefusalRow {
  routing::RefusalKind Kind;
  AnswerError Type;
  const char *Message;
};

static constexpr RefusalRow RefusalTable[] = {
    {routing::RefusalKind::NoDescription, AnswerError::NoDescription,
     "no description is in force on this host yet"},
    {routing::RefusalKind::Unconfirmed, AnswerError::Unconfirmed,
     "this host cannot confirm that its description is current"},
    {routing::RefusalKind::Draining, AnswerError::Draining,
     "this host is shutting down"},
    {routing::RefusalKind::UnknownService, AnswerError::UnknownService,
     "the description has no such service"},
    {routing::RefusalKind::UnknownWorkspace, AnswerError::UnknownWorkspace,
     "the description has no such workspace"},
    {routing::RefusalKind::NoTarget, AnswerError::NoTarget,
     "no target can take the request"},
    {routing::RefusalKind::QueueFull, AnswerError::QueueFull,
     "too many requests are waiting"},
    {routing::RefusalKind::DeadlineTooNear, AnswerError::DeadlineTooNear,
     "the request cannot be answered before its deadline"},
    {routing::RefusalKind::ShareExceeded, AnswerError::ShareExceeded,
     "the workspace has used up its share"},
    {routing::RefusalKind::RetryBudgetSpent, AnswerError::RetryBudgetSpent,
     "the attempt failed and the retry budget is spent"},
    {routing::RefusalKind::DeadlinePassed, AnswerError::DeadlinePassed,
     "the deadline passed while the request was waiting"},
    {routing::RefusalKind::RepeatForbidden, AnswerError::TargetFailed,
     "the attempt failed and the call may not be repeated"},
    {routing::RefusalKind::DuplicateRequest, AnswerError::Internal,
     "a request with the same id is in progress"}};

ErrorAnswer refusalAnswer(const routing::Refusal &Refusal) {
  ErrorAnswer Answer;
  for (const RefusalRow &Row : RefusalTable) {
    if (Row.Kind != Refusal.Kind)
      continue;
    Answer.Type = Row.Type;
    Answer.Message = Row.Message;
  }
  if (Refusal.RetryAt != Timestamp{} && Refusal.RetryAt != NeverExpires)
    Answer.RetryAt = Refusal.RetryAt;
  return Answer;
}

} // namespace ferry::traffic

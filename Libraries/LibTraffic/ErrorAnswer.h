/// \file
/// The error object that every HTTP route answers with.
#ifndef FERRY_LIBTRAFFIC_ERRORANSWER_H
#define FERRY_LIBTRAFFIC_ERRORANSWER_H

#include "LibCore/EnumNames.h"
#include "LibCore/Time.h"
#include "LibRouting/SchedulerEvents.h"
#include <optional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// The kinds of error that a client of any route can receive.
enum class AnswerError : uint8_t {
  BadRequest,
  BadHeader,
  BadJson,
  BadPath,
  NotFound,
  MethodNotAllowed,
  LengthRequired,
  TooLarge,
  HeadersTooLarge,
  Unauthorized,
  PreconditionRequired,
  Conflict,
  OperationReused,
  BadDescription,
  KeyRequired,
  KeyMismatch,
  KeyExpired,
  InProgress,
  OutcomeUnknown,
  StaleIncarnation,
  NoQuorum,
  LedgerFull,
  RequestTimeout,
  UnknownService,
  UnknownWorkspace,
  UnknownModel,
  NoDescription,
  Unconfirmed,
  Draining,
  NoTarget,
  QueueFull,
  ShareExceeded,
  DeadlineTooNear,
  CapExceeded,
  DeadlinePassed,
  RetryBudgetSpent,
  TargetFailed,
  StreamLost,
  Internal
};

/// Whether it is certain that the request did not run: True if no part of it
/// ran, False if at least a part ran, Unknown otherwise.
enum class NotRun : uint8_t { True, False, Unknown };

/// One error as a client receives it.
struct ErrorAnswer {
  AnswerError Type = AnswerError::Internal;
  std::string Message;
  traffic::NotRun NotRun = traffic::NotRun::True;
  /// When a resend makes sense; unset if none does.
  std::optional<Timestamp> RetryAt = std::nullopt;
  /// Addresses of hosts that accept the request, best first.
  std::vector<std::string> Entries = {};
  /// Further members of the error object, each as name and JSON text.
  std::vector<std::pair<std::string, std::string>> Members = {};
};

/// \returns the HTTP status of \p Type.
int httpStatus(AnswerError Type);

/// \returns the JSON body of \p Error. \p Now serves to convert its RetryAt
/// into milliseconds since the Unix epoch.
std::string errorBody(const ErrorAnswer &Error, Timestamp Now);

/// \returns the value of Retry-After in seconds, at least 1; nothing if \p
/// Error has no RetryAt.
std::optional<int64_t> retryAfterSeconds(const ErrorAnswer &Error,
                                         Timestamp Now);

/// \returns the answer for a refusal by the Scheduler.
ErrorAnswer refusalAnswer(const routing::Refusal &Refusal);

/// \returns \p Text as a JSON string, quotes included. Bytes that are not
/// UTF-8 are replaced.
std::string jsonString(std::string_view Text);

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::AnswerError> {
  using Type = traffic::AnswerError;
  static constexpr EnumName<Type> Table[] = {
      {Type::BadRequest, "bad_request"},
      {Type::BadHeader, "bad_header"},
      {Type::BadJson, "bad_json"},
      {Type::BadPath, "bad_path"},
      {Type::NotFound, "not_found"},
      {Type::MethodNotAllowed, "method_not_allowed"},
      {Type::LengthRequired, "length_required"},
      {Type::TooLarge, "too_large"},
      {Type::HeadersTooLarge, "headers_too_large"},
      {Type::Unauthorized, "unauthorized"},
      {Type::PreconditionRequired, "precondition_required"},
      {Type::Conflict, "conflict"},
      {Type::OperationReused, "operation_reused"},
      {Type::BadDescription, "bad_description"},
      {Type::KeyRequired, "key_required"},
      {Type::KeyMismatch, "key_mismatch"},
      {Type::KeyExpired, "key_expired"},
      {Type::InProgress, "in_progress"},
      {Type::OutcomeUnknown, "outcome_unknown"},
      {Type::StaleIncarnation, "stale_incarnation"},
      {Type::NoQuorum, "no_quorum"},
      {Type::LedgerFull, "ledger_full"},
      {Type::RequestTimeout, "request_timeout"},
      {Type::UnknownService, "unknown_service"},
      {Type::UnknownWorkspace, "unknown_workspace"},
      {Type::UnknownModel, "unknown_model"},
      {Type::NoDescription, "no_description"},
      {Type::Unconfirmed, "unconfirmed"},
      {Type::Draining, "draining"},
      {Type::NoTarget, "no_target"},
      {Type::QueueFull, "queue_full"},
      {Type::ShareExceeded, "share_exceeded"},
      {Type::DeadlineTooNear, "deadline_too_near"},
      {Type::CapExceeded, "cap_exceeded"},
      {Type::DeadlinePassed, "deadline_passed"},
      {Type::RetryBudgetSpent, "retry_budget_spent"},
      {Type::TargetFailed, "target_failed"},
      {Type::StreamLost, "stream_lost"},
      {Type::Internal, "internal"}};
};

template <> struct EnumNames<traffic::NotRun> {
  static constexpr EnumName<traffic::NotRun> Table[] = {
      {traffic::NotRun::True, "true"},
      {traffic::NotRun::False, "false"},
      {traffic::NotRun::Unknown, "unknown"}};
};

} // namespace ferry

#endif

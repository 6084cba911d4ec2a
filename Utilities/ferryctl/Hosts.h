/// \file
/// Sends a request to several hosts in turn, until one of them answers.
#ifndef FERRY_FERRYCTL_HOSTS_H
#define FERRY_FERRYCTL_HOSTS_H

#include "ferryctl/ExitCode.h"
#include "ferryctl/HttpClient.h"

namespace ferry::ctl {

/// The error of a command; its kind is the exit code of ferryctl.
using CommandError = TypedError<ExitCode>;

/// An error that a host reported in an answer.
struct HostError {
  int Status = 0;
  std::string Type;
  std::string Message;
  /// Whether the host says that the request was not carried out.
  enum class ExecutionState : uint8_t {
    NotRun,
    Unknown
  } State = ExecutionState::Unknown;
};

/// \returns the error in \p Answer; without a type, and with the status as its
/// message, if the body is not a JSON error.
HostError hostErrorOf(const HttpAnswer &Answer);

/// The hosts that a command may send requests to, with its token and deadline.
struct HostAccess {
  /// "IP:port" each, tried in this order.
  std::vector<std::string> Addresses;
  /// Sent as a bearer token if it is not empty.
  std::string Token;
  Timestamp Deadline;

  HttpRequest withToken(HttpRequest Request) const;

  /// Sends \p Request, which must be safe to resend, to the hosts in turn until
  /// one gives a final answer. After a failed exchange and after statuses 429
  /// and 5xx it tries the next host, until the deadline.
  /// \returns the first answer with a status below 500 other than 429, or the
  /// error of the last attempt.
  Result<HttpAnswer, CommandError> trySend(const HttpRequest &Request) const;

  /// Sends a GET request with trySend() for an answer that is a JSON object.
  /// \returns the object, or an error of kind Refused for a status of 4xx.
  Result<Poco::JSON::Object::Ptr, CommandError>
  tryGetObject(const std::string &Path) const;

  /// Sends a GET request with trySend() and returns the body of the answer.
  Result<std::string, CommandError> tryGetText(const std::string &Path) const;
};

} // namespace ferry::ctl

#endif

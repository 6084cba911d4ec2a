/// \file
/// A request to whichever of several hosts answers.
#ifndef FERRY_FERRYCTL_HOSTS_H
#define FERRY_FERRYCTL_HOSTS_H

#include "ferryctl/ExitCode.h"
#include "ferryctl/HttpClient.h"

namespace ferry::ctl {

/// How a command failed.
using CommandError = TypedError<ExitCode>;

/// What a host said in the JSON form of errors.
struct HostError {
  int Status = 0;
  std::string Type;
  std::string Message;
  /// Whether the host says that nothing was done.
  enum class Ran : uint8_t { NotRun, Unknown } State = Ran::Unknown;
};

/// \returns the error in \p Answer, whatever its form.
HostError hostErrorOf(const HttpAnswer &Answer);

/// The operators' addresses that a command may use, and how.
struct HostAccess {
  /// "IP:port" each, tried in this order.
  std::vector<std::string> Addresses;
  /// Shown as a bearer token if it is not empty.
  std::string Token;
  Timestamp Deadline;

  HttpRequest withToken(HttpRequest Request) const;

  /// Sends a request that may be repeated to the hosts in turn, until one
  /// answers with success or with a fault of the request itself. Failures and
  /// answers of 429 and 5xx go on to the next host until the deadline.
  /// \returns a successful answer or, with a status of 4xx, the host's answer.
  Result<HttpAnswer, CommandError> trySend(const HttpRequest &Request) const;

  /// As trySend(), for an answer that is a JSON object.
  /// \returns the object, or an error of kind Refused for a status of 4xx.
  Result<Poco::JSON::Object::Ptr, CommandError>
  tryGetObject(const std::string &Path) const;

  /// As trySend(), for an answer of any form.
  Result<std::string, CommandError> tryGetText(const std::string &Path) const;
};

} // namespace ferry::ctl

#endif

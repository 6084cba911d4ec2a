/// \file
/// One HTTP exchange with a host, within a deadline.
#ifndef FERRY_FERRYCTL_HTTPCLIENT_H
#define FERRY_FERRYCTL_HTTPCLIENT_H

#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include <Poco/JSON/Object.h>
#include <functional>
#include <string>
#include <vector>

namespace ferry::ctl {

/// Why an exchange has no usable answer.
enum class HttpErrorKind : uint8_t {
  /// The connection failed before anything was sent.
  NotSent,
  /// The request may have been sent, but no complete answer arrived.
  NoAnswer,
  /// The answer is malformed, exceeds the size limit, or was still arriving at
  /// the deadline.
  BadAnswer
};

using HttpError = TypedError<HttpErrorKind>;

/// A header of a request.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A request to a host.
struct HttpRequest {
  std::string Method;
  /// Path and query.
  std::string Path;
  std::vector<HttpHeader> Headers;
  std::string ContentType;
  std::string Body;
};

/// The answer of a host.
struct HttpAnswer {
  int Status = 0;
  std::string Body;
  /// The headers ETag and X-Operation-Id, empty if there are none.
  std::string EntityTag;
  std::string Operation;

  bool succeeded() const { return Status >= 200 && Status < 300; }
};

/// Receives each part of a body as it arrives.
using BodySink = std::function<void(std::string_view)>;

/// Sends \p Request to \p Address ("IP:port") and waits for the answer.
/// \param OnBody receives the parts of a successful answer's body, and the
/// returned body is empty. If \p OnBody is empty, the body is returned whole.
Result<HttpAnswer, HttpError> tryExchange(const std::string &Address,
                                          const HttpRequest &Request,
                                          Timestamp Deadline,
                                          const BodySink &OnBody = {});

/// \returns the object in \p Text, or an error of kind BadAnswer.
Result<Poco::JSON::Object::Ptr, HttpError>
tryParseObject(const std::string &Text);

/// \returns the text under \p Key, or an empty one if there is no text.
std::string textIn(const Poco::JSON::Object &Object, const std::string &Key);

/// \returns the number under \p Key, or 0 if there is no number.
uint64_t numberIn(const Poco::JSON::Object &Object, const std::string &Key);

} // namespace ferry::ctl

namespace ferry {

template <> struct EnumNames<ctl::HttpErrorKind> {
  using Kind = ctl::HttpErrorKind;
  static constexpr EnumName<Kind> Table[] = {{Kind::NotSent, "not_sent"},
                                             {Kind::NoAnswer, "no_answer"},
                                             {Kind::BadAnswer, "bad_answer"}};
};

} // namespace ferry

#endif

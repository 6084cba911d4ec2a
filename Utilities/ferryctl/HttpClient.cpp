#include "ferryctl/HttpClient.h"
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace ferry::ctl {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPMessage;

static constexpr size_t MaxAnswerBytes = 64 << 20;
static constexpr size_t ReadChunkBytes = 16 << 10;
static constexpr int MaxJsonDepth = 32;
static constexpr int64_t MinTimeoutMillis = 1;

static Poco::Timespan timeUntil(Timestamp Deadline) {
  int64_t Millis =
      std::max(millisUntil(Deadline, steadyNow()), MinTimeoutMillis);
  return Poco::Timespan(Millis * Poco::Timespan::MILLISECONDS);
}

static Poco::Net::HTTPRequest makeRequest(const HttpRequest &Request) {
  Poco::Net::HTTPRequest PocoRequest(Request.Method, Request.Path,
                                     HTTPMessage::HTTP_1_1);
  for (const HttpHeader &Header : Request.Headers)
    PocoRequest.set(Header.Name, Header.Value);
  if (!Request.ContentType.empty())
    PocoRequest.setContentType(Request.ContentType);
  PocoRequest.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
  return PocoRequest;
}

/// \returns false if the body is too long or the deadline has passed.
static bool readBody(std::istream &Stream, Timestamp Deadline,
                     const BodySink &Sink) {
  std::array<char, ReadChunkBytes> Chunk;
  size_t Total = 0;
  // Blocks for one byte only, then reads what is already buffered, so that a
  // stream is shown as it arrives.
  while (Stream.get(Chunk[0])) {
    std::streamsize More =
        Stream.readsome(Chunk.data() + 1, ReadChunkBytes - 1);
    size_t Size = static_cast<size_t>(More) + 1;
    Total += Size;
    if (Total > MaxAnswerBytes || steadyNow() >= Deadline)
      return false;
    Sink(std::string_view(Chunk.data(), Size));
  }
  return true;
}

static Result<HttpAnswer, HttpError> receive(HTTPClientSession &Session,
                                             Timestamp Deadline,
                                             const BodySink &OnBody) {
  Poco::Net::HTTPResponse Response;
  std::istream &Stream = Session.receiveResponse(Response);
  // Hosts frame each answer. The HTTP library takes the end of the connection
  // for the end of the head.
  bool HasLength = !Response.get(HTTPMessage::CONTENT_LENGTH, "").empty();
  if (!HasLength && !Response.getChunkedTransferEncoding())
    return makeTypedError(HttpErrorKind::NoAnswer,
                          "the connection ended inside the answer's head");
  HttpAnswer Answer;
  Answer.Status = Response.getStatus();
  Answer.EntityTag = Response.get("ETag", "");
  Answer.Operation = Response.get("X-Operation-Id", "");
  BodySink Keep = [&](std::string_view Part) { Answer.Body += Part; };
  const BodySink &Sink = OnBody && Answer.succeeded() ? OnBody : Keep;
  if (!readBody(Stream, Deadline, Sink))
    return makeTypedError(
        HttpErrorKind::BadAnswer,
        "the answer is too long or did not end before the deadline");
  const Poco::Exception *Failure = Session.networkException();
  if (Failure)
    return makeTypedError(HttpErrorKind::NoAnswer, Failure->displayText());
  auto Expected = Response.getContentLength64();
  if (!OnBody && Expected != HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
      Answer.Body.size() != static_cast<size_t>(Expected))
    return makeTypedError(
        HttpErrorKind::NoAnswer,
        "the connection ended before the answer was complete");
  return Answer;
}

static Result<HttpAnswer, HttpError> exchange(const std::string &Address,
                                              const HttpRequest &Request,
                                              Timestamp Deadline,
                                              const BodySink &OnBody) {
  auto FailureKind = HttpErrorKind::NotSent;
  try {
    HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setKeepAlive(false);
    Session.setTimeout(timeUntil(Deadline));
    Poco::Net::HTTPRequest PocoRequest = makeRequest(Request);
    std::ostream &Body = Session.sendRequest(PocoRequest);
    FailureKind = HttpErrorKind::NoAnswer;
    Body << Request.Body;
    Body.flush();
    return receive(Session, Deadline, OnBody);
  } catch (const Poco::Exception &Error) {
    return makeTypedError(FailureKind, Error.displayText());
  } catch (const std::exception &Error) {
    return makeTypedError(FailureKind, Error.what());
  }
}

Result<HttpAnswer, HttpError> tryExchange(const std::string &Address,
                                          const HttpRequest &Request,
                                          Timestamp Deadline,
                                          const BodySink &OnBody) {
  auto Answer = exchange(Address, Request, Deadline, OnBody);
  if (!Answer)
    Answer.error().Detail = Address + ": " + Answer.error().Detail;
  return Answer;
}

Result<Poco::JSON::Object::Ptr, HttpError>
tryParseObject(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxJsonDepth);
    auto Object = Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
    if (Object)
      return Object;
    return makeTypedError(HttpErrorKind::BadAnswer, "not a JSON object");
  } catch (const Poco::Exception &Error) {
    return makeTypedError(HttpErrorKind::BadAnswer, Error.displayText());
  } catch (const std::exception &Error) {
    return makeTypedError(HttpErrorKind::BadAnswer, Error.what());
  }
}

std::string textIn(const Poco::JSON::Object &Object, const std::string &Key) {
  try {
    return Object.optValue<std::string>(Key, "");
  } catch (const Poco::Exception &) {
    return {};
  }
}

uint64_t numberIn(const Poco::JSON::Object &Object, const std::string &Key) {
  try {
    return Object.optValue<Poco::UInt64>(Key, 0);
  } catch (const Poco::Exception &) {
    return 0;
  }
}

} // namespace ferry::ctl

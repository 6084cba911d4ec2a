/// \file
/// One request on a server connection and its answer.
#ifndef FERRY_LIBTRAFFIC_HTTPEXCHANGE_H
#define FERRY_LIBTRAFFIC_HTTPEXCHANGE_H

#include "LibConfig/Settings.h"
#include "LibCore/Result.h"
#include "LibTraffic/ErrorAnswer.h"
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>

namespace ferry::traffic {

template <typename ValueType>
using AnswerResult = Result<ValueType, ErrorAnswer>;

/// Bytes of request bodies that one listener may hold at a time.
class BodyBudget {
public:
  explicit BodyBudget(uint64_t Limit) : Free(static_cast<int64_t>(Limit)) {}
  /// Takes \p Bytes out of the budget. \returns whether there were enough.
  bool tryTake(uint64_t Bytes);
  /// Gives \p Bytes back.
  void giveBack(uint64_t Bytes);

private:
  std::atomic<int64_t> Free;
};

/// The path and query of a request, decoded.
struct RequestTarget {
  std::string Path;
  std::map<std::string, std::string> Query;
  /// The query as it came, without its question mark.
  std::string RawQuery;
};

/// Wraps the request and response of the HTTP library. Used by one thread.
/// \p BodyDone in the constructor is called once no more bytes are awaited.
class HttpExchange {
public:
  HttpExchange(Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response,
               Poco::Net::StreamSocket Socket, BodyBudget &Budget,
               std::function<void()> BodyDone);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const std::string &method() const { return Request.getMethod(); }

  /// Decodes path and query. \returns BadPath for one that is not plain: with
  /// dot segments, empty segments, encoded slashes or control characters.
  AnswerResult<RequestTarget> tryTarget() const;

  /// \returns the header \p Name, or "" if it is absent.
  std::string header(const std::string &Name) const;

  /// Whether the header \p Name stands more than once, so that two readers of
  /// the request may take different values.
  bool isRepeated(const std::string &Name) const;

  /// Reads the whole body. \returns LengthRequired without a Content-Length,
  /// TooLarge beyond \p MaxBytes, RequestTimeout if the body ends early.
  AnswerResult<std::string> tryReadBody(uint64_t MaxBytes);

  /// Reads the whole body, with a length or in chunks. \returns as
  /// tryReadBody(); BadHeader if it has both.
  AnswerResult<std::string> tryReadFramedBody(uint64_t MaxBytes);

  /// Whether bytes of the body are still unread.
  bool bodyUnread() const;

  /// Sets a header of the answer that is sent next.
  void setHeader(const std::string &Name, const std::string &Value);

  /// Sends a whole answer. \returns whether all of it was written.
  bool send(int Status, const std::string &ContentType,
            const std::string &Body);
  bool sendJson(int Status, const std::string &Body);
  bool sendError(const ErrorAnswer &Error);

  /// Starts an answer of server-sent events.
  void beginEvents();
  /// Writes a piece of the event stream and flushes it.
  /// \returns whether it was written; blocks at most the send timeout.
  bool writeEvents(const std::string &Text);

  /// Sends an answer that came from a target, with its status and headers but
  /// for those that concern one connection.
  bool sendRelayed(const Poco::Net::HTTPResponse &From,
                   const std::string &Body);
  /// Starts a stream that came from a target; its pieces go by writeEvents().
  void beginRelayed(const Poco::Net::HTTPResponse &From);
  /// Ends the connection at once: what was sent must not look complete.
  void abort();
  /// Closes the connection after the answer.
  void closeAfterAnswer() { Response.setKeepAlive(false); }

  /// The head of the request.
  const Poco::Net::HTTPServerRequest &head() const { return Request; }

  /// Whether an answer has been started.
  bool answered() const { return Response.sent(); }
  /// \returns a number that is equal for all requests from one IP address.
  uint64_t callerKey() const;
  /// Whether the caller has closed its side of the connection.
  bool callerGone() const;
  /// The connection's socket, to wait on.
  const Poco::Net::StreamSocket &socket() const { return Socket; }

private:
  AnswerResult<uint64_t> tryContentLength(uint64_t MaxBytes) const;
  AnswerResult<std::string> tryReadChunks(uint64_t MaxBytes);
  void copyHead(const Poco::Net::HTTPResponse &From);
  /// Sends the head as it stands, with \p Body. \returns whether all of it was
  /// written; throws the HTTP library's exceptions.
  bool writeWhole(const std::string &Body);

  Poco::Net::HTTPServerRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  Poco::Net::StreamSocket Socket;
  BodyBudget &Budget;
  std::function<void()> BodyDone;
  uint64_t TakenBytes = 0;
  bool BodyRead = false;
  std::ostream *Events = nullptr;
};

} // namespace ferry::traffic

#endif

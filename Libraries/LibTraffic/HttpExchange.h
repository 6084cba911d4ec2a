/// \file
/// One request on a server connection and its answer.
#ifndef FERRY_LIBTRAFFIC_HTTPEXCHANGE_H
#define FERRY_LIBTRAFFIC_HTTPEXCHANGE_H

#include "LibConfig/Settings.h"
#include "LibCore/Result.h"
#include "LibTraffic/ErrorAnswer.h"
#include "LibTraffic/HeldBody.h"
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <span>
#include <string>

namespace ferry::traffic {

template <typename ValueType>
using AnswerResult = Result<ValueType, ErrorAnswer>;

/// Limits the bytes of bodies, or of heads, in memory, over all requests.
class ByteBudget {
public:
  explicit ByteBudget(uint64_t Limit)
      : FreeBytes(static_cast<int64_t>(Limit)) {}
  /// Reserves \p Bytes. \returns false if fewer are free.
  bool tryReserve(uint64_t Bytes);
  /// Returns \p Bytes to the budget.
  void release(uint64_t Bytes);

private:
  std::atomic<int64_t> FreeBytes;
};

/// The bytes that one request has reserved of a budget. Returns them at its
/// end.
class BudgetShare {
public:
  explicit BudgetShare(ByteBudget &Budget) : Budget(Budget) {}
  ~BudgetShare() { Budget.release(Reserved); }
  BudgetShare(const BudgetShare &) = delete;
  BudgetShare &operator=(const BudgetShare &) = delete;

  /// Reserves \p Bytes in place of what was reserved before. \returns false if
  /// too few are free; nothing changes then.
  bool tryHold(uint64_t Bytes);

  /// The part of an answer that needs no reservation. The number of requests
  /// bounds the sum of these parts.
  static constexpr uint64_t FreeBytes = 64ULL << 10;
  /// Holds an answer that takes \p Bytes. \returns the same as tryHold().
  bool tryHoldAnswer(uint64_t Bytes) {
    return tryHold(Bytes - std::min(Bytes, FreeBytes));
  }

private:
  ByteBudget &Budget;
  uint64_t Reserved = 0;
};

/// The path and query of a request, decoded.
struct RequestTarget {
  std::string Path;
  std::map<std::string, std::string> Query;
  /// The query before decoding, without the question mark.
  std::string RawQuery;
};

/// Wraps a request and response of the HTTP library. Used by one thread.
class HttpExchange {
public:
  /// Reads at most \p Size bytes behind the head of the request, as they came.
  /// \returns the number of bytes; 0 at the end of the connection. Throws the
  /// HTTP library's exceptions.
  using RawReader = std::function<int(char *Buffer, int Size)>;

  /// \param ReadRaw reads the raw bytes of the body.
  /// \param BodyDone called once the whole body was read.
  HttpExchange(Poco::Net::HTTPRequest &Request,
               Poco::Net::HTTPServerResponse &Response,
               Poco::Net::StreamSocket Socket, ByteBudget &Budget,
               RawReader ReadRaw, std::function<void()> BodyDone);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const std::string &method() const { return Request.getMethod(); }

  /// Decodes path and query. \returns BadPath for a path with dot segments,
  /// empty segments, encoded slashes or control characters.
  AnswerResult<RequestTarget> tryTarget() const;

  /// \returns the header \p Name, or "" if it is absent.
  std::string header(const std::string &Name) const;

  /// Whether the header \p Name occurs more than once, so that two readers of
  /// the request could use different values.
  bool isRepeated(const std::string &Name) const;

  /// Reads the whole body. \returns LengthRequired without a Content-Length,
  /// TooLarge beyond \p MaxBytes, RequestTimeout if the body ends early.
  AnswerResult<std::string> tryReadBody(uint64_t MaxBytes);

  /// Reads the whole body, with a length or in chunks. \returns the errors of
  /// tryReadBody(), or BadHeader if the request has both framings or malformed
  /// chunks. After an error nothing further may be read from the connection.
  AnswerResult<std::string> tryReadFramedBody(uint64_t MaxBytes);

  /// Whether bytes of the body are still unread.
  bool bodyUnread() const;

  /// Sets a header of the answer.
  void setHeader(const std::string &Name, const std::string &Value);

  /// Sends a whole answer. \returns whether all of it was written.
  bool send(int Status, const std::string &ContentType,
            const std::string &Body);
  bool send(int Status, const std::string &ContentType, const HeldBody &Body);
  bool sendJson(int Status, const std::string &Body);
  bool sendError(const ErrorAnswer &Error);

  /// Starts an answer of server-sent events.
  void beginEvents();
  /// Writes a piece of the event stream and flushes it.
  /// \returns whether it was written. Blocks for at most the send timeout.
  bool writeEvents(const std::string &Text);

  /// Sends a target's whole answer with its status and headers, except for
  /// headers that concern one connection.
  bool sendRelayed(const Poco::Net::HTTPResponse &TargetHead,
                   const HeldBody &Body);
  /// Starts to relay a target's stream; writeEvents() sends its pieces.
  void beginRelayedStream(const Poco::Net::HTTPResponse &TargetHead);
  /// Ends the connection at once, so that a partial answer does not look
  /// complete.
  void abort();
  /// Closes the connection after the answer.
  void closeAfterAnswer() { Response.setKeepAlive(false); }

  /// The head of the request.
  const Poco::Net::HTTPRequest &head() const { return Request; }

  /// Whether an answer has been started.
  bool answerStarted() const { return Response.sent(); }
  /// \returns a hash of the caller's IP address.
  uint64_t callerAddressHash() const;
  /// Whether the caller has closed its side of the connection.
  bool callerGone() const;
  /// The connection's socket, for polling.
  const Poco::Net::StreamSocket &socket() const { return Socket; }

private:
  AnswerResult<uint64_t> tryContentLength(uint64_t MaxBytes) const;
  AnswerResult<std::string> tryReadChunks(uint64_t MaxBytes);
  void copyHead(const Poco::Net::HTTPResponse &TargetHead);
  bool sendBlocks(int Status, const std::string &ContentType,
                  std::span<const std::string> Body);
  /// Sends the current head and the blocks of \p Body. \returns whether all of
  /// it was written. Throws the HTTP library's exceptions.
  bool writeWhole(std::span<const std::string> Body);
  /// Ends the connection after a failed write. \returns \p Written.
  bool endUnlessWritten(bool Written);

  Poco::Net::HTTPRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  Poco::Net::StreamSocket Socket;
  ByteBudget &Budget;
  RawReader ReadRaw;
  std::function<void()> BodyDone;
  uint64_t ReservedBytes = 0;
  bool BodyRead = false;
  std::ostream *Events = nullptr;
};

} // namespace ferry::traffic

#endif

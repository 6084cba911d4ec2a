#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/BodyFraming.h"
#include "LibTraffic/RouteDialect.h"
#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <algorithm>
#include <poll.h>

namespace ferry::traffic {

/// Bytes read from a body at a time. Memory grows with the received bytes, not
/// with the announced length.
static constexpr uint64_t BodyChunkBytes = 64ULL << 10;
/// The same of a body in chunks, most of which are small.
static constexpr uint64_t ChunkedPieceBytes = 4ULL << 10;
/// Time after which a request that was refused for lack of body memory may be
/// sent again.
static constexpr std::chrono::seconds BodyBudgetRetryDelay{1};

bool ByteBudget::tryReserve(uint64_t Bytes) {
  auto ByteCount = static_cast<int64_t>(Bytes);
  if (FreeBytes.fetch_sub(ByteCount) >= ByteCount)
    return true;
  FreeBytes.fetch_add(ByteCount);
  return false;
}

void ByteBudget::release(uint64_t Bytes) {
  FreeBytes.fetch_add(static_cast<int64_t>(Bytes));
}

bool BudgetShare::tryHold(uint64_t Bytes) {
  if (Bytes > Reserved && !Budget.tryReserve(Bytes - Reserved))
    return false;
  if (Bytes < Reserved)
    Budget.release(Reserved - Bytes);
  Reserved = Bytes;
  return true;
}

HttpExchange::HttpExchange(Poco::Net::HTTPRequest &Request,
                           Poco::Net::HTTPServerResponse &Response,
                           Poco::Net::StreamSocket Socket, ByteBudget &Budget,
                           RawReader ReadRaw, std::function<void()> BodyDone)
    : Request(Request), Response(Response), Socket(std::move(Socket)),
      Budget(Budget), ReadRaw(std::move(ReadRaw)),
      BodyDone(std::move(BodyDone)) {}

HttpExchange::~HttpExchange() { Budget.release(ReservedBytes); }

/// Whether the decoded \p Path has one spelling only, so that a router and a
/// target cannot interpret it differently.
static bool isCanonicalPath(const std::string &Path) {
  if (Path.empty() || Path.front() != '/')
    return false;
  bool HasForbiddenByte =
      std::any_of(Path.begin(), Path.end(), [](unsigned char C) {
        return C < 0x20 || C == 0x7f || C == '\\' || C == ';';
      });
  return !HasForbiddenByte && Path.find("//") == std::string::npos &&
         (Path + "/").find("/./") == std::string::npos &&
         (Path + "/").find("/../") == std::string::npos;
}

AnswerResult<RequestTarget> HttpExchange::tryTarget() const {
  try {
    Poco::URI Uri;
    const std::string &Raw = Request.getURI();
    std::string RawPath = Raw.substr(0, Raw.find('?'));
    bool HasEncodedSlash =
        Poco::toLower(RawPath).find("%2f") != std::string::npos;
    Uri.setPathEtc(Raw);
    if (HasEncodedSlash || !isCanonicalPath(Uri.getPath()))
      return makeError(ErrorAnswer{AnswerError::BadPath,
                                   "the path is not in canonical form"});
    RequestTarget Target{Uri.getPath(), {}, Uri.getRawQuery()};
    for (auto &[Name, Value] : Uri.getQueryParameters())
      Target.Query.emplace(Name, Value);
    return Target;
  } catch (const Poco::Exception &) {
    return makeError(
        ErrorAnswer{AnswerError::BadPath, "the request target is malformed"});
  }
}

std::string HttpExchange::header(const std::string &Name) const {
  return Request.get(Name, "");
}

bool HttpExchange::isRepeated(const std::string &Name) const {
  auto Count =
      std::count_if(Request.begin(), Request.end(), [&](const auto &Field) {
        return Poco::icompare(Field.first, Name) == 0;
      });
  return Count > 1;
}

AnswerResult<uint64_t> HttpExchange::tryContentLength(uint64_t MaxBytes) const {
  // A truncated body must never count as whole. Only a length that was sent
  // ahead shows the truncation however the connection ends.
  if (Request.has("Transfer-Encoding"))
    return makeError(
        ErrorAnswer{AnswerError::LengthRequired,
                    "a body needs a Content-Length and no other encoding"});
  if (!Request.has("Content-Length")) {
    if (method() == "GET" || method() == "HEAD")
      return 0;
    return makeError(ErrorAnswer{AnswerError::LengthRequired,
                                 "the request needs a Content-Length"});
  }
  std::string Text = header("Content-Length");
  bool IsNumber = !isRepeated("Content-Length") && !Text.empty() &&
                  Text.size() <= 18 &&
                  std::all_of(Text.begin(), Text.end(),
                              [](char C) { return C >= '0' && C <= '9'; });
  if (!IsNumber)
    return makeError(ErrorAnswer{AnswerError::BadHeader,
                                 "Content-Length is not one number"});
  uint64_t Length = std::stoull(Text);
  if (Length > MaxBytes)
    return makeError(ErrorAnswer{AnswerError::TooLarge,
                                 "the body may have at most " +
                                     std::to_string(MaxBytes) + " bytes"});
  return Length;
}

AnswerResult<std::string> HttpExchange::tryReadBody(uint64_t MaxBytes) {
  auto Length = tryContentLength(MaxBytes);
  if (!Length)
    return makeError(Length.error());
  if (!Budget.tryReserve(*Length))
    return makeError(ErrorAnswer{
        AnswerError::QueueFull, "too many request bodies are in memory",
        NotRun::True, steadyNow() + BodyBudgetRetryDelay});
  ReservedBytes += *Length;
  std::string Body;
  // Takes no memory before the bytes arrive.
  Body.reserve(*Length);
  try {
    if (*Length > 0 && Request.getExpectContinue())
      Response.sendContinue();
    while (Body.size() < *Length) {
      uint64_t Start = Body.size();
      uint64_t Piece = std::min(BodyChunkBytes, *Length - Start);
      Body.resize(Start + Piece);
      int Count = ReadRaw(Body.data() + Start, static_cast<int>(Piece));
      Body.resize(Start + static_cast<uint64_t>(std::max(Count, 0)));
      if (Count <= 0)
        break;
    }
  } catch (const Poco::Exception &) {
    // Reported below as a body that ended early.
  }
  if (Body.size() < *Length)
    return makeError(
        ErrorAnswer{AnswerError::RequestTimeout,
                    "the body is shorter than its announced length"});
  BodyRead = true;
  BodyDone();
  return Body;
}

AnswerResult<std::string> HttpExchange::tryReadFramedBody(uint64_t MaxBytes) {
  if (!Request.has("Transfer-Encoding"))
    return Request.has("Content-Length") ? tryReadBody(MaxBytes)
                                         : AnswerResult<std::string>("");
  bool IsChunked = !Request.has("Content-Length") &&
                   !isRepeated("Transfer-Encoding") &&
                   Request.getChunkedTransferEncoding();
  if (!IsChunked)
    return makeError(
        ErrorAnswer{AnswerError::BadHeader, "the body's framing is ambiguous"});
  return tryReadChunks(MaxBytes);
}

AnswerResult<std::string> HttpExchange::tryReadChunks(uint64_t MaxBytes) {
  // The library's chunked stream takes a malformed size for the end of the body
  // and ends in the same way with the connection.
  BodyFraming Framing{ChunkFraming{}};
  std::string Body;
  std::string Piece(ChunkedPieceBytes, '\0');
  uint64_t Reserved = 0;
  try {
    if (Request.getExpectContinue())
      Response.sendContinue();
    while (!Framing.isComplete()) {
      uint64_t Size = std::min(Framing.safeReadBytes(), ChunkedPieceBytes);
      int Count = ReadRaw(Piece.data(), static_cast<int>(Size));
      if (Count <= 0)
        break;
      std::string_view Raw(Piece.data(), static_cast<size_t>(Count));
      if (auto Decoded = Framing.decode(Raw, Body); !Decoded)
        return makeError(ErrorAnswer{AnswerError::BadHeader,
                                     "the body's chunks are malformed: " +
                                         Decoded.error().Detail});
      if (Body.size() > MaxBytes)
        return makeError(ErrorAnswer{AnswerError::TooLarge,
                                     "the body may have at most " +
                                         std::to_string(MaxBytes) + " bytes"});
      // A string that grows takes up to twice its size.
      uint64_t Added = Body.capacity() - Reserved;
      if (!Budget.tryReserve(Added))
        return makeError(ErrorAnswer{
            AnswerError::QueueFull, "too many request bodies are in memory",
            NotRun::True, steadyNow() + BodyBudgetRetryDelay});
      Reserved += Added;
      ReservedBytes += Added;
    }
  } catch (const Poco::Exception &) {
    // Reported below as a body that ended early.
  }
  if (!Framing.isComplete())
    return makeError(ErrorAnswer{AnswerError::RequestTimeout,
                                 "the body ended before its last chunk"});
  BodyRead = true;
  BodyDone();
  return Body;
}

bool HttpExchange::bodyUnread() const {
  bool HasBody =
      Request.has("Transfer-Encoding") || isRepeated("Content-Length") ||
      (Request.has("Content-Length") && Request.get("Content-Length") != "0");
  return HasBody && !BodyRead;
}

void HttpExchange::setHeader(const std::string &Name,
                             const std::string &Value) {
  Response.set(Name, Value);
}

bool HttpExchange::writeWhole(std::span<const std::string> Body) {
  size_t Size = 0;
  for (const std::string &Block : Body)
    Size += Block.size();
  Response.setContentLength64(static_cast<Poco::Int64>(Size));
  std::ostream &Out = Response.send();
  if (method() != "HEAD")
    for (const std::string &Block : Body)
      Out << Block;
  Out.flush();
  return Out.good();
}

bool HttpExchange::endUnlessWritten(bool Written) {
  // The caller would read the next answer on the connection as the rest of this
  // one.
  if (!Written)
    abort();
  return Written;
}

bool HttpExchange::send(int Status, const std::string &ContentType,
                        const std::string &Body) {
  return sendBlocks(Status, ContentType, {&Body, 1});
}

bool HttpExchange::send(int Status, const std::string &ContentType,
                        const HeldBody &Body) {
  return sendBlocks(Status, ContentType, Body.blocks());
}

bool HttpExchange::sendBlocks(int Status, const std::string &ContentType,
                              std::span<const std::string> Body) {
  try {
    if (bodyUnread())
      Response.setKeepAlive(false);
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    Response.setContentType(ContentType);
    return endUnlessWritten(writeWhole(Body));
  } catch (const Poco::Exception &) {
    return endUnlessWritten(false);
  }
}

bool HttpExchange::sendJson(int Status, const std::string &Body) {
  return send(Status, "application/json", Body);
}

bool HttpExchange::sendError(const ErrorAnswer &Error) {
  Timestamp Now = steadyNow();
  if (auto Seconds = retryAfterSeconds(Error, Now))
    setHeader("Retry-After", std::to_string(*Seconds));
  if (Error.Type == AnswerError::Unauthorized)
    setHeader("WWW-Authenticate", "Bearer");
  return sendJson(httpStatus(Error.Type), errorBody(Error, Now));
}

void HttpExchange::copyHead(const Poco::Net::HTTPResponse &TargetHead) {
  Response.setStatusAndReason(TargetHead.getStatus(), TargetHead.getReason());
  for (const auto &[Name, Value] : TargetHead)
    if (!isConnectionHeader(Name))
      Response.add(Name, Value);
}

bool HttpExchange::sendRelayed(const Poco::Net::HTTPResponse &TargetHead,
                               const HeldBody &Body) {
  try {
    copyHead(TargetHead);
    return endUnlessWritten(writeWhole(Body.blocks()));
  } catch (const Poco::Exception &) {
    return endUnlessWritten(false);
  }
}

void HttpExchange::beginRelayedStream(
    const Poco::Net::HTTPResponse &TargetHead) {
  try {
    copyHead(TargetHead);
    // An answer to HEAD has no body whose end chunks would have to tell.
    Response.setChunkedTransferEncoding(method() != "HEAD");
    Events = &Response.send();
  } catch (const Poco::Exception &) {
    Events = nullptr;
  }
}

void HttpExchange::abort() {
  try {
    Response.setKeepAlive(false);
    Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The caller has already closed the connection.
  }
}

void HttpExchange::beginEvents() {
  try {
    Response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_OK);
    Response.setContentType("text/event-stream");
    Response.set("Cache-Control", "no-store");
    Response.setChunkedTransferEncoding(true);
    Response.setKeepAlive(false);
    Events = &Response.send();
  } catch (const Poco::Exception &) {
    Events = nullptr;
  }
}

bool HttpExchange::writeEvents(const std::string &Text) {
  if (!Events)
    return endUnlessWritten(false);
  if (method() == "HEAD")
    return true;
  try {
    Events->write(Text.data(), static_cast<std::streamsize>(Text.size()));
    Events->flush();
    return endUnlessWritten(Events->good());
  } catch (const Poco::Exception &) {
    return endUnlessWritten(false);
  }
}

uint64_t HttpExchange::callerAddressHash() const {
  try {
    return std::hash<std::string>()(Socket.peerAddress().host().toString());
  } catch (const Poco::Exception &) {
    // The caller has gone.
    return 0;
  }
}

bool HttpExchange::callerGone() const {
  pollfd Poll{Socket.impl()->sockfd(), POLLRDHUP, 0};
  return ::poll(&Poll, 1, 0) > 0;
}

} // namespace ferry::traffic

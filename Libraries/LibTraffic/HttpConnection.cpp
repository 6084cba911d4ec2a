#include "LibTraffic/HttpConnection.h"
#include "LibObserve/Log.h"
#include "LibTraffic/MessageHead.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace ferry::traffic {

using namespace Poco::Net;

/// A caller must take this many bytes within the send limit. A steady caller
/// takes more even at 9,600 bits a second; one that takes single bytes does not
/// occupy a thread for long.
static constexpr int MinSendProgress = 1024;
/// A caller that sends this many bytes of a body is not the one that makes room
/// for others.
static constexpr uint64_t MinBodyProgress = 4ULL << 10;
/// Longest time between two looks at what a slow caller has taken.
static constexpr std::chrono::milliseconds SendCheckPeriod{100};
/// Bytes of a head that need no reservation: the number of connections bounds
/// the sum of these parts.
static constexpr uint64_t FreeHeadBytes = 8ULL << 10;
/// A longer head reserves this much, and then as much as a head may take. Grown
/// in few steps, as what a smaller block took is not free for other heads.
static constexpr uint64_t LongHeadBytes = 24ULL << 10;
/// After which a caller may send a head again for which no memory was left.
static constexpr std::chrono::seconds HeadBudgetRetryDelay{1};
/// Bytes of an answer that the kernel buffers for a slow peer.
static constexpr int SendBufferBytes = 64 << 10;
/// Bytes that the kernel receives ahead of a body with an announced length,
/// whose memory is reserved. Without a limit the kernel's buffer grows with the
/// speed of the caller, up to megabytes.
static constexpr int BodyReceiveBufferBytes = 64 << 10;
/// Largest number of bytes of an unread request body that are discarded before
/// the close. A close with unread bytes would reset the connection, and the
/// caller could lose the answer.
static constexpr int MaxDiscardedBytes = 32 << 20;
/// Longest time for discarding an unread request body.
static constexpr std::chrono::seconds DiscardLimit{2};
/// Longest wait for the next bytes to discard, in milliseconds.
static constexpr int DiscardPollMillis = 10;
static constexpr size_t DiscardBufferBytes = 4 << 10;

uint64_t HttpConnection::maxHeadBytes(uint64_t MaxHeaderBytes) {
  // Beside the target, names and values, which have the limit, a head has
  // separators and line ends, which each field adds. The constant part lets the
  // parser tell which single line is too long.
  return 4 * MaxHeaderBytes + (64ULL << 10);
}

static HTTPServerParams::Ptr makeParams(Duration IdleLimit) {
  HTTPServerParams::Ptr Params(new HTTPServerParams);
  Poco::Timespan Timeout(IdleLimit.count());
  Params->setKeepAliveTimeout(Timeout);
  Params->setTimeout(Timeout);
  return Params;
}

HttpConnection::HttpConnection(const StreamSocket &Connected,
                               ConnectionContext &Context, Duration IdleLimit)
    : Socket(Connected), Context(Context), IdleLimit(IdleLimit),
      Params(makeParams(IdleLimit)),
      Requests(Connected, Params, Context.SendLimit) {
  Socket.setReceiveTimeout(Poco::Timespan(IdleLimit.count()));
  Socket.setSendBufferSize(SendBufferBytes);
  Socket.setNoDelay(true);
}

/// \returns the bytes that were sent and that the peer has not acknowledged.
static int unacknowledgedBytes(int Descriptor) {
  int Bytes = 0;
  return ::ioctl(Descriptor, SIOCOUTQ, &Bytes) == 0 ? Bytes : 0;
}

int HttpConnection::Session::write(const char *Buffer, std::streamsize Length) {
  // The kernel reports a socket as writable only once a third of its buffer is
  // free, which a slow caller takes longer for than its bytes show.
  int Descriptor = socket().impl()->sockfd();
  std::streamsize Sent = 0;
  Timestamp StallAt = steadyNow() + SendLimit;
  int PendingBytes = unacknowledgedBytes(Descriptor);
  while (Sent < Length) {
    ssize_t Count =
        ::send(Descriptor, Buffer + Sent, static_cast<size_t>(Length - Sent),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count > 0) {
      Sent += Count;
      StallAt = steadyNow() + SendLimit;
      PendingBytes = unacknowledgedBytes(Descriptor);
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      throw NetException("the connection has ended", errno);
    Timestamp Now = steadyNow();
    int StillPending = unacknowledgedBytes(Descriptor);
    if (StillPending + MinSendProgress <= PendingBytes) {
      PendingBytes = StillPending;
      StallAt = Now + SendLimit;
    }
    if (Now >= StallAt)
      throw Poco::TimeoutException("the caller takes too little");
    Duration Wait = std::min<Duration>(SendCheckPeriod, StallAt - Now);
    pollfd Polled{Descriptor, POLLOUT, 0};
    ::poll(&Polled, 1, static_cast<int>(Wait.count() / 1000) + 1);
  }
  return static_cast<int>(Sent);
}

void HttpConnection::beginHead() {
  if (Head)
    return;
  Timestamp Now = steadyNow();
  Head.emplace(Context.HeadBudget, Now, Now + Context.HeaderReadLimit());
}

bool HttpConnection::serve() {
  beginHead();
  // The listener checks right after it has handed connections over, and may
  // never find one idle whose head comes in single bytes.
  if (Head->Deadline <= steadyNow())
    return false;
  WatchId = Context.Watch.add(Socket, Head->Deadline);
  Action NextAction = Action::Close;
  try {
    NextAction = serveOne();
    while (NextAction == Action::KeepOpen && Requests.hasBufferedBytes()) {
      beginHead();
      Context.Watch.setDeadline(WatchId, Head->Deadline);
      NextAction = serveOne();
    }
    if (NextAction == Action::DiscardAndClose)
      discardUnread(Discard::CallerEnds);
    if (NextAction == Action::AwaitTakenAndClose)
      discardUnread(Discard::AnswerTaken);
  } catch (const std::exception &) {
    // The peer disconnected. Its request was answered or abandoned.
    NextAction = Action::Close;
  }
  Context.Watch.remove(WatchId);
  return NextAction == Action::KeepOpen;
}

bool HttpConnection::Session::isReadable() const {
  pollfd Polled{const_cast<Session *>(this)->socket().impl()->sockfd(), POLLIN,
                0};
  return ::poll(&Polled, 1, 0) != 0;
}

HttpConnection::Session::HeadEnd
HttpConnection::Session::readHead(PartialHead &Head, uint64_t MaxBytes) {
  std::string &Text = Head.Text;
  char Byte = 0;
  Text.reserve(std::min(MaxBytes, FreeHeadBytes));
  while (Head.SkippedBytes + Text.size() < MaxBytes) {
    if (!hasBufferedBytes() && !isReadable())
      return HeadEnd::Incomplete;
    if (readRaw(&Byte, 1) <= 0)
      return HeadEnd::ConnectionEnded;
    if (Text.size() == Text.capacity()) {
      uint64_t Capacity =
          Text.size() < LongHeadBytes ? LongHeadBytes : MaxBytes;
      if (!Head.Share.tryHold(Capacity - FreeHeadBytes))
        return HeadEnd::NoRoom;
      Text.reserve(Capacity);
    }
    Text += Byte;
    if (Byte != '\n')
      continue;
    std::string_view Line = std::string_view(Text).substr(Head.LineStart);
    bool IsEmpty = Line == "\n" || Line == "\r\n";
    if (IsEmpty && Head.LineStart > 0)
      return HeadEnd::EmptyLine;
    if (IsEmpty) {
      Head.SkippedBytes += Text.size();
      Text.clear();
    }
    Head.LineStart = Text.size();
  }
  return HeadEnd::TooLong;
}

/// \returns the bytes of the target and all fields of \p Request.
static uint64_t headerBytes(const HTTPRequest &Request) {
  uint64_t Bytes = Request.getURI().size();
  for (const auto &[Name, Value] : Request)
    Bytes += Name.size() + Value.size();
  return Bytes;
}

static ErrorAnswer headersTooLarge(uint64_t MaxBytes) {
  return {AnswerError::HeadersTooLarge,
          "the header may have at most " + std::to_string(MaxBytes) + " bytes"};
}

HttpConnection::Action HttpConnection::serveOne() {
  HTTPRequest Request;
  if (auto Ended = readRequest(Request))
    return *Ended;
  HTTPServerResponseImpl Response(Requests);
  return answer(Request, Response);
}

std::optional<HttpConnection::Action>
HttpConnection::readRequest(HTTPRequest &Request) {
  using HeadEnd = Session::HeadEnd;
  HeadEnd End = Requests.readHead(*Head, maxHeadBytes(Context.MaxHeaderBytes));
  if (End == HeadEnd::Incomplete && !Head->isEmpty())
    return Action::KeepOpen;
  std::optional<Action> Next = Action::KeepOpen;
  if (End != HeadEnd::Incomplete)
    Next = parseHead(End, Request);
  Head.reset();
  return Next;
}

std::optional<HttpConnection::Action>
HttpConnection::parseHead(Session::HeadEnd End, HTTPRequest &Request) {
  using HeadEnd = Session::HeadEnd;
  const std::string &Text = Head->Text;
  if (End == HeadEnd::TooLong)
    return rejectHead(headersTooLarge(Context.MaxHeaderBytes));
  if (End == HeadEnd::NoRoom)
    return rejectHead({AnswerError::QueueFull,
                       "too many heads of requests are in memory", NotRun::True,
                       steadyNow() + HeadBudgetRetryDelay});
  if (End == HeadEnd::ConnectionEnded && Text.empty())
    return Action::Close;
  if (auto Parsed = tryParseRequestHead(Text, Request); !Parsed)
    return rejectHead({AnswerError::BadHeader, Parsed.error().Reason});
  return std::nullopt;
}

HttpConnection::Action HttpConnection::answer(HTTPRequest &Request,
                                              HTTPServerResponse &Response) {
  Response.setVersion(Request.getVersion());
  Response.setKeepAlive(Request.getKeepAlive());
  Context.Watch.setDeadline(WatchId, steadyNow() + Context.BodyReadLimit);
  BodyAnnounced = Request.hasContentLength();
  HttpExchange Exchange(
      Request, Response, Socket, Context.Budget,
      [this](char *Buffer, int Size) { return readBody(Buffer, Size); },
      [this] { endBody(); });
  if (Context.Closing)
    Exchange.closeAfterAnswer();
  if (headerBytes(Request) > Context.MaxHeaderBytes)
    Exchange.sendError(headersTooLarge(Context.MaxHeaderBytes));
  else
    Context.HandleRequest(Exchange);
  if (Exchange.bodyUnread())
    return Action::DiscardAndClose;
  bool KeepConnection =
      Response.sent() && Response.getKeepAlive() && Request.getKeepAlive();
  Requests.setKeepAlive(KeepConnection);
  if (KeepConnection)
    return Action::KeepOpen;
  // A caller that did not expect the end may have sent its next request. A
  // close with unread bytes would reset the connection, and the caller could
  // lose the answer.
  return Request.getKeepAlive() ? Action::AwaitTakenAndClose : Action::Close;
}

void HttpConnection::setReceiveBuffer(int Bytes) {
  try {
    Socket.setReceiveBufferSize(Bytes);
  } catch (const Poco::Exception &) {
    // The connection has ended, which the next read tells.
  }
}

int HttpConnection::readBody(char *Buffer, int Size) {
  if (BodyAnnounced && BodyProgress && *BodyProgress >= MinBodyProgress &&
      !ReceivesAhead) {
    ReceivesAhead = true;
    setReceiveBuffer(BodyReceiveBufferBytes);
  }
  if (!BodyProgress || *BodyProgress >= MinBodyProgress) {
    BodyProgress = 0;
    Context.Watch.setAwaitedSince(WatchId, steadyNow());
  }
  int Count = Requests.readRaw(Buffer, Size);
  *BodyProgress += static_cast<uint64_t>(std::max(Count, 0));
  return Count;
}

void HttpConnection::endBody() {
  Context.Watch.setDeadline(WatchId, NeverExpires);
  if (BodyProgress)
    Context.Watch.setAwaitedSince(WatchId, NeverExpires);
  BodyProgress.reset();
  if (std::exchange(ReceivesAhead, false))
    setReceiveBuffer(ReceiveBufferBytes);
}

HttpConnection::Action HttpConnection::rejectHead(const ErrorAnswer &Error) {
  observe::logEvent(
      observe::Severity::Info, "http", "head_rejected",
      {{"error", enumName(Error.Type)}, {"reason", Error.Message}});
  HTTPServerResponseImpl Response(Requests);
  Response.setVersion(HTTPMessage::HTTP_1_1);
  Response.setStatusAndReason(
      static_cast<HTTPResponse::HTTPStatus>(httpStatus(Error.Type)));
  Response.setKeepAlive(false);
  std::string Body = errorBody(Error, steadyNow());
  Response.setContentType("application/json");
  if (auto Seconds = retryAfterSeconds(Error, steadyNow()))
    Response.set("Retry-After", std::to_string(*Seconds));
  Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Response.send() << Body << std::flush;
  return Action::DiscardAndClose;
}

void HttpConnection::discardUnread(Discard Until) {
  Timestamp Deadline = steadyNow() + DiscardLimit;
  Socket.shutdownSend();
  std::array<char, DiscardBufferBytes> Buffer;
  int Discarded = 0;
  while (Discarded < MaxDiscardedBytes && steadyNow() < Deadline) {
    bool Taken = unacknowledgedBytes(Socket.impl()->sockfd()) == 0;
    if (Until == Discard::AnswerTaken && Taken)
      return;
    // The library's poll takes a descriptor more.
    pollfd Polled{Socket.impl()->sockfd(), POLLIN, 0};
    if (::poll(&Polled, 1, DiscardPollMillis) <= 0)
      continue;
    int Count =
        Socket.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
    if (Count <= 0)
      return;
    Discarded += Count;
  }
}

} // namespace ferry::traffic

#include "LibTraffic/TargetConnection.h"
#include "LibTraffic/Json.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <poll.h>

namespace ferry::traffic {

/// Longest wait for a connection.
static constexpr std::chrono::milliseconds ConnectLimit{1000};
/// Receive buffer of the kernel for one answer. Once it is full, a slow caller
/// slows the engine down.
static constexpr int ReceiveBufferBytes = 64 << 10;
/// Bytes read from an answer at a time.
static constexpr std::streamsize PieceBytes = 16 << 10;

static Poco::Timespan timespanUntil(Timestamp Deadline) {
  int64_t Millis = std::max<int64_t>(1, millisUntil(Deadline, steadyNow()));
  return {Millis * 1000};
}

Timestamp WaitLimits::stallTime(Timestamp Now) const {
  if (StallLimit > Deadline - Now)
    return Deadline;
  return Now + StallLimit;
}

TargetConnection::TargetConnection(const Poco::Net::StreamSocket &Socket)
    : Link(Socket) {
  Link.setKeepAlive(false);
}

TargetConnection::~TargetConnection() = default;

LinkResult<std::unique_ptr<TargetConnection>>
TargetConnection::tryConnect(const std::string &Address, Timestamp Deadline) {
  Timestamp Limit = std::min(Deadline, steadyNow() + ConnectLimit);
  try {
    Poco::Net::StreamSocket Socket;
    Poco::Net::SocketAddress Peer(Address);
    Socket.connect(Peer, timespanUntil(Limit));
    Socket.setNoDelay(true);
    Socket.setReceiveBufferSize(ReceiveBufferBytes);
    return std::unique_ptr<TargetConnection>(new TargetConnection(Socket));
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(LinkErrorKind::ConnectFailed,
                          Address + ": " + Failure.displayText());
  }
}

LinkResult<void> TargetConnection::trySend(const std::string &Method,
                                           const std::string &Path,
                                           const HeaderList &Headers,
                                           const std::string &Body,
                                           Timestamp Deadline) {
  try {
    Link.socket().setSendTimeout(timespanUntil(Deadline));
    Poco::Net::HTTPRequest Request(Method, Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.setHost(Link.socket().peerAddress().toString());
    for (const auto &[Name, Value] : Headers)
      Request.add(Name, Value);
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    std::ostream &Out = Link.sendRequest(Request);
    Out.write(Body.data(), static_cast<std::streamsize>(Body.size()));
    Out.flush();
    if (!Out.good())
      return makeTypedError(LinkErrorKind::SendFailed);
    return {};
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(LinkErrorKind::SendFailed, Failure.displayText());
  }
}

bool TargetConnection::hasBufferedBytes() const {
  // The library leaves the line end after a chunk in its buffer. A read would
  // then block for the next chunk without watching the caller's socket. It is
  // safe to poll if the two bytes are data: at least a line end follows them.
  int LineEnd = Body && Response.getChunkedTransferEncoding() ? 2 : 0;
  return Link.buffered() > LineEnd;
}

LinkResult<void> TargetConnection::awaitBytes(const WaitLimits &Limits) {
  if (hasBufferedBytes())
    return {};
  Timestamp StallAt = Limits.stallTime(steadyNow());
  int Descriptor = Link.socket().impl()->sockfd();
  while (true) {
    Timestamp Now = steadyNow();
    if (Now >= Limits.Deadline)
      return makeTypedError(LinkErrorKind::DeadlinePassed);
    if (Now >= StallAt)
      return makeTypedError(LinkErrorKind::Stalled);
    pollfd Polled[2] = {{Descriptor, POLLIN, 0},
                        {Limits.CallerDescriptor, POLLRDHUP, 0}};
    int Millis = static_cast<int>(millisUntil(StallAt, Now)) + 1;
    ::poll(Polled, 2, Millis);
    if (Polled[1].revents != 0)
      return makeTypedError(LinkErrorKind::CallerGone);
    if (Polled[0].revents != 0)
      return {};
  }
}

LinkResult<void> TargetConnection::tryReceiveHead(const WaitLimits &Limits) {
  if (auto Ready = awaitBytes(Limits); !Ready)
    return Ready;
  try {
    // This timeout ends reads from a peer that stops within a header or a
    // chunk.
    Link.socket().setReceiveTimeout(
        timespanUntil(Limits.stallTime(steadyNow())));
    Body = &Link.receiveResponse(Response);
    return {};
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(LinkErrorKind::Broken, Failure.displayText());
  }
}

LinkResult<std::string>
TargetConnection::tryReadPiece(const WaitLimits &Limits) {
  try {
    std::streambuf &Buffer = *Body->rdbuf();
    if (Buffer.in_avail() <= 0) {
      if (auto Ready = awaitBytes(Limits); !Ready)
        return makeError(Ready.error());
      if (Buffer.sgetc() == std::char_traits<char>::eof())
        return std::string();
    }
    std::streamsize Count = std::min(Buffer.in_avail(), PieceBytes);
    std::string Piece(static_cast<size_t>(Count), '\0');
    Buffer.sgetn(Piece.data(), Count);
    return Piece;
  } catch (const Poco::TimeoutException &) {
    return makeTypedError(LinkErrorKind::Stalled);
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(LinkErrorKind::Broken, Failure.displayText());
  }
}

LinkResult<std::string>
TargetConnection::tryReadWhole(uint64_t MaxBytes, const WaitLimits &Limits) {
  std::string Whole;
  bool HasLength = Response.hasContentLength();
  uint64_t Length = MaxBytes;
  try {
    if (HasLength)
      Length = static_cast<uint64_t>(Response.getContentLength64());
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(LinkErrorKind::Broken, Failure.displayText());
  }
  if (Length > MaxBytes)
    return makeTypedError(LinkErrorKind::TooLarge);
  while (!HasLength || Whole.size() < Length) {
    auto Piece = tryReadPiece(Limits);
    if (!Piece)
      return Piece;
    if (Piece->empty())
      break;
    Whole += *Piece;
    if (Whole.size() > MaxBytes)
      return makeTypedError(LinkErrorKind::TooLarge);
  }
  bool IsWhole =
      HasLength ? Whole.size() == Length : tryParseObject(Whole).has_value();
  bool HasNoBody = Response.getStatus() == 204 || Response.getStatus() == 304;
  if (!IsWhole && !(HasNoBody && Whole.empty()))
    return makeTypedError(LinkErrorKind::Incomplete);
  return Whole;
}

std::string TargetConnection::header(const std::string &Name) const {
  return Response.get(Name, "");
}

} // namespace ferry::traffic

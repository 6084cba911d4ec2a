#include "LibTraffic/TargetExchange.h"
#include "LibTraffic/Json.h"
#include "LibTraffic/MessageHead.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace ferry::traffic {

/// A body of this size is sent behind its head in one call. A longer one is not
/// copied, as the memory of bodies is counted once.
static constexpr size_t MaxJoinedBytes = 16 << 10;

/// Longest wait for a connection. Hosts of a deployment are a few milliseconds
/// apart, and the kernel resends a lost first packet only after a second.
/// Another target serves the request in less.
static constexpr std::chrono::milliseconds ConnectLimit{300};
/// Time after which unacknowledged bytes, or bytes that do not fit into a full
/// receive buffer, end the connection, because the target's host or the network
/// has failed. With 2 s, a pause of a target's machine of 3 s ended its running
/// requests.
static constexpr unsigned UserTimeoutMillis = 4000;
/// Seconds without a byte after which the kernel asks the target's host whether
/// the connection still exists. A host without power sends no reset; a target
/// that only takes long is not affected.
static constexpr int KeepAliveSeconds = 1;
static constexpr size_t ReceiveBytes = 16 << 10;
/// Most bytes of all heads of an answer, interim ones included.
static constexpr size_t MaxHeadBytes = 64 << 10;
static constexpr int FirstFinalStatus = 200;
/// Time between the end of a connection and its examination. A kernel closes
/// the sockets of a process one after the other, and a reset follows an end.
static constexpr std::chrono::milliseconds EndSettleTime{10};

Timestamp WaitLimits::stallTime(Timestamp Now) const {
  if (StallLimit > Deadline - Now)
    return Deadline;
  return Now + StallLimit;
}

TargetExchange::TargetExchange(Poco::Net::StreamSocket Socket,
                               std::string Address)
    : Socket(std::move(Socket)), Address(std::move(Address)) {}

TargetExchange::~TargetExchange() = default;

LinkResult<std::unique_ptr<TargetExchange>>
TargetExchange::tryConnect(const std::string &Address,
                           const WaitLimits &Limits) {
  int SocketFailure = 0;
  return tryOpen(Address, Limits, SocketFailure);
}

LinkResult<std::unique_ptr<TargetExchange>>
TargetExchange::tryOpen(const std::string &Address, const WaitLimits &Limits,
                        int &SocketFailure) {
  SocketFailure = 0;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(Poco::Net::SocketAddress(Address));
    Socket.setBlocking(false);
    Socket.setNoDelay(true);
    Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                     static_cast<int>(UserTimeoutMillis));
    Socket.setKeepAlive(true);
    Socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
    Socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
    std::unique_ptr<TargetExchange> Exchange(
        new TargetExchange(Socket, Address));
    WaitLimits ConnectLimits = Limits;
    ConnectLimits.Deadline =
        std::min(Limits.Deadline, steadyNow() + ConnectLimit);
    auto Ready = Exchange->await(Wait::Writable, ConnectLimits);
    if (!Ready && Ready.error().Kind == LinkErrorKind::CallerGone)
      return makeError(Ready.error());
    SocketFailure = Socket.impl()->socketError();
    if (!Ready || SocketFailure != 0)
      return makeTypedError(LinkErrorKind::ConnectFailed,
                            Address + ": error " +
                                std::to_string(SocketFailure));
    return Exchange;
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(LinkErrorKind::ConnectFailed,
                          Address + ": " + Failure.displayText());
  }
}

void TargetExchange::limitReceiveBuffer(int Bytes) {
  try {
    Socket.setReceiveBufferSize(Bytes);
  } catch (const Poco::Exception &) {
    // The connection has ended, which the next call on it reports.
  }
}

LinkResult<TargetExchange::Wait>
TargetExchange::await(Wait Event, const WaitLimits &Limits) {
  Timestamp StallAt = Limits.stallTime(steadyNow());
  short PollEvents = Event == Wait::Writable ? POLLIN | POLLOUT : POLLIN;
  while (true) {
    Timestamp Now = steadyNow();
    if (Now >= Limits.Deadline)
      return makeTypedError(LinkErrorKind::DeadlinePassed);
    if (Now >= StallAt)
      return makeTypedError(LinkErrorKind::Stalled);
    pollfd Polled[2] = {{Socket.impl()->sockfd(), PollEvents, 0},
                        {Limits.CallerDescriptor, POLLRDHUP, 0}};
    ::poll(Polled, 2, static_cast<int>(millisUntil(StallAt, Now)) + 1);
    if (Polled[1].revents != 0)
      return makeTypedError(LinkErrorKind::CallerGone);
    if ((Polled[0].revents & (POLLIN | POLLERR | POLLHUP)) != 0)
      return Wait::Readable;
    if (Polled[0].revents != 0)
      return Wait::Writable;
  }
}

LinkResult<void> TargetExchange::trySend(Poco::Net::HTTPRequest &Head,
                                         const std::string &Body,
                                         const WaitLimits &Limits) {
  std::ostringstream Text;
  Head.write(Text);
  std::string First = Text.str();
  std::string_view Rest = Body;
  if (Body.size() <= MaxJoinedBytes)
    First.append(std::exchange(Rest, {}));
  size_t Sent = 0;
  while (Sent < First.size() + Rest.size()) {
    std::string_view Unsent = Sent < First.size()
                                  ? std::string_view(First).substr(Sent)
                                  : Rest.substr(Sent - First.size());
    // The thread may have been suspended since the caller looked at the clock.
    if (steadyNow() >= Limits.Deadline)
      return makeTypedError(Sent == 0 ? LinkErrorKind::NotSent
                                      : LinkErrorKind::DeadlinePassed,
                            "the deadline passed before the request was sent");
    ssize_t Count = ::send(Socket.impl()->sockfd(), Unsent.data(),
                           Unsent.size(), MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<size_t>(Count);
      continue;
    }
    bool SendBufferFull =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (!SendBufferFull)
      return makeTypedError(LinkErrorKind::SendFailed,
                            "error " + std::to_string(errno));
    auto Ready = await(Wait::Writable, Limits);
    if (!Ready)
      return makeError(Ready.error());
    // The target has answered early and reads no more of the request.
    if (*Ready == Wait::Readable)
      return {};
  }
  RequestSent = true;
  return {};
}

LinkResult<std::string> TargetExchange::tryReceive(const WaitLimits &Limits) {
  std::array<char, ReceiveBytes> Buffer;
  while (true) {
    // Also before bytes that are there: a target that sends without a pause
    // would otherwise hold the request past its deadline.
    if (auto Ready = await(Wait::Readable, Limits); !Ready)
      return makeError(Ready.error());
    ssize_t Count =
        ::recv(Socket.impl()->sockfd(), Buffer.data(), Buffer.size(), 0);
    if (Count >= 0)
      return std::string(Buffer.data(), static_cast<size_t>(Count));
    bool NothingReceived =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (!NothingReceived)
      return makeTypedError(LinkErrorKind::Broken,
                            "error " + std::to_string(errno));
  }
}

LinkResult<void> TargetExchange::tryReceiveHead(const WaitLimits &Limits) {
  size_t HeadBytes = 0;
  while (true) {
    size_t End = Received.find("\r\n\r\n");
    if (End != std::string::npos) {
      HeadBytes += End + 4;
      if (auto Parsed = tryParseHead(End + 4); !Parsed)
        return Parsed;
      // Interim answers are not relayed.
      if (Response.getStatus() >= FirstFinalStatus)
        return {};
      if (HeadBytes <= MaxHeadBytes)
        continue;
    }
    if (HeadBytes + Received.size() > MaxHeadBytes)
      return makeTypedError(LinkErrorKind::Broken,
                            "the head of the answer is too long");
    auto Piece = tryReceive(Limits);
    if (!Piece)
      return makeError(Piece.error());
    if (Piece->empty())
      return makeTypedError(
          LinkErrorKind::Broken,
          "the target closed the connection before it answered");
    Received += *Piece;
  }
}

LinkResult<void> TargetExchange::tryParseHead(size_t HeadBytes) {
  auto Parsed = tryParseAnswerHead(
      std::string_view(Received).substr(0, HeadBytes), Response);
  if (!Parsed)
    return makeTypedError(LinkErrorKind::Broken, Parsed.error().Reason);
  Received.erase(0, HeadBytes);
  auto ParsedFraming = tryReadFraming(Response);
  if (!ParsedFraming)
    return makeTypedError(LinkErrorKind::Broken, ParsedFraming.error().Reason);
  Framing.emplace(std::move(*ParsedFraming));
  return {};
}

LinkResult<std::string> TargetExchange::tryReadPiece(const WaitLimits &Limits) {
  while (true) {
    std::string Body;
    if (auto Decoded = Framing->decode(Received, Body); !Decoded)
      return makeError(Decoded.error());
    Received.clear();
    if (!Body.empty() || Framing->isComplete())
      return Body;
    auto Piece = tryReceive(Limits);
    if (!Piece)
      return Piece;
    if (Piece->empty()) {
      if (Framing->mayEndWithConnection())
        return std::string();
      return makeTypedError(LinkErrorKind::Incomplete);
    }
    Received = std::move(*Piece);
  }
}

bool TargetExchange::wasReset() const {
  int Descriptor = Socket.impl()->sockfd();
  int Failure = 0;
  socklen_t FailureBytes = sizeof Failure;
  if (::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &FailureBytes) ==
          0 &&
      Failure != 0)
    return true;
  // The kernel tells an error once; the state of the connection stays.
  tcp_info Info{};
  socklen_t InfoBytes = sizeof Info;
  return ::getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &InfoBytes) ==
             0 &&
         Info.tcpi_state == TCP_CLOSE;
}

LinkResult<ConnectionEnd>
TargetExchange::tryExamineEnd(const WaitLimits &Limits) {
  auto Found = tryFindEnd(Limits);
  if (!Found)
    return Found;
  End = *Found;
  if (*Found != ConnectionEnd::Confirmed)
    return makeTypedError(LinkErrorKind::Incomplete,
                          std::string(enumName(*Found)));
  return Found;
}

bool TargetExchange::hasRequest() const {
  if (!RequestSent)
    return false;
  int Unacknowledged = 0;
  return ::ioctl(Socket.impl()->sockfd(), SIOCOUTQ, &Unacknowledged) != 0 ||
         Unacknowledged == 0;
}

LinkResult<ConnectionEnd>
TargetExchange::tryFindEnd(const WaitLimits &Limits) const {
  if (!RequestSent)
    return ConnectionEnd::RequestUnsent;
  pollfd Caller{Limits.CallerDescriptor, POLLRDHUP, 0};
  if (::poll(&Caller, 1, static_cast<int>(EndSettleTime.count())) > 0)
    return makeTypedError(LinkErrorKind::CallerGone);
  if (!hasRequest())
    return ConnectionEnd::RequestUnsent;
  if (wasReset())
    return ConnectionEnd::ResetBehind;
  int Failure = 0;
  auto Connected = tryOpen(Address, Limits, Failure);
  if (!Connected && Connected.error().Kind == LinkErrorKind::CallerGone)
    return makeError(Connected.error());
  // Only a process that is there resets a connection that was accepted, as one
  // too many.
  if (Connected || Failure == ECONNRESET)
    return wasReset() ? ConnectionEnd::ResetBehind : ConnectionEnd::Confirmed;
  if (steadyNow() >= Limits.Deadline)
    return makeTypedError(LinkErrorKind::DeadlinePassed);
  return ConnectionEnd::TargetGone;
}

/// Whether \p Body shows its own end: a JSON object or array does, and no JSON
/// text is empty. Other content has no end but that of the connection.
static bool showsOwnEnd(const Poco::Net::HTTPResponse &Head,
                        const HeldBody &Body) {
  std::string Type = Poco::toLower(Head.getContentType());
  Type.resize(std::min(Type.find(';'), Type.size()));
  Poco::trimRightInPlace(Type);
  bool IsJson = Type == "application/json" || Type.ends_with("+json");
  char Start = Body.firstVisible();
  return IsJson && (Start == '{' || Start == '[' || Start == '\0');
}

LinkResult<HeldBody>
TargetExchange::tryReadWhole(uint64_t MaxBytes, const WaitLimits &Limits,
                             const std::function<bool(uint64_t)> &MayHold) {
  HeldBody Whole;
  while (true) {
    auto Piece = tryReadPiece(Limits);
    if (!Piece)
      return makeError(Piece.error());
    if (Piece->empty()) {
      if (framing() != FramingKind::Connection)
        return Whole;
      if (showsOwnEnd(Response, Whole)) {
        if (!isWholeJson(Whole))
          return makeTypedError(LinkErrorKind::Incomplete);
      } else if (auto Found = tryExamineEnd(Limits); !Found) {
        return makeError(Found.error());
      }
      return Whole;
    }
    if (Whole.size() + Piece->size() > MaxBytes)
      return makeTypedError(LinkErrorKind::TooLarge);
    if (!MayHold(Whole.takenWith(Piece->size())))
      return makeTypedError(LinkErrorKind::TooLarge,
                            "too many answers are in memory");
    Whole.append(*Piece);
  }
}

} // namespace ferry::traffic

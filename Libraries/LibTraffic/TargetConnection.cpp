#include "LibTraffic/TargetConnection.h"
#include "LibTraffic/Json.h"
#include <Poco/Net/HTTPRequest.h>
#include <algorithm>

namespace ferry::traffic {

/// Receive buffer of the kernel for one answer. Once it is full, a slow caller
/// slows the engine down.
static constexpr int ReceiveBufferBytes = 64 << 10;
static constexpr std::chrono::milliseconds MinConnectTime{1};

TargetConnection::TargetConnection(std::unique_ptr<TargetExchange> Connected,
                                   std::string Address)
    : Exchange(std::move(Connected)), Address(std::move(Address)) {
  Exchange->limitReceiveBuffer(ReceiveBufferBytes);
}

LinkResult<std::unique_ptr<TargetConnection>>
TargetConnection::tryConnect(const std::string &Address, Timestamp Deadline) {
  // A call that is late is told so by trySend(), not here.
  Timestamp Limit = std::max(Deadline, steadyNow() + MinConnectTime);
  auto Connected = TargetExchange::tryConnect(Address, {Limit});
  if (!Connected)
    return makeError(Connected.error());
  return std::unique_ptr<TargetConnection>(
      new TargetConnection(std::move(*Connected), Address));
}

LinkResult<void> TargetConnection::trySend(const std::string &Method,
                                           const std::string &Path,
                                           const HeaderList &Headers,
                                           const std::string &Body,
                                           Timestamp Deadline) {
  Poco::Net::HTTPRequest Request(Method, Path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(Address);
  for (const auto &[Name, Value] : Headers)
    Request.add(Name, Value);
  Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  return Exchange->trySend(Request, Body, {Deadline});
}

LinkResult<void> TargetConnection::tryReceiveHead(const WaitLimits &Limits) {
  return Exchange->tryReceiveHead(Limits);
}

LinkResult<std::string>
TargetConnection::tryReadPiece(const WaitLimits &Limits) {
  return Exchange->tryReadPiece(Limits);
}

LinkResult<HeldBody>
TargetConnection::tryReadWhole(uint64_t MaxBytes, const WaitLimits &Limits,
                               const std::function<bool(uint64_t)> &MayHold) {
  auto Whole = Exchange->tryReadWhole(MaxBytes, Limits, MayHold);
  if (!Whole)
    return Whole;
  if (Exchange->framing() == FramingKind::Connection && !isWholeObject(*Whole))
    return makeTypedError(LinkErrorKind::Incomplete);
  return Whole;
}

std::string TargetConnection::header(const std::string &Name) const {
  return Exchange->head().get(Name, "");
}

} // namespace ferry::traffic

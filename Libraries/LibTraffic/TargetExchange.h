/// \file
/// One request on one target, relayed byte by byte.
#ifndef FERRY_LIBTRAFFIC_TARGETEXCHANGE_H
#define FERRY_LIBTRAFFIC_TARGETEXCHANGE_H

#include "LibTraffic/BodyFraming.h"
#include "LibTraffic/TargetConnection.h"
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <memory>
#include <optional>

namespace ferry::traffic {

/// A fresh connection for one request. Heads are written and read by the HTTP
/// library; bodies are read here, so that an answer cut short never looks whole
/// and a wait sees the caller's side too.
class TargetExchange {
public:
  /// Connects to "IP:port" before \p Deadline, watching \p CallerDescriptor.
  static LinkResult<std::unique_ptr<TargetExchange>>
  tryConnect(const std::string &Address, const WaitLimits &Limits);
  ~TargetExchange();

  /// Writes the request until it is whole or an answer comes early. After the
  /// call any failure may have sent it.
  LinkResult<void> trySend(Poco::Net::HTTPRequest &Head,
                           const std::string &Body, const WaitLimits &Limits);

  /// Waits for the head of the answer.
  LinkResult<void> tryReceiveHead(const WaitLimits &Limits);

  /// \returns the next piece of the body, "" at its proved end.
  LinkResult<std::string> tryReadPiece(const WaitLimits &Limits);

  /// \returns the whole body, or TooLarge beyond \p MaxBytes.
  LinkResult<std::string> tryReadWhole(uint64_t MaxBytes,
                                       const WaitLimits &Limits);

  const Poco::Net::HTTPResponse &head() const { return Response; }

private:
  explicit TargetExchange(Poco::Net::StreamSocket Socket);
  enum class Wait : uint8_t { Readable, Writable };
  LinkResult<Wait> await(Wait For, const WaitLimits &Limits);
  /// \returns the bytes that have come; "" at the end of the connection.
  LinkResult<std::string> tryReceive(const WaitLimits &Limits);
  LinkResult<void> tryParseHead(size_t HeadBytes);

  Poco::Net::StreamSocket Socket;
  Poco::Net::HTTPResponse Response;
  std::string Received;
  std::optional<BodyFraming> Framing;
};

} // namespace ferry::traffic

#endif

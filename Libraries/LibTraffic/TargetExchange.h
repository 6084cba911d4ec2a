/// \file
/// One request on one target, with its own reading of bodies.
#ifndef FERRY_LIBTRAFFIC_TARGETEXCHANGE_H
#define FERRY_LIBTRAFFIC_TARGETEXCHANGE_H

#include "LibTraffic/BodyFraming.h"
#include "LibTraffic/HeldBody.h"
#include "LibTraffic/TargetLink.h"
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <optional>

namespace ferry::traffic {

/// A new connection for one request. The HTTP library writes and parses the
/// heads. This class reads the bodies, so that a truncated answer never looks
/// whole and every wait also watches the caller's connection.
class TargetExchange {
public:
  /// Connects to "IP:port" within \p Limits.
  static LinkResult<std::unique_ptr<TargetExchange>>
  tryConnect(const std::string &Address, const WaitLimits &Limits);
  ~TargetExchange();

  /// Writes the request until it is complete or an early answer arrives.
  /// \returns NotSent if the deadline passed before the first byte was written.
  /// After any other error the target may have received the request.
  LinkResult<void> trySend(Poco::Net::HTTPRequest &Head,
                           const std::string &Body, const WaitLimits &Limits);

  /// Waits for the head of the answer.
  LinkResult<void> tryReceiveHead(const WaitLimits &Limits);

  /// \returns the next piece of the body, "" once the body is known to be
  /// whole.
  LinkResult<std::string> tryReadPiece(const WaitLimits &Limits);

  /// \returns the whole body; TooLarge beyond \p MaxBytes; Incomplete if its
  /// framing or, where that ends with the connection, its content shows that it
  /// was cut off.
  /// \param MayHold asked before the body takes more memory, with the bytes
  /// that it then takes in all; TooLarge once it denies.
  LinkResult<HeldBody>
  tryReadWhole(uint64_t MaxBytes, const WaitLimits &Limits,
               const std::function<bool(uint64_t)> &MayHold);

  /// Finds out what is known of the end of the connection, once it has ended a
  /// body of FramingKind::Connection.
  /// \returns CallerGone or DeadlinePassed if there is no time for that, and
  /// Incomplete if the answer may not be whole.
  LinkResult<ConnectionEnd> tryExamineEnd(const WaitLimits &Limits);
  /// \returns what was found out; nothing before, or if the body shows its own
  /// end.
  std::optional<ConnectionEnd> connectionEnd() const { return End; }

  const Poco::Net::HTTPResponse &head() const { return Response; }
  /// \returns how the body is framed; only once the head was received.
  FramingKind framing() const { return Framing->kind(); }

  const Poco::Net::StreamSocket &socket() const { return Socket; }

  /// Limits the bytes that the kernel receives ahead.
  void limitReceiveBuffer(int Bytes);

private:
  TargetExchange(Poco::Net::StreamSocket Socket, std::string Address);
  /// \returns the connection, or the error of the socket as ConnectFailed.
  /// \param SocketFailure set to the error number; 0 if there was no answer.
  static LinkResult<std::unique_ptr<TargetExchange>>
  tryOpen(const std::string &Address, const WaitLimits &Limits,
          int &SocketFailure);
  /// Whether the kernel has received a reset.
  bool wasReset() const;
  /// Whether the target's kernel has acknowledged the whole request.
  bool hasRequest() const;
  LinkResult<ConnectionEnd> tryFindEnd(const WaitLimits &Limits) const;
  enum class Wait : uint8_t { Readable, Writable };
  LinkResult<Wait> await(Wait Event, const WaitLimits &Limits);
  /// \returns the received bytes; "" at the end of the connection.
  LinkResult<std::string> tryReceive(const WaitLimits &Limits);
  LinkResult<void> tryParseHead(size_t HeadBytes);

  Poco::Net::StreamSocket Socket;
  const std::string Address;
  bool RequestSent = false;
  Poco::Net::HTTPResponse Response;
  std::string Received;
  std::optional<BodyFraming> Framing;
  std::optional<ConnectionEnd> End;
};

} // namespace ferry::traffic

#endif

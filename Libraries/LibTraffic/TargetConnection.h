/// \file
/// One call to a target, on a connection of its own.
#ifndef FERRY_LIBTRAFFIC_TARGETCONNECTION_H
#define FERRY_LIBTRAFFIC_TARGETCONNECTION_H

#include "LibTraffic/TargetExchange.h"

namespace ferry::traffic {

/// A new connection to a target for one call. Its request is written only once.
/// TargetExchange reads the answer.
class TargetConnection {
public:
  /// Connects to "IP:port" before \p Deadline.
  static LinkResult<std::unique_ptr<TargetConnection>>
  tryConnect(const std::string &Address, Timestamp Deadline);

  /// Writes a whole request. Even if this fails, the target may have received
  /// it.
  LinkResult<void> trySend(const std::string &Method, const std::string &Path,
                           const HeaderList &Headers, const std::string &Body,
                           Timestamp Deadline);

  /// Waits for the head of the answer.
  LinkResult<void> tryReceiveHead(const WaitLimits &Limits);

  /// \returns the next piece of the body, "" at its end.
  LinkResult<std::string> tryReadPiece(const WaitLimits &Limits);

  /// Reads the whole body. \returns TooLarge beyond \p MaxBytes; Incomplete if
  /// its framing is, or if it ends with its connection and is no whole JSON
  /// object.
  /// \param MayHold see TargetExchange::tryReadWhole().
  LinkResult<HeldBody>
  tryReadWhole(uint64_t MaxBytes, const WaitLimits &Limits,
               const std::function<bool(uint64_t)> &MayHold);

  int status() const { return head().getStatus(); }
  const Poco::Net::HTTPResponse &head() const { return Exchange->head(); }
  /// \returns the answer's header \p Name, or "" if it is absent.
  std::string header(const std::string &Name) const;

private:
  TargetConnection(std::unique_ptr<TargetExchange> Connected,
                   std::string Address);

  std::unique_ptr<TargetExchange> Exchange;
  std::string Address;
};

} // namespace ferry::traffic

#endif

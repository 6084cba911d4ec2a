/// \file
/// Messages between this host and all hosts, itself included.
#ifndef FERRY_FERRYD_HOSTLINK_H
#define FERRY_FERRYD_HOSTLINK_H

#include "LibConfig/Settings.h"
#include "LibWire/Codec.h"
#include "LibWire/PeerTransport.h"
#include "ferryd/StartError.h"
#include <functional>
#include <map>
#include <memory>

namespace ferry::daemon {

/// Sends payloads to hosts by id. A message to this host itself is delivered
/// from the loop, never within send(). All calls are made on the control
/// thread.
class HostLink {
public:
  using Receiver = std::function<void(
      const HostId &From, wire::PayloadKind::type, const std::string &Payload)>;

  /// Listens for peers.
  /// \param Incarnation of this process, sent with each message.
  /// \param Receive called on the control thread for each payload.
  static Result<std::unique_ptr<HostLink>, StartError>
  tryStart(const config::Settings &Settings, ferry::Incarnation Incarnation,
           ControlLoop &Loop, Receiver Receive);

  /// Sends \p Message to \p To; it may be lost.
  template <typename MessageType>
  void send(const HostId &To, wire::PayloadKind::type Kind,
            const MessageType &Message) {
    sendBytes(To, Kind, wire::encode(Message));
  }

  /// Sends an encoded payload; it may be lost.
  void sendBytes(const HostId &To, wire::PayloadKind::type Kind,
                 std::string Payload);

  const wire::PeerTransport &transport() const { return *Transport; }
  /// Payloads of one kind to and from other hosts.
  struct KindCount {
    uint64_t BytesSent = 0;
    uint64_t BytesReceived = 0;
  };
  const std::map<wire::PayloadKind::type, KindCount> &kinds() const {
    return Kinds;
  }
  /// \returns how many payloads could not be decoded.
  uint64_t malformedPayloads() const { return Malformed; }
  void countMalformed() { ++Malformed; }

private:
  HostLink(HostId Self, ControlLoop &Loop, Receiver Receive);

  HostId Self;
  ControlLoop &Loop;
  Receiver Receive;
  std::unique_ptr<wire::PeerTransport> Transport;
  std::map<wire::PayloadKind::type, KindCount> Kinds;
  uint64_t Malformed = 0;
};

} // namespace ferry::daemon

#endif

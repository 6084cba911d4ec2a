/// \file
/// One connection between two hosts: handshake, frames, bounded sending.
#ifndef FERRY_LIBWIRE_PEERCONNECTION_H
#define FERRY_LIBWIRE_PEERCONNECTION_H

#include "LibCore/ControlLoop.h"
#include "LibWire/FrameReader.h"
#include "LibWire/Generated/Peer_types.h"
#include "LibWire/Handshake.h"
#include <Poco/Net/StreamSocket.h>
#include <functional>

namespace ferry::wire {

/// Bytes that a connection has moved, for metrics.
struct TrafficCount {
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  uint64_t FramesSent = 0;
  uint64_t FramesReceived = 0;
};

/// A non-blocking connection on the control thread. Envelopes go from the
/// connector to the acceptor only.
class PeerConnection {
public:
  struct Hooks {
    /// An envelope of a proven peer has come.
    std::function<void(const HostId &, Envelope)> Received;
    /// The connection is of no more use; runs at most once. The owner must not
    /// destroy the connection within it.
    std::function<void(WireError)> Closed;
    /// \returns whether the host is one of the cluster's.
    std::function<bool(const HostId &)> Knows;
  };

  /// \param Socket connected, or connecting without blocking.
  /// \param Expected the peer's id where the connector knows it.
  PeerConnection(ControlLoop &Loop, const PeerIdentity &Identity,
                 Poco::Net::StreamSocket Socket, ConnectionSide Side,
                 HostId Expected, uint64_t MaxFrameBytes, TrafficCount &Count,
                 Hooks Calls);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Queues an envelope; it leaves once the peer is proven.
  /// \returns WireErrorKind::TooLarge if the queue has no room for it.
  Result<void, WireError> trySend(const Envelope &Message);

  /// Closes a connection whose handshake or sending makes no progress.
  void checkProgress(Timestamp Now);

private:
  enum class Phase : uint8_t { AwaitingHello, AwaitingProof, Proven, Closed };

  void start();
  void onReady();
  void receiveSome();
  void flushSome();
  void updateWatch();
  void handleFrames();
  Result<void, WireError> tryHandleFrame(const std::string &Body);
  Result<void, WireError> tryHandleHello(const std::string &Body);
  Result<void, WireError> tryHandleProof(const std::string &Body);
  Result<void, WireError> tryHandleEnvelope(const std::string &Body);
  void sendHello();
  void sendProof();
  void becomeProven();
  void queueFrame(std::string_view Body);
  void close(WireError Reason);

  ControlLoop &Loop;
  const PeerIdentity &Identity;
  Poco::Net::StreamSocket Socket;
  int Descriptor;
  ConnectionSide Side;
  HostId Peer;
  FrameReader Reader;
  TrafficCount &Count;
  Hooks Calls;
  Phase State = Phase::AwaitingHello;
  std::string OwnNonce;
  std::string PeerNonce;
  /// Frames that wait for the end of the handshake.
  std::string Held;
  std::string Outbound;
  size_t OutboundSent = 0;
  /// The connection is closed if nothing moves until then.
  Timestamp ProgressDeadline;
};

} // namespace ferry::wire

#endif

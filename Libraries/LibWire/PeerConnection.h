/// \file
/// One connection between two hosts: handshake, frames and a bounded send
/// queue.
#ifndef FERRY_LIBWIRE_PEERCONNECTION_H
#define FERRY_LIBWIRE_PEERCONNECTION_H

#include "LibCore/ControlLoop.h"
#include "LibWire/FrameReader.h"
#include "LibWire/Generated/Peer_types.h"
#include "LibWire/Handshake.h"
#include <Poco/Net/StreamSocket.h>
#include <functional>

namespace ferry::wire {

/// Bytes and frames sent and received, for metrics.
struct TrafficCount {
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
  uint64_t FramesSent = 0;
  uint64_t FramesReceived = 0;
};

/// A non-blocking connection on the control thread. Envelopes flow only from
/// the connector to the acceptor.
class PeerConnection {
public:
  struct Hooks {
    /// Receives each envelope from an authenticated peer.
    std::function<void(const HostId &, Envelope)> Received;
    /// Called at most once, when the connection has been closed. The owner must
    /// not destroy the connection within the call.
    std::function<void(WireError)> Closed;
    /// \returns whether the host may belong to the cluster.
    std::function<bool(const HostId &)> IsClusterHost;
  };

  /// \param Socket a connected socket, or one that connects without blocking.
  /// \param Expected the peer's id on the connector's side; empty on the
  /// acceptor's.
  PeerConnection(ControlLoop &Loop, const PeerIdentity &Identity,
                 Poco::Net::StreamSocket Socket, ConnectionSide Side,
                 HostId Expected, uint64_t MaxFrameBytes, TrafficCount &Count,
                 Hooks Callbacks);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Queues an envelope; it is sent once the peer is authenticated.
  /// \returns WireErrorKind::TooLarge if the queue has no room for it.
  Result<void, WireError> trySend(const Envelope &Message);

  /// Closes the connection if its handshake or sending makes no progress.
  void checkProgress(Timestamp Now);

private:
  enum class Phase : uint8_t {
    AwaitingHello,
    AwaitingProof,
    Authenticated,
    Closed
  };

  void start();
  void onReady();
  void receiveAvailable();
  void flushOutbound();
  void updateWatch();
  void handleFrames();
  Result<void, WireError> tryHandleFrame(const std::string &Body);
  Result<void, WireError> tryHandleHello(const std::string &Body);
  Result<void, WireError> tryHandleProof(const std::string &Body);
  Result<void, WireError> tryHandleEnvelope(const std::string &Body);
  void sendHello();
  void sendProof();
  void finishHandshake();
  void queueFrame(std::string_view Body);
  void close(WireError Reason);

  ControlLoop &Loop;
  const PeerIdentity &Identity;
  Poco::Net::StreamSocket Socket;
  int Descriptor;
  ConnectionSide Side;
  HostId Peer;
  /// Of an authenticated peer.
  uint64_t MaxFrameBytes;
  FrameReader Reader;
  TrafficCount &Count;
  Hooks Callbacks;
  Phase State = Phase::AwaitingHello;
  std::string OwnNonce;
  std::string PeerNonce;
  /// Encoded frames that wait for the end of the handshake.
  std::string PendingFrames;
  std::string Outbound;
  size_t OutboundSent = 0;
  /// Time by which the handshake must end or queued bytes must be sent.
  Timestamp ProgressDeadline;
};

} // namespace ferry::wire

#endif

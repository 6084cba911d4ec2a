/// \file
/// Sends and receives envelopes between the system's hosts over TCP.
#ifndef FERRY_LIBWIRE_PEERTRANSPORT_H
#define FERRY_LIBWIRE_PEERTRANSPORT_H

#include "LibWire/PeerConnection.h"
#include <Poco/Net/ServerSocket.h>
#include <map>
#include <memory>

namespace ferry::wire {

/// The addresses of hosts, and the limits of the transport.
struct TransportOptions {
  PeerIdentity Identity;
  /// "IP:port" that this host listens on.
  std::string ListenAddress;
  /// "IP:port" of each other host.
  std::map<HostId, std::string> Peers;
  /// \returns the "IP:port" of a host that Peers does not list. Set only if
  /// hosts are discovered; then every host that knows the cluster's key is
  /// accepted.
  std::function<std::string(const HostId &)> ResolveAddress;
  uint64_t MaxFrameBytes = 64ULL << 20;
};

/// Sends messages without a guarantee of delivery: a message is lost if its
/// connection ends, and dropped while the peer cannot be reached. Messages keep
/// their order only within a connection. All calls are made on the control
/// thread.
class PeerTransport {
public:
  struct Hooks {
    /// Receives each envelope and its sender.
    std::function<void(const HostId &, Envelope)> Received;
    /// Called when a connection has ended or a message to the host was dropped.
    /// The id is empty for incoming connections.
    std::function<void(const HostId &, const WireError &)> Failed;
  };

  /// Listens for peers; connections to them are opened on demand.
  /// \returns the transport; WireErrorKind::BadAddress, or Disconnected if it
  /// cannot listen.
  static Result<std::unique_ptr<PeerTransport>, WireError>
  tryStart(TransportOptions Options, ControlLoop &Loop, Hooks Callbacks);
  ~PeerTransport();

  /// Sends \p Payload to \p To, and connects first if needed.
  void send(const HostId &To, GroupId Group, PayloadKind::type Kind,
            std::string Payload);

  const TrafficCount &traffic() const { return Count; }
  /// \returns how many messages could not be queued for their peer.
  uint64_t droppedMessages() const { return Dropped; }

private:
  /// The connection to one peer, and when a new one may be tried.
  struct Outgoing {
    Poco::Net::SocketAddress Address;
    std::unique_ptr<PeerConnection> Connection;
    Timestamp RetryAt;
  };

  PeerTransport(TransportOptions Options, ControlLoop &Loop, Hooks Callbacks);
  Result<void, WireError> tryListen();
  Result<void, WireError> tryResolvePeers();
  Outgoing *findPeer(const HostId &Host);
  void acceptPeer();
  bool connectTo(const HostId &To, Outgoing &Entry);
  void drop(const HostId &To, WireError Reason);
  void onIncomingClosed(uint64_t Key, const WireError &Reason);
  void onOutgoingClosed(const HostId &To, const WireError &Reason);
  void destroyLater(std::unique_ptr<PeerConnection> Connection);
  void scheduleCheck();
  PeerConnection::Hooks hooksFor(std::function<void(WireError)> Closed);

  TransportOptions Options;
  ControlLoop &Loop;
  Hooks Callbacks;
  Poco::Net::ServerSocket Listener;
  std::map<HostId, Outgoing> Connections;
  std::map<uint64_t, std::unique_ptr<PeerConnection>> Incoming;
  uint64_t NextIncoming = 0;
  TrafficCount Count;
  uint64_t Dropped = 0;
  ControlLoop::TimerId CheckTimer;
};

} // namespace ferry::wire

#endif

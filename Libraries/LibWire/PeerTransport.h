/// \file
/// Sends and receives envelopes between the system's hosts over TCP.
#ifndef FERRY_LIBWIRE_PEERTRANSPORT_H
#define FERRY_LIBWIRE_PEERTRANSPORT_H

#include "LibWire/PeerConnection.h"
#include <Poco/Net/ServerSocket.h>
#include <map>
#include <memory>

namespace ferry::wire {

/// Where the system's hosts listen for each other.
struct TransportOptions {
  PeerIdentity Identity;
  /// "IP:port" that this host listens on.
  std::string ListenAddress;
  /// "IP:port" of each other host.
  std::map<HostId, std::string> Peers;
  /// Where hosts that Peers does not list listen, if they are discovered; then
  /// every host that shows the cluster's key is accepted.
  std::function<std::string(const HostId &)> AddressOf;
  uint64_t MaxFrameBytes = 64ULL << 20;
};

/// Unreliable, unordered across reconnects: a message is lost with its
/// connection, and dropped while the peer cannot be reached. All calls on the
/// control thread.
class PeerTransport {
public:
  struct Hooks {
    std::function<void(const HostId &, Envelope)> Received;
    /// A connection ended, or a message to the host was dropped.
    std::function<void(const HostId &, const WireError &)> Failed;
  };

  /// Listens and starts to connect on demand.
  /// \returns WireErrorKind::BadAddress or Disconnected if it cannot listen.
  static Result<std::unique_ptr<PeerTransport>, WireError>
  tryStart(TransportOptions Options, ControlLoop &Loop, Hooks Calls);
  ~PeerTransport();

  /// Sends \p Payload to \p To, connecting first if needed.
  void send(const HostId &To, GroupId Group, PayloadKind::type Kind,
            std::string Payload);

  const TrafficCount &traffic() const { return Count; }
  uint64_t droppedMessages() const { return Dropped; }

private:
  /// The connection to one peer, and when to try the next.
  struct Outgoing {
    Poco::Net::SocketAddress Address;
    std::unique_ptr<PeerConnection> Connection;
    Timestamp RetryAt;
  };

  PeerTransport(TransportOptions Options, ControlLoop &Loop, Hooks Calls);
  Result<void, WireError> tryListen();
  Result<void, WireError> tryResolvePeers();
  Outgoing *findPeer(const HostId &Host);
  void acceptSome();
  bool connectTo(const HostId &To, Outgoing &Entry);
  void drop(const HostId &To, WireError Reason);
  void onIncomingClosed(uint64_t Key, const WireError &Reason);
  void onOutgoingClosed(const HostId &To, const WireError &Reason);
  void retire(std::unique_ptr<PeerConnection> Connection);
  void scheduleCheck();
  PeerConnection::Hooks hooksFor(std::function<void(WireError)> Closed);

  TransportOptions Options;
  ControlLoop &Loop;
  Hooks Calls;
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

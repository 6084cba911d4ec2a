/// \file
/// Proofs by which two hosts show each other that they know the cluster's key.
#ifndef FERRY_LIBWIRE_HANDSHAKE_H
#define FERRY_LIBWIRE_HANDSHAKE_H

#include "LibCore/Ids.h"
#include <string>
#include <string_view>

namespace ferry::wire {

/// Which side opened a connection. Part of each proof, so that a proof cannot
/// be sent back to the host that made it.
enum class ConnectionSide : uint8_t { Connector, Acceptor };

/// Who a host is, and the key that it shares with its peers.
struct PeerIdentity {
  ClusterId Cluster;
  HostId Host;
  ferry::Incarnation Incarnation;
  std::string ClusterKey;
};

/// Bytes of a nonce.
inline constexpr size_t NonceBytes = 16;

/// \returns NonceBytes random bytes from the operating system.
std::string makeNonce();

/// \returns the HMAC-SHA256 by the cluster's key over the side, \p PeerNonce
/// and \p Prover.
std::string makeProof(std::string_view ClusterKey, ConnectionSide Side,
                      std::string_view PeerNonce, const HostId &Prover);

} // namespace ferry::wire

#endif

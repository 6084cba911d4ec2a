/// \file
/// Proofs with which two hosts authenticate each other by the cluster's key.
#ifndef FERRY_LIBWIRE_HANDSHAKE_H
#define FERRY_LIBWIRE_HANDSHAKE_H

#include "LibCore/Ids.h"
#include <string>
#include <string_view>

namespace ferry::wire {

/// The side of a connection that a host is on. It is part of each proof, so
/// that a proof cannot be reflected to the host that made it.
enum class ConnectionSide : uint8_t { Connector, Acceptor };

/// The identity of a host, and the key that it shares with its peers.
struct PeerIdentity {
  ClusterId Cluster;
  HostId Host;
  ferry::Incarnation Incarnation;
  std::string ClusterKey;
};

inline constexpr size_t NonceBytes = 16;

/// \returns NonceBytes random bytes from the operating system.
std::string makeNonce();

/// \returns the HMAC-SHA256 with the cluster's key over \p Side, \p PeerNonce
/// and \p Prover.
std::string makeProof(std::string_view ClusterKey, ConnectionSide Side,
                      std::string_view PeerNonce, const HostId &Prover);

} // namespace ferry::wire

#endif

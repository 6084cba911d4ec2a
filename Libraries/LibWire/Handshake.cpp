#include "LibWire/Handshake.h"
#include "LibCore/Random.h"
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace ferry::wire {

/// SHA-256 with the constants that POCO's HMAC template requires.
class Sha256Engine : public Poco::SHA2Engine {
public:
  // The template requires these names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  enum : uint8_t { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
  Sha256Engine() : SHA2Engine(SHA_256) {}
};

std::string makeNonce() {
  std::string Nonce;
  while (Nonce.size() < NonceBytes) {
    uint64_t Word = systemSeed();
    Nonce.append(reinterpret_cast<const char *>(&Word), sizeof(Word));
  }
  return Nonce;
}

std::string makeProof(std::string_view ClusterKey, ConnectionSide Side,
                      std::string_view PeerNonce, const HostId &Prover) {
  Poco::HMACEngine<Sha256Engine> Engine(ClusterKey.data(), ClusterKey.size());
  Engine.update(static_cast<char>(Side));
  Engine.update(PeerNonce.data(), PeerNonce.size());
  Engine.update(Prover.Value);
  const Poco::DigestEngine::Digest &Digest = Engine.digest();
  return std::string(Digest.begin(), Digest.end());
}

} // namespace ferry::wire

#include "LibWire/Handshake.h"
#include "LibCore/Random.h"
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace ferry::wire {

/// SHA-256 with the sizes that POCO's HMAC template asks for.
class Sha256Engine : public Poco::SHA2Engine {
public:
  // The template asks for these names.
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

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (size_t Index = 0; Index < Left.size(); ++Index)
    Difference |= static_cast<unsigned char>(Left[Index] ^ Right[Index]);
  return Difference == 0;
}

} // namespace ferry::wire

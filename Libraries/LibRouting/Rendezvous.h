/// \file
/// Rendezvous hashing: all hosts rank the same candidates in the same order
/// without exchanging messages.
#ifndef FERRY_LIBROUTING_RENDEZVOUS_H
#define FERRY_LIBROUTING_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace ferry::routing {

/// \returns the hash of an identifier, equal on every host.
uint64_t hashIdentifier(std::string_view Identifier);

/// \returns the rendezvous weight for \p Key of the candidate whose identifier
/// has the hash \p Candidate; the greatest weight ranks first.
constexpr uint64_t rendezvousWeight(uint64_t Candidate, uint64_t Key) {
  // The finalizer of SplitMix64.
  uint64_t Mixed = Candidate ^ (Key * 0x9E3779B97F4A7C15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace ferry::routing

#endif

/// \file
/// Digests that stand for claim keys and operation ids, and stamps of keys.
#ifndef FERRY_LIBREGISTRY_KEYDIGEST_H
#define FERRY_LIBREGISTRY_KEYDIGEST_H

#include "LibRegistry/Outcomes.h"
#include <optional>
#include <string_view>

namespace ferry::registry {

/// 127 bits of a hash; the lowest bit of Low is always clear.
struct Digest {
  uint64_t High = 0;
  uint64_t Low = 0;
  auto operator<=>(const Digest &) const = default;
};

/// Hash functor for unordered containers.
struct DigestHash {
  size_t operator()(const Digest &Value) const { return Value.High; }
};

/// \returns the digest of all parts of \p Key.
Digest digestOf(const ClaimKey &Key);

/// \returns the digest of \p Text.
Digest digestOf(std::string_view Text);

/// \returns 64 bits of a hash of \p Text.
uint64_t shortDigestOf(std::string_view Text);

/// \returns the time in a key of the form "t<unix-milliseconds>-...", else
/// nothing.
std::optional<UnixMillis> stampOf(std::string_view Key);

} // namespace ferry::registry

#endif

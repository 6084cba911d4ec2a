/// \file
/// Digests of claim keys and operation ids, and time stamps in claim keys.
#ifndef FERRY_LIBREGISTRY_KEYDIGEST_H
#define FERRY_LIBREGISTRY_KEYDIGEST_H

#include "LibRegistry/Outcomes.h"
#include <optional>
#include <string_view>

namespace ferry::registry {

/// 127 bits of a hash. The lowest bit of Low is clear; TombstoneSet uses it.
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

/// \returns the time stamp in a key of the form "t<unix-milliseconds>-...", or
/// nothing if the key has another form.
std::optional<UnixMillis> stampOf(std::string_view Key);

} // namespace ferry::registry

#endif

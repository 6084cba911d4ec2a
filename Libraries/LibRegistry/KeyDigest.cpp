#include "LibRegistry/KeyDigest.h"
#include <charconv>
#include <xxhash.h>

namespace ferry::registry {

/// Different seeds, so that a key and a text with equal bytes have different
/// digests.
static constexpr uint64_t KeySeed = 0x636c61696d;
static constexpr uint64_t TextSeed = 0x74657874;
/// Time stamps with more digits lie beyond the year 33,000.
static constexpr size_t MaxStampDigits = 15;

static Digest hashOf(std::string_view Bytes, uint64_t Seed) {
  XXH128_hash_t Hash = XXH3_128bits_withSeed(Bytes.data(), Bytes.size(), Seed);
  return {Hash.high64, Hash.low64 & ~uint64_t{1}};
}

static void appendPart(std::string &Bytes, const std::string &Part) {
  // The length before each part makes ("ab", "c") differ from ("a", "bc").
  Bytes.append(std::to_string(Part.size())).append(":").append(Part);
}

Digest digestOf(const ClaimKey &Key) {
  std::string Bytes;
  appendPart(Bytes, Key.Workspace.Value);
  appendPart(Bytes, Key.Service.Value);
  appendPart(Bytes, Key.Key);
  return hashOf(Bytes, KeySeed);
}

Digest digestOf(std::string_view Text) { return hashOf(Text, TextSeed); }

uint64_t shortDigestOf(std::string_view Text) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), TextSeed);
}

std::optional<UnixMillis> stampOf(std::string_view Key) {
  size_t End = Key.find('-');
  if (Key.empty() || Key.front() != 't' || End == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Key.substr(1, End - 1);
  if (Digits.empty() || Digits.size() > MaxStampDigits)
    return std::nullopt;
  if (Digits.find_first_not_of("0123456789") != std::string_view::npos)
    return std::nullopt;
  UnixMillis Stamp;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Stamp.Value);
  return Stamp;
}

} // namespace ferry::registry

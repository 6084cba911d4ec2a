/// \file
/// A compact set of digests of keys whose calls must never run again.
#ifndef FERRY_LIBREGISTRY_TOMBSTONESET_H
#define FERRY_LIBREGISTRY_TOMBSTONESET_H

#include "LibRegistry/KeyDigest.h"
#include <vector>

namespace ferry::registry {

/// Why a key's call never runs again.
enum class TombstoneKind : uint8_t {
  /// It ran, and its answer is no longer kept.
  Answered,
  /// It may have run.
  Unknown
};

/// An insert-only hash set of 16 bytes a place, with linear probing.
class TombstoneSet {
public:
  /// Adds \p Key; the kind of a key that is present stays.
  void insert(const Digest &Key, TombstoneKind Kind);

  /// \returns the kind under which \p Key was added, or nothing.
  std::optional<TombstoneKind> find(const Digest &Key) const;

  size_t size() const { return Count; }
  /// Bytes of the places, used and free.
  size_t capacityBytes() const { return Places.size() * sizeof(Digest); }

  /// \returns the entries as 16 bytes each, in rising order.
  std::string encode() const;

  /// \returns the set of encode()'s bytes, or nothing if they are malformed.
  static std::optional<TombstoneSet> tryDecode(std::string_view Bytes);

private:
  size_t placeOf(const Digest &Key) const;
  void grow();

  // The lowest bit of Low holds the kind; an all-zero place is free.
  std::vector<Digest> Places;
  size_t Count = 0;
};

} // namespace ferry::registry

#endif

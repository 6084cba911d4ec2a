/// \file
/// A compact set of digests of keys whose calls must never run again.
#ifndef FERRY_LIBREGISTRY_TOMBSTONESET_H
#define FERRY_LIBREGISTRY_TOMBSTONESET_H

#include "LibRegistry/KeyDigest.h"
#include <vector>

namespace ferry::registry {

/// Why a key's call must never run again.
enum class TombstoneKind : uint8_t {
  /// The call ran, and its answer is no longer kept.
  Answered,
  /// The call may have run.
  Unknown
};

/// An insert-only hash set with linear probing and slots of 16 bytes.
class TombstoneSet {
public:
  /// Adds \p Key. If it is present, its kind does not change.
  void insert(const Digest &Key, TombstoneKind Kind);

  /// \returns the kind under which \p Key was added, or nothing.
  std::optional<TombstoneKind> find(const Digest &Key) const;

  size_t size() const { return Count; }
  /// \returns the size of all slots, used and empty, in bytes.
  size_t capacityBytes() const { return Slots.size() * sizeof(Digest); }

  /// \returns the entries in ascending order, 16 bytes each.
  std::string encode() const;

  /// Decodes the result of encode().
  /// \returns the set, or nothing if the bytes are malformed.
  static std::optional<TombstoneSet> tryDecode(std::string_view Bytes);

private:
  size_t slotOf(const Digest &Key) const;
  void grow();

  // The lowest bit of Low holds the kind. An empty slot is all zero.
  std::vector<Digest> Slots;
  size_t Count = 0;
};

} // namespace ferry::registry

#endif

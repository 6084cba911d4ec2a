/// \file
/// The accepted description and the operations that led to it.
#ifndef FERRY_LIBREGISTRY_DESCRIPTIONHISTORY_H
#define FERRY_LIBREGISTRY_DESCRIPTIONHISTORY_H

#include "LibRegistry/Commands.h"
#include "LibRegistry/KeyDigest.h"
#include <deque>
#include <unordered_map>

namespace ferry::wire {
class RegistrySnapshot;
} // namespace ferry::wire

namespace ferry::registry {

/// Decides operators' changes of the description. Part of the replicated state
/// machine.
///
/// Digests of the newest operations are kept, so that a resend gets the first
/// answer. A resend of an older operation can't be accepted twice either: the
/// current number has risen above its base, so it gets a ChangeConflict.
class DescriptionHistory {
public:
  static constexpr size_t DefaultMaxOperations = 65'536;

  /// \param MaxOperations how many operations' digests are kept; equal on all
  /// replicas.
  explicit DescriptionHistory(size_t MaxOperations = DefaultMaxOperations);

  /// Accepts the change if it is based on the current number.
  ChangeOutcome apply(const ChangeDescription &Change);
  /// \returns the outcome of a change that is applied already or was refused
  /// for ever; nothing for a new one.
  std::optional<ChangeOutcome> settled(const ChangeDescription &Change) const;
  std::optional<ChangeOutcome> settled(const ReplaceDescription &Change) const;

  /// Puts the description in force if its number is greater than the current
  /// one. An equal number with another text is a conflict. A lower number
  /// counts as accepted, because a later description is in force already.
  ChangeOutcome apply(const ReplaceDescription &Change);

  const StoredDescription &current() const { return Current; }
  size_t operationCount() const { return Order.size(); }

  void save(wire::RegistrySnapshot &Snapshot) const;
  void load(const wire::RegistrySnapshot &Snapshot);

private:
  struct Operation {
    uint64_t TextDigest = 0;
    /// The number that the operation was accepted under; 0 if it was refused.
    DescriptionNumber Number;
  };

  ChangeConflict conflict() const;
  void rememberOperation(const Digest &Id, Operation Added);

  size_t MaxOperations;
  StoredDescription Current;
  SharedCache Cache;
  std::unordered_map<Digest, Operation, DigestHash> Operations;
  /// Keys of Operations, the oldest first.
  std::deque<Digest> Order;
};

} // namespace ferry::registry

#endif

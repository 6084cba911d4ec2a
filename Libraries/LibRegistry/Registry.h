/// \file
/// The replicated state machine: description, claim ledger, order leases,
/// leaves of targets.
#ifndef FERRY_LIBREGISTRY_REGISTRY_H
#define FERRY_LIBREGISTRY_REGISTRY_H

#include "LibRegistry/ClaimLedger.h"
#include "LibRegistry/DescriptionHistory.h"
#include "LibRegistry/OrderLeases.h"
#include <map>

namespace ferry::registry {

/// A version of weights that was named for a model.
struct NamedVersion {
  WeightsVersion Weights;
  /// See NameWeights::NamedAt. That of an earlier version which is not kept, if
  /// there is one.
  UnixMillis NamedAt;
  bool operator==(const NamedVersion &) const = default;
};

/// Applies the committed commands of one log in order. It is deterministic and
/// reads no clock: equal logs give equal states, replies and snapshots.
class Registry {
public:
  /// \param Limits limits of the claim ledger; equal on all replicas of one
  /// log.
  explicit Registry(LedgerLimits Limits = {});

  /// Applies the command at \p Index of the log; indexes must rise. A command
  /// that is malformed or too large changes nothing and is answered with
  /// CommandInvalid.
  /// \returns the reply, for tryOutcome().
  std::string apply(uint64_t Index, std::string_view Command);

  /// \returns the whole state, encoded for tryRestore().
  std::string snapshot() const;

  /// Replaces the state by that of the snapshot \p Bytes.
  /// \returns RegistryErrorKind::Invalid if the bytes are no snapshot of this
  /// format; the state is then unchanged.
  Result<void, RegistryError> tryRestore(std::string_view Bytes);

  /// \returns the index of the last command that was applied, or 0.
  uint64_t appliedIndex() const { return AppliedIndex; }
  const StoredDescription &description() const {
    return Descriptions.current();
  }
  /// \returns the greatest description number that was accepted.
  DescriptionNumber greatestNumber() const { return description().Number; }
  const ClaimLedger &claims() const { return Claims; }
  /// \returns the newest weights named for \p Model, or version 0 if none were.
  WeightsVersion namedWeights(const ModelId &Model) const;
  /// \returns the models for which versions were named.
  std::vector<ModelId> namedModels() const;
  /// \returns the versions named for \p Model that are kept, oldest first; see
  /// limitNamings().
  std::vector<NamedVersion> namedVersions(const ModelId &Model) const;
  OrderLease lease(std::string_view Name) const { return Leases.lease(Name); }
  /// \returns the encoded reply to \p Request if what it asks for is committed
  /// and applied, so that it can be acknowledged without a further entry.
  std::optional<std::string> settledReply(const Command &Request) const;
  /// \returns the leaves of targets that were recorded.
  const LeaveLedger &leaves() const { return Leaves; }
  const std::vector<ActiveLoad> &loads() const { return Leases.loads(); }

private:
  Reply applyDecoded(const Command &Value);
  Reply apply(const registry::NameWeights &Command);
  Reply apply(const RecordLeave &Command);
  /// Adds \p Version unless a version at least as great was named before.
  void addNamedVersion(const ModelId &Model, NamedVersion Version);

  LedgerLimits Limits;
  uint64_t AppliedIndex = 0;
  DescriptionHistory Descriptions;
  ClaimLedger Claims;
  OrderLeases Leases;
  /// The versions of a model rise.
  std::map<ModelId, std::vector<NamedVersion>> NamedVersions;
  LeaveLedger Leaves;
};

/// Computes the greatest description number that a control host's log can lead
/// to, including commands that are not committed yet. Control hosts report it
/// when they confirm a description.
class GreatestPossibleNumber {
public:
  /// \param Applied the description number after all applied commands.
  explicit GreatestPossibleNumber(DescriptionNumber Applied)
      : Greatest(Applied) {}

  /// Adds the next command after the applied ones, in the log's order.
  void add(std::string_view Command);

  DescriptionNumber value() const { return Greatest; }

private:
  DescriptionNumber Greatest;
};

} // namespace ferry::registry

#endif

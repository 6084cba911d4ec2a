/// \file
/// The replicated state machine: description, ledger of calls, order leases.
#ifndef FERRY_LIBREGISTRY_REGISTRY_H
#define FERRY_LIBREGISTRY_REGISTRY_H

#include "LibRegistry/ClaimLedger.h"
#include "LibRegistry/DescriptionHistory.h"
#include "LibRegistry/OrderLeases.h"
#include <map>

namespace ferry::registry {

/// Applies the committed commands of one log in their order. Deterministic:
/// equal logs give equal states, replies and snapshots. It reads no clock.
class Registry {
public:
  /// \param Limits of the ledger; equal on all replicas of one log.
  explicit Registry(LedgerLimits Limits = {});

  /// Applies the command at \p Index of the log; indexes rise. A command that
  /// is malformed or too large changes nothing and is answered so.
  /// \returns the reply, for tryOutcome().
  std::string apply(uint64_t Index, std::string_view Command);

  /// \returns the whole state as bytes.
  std::string snapshot() const;

  /// Takes the state of \p Bytes in place of this one.
  /// \returns RegistryErrorKind::Invalid, the state unchanged, if the bytes
  /// are no snapshot of this version.
  Result<void, RegistryError> tryRestore(std::string_view Bytes);

  /// \returns the index of the last command that was applied, or 0.
  uint64_t appliedIndex() const { return AppliedIndex; }
  const StoredDescription &description() const {
    return Descriptions.current();
  }
  /// \returns the greatest description number that was accepted.
  DescriptionNumber greatestNumber() const { return description().Number; }
  const ClaimLedger &claims() const { return Claims; }
  /// \returns the newest weights named for \p Model; 0 if none were.
  WeightsVersion namedWeights(const ModelId &Model) const;
  OrderLease lease(std::string_view Name) const { return Leases.lease(Name); }
  const std::vector<LoadSlot> &loads() const { return Leases.loads(); }

private:
  Reply applyDecoded(const Command &Value);
  Reply apply(const registry::NameWeights &Named);

  LedgerLimits Limits;
  uint64_t AppliedIndex = 0;
  DescriptionHistory Descriptions;
  ClaimLedger Claims;
  OrderLeases Leases;
  std::map<ModelId, WeightsVersion> NamedWeights;
};

/// Works out what a control host tells in a confirmation: the greatest number
/// that its log can lead to, commands that are not committed included.
class GreatestNumber {
public:
  /// \param Applied the number after the commands that were applied.
  explicit GreatestNumber(DescriptionNumber Applied) : Greatest(Applied) {}

  /// Takes the next command behind the applied ones, in the log's order.
  void add(std::string_view Command);

  DescriptionNumber value() const { return Greatest; }

private:
  DescriptionNumber Greatest;
};

} // namespace ferry::registry

#endif

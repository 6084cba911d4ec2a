/// \file
/// Order leases and slots for loads of weights, a part of the replicated state.
#ifndef FERRY_LIBREGISTRY_ORDERLEASES_H
#define FERRY_LIBREGISTRY_ORDERLEASES_H

#include "LibRegistry/Commands.h"
#include <map>

namespace ferry::wire {
class RegistrySnapshot;
} // namespace ferry::wire

namespace ferry::registry {

/// Name of the lease whose holder sends the orders to all engines.
inline constexpr std::string_view DeploymentLease = "orders";

/// Decides leases and loads. Part of the replicated state machine, so it reads
/// no clock: a candidate proves with the renewal count that it has waited for
/// the lease to end.
class OrderLeases {
public:
  /// Number of leases; further names are refused.
  static constexpr size_t MaxLeases = 64;

  LeaseOutcome apply(const AcquireOrderLease &Command);
  LeaseOutcome apply(const RenewOrderLease &Command);
  LeaseOutcome apply(const ReleaseOrderLease &Command);
  LoadOutcome apply(const BeginWeightsLoad &Command);
  LoadOutcome apply(const EndWeightsLoad &Command);

  /// \returns the lease \p Name; a free one with fencing number 0 if it was
  /// never held.
  OrderLease lease(std::string_view Name) const;
  const std::vector<ActiveLoad> &loads() const { return Loads; }

  void save(wire::RegistrySnapshot &Snapshot) const;
  void load(const wire::RegistrySnapshot &Snapshot);

private:
  /// Counts a renewal from \p Before to \p Now for the slots of earlier terms.
  void ageLoads(const OrderLease &Before, const OrderLease &Now);
  bool isStale(const LoadSlot &Slot) const;
  std::vector<LoadSlot> activeSlots() const;
  size_t loadsOfOtherTargets(const TargetId &Target) const;

  std::map<std::string, OrderLease, std::less<>> Leases;
  std::vector<ActiveLoad> Loads;
  /// Fencing number and sequence of the newest BeginWeightsLoad.
  FencingNumber LoadFencing;
  uint64_t LoadSequence = 0;
};

} // namespace ferry::registry

#endif

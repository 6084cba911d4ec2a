/// \file
/// Order leases and slots for loads of weights, as the log has them.
#ifndef FERRY_LIBREGISTRY_ORDERLEASES_H
#define FERRY_LIBREGISTRY_ORDERLEASES_H

#include "LibRegistry/Commands.h"
#include <map>

namespace ferry::wire {
class RegistrySnapshot;
} // namespace ferry::wire

namespace ferry::registry {

/// Name of the lease whose holder gives orders over the whole deployment.
inline constexpr std::string_view DeploymentLease = "orders";

/// Decides leases and loads. Part of the replicated state machine; it knows no
/// time: a candidate shows by the renewal count that it has waited.
class OrderLeases {
public:
  /// More names than this are refused.
  static constexpr size_t MaxNames = 64;

  LeaseOutcome apply(const AcquireOrderLease &Command);
  LeaseOutcome apply(const RenewOrderLease &Command);
  LeaseOutcome apply(const ReleaseOrderLease &Command);
  LoadOutcome apply(const BeginWeightsLoad &Command);
  LoadOutcome apply(const EndWeightsLoad &Command);

  /// \returns the lease \p Name, or one that was never held.
  OrderLease lease(std::string_view Name) const;
  const std::vector<LoadSlot> &loads() const { return Loads; }

  void save(wire::RegistrySnapshot &Snapshot) const;
  void load(const wire::RegistrySnapshot &Snapshot);

private:
  bool isStale(const LoadSlot &Slot) const;
  size_t loadsBesides(const TargetId &Target) const;

  std::map<std::string, OrderLease, std::less<>> Leases;
  std::vector<LoadSlot> Loads;
  /// The greatest position of a load that was asked for.
  FencingNumber LoadFencing;
  uint64_t LoadSequence = 0;
};

} // namespace ferry::registry

#endif

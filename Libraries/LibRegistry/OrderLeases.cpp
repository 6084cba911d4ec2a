#include "LibRegistry/OrderLeases.h"
#include "LibRegistry/Convert.h"
#include <algorithm>
#include <tuple>

namespace ferry::registry {

template <typename CommandType>
static bool isHolder(const OrderLease &Lease, const CommandType &Command) {
  return Lease.Host == Command.Host && !Lease.Host.empty() &&
         Lease.Incarnation == Command.Incarnation;
}

OrderLease OrderLeases::lease(std::string_view Name) const {
  auto Found = Leases.find(Name);
  if (Found != Leases.end())
    return Found->second;
  OrderLease Never;
  Never.Name = Name;
  return Never;
}

LeaseOutcome OrderLeases::apply(const AcquireOrderLease &Command) {
  OrderLease Lease = lease(Command.Name);
  bool Resent = isHolder(Lease, Command) &&
                Lease.Fencing.Value == Command.SeenFencing.Value + 1;
  if (Resent)
    return LeaseGranted{Lease};
  bool Unchanged = Lease.Fencing == Command.SeenFencing &&
                   Lease.Renewals == Command.SeenRenewals;
  bool Room = Leases.size() < MaxNames || Leases.contains(Command.Name);
  if (!Unchanged || !Room || Command.Host.empty())
    return LeaseRefused{Lease};
  Lease.Host = Command.Host;
  Lease.Incarnation = Command.Incarnation;
  Lease.Fencing.Value += 1;
  Lease.Renewals = 0;
  Leases[Command.Name] = Lease;
  return LeaseGranted{Lease};
}

LeaseOutcome OrderLeases::apply(const RenewOrderLease &Command) {
  OrderLease Lease = lease(Command.Name);
  if (!isHolder(Lease, Command) || Lease.Fencing != Command.Fencing)
    return LeaseRefused{Lease};
  Lease.Renewals = std::max(Lease.Renewals, Command.Renewals);
  Leases[Command.Name] = Lease;
  return LeaseGranted{Lease};
}

LeaseOutcome OrderLeases::apply(const ReleaseOrderLease &Command) {
  OrderLease Lease = lease(Command.Name);
  if (!isHolder(Lease, Command) || Lease.Fencing != Command.Fencing)
    return LeaseRefused{Lease};
  // The fencing number stays: a late duplicate of the old acquisition names
  // the number before it and is refused.
  Lease.Host = {};
  Lease.Incarnation = {};
  Leases[Command.Name] = Lease;
  return LeaseGranted{Lease};
}

bool OrderLeases::isStale(const LoadSlot &Slot) const {
  OrderLease Holder = lease(DeploymentLease);
  if (Holder.Host.empty() || Holder.Fencing != Slot.Fencing)
    return true;
  if (std::tie(Slot.Fencing, Slot.Sequence) <=
      std::tie(LoadFencing, LoadSequence))
    return true;
  return std::any_of(Loads.begin(), Loads.end(), [&](const LoadSlot &Taken) {
    return Taken.Target == Slot.Target && Taken.Incarnation > Slot.Incarnation;
  });
}

size_t OrderLeases::loadsBesides(const TargetId &Target) const {
  return std::count_if(Loads.begin(), Loads.end(), [&](const LoadSlot &Taken) {
    return Taken.Target != Target;
  });
}

LoadOutcome OrderLeases::apply(const BeginWeightsLoad &Command) {
  const LoadSlot &Slot = Command.Slot;
  if (std::find(Loads.begin(), Loads.end(), Slot) != Loads.end())
    return LoadGranted{};
  if (isStale(Slot))
    return LoadStale{};
  // Also for a refusal: its late duplicate must not take a slot.
  LoadFencing = Slot.Fencing;
  LoadSequence = Slot.Sequence;
  if (loadsBesides(Slot.Target) >= Command.MaxLoads)
    return LoadRefused{Loads};
  // A target counts once, whatever it was told to load before.
  std::erase_if(Loads, [&](const LoadSlot &Taken) {
    return Taken.Target == Slot.Target;
  });
  Loads.push_back(Slot);
  return LoadGranted{};
}

LoadOutcome OrderLeases::apply(const EndWeightsLoad &Command) {
  std::erase_if(Loads, [&](const LoadSlot &Taken) {
    bool Older = Taken.Target == Command.Slot.Target &&
                 Taken.Incarnation < Command.Slot.Incarnation;
    return Older || Taken == Command.Slot;
  });
  return LoadEnded{};
}

void OrderLeases::save(wire::RegistrySnapshot &Snapshot) const {
  for (const auto &[Name, Lease] : Leases)
    Snapshot.Leases.push_back(toWire(Lease));
  for (const LoadSlot &Slot : Loads)
    Snapshot.Loads.push_back(toWire(Slot));
  Snapshot.LoadFencing = toWire(LoadFencing.Value);
  Snapshot.LoadSequence = toWire(LoadSequence);
}

void OrderLeases::load(const wire::RegistrySnapshot &Snapshot) {
  Leases.clear();
  Loads.clear();
  for (const wire::LeaseFields &Fields : Snapshot.Leases)
    Leases[Fields.Name] = fromWire(Fields);
  for (const wire::LoadSlotFields &Fields : Snapshot.Loads)
    Loads.push_back(fromWire(Fields));
  LoadFencing = {fromWire(Snapshot.LoadFencing)};
  LoadSequence = fromWire(Snapshot.LoadSequence);
}

} // namespace ferry::registry

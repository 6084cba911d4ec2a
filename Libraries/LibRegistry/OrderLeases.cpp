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
  auto LeaseIt = Leases.find(Name);
  if (LeaseIt != Leases.end())
    return LeaseIt->second;
  OrderLease NeverHeld;
  NeverHeld.Name = Name;
  return NeverHeld;
}

LeaseOutcome OrderLeases::apply(const AcquireOrderLease &Command) {
  OrderLease Lease = lease(Command.Name);
  bool Resent = isHolder(Lease, Command) &&
                Lease.Fencing.Value == Command.SeenFencing.Value + 1;
  if (Resent)
    return LeaseGranted{Lease};
  bool Unchanged = Lease.Fencing == Command.SeenFencing &&
                   Lease.Renewals == Command.SeenRenewals;
  bool HasRoom = Leases.size() < MaxLeases || Leases.contains(Command.Name);
  if (!Unchanged || !HasRoom || Command.Host.empty())
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
  OrderLease Before = Lease;
  Lease.Renewals = std::max(Lease.Renewals, Command.Renewals);
  Leases[Command.Name] = Lease;
  if (Command.Name == DeploymentLease)
    ageLoads(Before, Lease);
  return LeaseGranted{Lease};
}

void OrderLeases::ageLoads(const OrderLease &Before, const OrderLease &Now) {
  // The first renewal of a term follows the acquisition at once.
  uint64_t FirstCounted = std::max<uint64_t>(Before.Renewals, 1);
  if (Now.Renewals <= FirstCounted)
    return;
  for (ActiveLoad &Load : Loads)
    if (Load.Slot.Fencing < Now.Fencing)
      Load.LaterRenewals += Now.Renewals - FirstCounted;
}

LeaseOutcome OrderLeases::apply(const ReleaseOrderLease &Command) {
  OrderLease Lease = lease(Command.Name);
  if (!isHolder(Lease, Command) || Lease.Fencing != Command.Fencing)
    return LeaseRefused{Lease};
  // The fencing number stays, so that a late duplicate of the old acquisition,
  // which carries the number before it, is refused.
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
  return std::any_of(Loads.begin(), Loads.end(), [&](const ActiveLoad &Load) {
    return Load.Slot.Target == Slot.Target &&
           Load.Slot.Incarnation > Slot.Incarnation;
  });
}

size_t OrderLeases::loadsOfOtherTargets(const TargetId &Target) const {
  return std::count_if(Loads.begin(), Loads.end(), [&](const ActiveLoad &Load) {
    return Load.Slot.Target != Target;
  });
}

std::vector<LoadSlot> OrderLeases::activeSlots() const {
  std::vector<LoadSlot> Slots;
  for (const ActiveLoad &Load : Loads)
    Slots.push_back(Load.Slot);
  return Slots;
}

LoadOutcome OrderLeases::apply(const BeginWeightsLoad &Command) {
  const LoadSlot &Slot = Command.Slot;
  if (std::any_of(Loads.begin(), Loads.end(),
                  [&](const ActiveLoad &Load) { return Load.Slot == Slot; }))
    return LoadGranted{};
  if (isStale(Slot))
    return LoadStale{};
  // Set for refusals too: a late duplicate of a refused command must not take a
  // slot.
  LoadFencing = Slot.Fencing;
  LoadSequence = Slot.Sequence;
  if (loadsOfOtherTargets(Slot.Target) >= Command.MaxLoads)
    return LoadRefused{activeSlots()};
  // A target has at most one slot; the new one replaces the old one.
  std::erase_if(Loads, [&](const ActiveLoad &Load) {
    return Load.Slot.Target == Slot.Target;
  });
  Loads.push_back({Slot});
  return LoadGranted{};
}

LoadOutcome OrderLeases::apply(const EndWeightsLoad &Command) {
  std::erase_if(Loads, [&](const ActiveLoad &Load) {
    bool FromEarlierIncarnation =
        Load.Slot.Target == Command.Slot.Target &&
        Load.Slot.Incarnation < Command.Slot.Incarnation;
    return FromEarlierIncarnation || Load.Slot == Command.Slot;
  });
  return LoadEnded{};
}

void OrderLeases::save(wire::RegistrySnapshot &Snapshot) const {
  for (const auto &[Name, Lease] : Leases)
    Snapshot.Leases.push_back(toWire(Lease));
  for (const ActiveLoad &Load : Loads) {
    wire::LoadSlotFields Fields = toWire(Load.Slot);
    Fields.__set_LaterRenewals(toWire(Load.LaterRenewals));
    Snapshot.Loads.push_back(std::move(Fields));
  }
  Snapshot.LoadFencing = toWire(LoadFencing.Value);
  Snapshot.LoadSequence = toWire(LoadSequence);
}

void OrderLeases::load(const wire::RegistrySnapshot &Snapshot) {
  Leases.clear();
  Loads.clear();
  for (const wire::LeaseFields &Fields : Snapshot.Leases)
    Leases[Fields.Name] = fromWire(Fields);
  for (const wire::LoadSlotFields &Fields : Snapshot.Loads)
    Loads.push_back({fromWire(Fields), fromWire(Fields.LaterRenewals)});
  LoadFencing = {fromWire(Snapshot.LoadFencing)};
  LoadSequence = fromWire(Snapshot.LoadSequence);
}

} // namespace ferry::registry

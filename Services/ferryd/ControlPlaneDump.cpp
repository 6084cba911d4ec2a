// The control plane's sections of the state dump, and its metrics.
#include "ferryd/ControlPlane.h"
#include <algorithm>

namespace ferry::daemon {

using Poco::JSON::Object;

static Object::Ptr logSection(const RegistryNode &Node) {
  const consensus::LogDriver &Log = Node.log();
  consensus::ReplicaStatus Status = Log.status();
  Object::Ptr Section = new Object;
  Section->set("replica", Status.Replica.Value);
  Section->set("standing", std::string(enumName(Status.CurrentStanding)));
  Section->set("leads", Status.IsLeader);
  Section->set("leader", Status.Leader.value_or(HostId{}).Value);
  Section->set("leader_for_ms",
               millisUntil(steadyNow(), Node.leadership().Since));
  Section->set("elections_begun", Status.ElectionsBegun);
  Section->set("term", Status.Term);
  Section->set("commit_index", Status.CommitIndex);
  Section->set("first_index", Status.FirstIndex);
  Section->set("last_index", Status.LastIndex);
  Section->set("snapshot_index", Status.SnapshotIndex);
  Poco::JSON::Array Voters;
  for (const consensus::Member &Voter : Status.Members.Voters)
    Voters.add(Voter.Host.Value);
  Section->set("voters", Voters);
  if (Log.damage())
    Section->set("damage", Log.damage()->message());
  if (Log.failure())
    Section->set("failure", Log.failure()->message());
  return Section;
}

static Object::Ptr registrySection(const registry::Registry &State) {
  Object::Ptr Section = new Object;
  Section->set("description_number", State.greatestNumber().Value);
  Section->set("claims", State.claims().entryCount());
  Section->set("open_claims", State.claims().openCount());
  Section->set("tombstones", State.claims().tombstoneCount());
  Section->set("ledger_bytes", State.claims().memoryBytes());
  registry::OrderLease Lease = State.lease(registry::DeploymentLease);
  Section->set("lease_holder", Lease.Host.Value);
  Section->set("lease_fencing", Lease.Fencing.Value);
  Section->set("weights_loads", State.loads().size());
  Section->set("recorded_leaves", State.leaves().size());
  return Section;
}

static Object::Ptr ordersSection(const OrderDispatcher &Orders) {
  control::Reconciler::Counts Counts = Orders.counts();
  Object::Ptr Section = new Object;
  Section->set("holds_lease", Orders.holdsLease());
  Section->set("engines", Counts.Engines);
  Section->set("engines_right", Counts.EnginesRight);
  Section->set("orders_under_way", Counts.OrdersUnderWay);
  Section->set("slots_held", Counts.SlotsHeld);
  Section->set("slots_inherited", Counts.SlotsInherited);
  Section->set("rollout_wait", std::string(enumName(Counts.Wait)));
  Section->set("orders_sent", Counts.OrdersSent);
  Section->set("orders_failed", Counts.OrdersFailed);
  return Section;
}

static Object::Ptr beliefsSection(const routing::Beliefs &Known) {
  Poco::JSON::Array Quarantined;
  for (const routing::QuarantinedParts &Set : Known.Crashes.Quarantined) {
    Object::Ptr Fields = new Object;
    Fields->set("parts", routing::partsText(Set.Parts));
    Fields->set("ended", Set.Ended);
    Fields->set("trials", Set.Trials);
    Quarantined.add(Fields);
  }
  Poco::JSON::Array Limits;
  for (const routing::TargetLimit &Limit : Known.Limits) {
    if (!Limit.named())
      continue;
    Object::Ptr Fields = new Object;
    Fields->set("target", Limit.Target.Value);
    Fields->set("incarnation", Limit.Incarnation.Value);
    if (Limit.PerSecond)
      Fields->set("per_second", *Limit.PerSecond);
    if (Limit.RejectionsPerSecond)
      Fields->set("rejections_per_second", *Limit.RejectionsPerSecond);
    Limits.add(Fields);
  }
  Object::Ptr Section = new Object;
  Section->set("crashes", Known.Crashes.Crashes.size());
  Section->set("quarantined", Quarantined);
  Section->set("limits", Limits);
  return Section;
}

static Object::Ptr hostsSection(const membership::Membership &Members) {
  Object::Ptr Section = new Object;
  for (const membership::HostState &Host : Members.hosts(steadyNow())) {
    Object Entry;
    Entry.set("data_centre", Host.DataCentre.Value);
    Entry.set("standing", std::string(enumName(Host.Standing)));
    Entry.set("incarnation", Host.Incarnation.Value);
    Entry.set("description_number", Host.Number.Value);
    Section->set(Host.Id.Value, Entry);
  }
  return Section;
}

static Object::Ptr targetsSection(const membership::Membership &Members) {
  Object::Ptr Section = new Object;
  Timestamp Now = steadyNow();
  for (const TargetRecord &Target : Members.targets(Now)) {
    Object Entry;
    Entry.set("service", Target.Service.Value);
    Entry.set("address", Target.Address);
    Entry.set("data_centre", Target.DataCentre.Value);
    Entry.set("phase", std::string(enumName(Target.Phase)));
    Entry.set("incarnation", Target.Incarnation.Value);
    Entry.set("weights", Target.Weights.Value);
    Entry.set("running", Target.Load.RunningRequests);
    Entry.set("usable_for_ms", millisUntil(Target.UsableUntil, Now));
    Section->set(Target.Id.Value, Entry);
  }
  return Section;
}

static Object::Ptr peersSection(const HostLink &Link) {
  const wire::TrafficCount &Count = Link.transport().traffic();
  Object::Ptr Section = new Object;
  Section->set("bytes_sent", Count.BytesSent);
  Section->set("bytes_received", Count.BytesReceived);
  Section->set("frames_sent", Count.FramesSent);
  Section->set("frames_received", Count.FramesReceived);
  Section->set("dropped_messages", Link.transport().droppedMessages());
  Section->set("malformed_payloads", Link.malformedPayloads());
  return Section;
}

void ControlPlane::updateBeliefMetrics(const routing::Beliefs &Known) {
  auto InForce = std::count_if(
      Known.Crashes.Quarantined.begin(), Known.Crashes.Quarantined.end(),
      [](const routing::QuarantinedParts &Set) { return !Set.Ended; });
  auto Limited = std::count_if(Known.Limits.begin(), Known.Limits.end(),
                               [](const routing::TargetLimit &Limit) {
                                 return Limit.PerSecond.has_value();
                               });
  Metrics
      .gauge("ferry_quarantined_part_sets",
             "Sets of prompt parts that are kept away from targets.")
      .set(double(InForce));
  Metrics
      .gauge("ferry_limited_targets",
             "Targets that name a limit of requests a second.")
      .set(double(Limited));
}

void ControlPlane::updateMetrics() {
  Timestamp Now = steadyNow();
  auto Set = [this](const char *Name, const char *Help, uint64_t Value) {
    Metrics.gauge(Name, Help).set(static_cast<double>(Value));
  };
  const wire::TrafficCount &Count = Link->transport().traffic();
  Set("ferry_description_number",
      "Number of the description in force on this host.",
      Holder.number().Value);
  Set("ferry_confirmed", "1 while the number is confirmed by a quorum.",
      Confirmed.isConfirmed(Now) ? 1 : 0);
  Set("ferry_targets_usable", "Targets that may get new work.",
      Members.targets(Now).size());
  Set("ferry_recorded_leaves", "Leaves of targets that this host keeps.",
      Members.recordedLeaves().size());
  Set("ferry_recorded_leave_number",
      "Number of the newest leave that this host knows.",
      Members.recordedLeaves().newestNumber());
  Set("ferry_peer_bytes_sent", "Bytes sent to other hosts.", Count.BytesSent);
  Set("ferry_peer_bytes_received", "Bytes received from other hosts.",
      Count.BytesReceived);
  Set("ferry_peer_messages_dropped", "Messages that could not be sent.",
      Link->transport().droppedMessages());
  Set("ferry_peer_payloads_malformed", "Payloads that could not be decoded.",
      Link->malformedPayloads());
  observe::Family<observe::Gauge> &KindBytes =
      Metrics.gauges({"ferry_peer_kind_bytes",
                      "Bytes of payloads to and from other hosts, by kind.",
                      {"kind", "direction"}});
  for (const auto &[Kind, Bytes] : Link->kinds()) {
    auto Name = wire::_PayloadKind_VALUES_TO_NAMES.find(Kind);
    if (Name == wire::_PayloadKind_VALUES_TO_NAMES.end())
      continue;
    KindBytes.with({Name->second, "sent"}).set(double(Bytes.BytesSent));
    KindBytes.with({Name->second, "received"}).set(double(Bytes.BytesReceived));
  }
  if (!Node || !Orders)
    return;
  consensus::ReplicaStatus Status = Node->log().status();
  Set("ferry_log_leads", "1 while this host leads the log.",
      Status.IsLeader ? 1 : 0);
  Set("ferry_log_voter", "1 while this host votes.",
      Node->log().isVoter() ? 1 : 0);
  Set("ferry_log_commit_index", "Last committed index.", Status.CommitIndex);
  Set("ferry_log_term", "Term of the log.", Status.Term);
  Set("ferry_log_elections_begun",
      "Elections that this host has begun since its log was opened.",
      Status.ElectionsBegun);
  auto UnsyncedSince = Node->log().oldestUnsyncedWrite();
  Metrics
      .gauge("ferry_log_unsynced_seconds",
             "Age of the oldest write to the log that is not synced.")
      .set(UnsyncedSince ? double((Now - *UnsyncedSince).count()) / 1e6 : 0);
  control::Reconciler::Counts Counts = Orders->counts();
  Set("ferry_order_lease_held", "1 while this host holds the order lease.",
      Orders->holdsLease() ? 1 : 0);
  Set("ferry_engines", "Engines of the described services.", Counts.Engines);
  Set("ferry_engines_right", "Engines that announce the described weights.",
      Counts.EnginesRight);
  Set("ferry_orders_under_way", "Orders to engines that have not ended.",
      Counts.OrdersUnderWay);
  Set("ferry_load_slots_held",
      "Slots for loads of weights that this host's changes hold.",
      Counts.SlotsHeld);
  Set("ferry_load_slots_inherited",
      "Slots of earlier terms of the order lease, or that end just now.",
      Counts.SlotsInherited);
  Set("ferry_ledger_open_claims", "Calls under way in the ledger.",
      Node->state().claims().openCount());
}

void ControlPlane::addDumpSections() {
  Dump.add("host", [this] {
    Object::Ptr Section = new Object;
    Section->set("id", Settings.Host.Value);
    Section->set("role", std::string(enumName(Settings.Role)));
    Section->set("incarnation", Store.incarnation().Value);
    Section->set("standing", std::string(enumName(OwnStanding)));
    Section->set("description_number", Holder.number().Value);
    Section->set("confirmed_for_ms",
                 millisUntil(Confirmed.confirmedUntil(), steadyNow()));
    Section->set("pending_registry_requests", Gateway->pendingCount());
    return Section;
  });
  Dump.add("hosts", [this] { return hostsSection(Members); });
  Dump.add("targets", [this] { return targetsSection(Members); });
  Dump.add("peers", [this] { return peersSection(*Link); });
  Dump.add("beliefs",
           [this] { return beliefsSection(Callbacks.Beliefs.Everything()); });
  if (!Node)
    return;
  // While the log is stopped by a failure of its disk, Node is nullptr and the
  // sections are empty.
  auto OrEmpty = [this](auto Make) {
    return [this, Make] { return Node ? Make() : Object::Ptr(new Object); };
  };
  Dump.add("log", OrEmpty([this] { return logSection(*Node); }));
  Dump.add("orders", OrEmpty([this] { return ordersSection(*Orders); }));
  Dump.add("registry",
           OrEmpty([this] { return registrySection(Node->state()); }));
}

} // namespace ferry::daemon

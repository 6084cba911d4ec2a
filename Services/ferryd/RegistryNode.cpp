#include "ferryd/RegistryNode.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"

namespace ferry::daemon {

using namespace registry;
using observe::Severity;

/// Writes that took longer are logged.
static constexpr Duration LoggedSyncTime = std::chrono::milliseconds(500);

Result<std::unique_ptr<RegistryNode>, consensus::StorageError>
RegistryNode::tryOpen(consensus::LogOptions Options, ControlLoop &Loop,
                      Hooks Callbacks) {
  std::unique_ptr<RegistryNode> Node(new RegistryNode(std::move(Callbacks)));
  auto Log =
      consensus::LogDriver::tryOpen(std::move(Options), Loop, Node->logHooks());
  if (!Log)
    return makeError(Log.error());
  Node->Log = std::move(*Log);
  Node->Known.Since = steadyNow();
  consensus::ReplicaStatus Status = Node->Log->status();
  observe::logEvent(Severity::Info, "control", "log_opened",
                    {{"replica", Status.Replica.Value},
                     {"standing", Status.CurrentStanding},
                     {"term", Status.Term},
                     {"last_index", Status.LastIndex},
                     {"snapshot_index", Status.SnapshotIndex}});
  return Node;
}

RegistryNode::RegistryNode(Hooks Callbacks) : Callbacks(std::move(Callbacks)) {}

consensus::LogHooks RegistryNode::logHooks() {
  consensus::LogHooks Hooks;
  Hooks.Send = Callbacks.SendConsensus;
  Hooks.Apply = [this](uint64_t Index, std::string_view Command) {
    apply(Index, Command);
  };
  Hooks.TakeSnapshot = [this] { return State.snapshot(); };
  Hooks.RestoreSnapshot = [this](std::string_view Bytes) {
    return tryRestore(Bytes);
  };
  Hooks.StandingChanged = [this] { onStandingChanged(); };
  Hooks.Synced = [this](Duration Elapsed) {
    Callbacks.Synced(Elapsed);
    if (Elapsed >= LoggedSyncTime)
      observe::logEvent(Severity::Warning, "control", "log_sync_slow",
                        {{"ms", Elapsed.count() / 1000}});
  };
  return Hooks;
}

void RegistryNode::receiveConsensus(const HostId &From,
                                    std::string_view Payload) {
  Log->receive(From, Payload);
}

void RegistryNode::receiveRequest(const HostId &From,
                                  wire::RegistryRequest Request) {
  step(ServerRequestReceived{From, std::move(Request), unixNow()});
}

DescriptionNumber RegistryNode::greatestNumber() const {
  GreatestPossibleNumber Greatest(State.greatestNumber());
  Log->visitUnapplied([&](std::string_view Command) { Greatest.add(Command); });
  return Greatest.value();
}

void RegistryNode::close() { Log->close(); }

void RegistryNode::apply(uint64_t Index, std::string_view Command) {
  DescriptionNumber PreviousNumber = State.greatestNumber();
  uint64_t PreviousLeave = State.leaves().newestNumber();
  step(ServerCommandApplied{Index, State.apply(Index, Command)});
  if (State.greatestNumber() > PreviousNumber)
    Callbacks.DescriptionChanged();
  if (State.leaves().newestNumber() > PreviousLeave)
    Callbacks.LeavesRecorded();
  Callbacks.WeightsNamed();
}

Result<void, consensus::StorageError>
RegistryNode::tryRestore(std::string_view Bytes) {
  DescriptionNumber PreviousNumber = State.greatestNumber();
  uint64_t PreviousLeave = State.leaves().newestNumber();
  auto Restored = State.tryRestore(Bytes);
  if (!Restored)
    return makeTypedError(consensus::StorageErrorKind::Damaged,
                          Restored.error().message());
  if (State.greatestNumber() > PreviousNumber)
    Callbacks.DescriptionChanged();
  if (State.leaves().newestNumber() > PreviousLeave)
    Callbacks.LeavesRecorded();
  return {};
}

void RegistryNode::onStandingChanged() {
  if (Log->isVoter() && Log->leader())
    LeaderSeen = true;
  // An identity that was removed is no voter; the one that replaces it must be
  // addressed by a leader again.
  if (!Log->isVoter())
    LeaderSeen = false;
  logLeadership();
  Callbacks.StandingChanged();
}

void RegistryNode::logLeadership() {
  Leadership Next{Log->leader(), Log->status().Term, steadyNow()};
  if (Next.Leader == Known.Leader && Next.Term == Known.Term)
    return;
  observe::logEvent(Severity::Info, "control", "leader_changed",
                    {{"leader", leaderOrEmpty(Next.Leader)},
                     {"term", Next.Term},
                     {"before", leaderOrEmpty(Known.Leader)},
                     {"before_ms", (Next.Since - Known.Since).count() / 1000},
                     {"elections_begun", Log->status().ElectionsBegun}});
  Known = std::move(Next);
}

void RegistryNode::step(ServerEvent Event) {
  for (ServerEffect &Effect : Server.step(std::move(Event)))
    match(
        std::move(Effect),
        [this](ServerPropose &&Proposal) { propose(std::move(Proposal)); },
        [this](ServerConfirmRead &&Read) { confirmRead(Read); },
        [this](ServerReply &&Sent) {
          Callbacks.SendReply(Sent.To, Sent.Reply);
        });
}

void RegistryNode::propose(ServerPropose Proposal) {
  uint64_t Token = Proposal.Token;
  Timestamp ProposedAt = steadyNow();
  Log->propose(std::move(Proposal.Command), [this, Token,
                                             ProposedAt](auto Proposed) {
    if (Proposed) {
      Callbacks.Committed(steadyNow() - ProposedAt);
      return step(ServerProposalCommitted{Token, *Proposed});
    }
    step(ServerProposalFailed{Token, leaderOrEmpty(Proposed.error().Leader)});
  });
}

void RegistryNode::confirmRead(ServerConfirmRead Read) {
  uint64_t Token = Read.Token;
  Log->confirmRead([this, Token](auto Confirmed) {
    if (Confirmed)
      return step(ServerReadConfirmed{Token});
    step(ServerReadFailed{Token, leaderOrEmpty(Confirmed.error().Leader)});
  });
}

HostId RegistryNode::leaderOrEmpty(const std::optional<HostId> &Leader) const {
  return Leader.value_or(HostId{});
}

} // namespace ferry::daemon

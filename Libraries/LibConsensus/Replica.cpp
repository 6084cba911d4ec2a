#include "LibConsensus/Replica.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

Replica::Replica(ReplicaOptions Options, DurableState Recovered, Timestamp Now)
    : Options(std::move(Options)), Random(this->Options.Seed), Now(Now),
      Self(std::move(Recovered.Self)), LastVote(Recovered.LastVote),
      LastSnapshot(std::move(Recovered.LastSnapshot)), ProbeAt(Now) {
  if (LastSnapshot) {
    Log.reset(LastSnapshot->Index, LastSnapshot->Term, LastSnapshot->Members);
    emit(RestoreEffect{LastSnapshot});
  } else {
    Log.reset(0, 0, Self.Formation.value_or(Configuration{}));
  }
  for (Entry &Kept : Recovered.Entries)
    Log.append(std::move(Kept));
  Commit = Log.baseIndex();
  DurableIndex = Log.lastIndex();
  // A first try does no harm: where a leader is alive, it is refused.
  auto Jitter =
      randomBelow(Random, this->Options.Timing.ElectionTimeout.count());
  ElectionAt = Now + Duration(Jitter);
}

std::vector<Effect> Replica::step(Event Input, Timestamp StepTime) {
  Now = StepTime;
  std::visit([this](auto &Alternative) { handle(Alternative); }, Input);
  if (isLeader())
    replicateAll();
  flush();
  ReplicaStatus Status = status();
  bool Changed = Status.Now != Reported.Now ||
                 Status.Leader != Reported.Leader ||
                 Status.Term != Reported.Term;
  Reported = std::move(Status);
  if (Changed)
    emit(StandingChangedEffect{});
  return std::exchange(Effects, {});
}

Timestamp Replica::nextDeadline() const {
  if (const auto *Lead = std::get_if<Leading>(&Role))
    return std::min(Lead->HeartbeatAt, Lead->QuorumCheckAt);
  bool Electing = standing() == Standing::Voter;
  return Electing ? std::min(ElectionAt, ProbeAt) : ProbeAt;
}

Standing Replica::standing() const {
  if (Self.Kept == Standing::Blank || Self.Kept == Standing::Refusing)
    return Self.Kept;
  bool Listed = Log.members().contains(Self.Replica);
  return Listed ? Standing::Voter : Standing::Learner;
}

std::optional<HostId> Replica::leader() const {
  if (isLeader())
    return Options.Self;
  if (const auto *Follow = std::get_if<Following>(&Role))
    return Follow->Leader;
  return std::nullopt;
}

ReplicaStatus Replica::status() const {
  ReplicaStatus Status;
  Status.Replica = Self.Replica;
  Status.Now = standing();
  Status.Leads = isLeader();
  Status.Leader = leader();
  Status.Term = LastVote.Term;
  Status.CommitIndex = Commit;
  Status.AppliedIndex = Commit;
  Status.FirstIndex = Log.baseIndex() + 1;
  Status.LastIndex = Log.lastIndex();
  Status.SnapshotIndex = LastSnapshot ? LastSnapshot->Index : 0;
  Status.Members = Log.members();
  return Status;
}

void Replica::handle(TickEvent &) {
  if (auto *Lead = std::get_if<Leading>(&Role)) {
    if (Now >= Lead->QuorumCheckAt)
      checkQuorum();
    if (isLeader() && Now >= Lead->HeartbeatAt)
      heartbeat();
    return;
  }
  if (standing() == Standing::Voter && Now >= ElectionAt)
    campaign(/*Preliminary=*/true);
  if (Now >= ProbeAt)
    probe();
}

bool Replica::admit(const ReceiveEvent &Input) {
  const Message &Received = Input.Received;
  bool ForAnother =
      Received.Receiver.Value != 0 && Received.Receiver != Self.Replica;
  if (ForAnother || Received.Sender == Self.Replica)
    return false;
  bool Termless = match(
      Received.Body,
      [](const wire::VoteRequest &Body) { return Body.Preliminary; },
      [](const wire::VoteReply &Body) {
        return Body.Preliminary && Body.Granted;
      },
      [](const wire::Probe &) { return true; },
      [](const wire::ProbeReply &) { return true; },
      [](const wire::JoinRequest &) { return true; },
      [](const wire::Dismissal &) { return true; },
      [](const auto &) { return false; });
  if (Termless)
    return true;
  bool FromLeader =
      std::holds_alternative<wire::AppendRequest>(Received.Body) ||
      std::holds_alternative<wire::SnapshotChunk>(Received.Body);
  if (!FromLeader && !mayVote())
    return false;
  // Whoever hears a leader does not help to depose it.
  if (std::holds_alternative<wire::VoteRequest>(Received.Body) &&
      leaderPresumed())
    return false;
  if (Received.Term > LastVote.Term)
    adoptTerm(Received.Term);
  return true;
}

void Replica::handle(ReceiveEvent &Input) {
  if (!admit(Input))
    return;
  std::visit([&](const auto &Body) { receive(Input, Body); },
             Input.Received.Body);
}

void Replica::handle(ProposeEvent &Input) {
  auto Refuse = [&](ProposeErrorKind Kind) {
    emit(ProposalDone{Input.Request,
                      makeError(ProposeError{Kind, this->leader()})});
  };
  auto *Lead = std::get_if<Leading>(&Role);
  if (Lead == nullptr)
    return Refuse(ProposeErrorKind::NotLeader);
  if (Input.Command.size() > Options.Limits.MaxCommandBytes)
    return Refuse(ProposeErrorKind::TooLarge);
  if (Log.lastIndex() - Commit >= Options.Limits.MaxUncommittedEntries ||
      Lead->UncommittedBytes + Input.Command.size() >
          Options.Limits.MaxUncommittedBytes)
    return Refuse(ProposeErrorKind::Overloaded);
  Lead->UncommittedBytes += Input.Command.size();
  Lead->Proposals.emplace(Log.lastIndex() + 1, Input.Request);
  appendEntry({Log.lastIndex() + 1, LastVote.Term, EntryKind::Command,
               std::move(Input.Command)});
}

void Replica::handle(ReadEvent &Input) {
  auto *Lead = std::get_if<Leading>(&Role);
  if (Lead == nullptr) {
    emit(ReadDone{Input.Request,
                  makeError(ReadError{ReadErrorKind::NotLeader, leader()})});
    return;
  }
  bool RoundUnderWay = !Lead->Reads.empty() || !Lead->Dismissals.empty();
  Lead->Reads.push_back({Input.Request, Lead->Round + 1});
  if (!RoundUnderWay)
    startRound();
}

void Replica::handle(PersistedEvent &Input) {
  PersistedToken = std::max(PersistedToken, Input.Token);
  while (!Writes.empty() && Writes.front().first <= PersistedToken) {
    DurableIndex = Writes.front().second;
    Writes.pop_front();
  }
  while (!Held.empty() && Held.front().Token <= PersistedToken) {
    emit(SendEffect{Held.front().To, std::move(Held.front().Held)});
    Held.pop_front();
  }
  if (std::holds_alternative<Campaigning>(Role))
    countVotes();
  else if (isLeader())
    advanceCommit();
}

void Replica::handle(HostsEvent &Input) { Discovered = std::move(Input.Hosts); }

void Replica::handle(SnapshotTakenEvent &Input) {
  SnapshotAsked = false;
  bool Overtaken = LastSnapshot && LastSnapshot->Index >= Input.Index;
  if (Overtaken || Input.Index <= Log.baseIndex())
    return;
  auto Taken = std::make_shared<Snapshot>();
  Taken->Index = Input.Index;
  Taken->Term = *Log.termAt(Input.Index);
  Taken->Members = Log.membersAt(Input.Index);
  Taken->State = std::move(Input.State);
  LastSnapshot = std::move(Taken);
  uint64_t Kept = Options.Limits.TrailingEntries;
  if (Input.Index > Log.baseIndex() + Kept)
    Log.compactTo(Input.Index - Kept);
  recordCheckpoint();
}

Message Replica::message(ReplicaId Receiver, MessageBody Body) const {
  return {Self.Replica, Receiver, LastVote.Term, std::move(Body)};
}

void Replica::send(const HostId &To, ReplicaId Receiver, MessageBody Body) {
  emit(SendEffect{To, message(Receiver, std::move(Body))});
}

void Replica::sendAfter(uint64_t Token, const HostId &To, Message Sent) {
  if (Token <= PersistedToken) {
    emit(SendEffect{To, std::move(Sent)});
    return;
  }
  // Kept in the order of the tokens; few messages wait at a time.
  auto Place = std::upper_bound(Held.begin(), Held.end(), Token,
                                [](uint64_t Left, const HeldMessage &Right) {
                                  return Left < Right.Token;
                                });
  Held.insert(Place, {Token, To, std::move(Sent)});
}

void Replica::flush() {
  if (Pending.empty())
    return;
  ++LastToken;
  Writes.emplace_back(LastToken, Log.lastIndex());
  emit(PersistEffect{LastToken, std::exchange(Pending, {})});
}

uint64_t Replica::pendingToken() const {
  return Pending.empty() ? LastToken : LastToken + 1;
}

uint64_t Replica::promiseToken() const { return PromiseToken; }

void Replica::recordVote() {
  Pending.NewVote = LastVote;
  PromiseToken = LastToken + 1;
}

void Replica::recordIdentity() {
  Pending.NewIdentity = Self;
  PromiseToken = LastToken + 1;
}

void Replica::recordCheckpoint() {
  Pending = {};
  Pending.NewIdentity = Self;
  Pending.NewVote = LastVote;
  Pending.NewSnapshot = LastSnapshot;
  for (uint64_t Index = LastSnapshot->Index + 1; Index <= Log.lastIndex();
       ++Index)
    Pending.Entries.push_back(Log.at(Index));
}

void Replica::appendEntry(Entry Next) {
  Pending.Entries.push_back(Next);
  Log.append(std::move(Next));
}

void Replica::truncateFrom(uint64_t Index) {
  assert(Index > Commit && "committed entries stay");
  Log.truncateFrom(Index);
  Pending.TruncateFrom = Index;
  DurableIndex = std::min(DurableIndex, Index - 1);
  for (auto &[Token, LastIndex] : Writes)
    LastIndex = std::min(LastIndex, Index - 1);
}

void Replica::commitTo(uint64_t Index) {
  while (Commit < Index) {
    const Entry &Next = Log.at(++Commit);
    if (Next.Kind == EntryKind::Command)
      emit(ApplyEffect{Next.Index, Next.Payload});
    if (isLeader())
      finishProposals(Commit);
  }
  maybeSnapshot();
}

void Replica::maybeSnapshot() {
  uint64_t Covered = LastSnapshot ? LastSnapshot->Index : 0;
  bool Many = Commit - Covered >= Options.Limits.SnapshotEntries;
  bool Large = Log.bytes() >= Options.Limits.SnapshotBytes &&
               Commit > Covered + Options.Limits.TrailingEntries;
  if (SnapshotAsked || !(Many || Large))
    return;
  SnapshotAsked = true;
  emit(TakeSnapshotEffect{Commit});
}

void Replica::becomeFollower(uint64_t NewTerm, std::optional<HostId> Leader) {
  assert(NewTerm >= LastVote.Term && "terms never go back");
  if (isLeader()) {
    abandonRequests();
    ElectionAt = electionDeadline();
  }
  Role = Following{std::move(Leader)};
  if (NewTerm == LastVote.Term)
    return;
  LastVote = {NewTerm, {}};
  recordVote();
}

void Replica::adoptTerm(uint64_t NewTerm) { becomeFollower(NewTerm, {}); }

bool Replica::mayVote() const {
  return Self.Kept != Standing::Blank && Self.Kept != Standing::Refusing;
}

Timestamp Replica::electionDeadline() {
  Duration Timeout = Options.Timing.ElectionTimeout;
  return Now + Timeout + Duration(randomBelow(Random, Timeout.count()));
}

} // namespace ferry::consensus

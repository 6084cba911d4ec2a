#include "LibConsensus/Replica.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

/// Longer syncs count as this, so that a disk that hung does not hold up the
/// next election.
static constexpr Duration MaxCountedSyncTime = std::chrono::seconds(1);

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
  for (Entry &Stored : Recovered.Entries)
    Log.append(std::move(Stored));
  CommitIndex = Log.baseIndex();
  DurableIndex = Log.lastIndex();
  // The first election may start early: while a leader is alive, the other
  // voters refuse the pre-vote.
  auto Jitter =
      randomBelow(Random, this->Options.Timing.ElectionTimeout.count());
  ElectionAt = Now + Duration(Jitter);
  ElectionTimerStartedAt = Now;
}

std::vector<Effect> Replica::step(Event Input, Timestamp StepTime) {
  Now = StepTime;
  std::visit([this](auto &Alternative) { handle(Alternative); }, Input);
  if (isLeader())
    replicateAll();
  flush();
  ReplicaStatus Status = status();
  bool Changed = Status.CurrentStanding != LastStatus.CurrentStanding ||
                 Status.Leader != LastStatus.Leader ||
                 Status.Term != LastStatus.Term;
  LastStatus = std::move(Status);
  if (Changed)
    emit(StandingChangedEffect{});
  return std::exchange(Effects, {});
}

Timestamp Replica::nextDeadline() const {
  if (const auto *Lead = std::get_if<LeaderState>(&Role))
    return std::min(Lead->HeartbeatAt, Lead->QuorumCheckAt);
  bool MayCampaign = standing() == Standing::Voter && electionTimerRuns();
  return MayCampaign ? std::min(ElectionAt, ProbeAt) : ProbeAt;
}

Standing Replica::standing() const {
  if (Self.StoredStanding == Standing::Blank ||
      Self.StoredStanding == Standing::Refusing)
    return Self.StoredStanding;
  bool IsVoter = Log.members().contains(Self.Replica);
  return IsVoter ? Standing::Voter : Standing::Learner;
}

std::optional<HostId> Replica::leader() const {
  if (isLeader())
    return Options.Self;
  if (const auto *Follow = std::get_if<FollowerState>(&Role))
    return Follow->Leader;
  return std::nullopt;
}

ReplicaStatus Replica::status() const {
  ReplicaStatus Status;
  Status.Replica = Self.Replica;
  Status.CurrentStanding = standing();
  Status.IsLeader = isLeader();
  Status.Leader = leader();
  Status.Term = LastVote.Term;
  Status.ElectionsBegun = ElectionsBegun;
  Status.CommitIndex = CommitIndex;
  Status.AppliedIndex = CommitIndex;
  Status.FirstIndex = Log.baseIndex() + 1;
  Status.LastIndex = Log.lastIndex();
  Status.SnapshotIndex = LastSnapshot ? LastSnapshot->Index : 0;
  Status.Members = Log.members();
  return Status;
}

void Replica::handle(TickEvent &) {
  if (auto *Lead = std::get_if<LeaderState>(&Role)) {
    if (Now >= Lead->QuorumCheckAt)
      checkQuorum();
    if (isLeader() && Now >= Lead->HeartbeatAt)
      heartbeat();
    return;
  }
  if (standing() == Standing::Voter && electionTimerRuns() && Now >= ElectionAt)
    beginPreVote();
  if (Now >= ProbeAt)
    probe();
}

bool Replica::admit(const ReceiveEvent &Input) {
  const Message &Received = Input.Received;
  bool ForOtherReplica =
      Received.Receiver.Value != 0 && Received.Receiver != Self.Replica;
  if (ForOtherReplica || Received.Sender == Self.Replica)
    return false;
  bool IgnoresTerm = match(
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
  if (IgnoresTerm)
    return true;
  bool FromLeader =
      std::holds_alternative<wire::AppendRequest>(Received.Body) ||
      std::holds_alternative<wire::SnapshotChunk>(Received.Body);
  if (!FromLeader && !mayVote())
    return false;
  // A replica that hears from a leader grants no vote to depose it.
  if (std::holds_alternative<wire::VoteRequest>(Received.Body) &&
      hasActiveLeader())
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
  auto *Lead = std::get_if<LeaderState>(&Role);
  if (Lead == nullptr)
    return Refuse(ProposeErrorKind::NotLeader);
  if (Input.Command.size() > Options.Limits.MaxCommandBytes)
    return Refuse(ProposeErrorKind::TooLarge);
  if (Log.lastIndex() - CommitIndex >= Options.Limits.MaxUncommittedEntries ||
      Lead->UncommittedBytes + Input.Command.size() >
          Options.Limits.MaxUncommittedBytes)
    return Refuse(ProposeErrorKind::Overloaded);
  Lead->UncommittedBytes += Input.Command.size();
  Lead->Proposals.emplace(Log.lastIndex() + 1, Input.Request);
  appendEntry({Log.lastIndex() + 1, LastVote.Term, EntryKind::Command,
               std::move(Input.Command)});
}

void Replica::handle(ReadEvent &Input) {
  auto *Lead = std::get_if<LeaderState>(&Role);
  if (Lead == nullptr) {
    emit(ReadDone{Input.Request,
                  makeError(ReadError{ReadErrorKind::NotLeader, leader()})});
    return;
  }
  bool RoundUnderWay = !Lead->Reads.empty() || !Lead->MembershipChecks.empty();
  Lead->Reads.push_back({Input.Request, Lead->Round + 1});
  if (!RoundUnderWay)
    startRound();
}

void Replica::handle(PersistedEvent &Input) {
  recordSync(Input.Token);
  while (!DelayedMessages.empty() &&
         DelayedMessages.front().Token <= PersistedToken) {
    emit(SendEffect{DelayedMessages.front().To,
                    std::move(DelayedMessages.front().Content)});
    DelayedMessages.pop_front();
  }
  if (std::holds_alternative<CandidateState>(Role))
    countVotes();
  else if (isLeader())
    advanceCommit();
}

void Replica::recordSync(uint64_t Token) {
  bool TimerStopped = !electionTimerRuns();
  PersistedToken = std::max(PersistedToken, Token);
  if (TimerStopped && electionTimerRuns())
    ElectionAt += Now - std::max(HardStateChangedAt, ElectionTimerStartedAt);
  if (PendingWrites.empty() || PendingWrites.front().Token > PersistedToken)
    return;
  SyncTimeBefore =
      std::exchange(LastSyncTime, Now - PendingWrites.front().EmittedAt);
  while (!PendingWrites.empty() &&
         PendingWrites.front().Token <= PersistedToken) {
    DurableIndex = PendingWrites.front().LastIndex;
    PendingWrites.pop_front();
  }
}

void Replica::handle(HostsEvent &Input) { Discovered = std::move(Input.Hosts); }

void Replica::handle(SnapshotTakenEvent &Input) {
  SnapshotRequested = false;
  bool Obsolete = LastSnapshot && LastSnapshot->Index >= Input.Index;
  if (Obsolete || Input.Index <= Log.baseIndex())
    return;
  auto NewSnapshot = std::make_shared<Snapshot>();
  NewSnapshot->Index = Input.Index;
  NewSnapshot->Term = *Log.termAt(Input.Index);
  NewSnapshot->Members = Log.membersAt(Input.Index);
  NewSnapshot->State = std::move(Input.State);
  LastSnapshot = std::move(NewSnapshot);
  Log.compactTo(trailingBase(Input.Index));
  recordCheckpoint();
}

uint64_t Replica::trailingBase(uint64_t SnapshotIndex) const {
  uint64_t Base = SnapshotIndex;
  uint64_t Bytes = 0;
  while (Base > Log.baseIndex() &&
         SnapshotIndex - Base < Options.Limits.TrailingEntries) {
    Bytes += Log.at(Base).Payload.size();
    if (Bytes > Options.Limits.maxTrailingBytes())
      break;
    --Base;
  }
  return Base;
}

Message Replica::message(ReplicaId Receiver, MessageBody Body) const {
  return {Self.Replica, Receiver, LastVote.Term, std::move(Body)};
}

void Replica::send(const HostId &To, ReplicaId Receiver, MessageBody Body) {
  emit(SendEffect{To, message(Receiver, std::move(Body))});
}

void Replica::sendAfter(uint64_t Token, const HostId &To, Message Content) {
  if (Token <= PersistedToken) {
    emit(SendEffect{To, std::move(Content)});
    return;
  }
  // In the order of the tokens; only few messages wait at a time.
  auto Position =
      std::upper_bound(DelayedMessages.begin(), DelayedMessages.end(), Token,
                       [](uint64_t Left, const DelayedMessage &Right) {
                         return Left < Right.Token;
                       });
  DelayedMessages.insert(Position, {Token, To, std::move(Content)});
}

void Replica::flush() {
  if (PendingBatch.empty())
    return;
  ++LastToken;
  PendingWrites.push_back({LastToken, Log.lastIndex(), Now});
  emit(PersistEffect{LastToken, std::exchange(PendingBatch, {})});
}

uint64_t Replica::pendingToken() const {
  return PendingBatch.empty() ? LastToken : LastToken + 1;
}

uint64_t Replica::hardStateToken() const { return HardStateToken; }

void Replica::recordVote() {
  PendingBatch.NewVote = LastVote;
  noteHardStateChange();
}

void Replica::recordIdentity() {
  PendingBatch.NewIdentity = Self;
  noteHardStateChange();
}

void Replica::noteHardStateChange() {
  if (hardStateToken() <= PersistedToken)
    HardStateChangedAt = Now;
  HardStateToken = LastToken + 1;
}

void Replica::recordCheckpoint() {
  PendingBatch = {};
  PendingBatch.NewIdentity = Self;
  PendingBatch.NewVote = LastVote;
  PendingBatch.NewSnapshot = LastSnapshot;
  for (uint64_t Index = LastSnapshot->Index + 1; Index <= Log.lastIndex();
       ++Index)
    PendingBatch.Entries.push_back(Log.at(Index));
}

void Replica::appendEntry(Entry NewEntry) {
  PendingBatch.Entries.push_back(NewEntry);
  Log.append(std::move(NewEntry));
}

void Replica::truncateFrom(uint64_t Index) {
  assert(Index > CommitIndex && "committed entries stay");
  Log.truncateFrom(Index);
  PendingBatch.TruncateFrom = Index;
  DurableIndex = std::min(DurableIndex, Index - 1);
  for (PendingWrite &Write : PendingWrites)
    Write.LastIndex = std::min(Write.LastIndex, Index - 1);
}

void Replica::commitTo(uint64_t Index) {
  while (CommitIndex < Index) {
    const Entry &Committed = Log.at(++CommitIndex);
    if (Committed.Kind == EntryKind::Command)
      emit(ApplyEffect{Committed.Index, Committed.Payload});
    if (isLeader())
      finishProposals(CommitIndex);
  }
  maybeSnapshot();
}

void Replica::maybeSnapshot() {
  uint64_t SnapshotIndex = LastSnapshot ? LastSnapshot->Index : 0;
  bool TooManyEntries =
      CommitIndex - SnapshotIndex >= Options.Limits.SnapshotEntries;
  // Entries that are not committed yet would still be there after a snapshot.
  bool TooManyBytes = Log.bytes() >= Options.Limits.SnapshotBytes &&
                      Log.bytesIn(SnapshotIndex, CommitIndex) >=
                          Options.Limits.maxTrailingBytes();
  if (SnapshotRequested || !(TooManyEntries || TooManyBytes))
    return;
  SnapshotRequested = true;
  emit(TakeSnapshotEffect{CommitIndex});
}

void Replica::becomeFollower(uint64_t NewTerm, std::optional<HostId> Leader) {
  assert(NewTerm >= LastVote.Term && "terms never go back");
  if (isLeader()) {
    abandonRequests();
    restartElectionTimer();
  }
  Role = FollowerState{std::move(Leader)};
  if (NewTerm == LastVote.Term)
    return;
  LastVote = {NewTerm, {}};
  recordVote();
}

void Replica::adoptTerm(uint64_t NewTerm) { becomeFollower(NewTerm, {}); }

bool Replica::mayVote() const {
  return Self.StoredStanding != Standing::Blank &&
         Self.StoredStanding != Standing::Refusing;
}

void Replica::restartElectionTimer() {
  // A single slow sync does not count.
  Duration SyncTime =
      std::min({LastSyncTime, SyncTimeBefore, MaxCountedSyncTime});
  Duration Timeout = Options.Timing.ElectionTimeout + 2 * SyncTime;
  ElectionTimerStartedAt = Now;
  ElectionAt = Now + Timeout + Duration(randomBelow(Random, Timeout.count()));
}

} // namespace ferry::consensus

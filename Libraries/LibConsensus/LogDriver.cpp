#include "LibConsensus/LogDriver.h"
#include "LibConsensus/Storage.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::consensus {

static ReplicaId drawReplicaId(RandomGenerator &Random) {
  // Not 0, and fits a signed 64-bit field.
  return {(Random() >> 1) | 1};
}

LogDriver::LogDriver(LogOptions InitialOptions, ControlLoop &Loop,
                     LogHooks Hooks)
    : Options(std::move(InitialOptions)), Loop(Loop), Hooks(std::move(Hooks)),
      Random(Options.Seed), Alive(std::make_shared<bool>(true)) {}

LogDriver::~LogDriver() { close(); }

Result<std::unique_ptr<LogDriver>, StorageError>
LogDriver::tryOpen(LogOptions Options, ControlLoop &Loop, LogHooks Hooks) {
  const auto &Members = Options.Members;
  bool Listed =
      std::find(Members.begin(), Members.end(), Options.Self) != Members.end();
  if (!Listed && Options.Source == MemberSource::Listed)
    return makeTypedError(StorageErrorKind::BadOptions,
                          "this host is not among the members");
  auto Files =
      LogFiles::tryOpen(Options.Folder, {Options.Cluster, Options.Group});
  if (!Files)
    return tl::unexpected(Files.error());
  std::unique_ptr<LogDriver> Driver(
      new LogDriver(std::move(Options), Loop, std::move(Hooks)));
  auto Recovered = Driver->tryRecover(*Files);
  if (!Recovered)
    return tl::unexpected(Recovered.error());
  Driver->start(std::move(*Files), std::move(*Recovered));
  return Driver;
}

Result<DurableState, StorageError> LogDriver::tryRecover(LogFiles &Files) {
  auto Recovered = Files.tryRecover();
  if (Recovered && *Recovered)
    return std::move(**Recovered);
  DurableState NewState;
  NewState.Self.Replica = drawReplicaId(Random);
  if (!Recovered) {
    if (Recovered.error().Kind != StorageErrorKind::Damaged)
      return tl::unexpected(Recovered.error());
    // Its earlier votes and acknowledgements are lost, so it must not vote.
    Damage = Recovered.error();
    NewState.Self.StoredStanding = Standing::Refusing;
  }
  auto Initialised = Files.tryInitialise(NewState.Self);
  if (!Initialised)
    return tl::unexpected(Initialised.error());
  return NewState;
}

void LogDriver::start(LogFiles Files, DurableState Recovered) {
  InitialState = Hooks.TakeSnapshot();
  auto OnSynced = [this,
                   Alive = Alive](Result<uint64_t, StorageError> SyncedToken) {
    Loop.post([this, Alive, SyncedToken = std::move(SyncedToken)] {
      if (*Alive)
        onPersisted(SyncedToken);
    });
  };
  Disk = std::make_unique<Storage>(std::move(Files), std::move(OnSynced));
  makeReplica(std::move(Recovered));
  Loop.post([this, Alive = Alive] {
    if (*Alive)
      processEvent(TickEvent{});
  });
}

void LogDriver::makeReplica(DurableState State) {
  ReplicaOptions ForReplica;
  ForReplica.Cluster = Options.Cluster;
  ForReplica.Group = Options.Group;
  ForReplica.Self = Options.Self;
  ForReplica.Hosts = Options.Members;
  ForReplica.Members = Options.Source;
  bool Listed = std::find(Options.Members.begin(), Options.Members.end(),
                          Options.Self) != Options.Members.end();
  ForReplica.MayForm = Options.MayForm && Listed;
  ForReplica.WantedVoters = Options.WantedVoters;
  ForReplica.Seed = Random();
  ForReplica.Timing = Options.Timing;
  ForReplica.Limits = Options.Limits;
  LocalReplica = std::make_unique<Replica>(std::move(ForReplica),
                                           std::move(State), steadyNow());
}

void LogDriver::onPersisted(const Result<uint64_t, StorageError> &SyncedToken) {
  if (!SyncedToken)
    return fail(SyncedToken.error());
  auto Covers = [&](const UnsyncedWrite &Write) {
    return Write.Token <= *SyncedToken;
  };
  if (!UnsyncedWrites.empty() && Covers(UnsyncedWrites.front()) && Hooks.Synced)
    Hooks.Synced(steadyNow() - UnsyncedWrites.front().QueuedAt);
  while (!UnsyncedWrites.empty() && Covers(UnsyncedWrites.front()))
    UnsyncedWrites.pop_front();
  // Tokens of an earlier replica are ignored.
  if (*SyncedToken > TokenBase)
    processEvent(PersistedEvent{*SyncedToken - TokenBase});
}

void LogDriver::receive(const HostId &From, std::string_view Payload) {
  auto Received = tryDecodeMessage(Options.Cluster, Options.Group, Payload);
  if (!Received) {
    ++Dropped;
    return;
  }
  processEvent(ReceiveEvent{From, std::move(*Received)});
}

void LogDriver::setDiscoveredHosts(std::vector<HostId> Hosts) {
  processEvent(HostsEvent{std::move(Hosts)});
}

void LogDriver::propose(std::string Command, ProposeCallback Done) {
  if (Closed || Failure)
    return Done(makeError(ProposeError{ProposeErrorKind::NotLeader, {}}));
  uint64_t Request = NextRequest++;
  Proposals.emplace(Request, std::move(Done));
  processEvent(ProposeEvent{Request, std::move(Command)});
}

void LogDriver::confirmRead(ReadCallback Done) {
  if (Closed || Failure)
    return Done(makeError(ReadError{ReadErrorKind::Closed, {}}));
  uint64_t Request = NextRequest++;
  Reads.emplace(Request, std::move(Done));
  processEvent(ReadEvent{Request});
}

std::optional<HostId> LogDriver::leader() const {
  return Failure ? std::nullopt : LocalReplica->leader();
}

void LogDriver::visitUnapplied(
    const std::function<void(std::string_view)> &Visit) const {
  if (Failure)
    return;
  const EntryLog &Log = LocalReplica->log();
  uint64_t First = LocalReplica->status().AppliedIndex + 1;
  for (uint64_t Index = First; Index <= Log.lastIndex(); ++Index)
    if (Log.at(Index).Kind == EntryKind::Command)
      Visit(Log.at(Index).Payload);
}

bool LogDriver::isLeader() const {
  return !Failure && LocalReplica->isLeader();
}

bool LogDriver::isVoter() const { return standing() == Standing::Voter; }

Standing LogDriver::standing() const {
  return Failure ? Standing::Refusing : LocalReplica->standing();
}

ReplicaStatus LogDriver::status() const { return LocalReplica->status(); }

std::optional<Timestamp> LogDriver::oldestUnsyncedWrite() const {
  if (UnsyncedWrites.empty())
    return std::nullopt;
  return UnsyncedWrites.front().QueuedAt;
}

void LogDriver::processEvent(Event Input) {
  PendingEvents.push_back(std::move(Input));
  if (!Draining)
    drainEvents();
}

void LogDriver::drainEvents() {
  // Hooks and callbacks may call the driver, and may close it.
  std::shared_ptr<bool> StillAlive = Alive;
  Draining = true;
  while (*StillAlive && !Closed && !Failure && !PendingEvents.empty()) {
    Event Input = std::move(PendingEvents.front());
    PendingEvents.pop_front();
    const Replica *Current = LocalReplica.get();
    for (Effect &Output : LocalReplica->step(std::move(Input), steadyNow())) {
      if (!*StillAlive || Closed || Failure || LocalReplica.get() != Current)
        break;
      runEffect(Output);
    }
  }
  if (!*StillAlive)
    return;
  Draining = false;
  if (Closed || Failure)
    return;
  armTimer();
  // Heartbeats make this call a frequent one.
  if (!UnsyncedWrites.empty())
    Disk->overlapSlowSync();
}

void LogDriver::runEffect(Effect &Output) {
  match(
      Output, [&](SendEffect &Send) { send(Send.To, Send.Sent); },
      [&](PersistEffect &Write) {
        LastToken = TokenBase + Write.Token;
        UnsyncedWrites.push_back({LastToken, steadyNow()});
        Disk->write(LastToken, std::move(Write.Batch));
      },
      [&](ApplyEffect &Committed) {
        Hooks.Apply(Committed.Index, Committed.Command);
      },
      [&](RestoreEffect &Restore) { restore(Restore.Restored->State); },
      [&](TakeSnapshotEffect &Request) {
        PendingEvents.push_front(
            SnapshotTakenEvent{Request.Index, Hooks.TakeSnapshot()});
      },
      [&](ProposalDone &Done) {
        auto Callback = Proposals.extract(Done.Request);
        if (!Callback.empty())
          Callback.mapped()(std::move(Done.Outcome));
      },
      [&](ReadDone &Done) {
        auto Callback = Reads.extract(Done.Request);
        if (!Callback.empty())
          Callback.mapped()(std::move(Done.Outcome));
      },
      [&](StandingChangedEffect &) {
        if (Hooks.StandingChanged)
          Hooks.StandingChanged();
      },
      [&](DismissedEffect &) { restartAsNewReplica(); });
}

void LogDriver::send(const HostId &To, const Message &Content) {
  Hooks.Send(To, encodeMessage(Options.Cluster, Options.Group, Content));
}

void LogDriver::restore(std::string_view State) {
  auto Restored = Hooks.RestoreSnapshot(State);
  if (!Restored)
    fail(Restored.error());
}

void LogDriver::restartAsNewReplica() {
  DurableState NewState;
  NewState.Self.Replica = drawReplicaId(Random);
  NewState.Self.StoredStanding = Standing::Refusing;
  auto Initialised = Disk->tryInitialise(NewState.Self);
  if (!Initialised)
    return fail(Initialised.error());
  TokenBase = LastToken;
  PendingEvents.clear();
  makeReplica(std::move(NewState));
  // The log is applied from its first entry again, so the state starts over.
  restore(InitialState);
}

void LogDriver::fail(StorageError Reason) {
  if (Failure || Closed)
    return;
  Failure = std::move(Reason);
  failCallbacks();
  if (Hooks.StandingChanged)
    Hooks.StandingChanged();
}

void LogDriver::failCallbacks() {
  for (auto &[Request, Done] : std::exchange(Proposals, {}))
    Done(makeError(ProposeError{ProposeErrorKind::Closed, {}}));
  for (auto &[Request, Done] : std::exchange(Reads, {}))
    Done(makeError(ReadError{ReadErrorKind::Closed, {}}));
}

void LogDriver::armTimer() {
  Timestamp Deadline = LocalReplica->nextDeadline();
  if (Timer && Timer->first == Deadline)
    return;
  if (Timer)
    Loop.cancel(*Timer);
  Timer = Loop.at(Deadline, [this, Alive = Alive] {
    if (!*Alive)
      return;
    Timer.reset();
    processEvent(TickEvent{});
  });
}

void LogDriver::close() {
  if (Closed)
    return;
  Closed = true;
  if (Timer)
    Loop.cancel(*Timer);
  Timer.reset();
  Disk.reset();
  failCallbacks();
  *Alive = false;
}

} // namespace ferry::consensus

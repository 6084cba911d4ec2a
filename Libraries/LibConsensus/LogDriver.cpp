#include "LibConsensus/LogDriver.h"
#include "LibConsensus/Storage.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::consensus {

static ReplicaId drawReplicaId(RandomGenerator &Random) {
  // Never 0, and within the wire's signed integers.
  return {(Random() >> 1) | 1};
}

LogDriver::LogDriver(LogOptions Given, ControlLoop &Loop, LogHooks Hooks)
    : Options(std::move(Given)), Loop(Loop), Hooks(std::move(Hooks)),
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
  DurableState Fresh;
  Fresh.Self.Replica = drawReplicaId(Random);
  if (!Recovered) {
    if (Recovered.error().Kind != StorageErrorKind::Damaged)
      return tl::unexpected(Recovered.error());
    // What it has promised is not known any more: it must not vote.
    Damage = Recovered.error();
    Fresh.Self.Kept = Standing::Refusing;
  }
  auto Started = Files.tryStartAnew(Fresh.Self);
  if (!Started)
    return tl::unexpected(Started.error());
  return Fresh;
}

void LogDriver::start(LogFiles Files, DurableState Recovered) {
  InitialState = Hooks.TakeSnapshot();
  auto Report = [this, Alive = Alive](Result<uint64_t, StorageError> Written) {
    Loop.post([this, Alive, Written = std::move(Written)] {
      if (*Alive)
        persisted(Written);
    });
  };
  Disk = std::make_unique<Storage>(std::move(Files), std::move(Report));
  makeReplica(std::move(Recovered));
  Loop.post([this, Alive = Alive] {
    if (*Alive)
      stepNow(TickEvent{});
  });
}

void LogDriver::makeReplica(DurableState State) {
  ReplicaOptions Settings;
  Settings.Cluster = Options.Cluster;
  Settings.Group = Options.Group;
  Settings.Self = Options.Self;
  Settings.Hosts = Options.Members;
  Settings.Members = Options.Source;
  bool Listed = std::find(Options.Members.begin(), Options.Members.end(),
                          Options.Self) != Options.Members.end();
  Settings.MayForm = Options.MayForm && Listed;
  Settings.WantedVoters = Options.WantedVoters;
  Settings.Seed = Random();
  Settings.Timing = Options.Timing;
  Settings.Limits = Options.Limits;
  Machine = std::make_unique<Replica>(std::move(Settings), std::move(State),
                                      steadyNow());
}

void LogDriver::persisted(const Result<uint64_t, StorageError> &Written) {
  if (!Written)
    return fail(Written.error());
  // Tokens of a replica that was replaced count for nothing.
  if (*Written > TokenBase)
    stepNow(PersistedEvent{*Written - TokenBase});
}

void LogDriver::receive(const HostId &From, std::string_view Payload) {
  auto Received = tryDecodeMessage(Options.Cluster, Options.Group, Payload);
  if (!Received) {
    ++Dropped;
    return;
  }
  stepNow(ReceiveEvent{From, std::move(*Received)});
}

void LogDriver::hostsKnown(std::vector<HostId> Hosts) {
  stepNow(HostsEvent{std::move(Hosts)});
}

void LogDriver::propose(std::string Command, ProposeCallback Done) {
  if (Closed || Failure)
    return Done(makeError(ProposeError{ProposeErrorKind::NotLeader, {}}));
  uint64_t Request = NextRequest++;
  Proposals.emplace(Request, std::move(Done));
  stepNow(ProposeEvent{Request, std::move(Command)});
}

void LogDriver::confirmRead(ReadCallback Done) {
  if (Closed || Failure)
    return Done(makeError(ReadError{ReadErrorKind::Closed, {}}));
  uint64_t Request = NextRequest++;
  Reads.emplace(Request, std::move(Done));
  stepNow(ReadEvent{Request});
}

std::optional<HostId> LogDriver::leader() const {
  return Failure ? std::nullopt : Machine->leader();
}

void LogDriver::visitUnapplied(
    const std::function<void(std::string_view)> &Visit) const {
  if (Failure)
    return;
  const EntryLog &Log = Machine->log();
  uint64_t First = Machine->status().AppliedIndex + 1;
  for (uint64_t Index = First; Index <= Log.lastIndex(); ++Index)
    if (Log.at(Index).Kind == EntryKind::Command)
      Visit(Log.at(Index).Payload);
}

bool LogDriver::isLeader() const { return !Failure && Machine->isLeader(); }

bool LogDriver::isVoter() const { return standing() == Standing::Voter; }

Standing LogDriver::standing() const {
  return Failure ? Standing::Refusing : Machine->standing();
}

ReplicaStatus LogDriver::status() const { return Machine->status(); }

void LogDriver::stepNow(Event Input) {
  Waiting.push_back(std::move(Input));
  if (!Draining)
    drainEvents();
}

void LogDriver::drainEvents() {
  // Hooks and callbacks may call back into the driver; and may close it.
  std::shared_ptr<bool> StillAlive = Alive;
  Draining = true;
  while (*StillAlive && !Closed && !Failure && !Waiting.empty()) {
    Event Next = std::move(Waiting.front());
    Waiting.pop_front();
    const Replica *Stepped = Machine.get();
    for (Effect &Output : Machine->step(std::move(Next), steadyNow())) {
      if (!*StillAlive || Closed || Failure || Machine.get() != Stepped)
        break;
      run(Output);
    }
  }
  if (!*StillAlive)
    return;
  Draining = false;
  if (!Closed && !Failure)
    armTimer();
}

void LogDriver::run(Effect &Output) {
  match(
      Output, [&](SendEffect &Sent) { runSend(Sent.To, Sent.Sent); },
      [&](PersistEffect &Written) {
        LastToken = TokenBase + Written.Token;
        Disk->write(LastToken, std::move(Written.Batch));
      },
      [&](ApplyEffect &Applied) {
        Hooks.Apply(Applied.Index, Applied.Command);
      },
      [&](RestoreEffect &Restored) { restore(Restored.Restored->State); },
      [&](TakeSnapshotEffect &Asked) {
        Waiting.push_front(
            SnapshotTakenEvent{Asked.Index, Hooks.TakeSnapshot()});
      },
      [&](ProposalDone &Done) {
        auto Found = Proposals.extract(Done.Request);
        if (!Found.empty())
          Found.mapped()(std::move(Done.Outcome));
      },
      [&](ReadDone &Done) {
        auto Found = Reads.extract(Done.Request);
        if (!Found.empty())
          Found.mapped()(std::move(Done.Outcome));
      },
      [&](StandingChangedEffect &) {
        if (Hooks.StandingChanged)
          Hooks.StandingChanged();
      },
      [&](DismissedEffect &) { startAnew(); });
}

void LogDriver::runSend(const HostId &To, const Message &Sent) {
  Hooks.Send(To, encodeMessage(Options.Cluster, Options.Group, Sent));
}

void LogDriver::restore(std::string_view State) {
  auto Restored = Hooks.RestoreSnapshot(State);
  if (!Restored)
    fail(Restored.error());
}

void LogDriver::startAnew() {
  DurableState Fresh;
  Fresh.Self.Replica = drawReplicaId(Random);
  Fresh.Self.Kept = Standing::Refusing;
  auto Started = Disk->tryStartAnew(Fresh.Self);
  if (!Started)
    return fail(Started.error());
  TokenBase = LastToken;
  Waiting.clear();
  makeReplica(std::move(Fresh));
  // The log will be applied from its first entry again.
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
  Timestamp Deadline = Machine->nextDeadline();
  if (Timer && Timer->first == Deadline)
    return;
  if (Timer)
    Loop.cancel(*Timer);
  Timer = Loop.at(Deadline, [this, Alive = Alive] {
    if (!*Alive)
      return;
    Timer.reset();
    stepNow(TickEvent{});
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

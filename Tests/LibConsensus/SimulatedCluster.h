/// \file
/// A deterministic simulation of the replicas of a log in virtual time. The
/// seed decides all random choices, also of the network and the disks.
#ifndef FERRY_TESTS_LIBCONSENSUS_SIMULATEDCLUSTER_H
#define FERRY_TESTS_LIBCONSENSUS_SIMULATEDCLUSTER_H

#include "LibConsensus/MemoryDisk.h"
#include "LibConsensus/Oracle.h"
#include "LibCore/Visit.h"
#include <deque>
#include <functional>

namespace ferry::consensus {

using namespace std::chrono_literals;

/// Deliberate defects, which the oracle must detect.
enum class Defect : uint8_t {
  None,
  /// Entries and votes count before they are synced.
  CountBeforeSync,
  /// A host with a wiped disk keeps its old identity.
  KeepIdentity,
  /// A leader answers reads without confirming them with a quorum.
  ReadWithoutQuorum,
  /// A log that is damaged before its tail is truncated there, as if the rest
  /// were a torn tail.
  TruncateAtDamage
};

/// Loss, duplication and delay of messages.
struct NetworkFaults {
  uint64_t DropPerMille = 0;
  uint64_t DuplicatePerMille = 0;
  Duration MinDelay = 500us;
  Duration MaxDelay = 2ms;
};

/// One control host. Its disk outlives its replica.
struct SimulatedHost {
  HostId Host;
  MemoryDisk Disk;
  /// The disk that was removed last, if any.
  MemoryDisk RemovedDisk;
  /// Null while the process is down.
  std::unique_ptr<Replica> LocalReplica;
  ChainState State;
  /// Each host has a clock of its own; their times are not comparable.
  Duration ClockOffset{};
  Timestamp FrozenUntil{};
  /// Writes that are not synced, in order.
  std::deque<PersistEffect> Writes;
  /// Rises with each start and crash; events of earlier incarnations are
  /// ignored.
  uint64_t Incarnation = 0;
};

class SimulatedCluster {
public:
  SimulatedCluster(size_t Count, uint64_t Seed,
                   Defect InjectedDefect = Defect::None)
      : Random(Seed), InjectedDefect(InjectedDefect) {
    Limits.SnapshotEntries = 30;
    Limits.TrailingEntries = 8;
    Limits.SnapshotChunkBytes = 32;
    for (size_t Index = 0; Index < Count; ++Index) {
      auto &NewHost = Hosts.emplace_back();
      NewHost.Host = {std::string(1, static_cast<char>('a' + Index))};
      NewHost.ClockOffset = Duration(randomBelow(Random, 1'000'000'000));
    }
  }

  void startAll() {
    for (SimulatedHost &Host : Hosts)
      start(Host);
  }

  void start(SimulatedHost &Host) {
    DurableState Recovered;
    Recovered.Self.Replica = {(Random() >> 1) | 1};
    if (!Host.Disk.blank()) {
      auto Read = Host.Disk.tryRecover();
      if (Read)
        Recovered = std::move(*Read);
      else if (InjectedDefect == Defect::TruncateAtDamage)
        Recovered = truncateAtDamage(Host);
      else
        Recovered.Self.StoredStanding = Standing::Refusing;
      if (!Read && InjectedDefect != Defect::TruncateAtDamage)
        Host.Disk = {};
    } else if (InjectedDefect == Defect::KeepIdentity &&
               FormedIdentities.count(Host.Host) != 0) {
      Recovered.Self = FormedIdentities[Host.Host];
    }
    startWith(Host, std::move(Recovered));
  }

  /// Ends the process; writes that are not synced are lost or torn.
  void crash(SimulatedHost &Host) {
    if (!Host.LocalReplica)
      return;
    if (!Host.Writes.empty() && Random() % 2 == 0)
      Host.Disk.tear(Host.Writes.front().Batch, Random);
    Host.Writes.clear();
    Host.LocalReplica.reset();
    ++Host.Incarnation;
  }

  /// Crashes \p Host and replaces its disk by \p NewDisk.
  void swapDisk(SimulatedHost &Host, MemoryDisk NewDisk) {
    crash(Host);
    if (auto Read = Host.Disk.tryRecover())
      Checks.identityLost(Read->Self.Replica);
    Host.RemovedDisk = std::exchange(Host.Disk, std::move(NewDisk));
    if (auto Read = Host.Disk.tryRecover())
      Checks.identityReturned(Read->Self.Replica);
  }

  /// Replaces \p Host by an empty host with a new name, which the other hosts
  /// discover. The seeds in their options still name the lost host.
  void replace(SimulatedHost &Host) {
    swapDisk(Host, {});
    Host.Host = {"new-" + std::to_string(++Replacements)};
    for (SimulatedHost &Other : Hosts)
      if (Other.LocalReplica)
        step(Other, HostsEvent{hostIds()});
  }

  /// \returns whether the log must survive the loss of the disk of \p Host,
  /// that is, whether a quorum of every configuration that may be in force
  /// keeps its disks.
  bool mayLoseDisk(const SimulatedHost &Host) {
    std::set<ReplicaId> Intact;
    std::vector<Configuration> InForce;
    for (SimulatedHost &Other : Hosts) {
      auto Read = Other.Disk.tryRecover();
      if (!Read)
        continue;
      if (&Other != &Host)
        Intact.insert(Read->Self.Replica);
      EntryLog Log;
      Log.reset(0, 0, Read->Self.Formation.value_or(Configuration{}));
      if (auto &Stored = Read->LastSnapshot)
        Log.reset(Stored->Index, Stored->Term, Stored->Members);
      for (const Entry &Stored : Read->Entries)
        Log.append(Stored);
      if (Log.membersIndex() >= Checks.committedMembersIndex())
        InForce.push_back(Log.members());
      if (Other.LocalReplica)
        InForce.push_back(Other.LocalReplica->log().members());
    }
    for (const Configuration &Members : InForce) {
      size_t IntactVoters = 0;
      for (const Member &Voter : Members.Voters)
        IntactVoters += Intact.count(Voter.Replica);
      if (IntactVoters < Members.quorum())
        return false;
    }
    return true;
  }

  void step(SimulatedHost &Host, Event Input) {
    uint64_t Before = Host.LocalReplica->commitIndex();
    uint64_t Incarnation = Host.Incarnation;
    Configuration Members = Host.LocalReplica->log().members();
    auto Effects = Host.LocalReplica->step(std::move(Input), clock(Host));
    Checks.observe(*Host.LocalReplica, Before);
    if (Host.LocalReplica->isLeader())
      requireSyncedMembers(*Host.LocalReplica, Members);
    for (Effect &Output : Effects) {
      run(Host, Output);
      if (Host.Incarnation != Incarnation)
        return;
    }
    if (auto NewSnapshot = std::exchange(TakenSnapshot, std::nullopt))
      step(Host, std::move(*NewSnapshot));
  }

  void after(Duration Delay, std::function<void()> Work) {
    Events.emplace(std::pair(Now + Delay, NextEvent++), std::move(Work));
  }

  void runFor(Duration Span) {
    runUntil([] { return false; }, Span);
  }

  /// Runs until \p Condition is true, for \p Span at most.
  /// \returns whether it became true.
  bool runUntil(const std::function<bool()> &Condition, Duration Span) {
    Timestamp End = Now + Span;
    while (!Condition()) {
      SimulatedHost *TickHost = nextTick();
      Timestamp TickAt = TickHost ? dueAt(*TickHost) : NeverExpires;
      Timestamp EventAt =
          Events.empty() ? NeverExpires : Events.begin()->first.first;
      if (std::min(TickAt, EventAt) > End) {
        Now = End;
        return Condition();
      }
      Now = std::max(Now, std::min(TickAt, EventAt));
      if (EventAt <= TickAt)
        Events.extract(Events.begin()).mapped()();
      else
        step(*TickHost, TickEvent{});
    }
    return true;
  }

  SimulatedHost *leader() {
    SimulatedHost *Leader = nullptr;
    for (SimulatedHost &Host : Hosts)
      if (Host.LocalReplica && Host.LocalReplica->isLeader() &&
          (!Leader || Host.LocalReplica->status().Term >
                          Leader->LocalReplica->status().Term))
        Leader = &Host;
    return Leader;
  }

  void propose(SimulatedHost &Host, const std::string &Command) {
    uint64_t Request = NextRequest++;
    Proposals[Request] = Command;
    step(Host, ProposeEvent{Request, Command});
  }

  void read(SimulatedHost &Host) {
    uint64_t Request = NextRequest++;
    Reads[Request] = Checks.requiredReadIndex();
    if (InjectedDefect == Defect::ReadWithoutQuorum &&
        Host.LocalReplica->isLeader())
      return Checks.readDone(Reads[Request], Host.LocalReplica->commitIndex());
    step(Host, ReadEvent{Request});
  }

  /// \returns whether there is a leader, the number of voters is as intended,
  /// and all hosts have applied the same state.
  bool settled() {
    bool Listed = Source == MemberSource::Listed;
    SimulatedHost *Leader = leader();
    if (!Leader || Leader->LocalReplica->status().Members.Voters.size() !=
                       (Listed ? Hosts.size() : WantedVoters))
      return false;
    for (SimulatedHost &Host : Hosts)
      if (!Host.LocalReplica ||
          (Listed && Host.LocalReplica->standing() != Standing::Voter) ||
          Host.LocalReplica->commitIndex() !=
              Leader->LocalReplica->log().lastIndex() ||
          !(Host.State == Leader->State))
        return false;
    return true;
  }

  void matchLogs() {
    for (SimulatedHost &Left : Hosts)
      for (SimulatedHost &Right : Hosts)
        if (&Left < &Right && Left.LocalReplica && Right.LocalReplica)
          Checks.match(Left.LocalReplica->log(), Right.LocalReplica->log());
  }

  RandomGenerator Random;
  Defect InjectedDefect;
  Oracle Checks;
  Timestamp Now{};
  std::vector<SimulatedHost> Hosts;
  NetworkFaults Network;
  Duration MinSyncTime = 1us;
  Duration MaxSyncTime = 3ms;
  ReplicaTiming Timing;
  ReplicaLimits Limits;
  /// Where members are discovered, the first Seeds hosts form the log.
  MemberSource Source = MemberSource::Listed;
  size_t Seeds = 3;
  bool MayForm = true;
  size_t WantedVoters = 3;
  /// Directed links, sender first, that lose all messages.
  std::set<std::pair<HostId, HostId>> CutLinks;
  struct Traffic {
    uint64_t Messages = 0;
    uint64_t Bytes = 0;
  };
  /// Messages that each host has sent.
  std::map<HostId, Traffic> Sent;
  /// Whether to count the bytes of messages, which encodes each of them.
  bool CountBytes = false;

private:
  Timestamp clock(const SimulatedHost &Host) const {
    return Now + Host.ClockOffset;
  }
  Timestamp dueAt(const SimulatedHost &Host) const {
    return std::max({Host.LocalReplica->nextDeadline() - Host.ClockOffset,
                     Host.FrozenUntil, Now});
  }

  SimulatedHost *nextTick() {
    SimulatedHost *Earliest = nullptr;
    for (SimulatedHost &Host : Hosts)
      if (Host.LocalReplica && (!Earliest || dueAt(Host) < dueAt(*Earliest)))
        Earliest = &Host;
    return Earliest;
  }

  void startWith(SimulatedHost &Host, DurableState Recovered) {
    ++Host.Incarnation;
    Host.State = {};
    if (Host.Disk.blank()) {
      WriteBatch First;
      First.NewIdentity = Recovered.Self;
      Host.Disk.writeSynced(First);
    }
    ReplicaOptions Options;
    Options.Cluster = {"sim"};
    Options.Self = Host.Host;
    Options.Members = Source;
    if (FirstHosts.empty())
      FirstHosts = hostIds();
    Options.Hosts = FirstHosts;
    if (Source == MemberSource::Discovered)
      Options.Hosts.resize(std::min(Seeds, FirstHosts.size()));
    Options.MayForm = MayForm;
    Options.WantedVoters = WantedVoters;
    Options.Seed = Random();
    Options.Timing = Timing;
    Options.Limits = Limits;
    Host.LocalReplica = std::make_unique<Replica>(
        std::move(Options), std::move(Recovered), clock(Host));
    step(Host, TickEvent{});
    if (Source == MemberSource::Discovered)
      step(Host, HostsEvent{hostIds()});
  }

  std::vector<HostId> hostIds() const {
    std::vector<HostId> Ids;
    for (const SimulatedHost &Each : Hosts)
      Ids.push_back(Each.Host);
    return Ids;
  }

  DurableState truncateAtDamage(SimulatedHost &Host) {
    for (size_t Size = Host.Disk.Log.size(); Size > 0; --Size) {
      MemoryDisk Truncated = Host.Disk;
      Truncated.Log.resize(Size);
      if (auto Read = Truncated.tryRecover()) {
        Host.Disk = std::move(Truncated);
        return *Read;
      }
    }
    DurableState State;
    State.Self.Replica = {(Random() >> 1) | 1};
    State.Self.StoredStanding = Standing::Refusing;
    Host.Disk = {};
    return State;
  }

  void run(SimulatedHost &Host, Effect &Output) {
    match(
        Output, [&](SendEffect &Send) { send(Host, Send); },
        [&](PersistEffect &Write) { persist(Host, std::move(Write)); },
        [&](ApplyEffect &Committed) {
          Host.State.apply(Committed.Command);
          Checks.applied(Committed.Index, Committed.Command);
          Checks.state(Committed.Index, Host.State);
        },
        [&](RestoreEffect &Restore) {
          Host.State = ChainState::parse(Restore.Restored->State);
        },
        [&](TakeSnapshotEffect &Request) {
          // step() passes it on once all effects of the step have run.
          TakenSnapshot = SnapshotTakenEvent{Request.Index, Host.State.text()};
        },
        [&](ProposalDone &Done) {
          Checks.require(Proposals.count(Done.Request) == 1,
                         "a proposal was answered twice");
          Checks.proposalDone(Proposals[Done.Request], Done.Outcome);
          Proposals.erase(Done.Request);
        },
        [&](ReadDone &Done) {
          if (Done.Outcome)
            Checks.readDone(Reads.at(Done.Request),
                            Host.LocalReplica->commitIndex());
          Reads.erase(Done.Request);
        },
        [&](StandingChangedEffect &) {},
        [&](DismissedEffect &) {
          DurableState NewState;
          NewState.Self.Replica = {(Random() >> 1) | 1};
          NewState.Self.StoredStanding = Standing::Refusing;
          Host.Writes.clear();
          Host.Disk = {};
          startWith(Host, std::move(NewState));
        });
  }

  void send(SimulatedHost &Host, const SendEffect &Output) {
    if (auto *Vote = std::get_if<wire::VoteReply>(&Output.Sent.Body);
        Vote && Vote->Granted)
      Checks.voteGranted(Output.Sent.Sender, Host.Host);
    if (CountBytes)
      Sent[Host.Host].Bytes += encodeMessage({"sim"}, {1}, Output.Sent).size();
    ++Sent[Host.Host].Messages;
    if (CutLinks.count({Host.Host, Output.To}) != 0 ||
        Random() % 1000 < Network.DropPerMille)
      return;
    uint64_t Copies = Random() % 1000 < Network.DuplicatePerMille ? 2 : 1;
    for (; Copies > 0; --Copies)
      deliver(Host.Host, Output);
  }

  void deliver(const HostId &From, const SendEffect &Output) {
    auto Spread = (Network.MaxDelay - Network.MinDelay).count();
    Duration Delay =
        Network.MinDelay + Duration(randomBelow(Random, Spread + 1));
    after(Delay, [this, From, Output] { arrive(From, Output); });
  }

  void arrive(const HostId &From, const SendEffect &Output) {
    for (SimulatedHost &Host : Hosts) {
      if (Host.Host != Output.To || !Host.LocalReplica)
        continue;
      if (Host.FrozenUntil > Now)
        return after(Host.FrozenUntil - Now,
                     [this, From, Output] { arrive(From, Output); });
      step(Host, ReceiveEvent{From, Output.Sent});
    }
  }

  void persist(SimulatedHost &Host, PersistEffect Write) {
    if (auto &Self = Write.Batch.NewIdentity; Self && Self->Formation)
      FormedIdentities.emplace(Host.Host, *Self);
    uint64_t Token = Write.Token;
    Host.Writes.push_back(std::move(Write));
    // Only the host can freeze, not its disk: syncs finish meanwhile.
    Duration SyncTime =
        MinSyncTime +
        Duration(randomBelow(Random, (MaxSyncTime - MinSyncTime).count() + 1));
    after(SyncTime, [this, &Host, Token, Incarnation = Host.Incarnation] {
      synced(Host, Token, Incarnation);
    });
    if (InjectedDefect == Defect::CountBeforeSync)
      after(Duration(0), [this, &Host, Token, Incarnation = Host.Incarnation] {
        report(Host, Token, Incarnation);
      });
  }

  void synced(SimulatedHost &Host, uint64_t Token, uint64_t Incarnation) {
    if (Host.Incarnation != Incarnation)
      return;
    while (!Host.Writes.empty() && Host.Writes.front().Token <= Token) {
      Host.Disk.writeSynced(Host.Writes.front().Batch);
      Host.Writes.pop_front();
    }
    report(Host, Token, Incarnation);
  }

  void report(SimulatedHost &Host, uint64_t Token, uint64_t Incarnation) {
    if (Host.Incarnation != Incarnation)
      return;
    if (Host.FrozenUntil > Now)
      return after(Host.FrozenUntil - Now, [this, &Host, Token, Incarnation] {
        report(Host, Token, Incarnation);
      });
    step(Host, PersistedEvent{Token});
  }

  /// Checks that each voter that a leader has added since \p Before has synced
  /// all committed entries.
  void requireSyncedMembers(const Replica &Leader,
                            const Configuration &Before) {
    for (const Member &Voter : Leader.log().members().Voters) {
      if (Before.contains(Voter.Replica))
        continue;
      for (SimulatedHost &Host : Hosts) {
        auto Read = MemoryDisk(Host.Disk).tryRecover();
        if (!Read || Read->Self.Replica != Voter.Replica)
          continue;
        uint64_t LastIndex = Read->LastSnapshot ? Read->LastSnapshot->Index : 0;
        if (!Read->Entries.empty())
          LastIndex = Read->Entries.back().Index;
        Checks.require(LastIndex >= Leader.commitIndex(),
                       "a member was added before it had the log");
      }
    }
  }

  std::map<std::pair<Timestamp, uint64_t>, std::function<void()>> Events;
  uint64_t NextEvent = 0;
  /// The hosts at the first start, which the options of all replicas list.
  std::vector<HostId> FirstHosts;
  uint64_t Replacements = 0;
  /// The snapshot that the current step has taken.
  std::optional<SnapshotTakenEvent> TakenSnapshot;
  uint64_t NextRequest = 1;
  std::map<uint64_t, std::string> Proposals;
  std::map<uint64_t, uint64_t> Reads;
  /// The identity of each host when the cluster formed.
  std::map<HostId, Identity> FormedIdentities;
};

} // namespace ferry::consensus

#endif

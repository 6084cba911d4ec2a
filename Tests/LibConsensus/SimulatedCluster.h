/// \file
/// Replicas in virtual time, with a network and disks that fail by seed.
#ifndef FERRY_TESTS_LIBCONSENSUS_SIMULATEDCLUSTER_H
#define FERRY_TESTS_LIBCONSENSUS_SIMULATEDCLUSTER_H

#include "LibConsensus/MemoryDisk.h"
#include "LibConsensus/Oracle.h"
#include "LibCore/Visit.h"
#include <deque>
#include <functional>

namespace ferry::consensus {

using namespace std::chrono_literals;

/// Simpler versions of the log, which the oracle must find out.
enum class Naive : uint8_t {
  Nothing,
  /// Entries and votes count before they are synced.
  CountBeforeSync,
  /// A host with a wiped disk goes on under its old identity.
  KeepIdentity,
  /// A leader answers reads without asking a quorum.
  ReadByClock,
  /// Damage before the tail is cut like a torn tail.
  CutDamage
};

/// How the network treats messages; a lost one has no delay.
struct NetworkFaults {
  uint64_t DropPerMille = 0;
  uint64_t DoublePerMille = 0;
  Duration MinDelay = 500us;
  Duration MaxDelay = 2ms;
};

/// One control host: a disk that outlives its process.
struct SimulatedHost {
  HostId Host;
  MemoryDisk Disk;
  /// The disk that was taken out last, if any.
  MemoryDisk OldDisk;
  std::unique_ptr<Replica> Machine;
  ChainState State;
  /// Clocks of hosts are not comparable.
  Duration ClockOffset{};
  Timestamp FrozenUntil{};
  /// Writes under way, in order; synced at a time each.
  std::deque<PersistEffect> Writes;
  /// Rises with each start; events of earlier lives are void.
  uint64_t Life = 0;
};

class SimulatedCluster {
public:
  SimulatedCluster(size_t Count, uint64_t Seed, Naive Simpler = Naive::Nothing)
      : Random(Seed), Simpler(Simpler) {
    Limits.SnapshotEntries = 30;
    Limits.TrailingEntries = 8;
    Limits.SnapshotChunkBytes = 32;
    for (size_t Index = 0; Index < Count; ++Index) {
      auto &Added = Hosts.emplace_back();
      Added.Host = {std::string(1, static_cast<char>('a' + Index))};
      Added.ClockOffset = Duration(randomBelow(Random, 1'000'000'000));
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
      else if (Simpler == Naive::CutDamage)
        Recovered = cutAtDamage(Host);
      else
        Recovered.Self.Kept = Standing::Refusing;
      if (!Read && Simpler != Naive::CutDamage)
        Host.Disk = {};
    } else if (Simpler == Naive::KeepIdentity && Formed.count(Host.Host) != 0) {
      Recovered.Self = Formed[Host.Host];
    }
    startWith(Host, std::move(Recovered));
  }

  /// The process ends; writes under way are lost or torn.
  void crash(SimulatedHost &Host) {
    if (!Host.Machine)
      return;
    if (!Host.Writes.empty() && Random() % 2 == 0)
      Host.Disk.tear(Host.Writes.front().Batch, Random);
    Host.Writes.clear();
    Host.Machine.reset();
    ++Host.Life;
  }

  /// Takes the disk out of a crashed host and puts in \p Next.
  void swapDisk(SimulatedHost &Host, MemoryDisk Next) {
    crash(Host);
    if (auto Read = Host.Disk.tryRecover())
      Checks.identityLost(Read->Self.Replica);
    Host.OldDisk = std::exchange(Host.Disk, std::move(Next));
    if (auto Read = Host.Disk.tryRecover())
      Checks.identityReturned(Read->Self.Replica);
  }

  /// Puts an empty host at an address of its own in the place of \p Host; the
  /// others come to know it. Seeds of old settings still name the lost one.
  void replace(SimulatedHost &Host) {
    swapDisk(Host, {});
    Host.Host = {"new-" + std::to_string(++Replacements)};
    for (SimulatedHost &Other : Hosts)
      if (Other.Machine)
        step(Other, HostsEvent{hostIds()});
  }

  /// \returns whether the log must survive the loss of the disk of \p Host:
  /// a quorum of every configuration that may be in force keeps its disks.
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
      if (auto &Taken = Read->LastSnapshot)
        Log.reset(Taken->Index, Taken->Term, Taken->Members);
      for (const Entry &Held : Read->Entries)
        Log.append(Held);
      if (Log.membersIndex() >= Checks.committedMembersIndex())
        InForce.push_back(Log.members());
      if (Other.Machine)
        InForce.push_back(Other.Machine->log().members());
    }
    for (const Configuration &Members : InForce) {
      size_t Kept = 0;
      for (const Member &Voter : Members.Voters)
        Kept += Intact.count(Voter.Replica);
      if (Kept < Members.quorum())
        return false;
    }
    return true;
  }

  void step(SimulatedHost &Host, Event Input) {
    uint64_t Before = Host.Machine->commitIndex();
    uint64_t Life = Host.Life;
    Configuration Members = Host.Machine->log().members();
    auto Effects = Host.Machine->step(std::move(Input), clock(Host));
    Checks.observe(*Host.Machine, Before);
    if (Host.Machine->isLeader())
      requireSyncedMembers(*Host.Machine, Members);
    for (Effect &Output : Effects) {
      run(Host, Output);
      if (Host.Life != Life)
        return;
    }
    if (auto Next = std::exchange(Taken, std::nullopt))
      step(Host, std::move(*Next));
  }

  void after(Duration Delay, std::function<void()> Work) {
    Events.emplace(std::pair(Now + Delay, NextEvent++), std::move(Work));
  }

  void runFor(Duration Span) {
    runUntil([] { return false; }, Span);
  }

  /// \returns whether \p Holds came true within \p Span.
  bool runUntil(const std::function<bool()> &Holds, Duration Span) {
    Timestamp End = Now + Span;
    while (!Holds()) {
      SimulatedHost *Next = nextTick();
      Timestamp TickAt = Next ? dueAt(*Next) : NeverExpires;
      Timestamp EventAt =
          Events.empty() ? NeverExpires : Events.begin()->first.first;
      if (std::min(TickAt, EventAt) > End) {
        Now = End;
        return Holds();
      }
      Now = std::max(Now, std::min(TickAt, EventAt));
      if (EventAt <= TickAt)
        Events.extract(Events.begin()).mapped()();
      else
        step(*Next, TickEvent{});
    }
    return true;
  }

  SimulatedHost *leader() {
    SimulatedHost *Found = nullptr;
    for (SimulatedHost &Host : Hosts)
      if (Host.Machine && Host.Machine->isLeader() &&
          (!Found ||
           Host.Machine->status().Term > Found->Machine->status().Term))
        Found = &Host;
    return Found;
  }

  void propose(SimulatedHost &Host, const std::string &Command) {
    uint64_t Request = NextRequest++;
    Proposals[Request] = Command;
    step(Host, ProposeEvent{Request, Command});
  }

  void read(SimulatedHost &Host) {
    uint64_t Request = NextRequest++;
    Reads[Request] = Checks.readBegins();
    if (Simpler == Naive::ReadByClock && Host.Machine->isLeader())
      return Checks.readDone(Reads[Request], Host.Machine->commitIndex());
    step(Host, ReadEvent{Request});
  }

  /// \returns whether one leads, as many vote as should, and all states are
  /// equal.
  bool settled() {
    bool Listed = Source == MemberSource::Listed;
    SimulatedHost *Leader = leader();
    if (!Leader || Leader->Machine->status().Members.Voters.size() !=
                       (Listed ? Hosts.size() : WantedVoters))
      return false;
    for (SimulatedHost &Host : Hosts)
      if (!Host.Machine ||
          (Listed && Host.Machine->standing() != Standing::Voter) ||
          Host.Machine->commitIndex() != Leader->Machine->log().lastIndex() ||
          !(Host.State == Leader->State))
        return false;
    return true;
  }

  void matchLogs() {
    for (SimulatedHost &Left : Hosts)
      for (SimulatedHost &Right : Hosts)
        if (&Left < &Right && Left.Machine && Right.Machine)
          Checks.match(Left.Machine->log(), Right.Machine->log());
  }

  RandomGenerator Random;
  Naive Simpler;
  Oracle Checks;
  Timestamp Now{};
  std::vector<SimulatedHost> Hosts;
  NetworkFaults Network;
  Duration MaxSyncTime = 3ms;
  ReplicaTiming Timing;
  ReplicaLimits Limits;
  /// With discovered members, the first Seeds hosts form the log.
  MemberSource Source = MemberSource::Listed;
  size_t Seeds = 3;
  bool MayForm = true;
  size_t WantedVoters = 3;
  /// Directed links that are cut.
  std::set<std::pair<HostId, HostId>> Cut;
  struct Traffic {
    uint64_t Messages = 0;
    uint64_t Bytes = 0;
  };
  /// What each host has sent.
  std::map<HostId, Traffic> Sent;
  /// Encodes every message, for its size.
  bool CountBytes = false;

private:
  Timestamp clock(const SimulatedHost &Host) const {
    return Now + Host.ClockOffset;
  }
  Timestamp dueAt(const SimulatedHost &Host) const {
    return std::max({Host.Machine->nextDeadline() - Host.ClockOffset,
                     Host.FrozenUntil, Now});
  }

  SimulatedHost *nextTick() {
    SimulatedHost *Next = nullptr;
    for (SimulatedHost &Host : Hosts)
      if (Host.Machine && (!Next || dueAt(Host) < dueAt(*Next)))
        Next = &Host;
    return Next;
  }

  void startWith(SimulatedHost &Host, DurableState Recovered) {
    ++Host.Life;
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
    Host.Machine = std::make_unique<Replica>(std::move(Options),
                                             std::move(Recovered), clock(Host));
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

  DurableState cutAtDamage(SimulatedHost &Host) {
    for (size_t Size = Host.Disk.Log.size(); Size > 0; --Size) {
      MemoryDisk Cut = Host.Disk;
      Cut.Log.resize(Size);
      if (auto Read = Cut.tryRecover()) {
        Host.Disk = std::move(Cut);
        return *Read;
      }
    }
    DurableState State;
    State.Self.Replica = {(Random() >> 1) | 1};
    State.Self.Kept = Standing::Refusing;
    Host.Disk = {};
    return State;
  }

  void run(SimulatedHost &Host, Effect &Output) {
    match(
        Output, [&](SendEffect &Sent) { send(Host, Sent); },
        [&](PersistEffect &Written) { persist(Host, std::move(Written)); },
        [&](ApplyEffect &Applied) {
          Host.State.apply(Applied.Command);
          Checks.applied(Applied.Index, Applied.Command);
          Checks.state(Applied.Index, Host.State);
        },
        [&](RestoreEffect &Restored) {
          Host.State = ChainState::parse(Restored.Restored->State);
        },
        [&](TakeSnapshotEffect &Asked) {
          // Taken now, handed over when all effects of the step have run.
          Taken = SnapshotTakenEvent{Asked.Index, Host.State.text()};
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
                            Host.Machine->commitIndex());
          Reads.erase(Done.Request);
        },
        [&](StandingChangedEffect &) {},
        [&](DismissedEffect &) {
          DurableState Fresh;
          Fresh.Self.Replica = {(Random() >> 1) | 1};
          Fresh.Self.Kept = Standing::Refusing;
          Host.Writes.clear();
          Host.Disk = {};
          startWith(Host, std::move(Fresh));
        });
  }

  void send(SimulatedHost &Host, const SendEffect &Output) {
    if (auto *Vote = std::get_if<wire::VoteReply>(&Output.Sent.Body);
        Vote && Vote->Granted)
      Checks.promised(Output.Sent.Sender, Host.Host);
    if (CountBytes)
      Sent[Host.Host].Bytes += encodeMessage({"sim"}, {1}, Output.Sent).size();
    ++Sent[Host.Host].Messages;
    if (Cut.count({Host.Host, Output.To}) != 0 ||
        Random() % 1000 < Network.DropPerMille)
      return;
    uint64_t Copies = Random() % 1000 < Network.DoublePerMille ? 2 : 1;
    for (; Copies > 0; --Copies)
      deliver(Host.Host, Output);
  }

  void deliver(const HostId &From, const SendEffect &Sent) {
    auto Spread = (Network.MaxDelay - Network.MinDelay).count();
    Duration Delay =
        Network.MinDelay + Duration(randomBelow(Random, Spread + 1));
    after(Delay, [this, From, Sent] { arrive(From, Sent); });
  }

  void arrive(const HostId &From, const SendEffect &Sent) {
    for (SimulatedHost &Host : Hosts) {
      if (Host.Host != Sent.To || !Host.Machine)
        continue;
      if (Host.FrozenUntil > Now)
        return after(Host.FrozenUntil - Now,
                     [this, From, Sent] { arrive(From, Sent); });
      step(Host, ReceiveEvent{From, Sent.Sent});
    }
  }

  void persist(SimulatedHost &Host, PersistEffect Written) {
    if (auto &Self = Written.Batch.NewIdentity; Self && Self->Formation)
      Formed.emplace(Host.Host, *Self);
    uint64_t Token = Written.Token;
    Host.Writes.push_back(std::move(Written));
    // A slow disk, not a slow host: syncs go on while the host is frozen.
    Duration Time(randomBelow(Random, MaxSyncTime.count()) + 1);
    after(Time, [this, &Host, Token, Life = Host.Life] {
      synced(Host, Token, Life);
    });
    if (Simpler == Naive::CountBeforeSync)
      after(Duration(0), [this, &Host, Token, Life = Host.Life] {
        report(Host, Token, Life);
      });
  }

  void synced(SimulatedHost &Host, uint64_t Token, uint64_t Life) {
    if (Host.Life != Life)
      return;
    while (!Host.Writes.empty() && Host.Writes.front().Token <= Token) {
      Host.Disk.writeSynced(Host.Writes.front().Batch);
      Host.Writes.pop_front();
    }
    report(Host, Token, Life);
  }

  void report(SimulatedHost &Host, uint64_t Token, uint64_t Life) {
    if (Host.Life != Life)
      return;
    if (Host.FrozenUntil > Now)
      return after(Host.FrozenUntil - Now,
                   [this, &Host, Token, Life] { report(Host, Token, Life); });
    step(Host, PersistedEvent{Token});
  }

  /// Whoever a leader adds to \p Before has synced what was committed.
  void requireSyncedMembers(const Replica &Leader,
                            const Configuration &Before) {
    for (const Member &Voter : Leader.log().members().Voters) {
      if (Before.contains(Voter.Replica))
        continue;
      for (SimulatedHost &Host : Hosts) {
        auto Read = MemoryDisk(Host.Disk).tryRecover();
        if (!Read || Read->Self.Replica != Voter.Replica)
          continue;
        uint64_t Last = Read->LastSnapshot ? Read->LastSnapshot->Index : 0;
        if (!Read->Entries.empty())
          Last = Read->Entries.back().Index;
        Checks.require(Last >= Leader.commitIndex(),
                       "a member was added before it had the log");
      }
    }
  }

  std::map<std::pair<Timestamp, uint64_t>, std::function<void()>> Events;
  uint64_t NextEvent = 0;
  /// The hosts at the first start, as all settings name them for ever.
  std::vector<HostId> FirstHosts;
  uint64_t Replacements = 0;
  std::optional<SnapshotTakenEvent> Taken;
  uint64_t NextRequest = 1;
  std::map<uint64_t, std::string> Proposals;
  std::map<uint64_t, uint64_t> Reads;
  /// What each host was when the cluster formed.
  std::map<HostId, Identity> Formed;
};

} // namespace ferry::consensus

#endif

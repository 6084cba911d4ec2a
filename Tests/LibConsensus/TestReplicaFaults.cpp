#include "LibConsensus/SimulatedCluster.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ferry;
using namespace ferry::consensus;

/// Seeds of each kind of run; FERRY_LONG_SEEDS=5000 runs that many.
static uint64_t seedCount(uint64_t Usual) {
  const char *Long = std::getenv("FERRY_LONG_SEEDS");
  return Long != nullptr ? std::strtoull(Long, nullptr, 10) : Usual;
}

/// Faults that a run draws from, each as likely as it stands here often.
enum class Fault : uint8_t {
  CutHost,
  CutSending,
  CutReceiving,
  Heal,
  Freeze,
  Crash,
  PowerLoss,
  Wipe,
  Replace,
  ReturnDisk,
  Damage,
  LossyNetwork,
  SlowNetwork,
  SlowDisk
};

struct FaultTable {
  const char *Name;
  std::vector<Fault> Faults;
};

static const FaultTable Network{
    "network",
    {Fault::CutHost, Fault::CutSending, Fault::CutReceiving, Fault::Heal,
     Fault::Heal, Fault::Freeze, Fault::LossyNetwork, Fault::SlowNetwork}};
static const FaultTable Crashes{"crashes",
                                {Fault::Crash, Fault::Crash, Fault::PowerLoss,
                                 Fault::Freeze, Fault::CutHost, Fault::Heal,
                                 Fault::SlowDisk, Fault::LossyNetwork}};
static const FaultTable Disks{"disks",
                              {Fault::Wipe, Fault::ReturnDisk, Fault::Damage,
                               Fault::Crash, Fault::CutHost, Fault::Heal}};
static const FaultTable Damages{
    "damages",
    {Fault::Damage, Fault::CutHost, Fault::Crash, Fault::Heal, Fault::Freeze}};
static const FaultTable All{
    "all",
    {Fault::CutHost, Fault::CutSending, Fault::CutReceiving, Fault::Heal,
     Fault::Heal, Fault::Freeze, Fault::Crash, Fault::PowerLoss, Fault::Wipe,
     Fault::ReturnDisk, Fault::Damage, Fault::LossyNetwork, Fault::SlowNetwork,
     Fault::SlowDisk}};

/// With hosts that are replaced, where members are discovered.
static const FaultTable Replacements{
    "replacements",
    {Fault::Replace, Fault::Replace, Fault::Wipe, Fault::Crash, Fault::CutHost,
     Fault::Heal, Fault::Heal, Fault::PowerLoss}};
static const FaultTable AllAndReplacements{
    "all and replacements",
    {Fault::CutHost, Fault::CutSending, Fault::CutReceiving, Fault::Heal,
     Fault::Heal, Fault::Freeze, Fault::Crash, Fault::PowerLoss, Fault::Wipe,
     Fault::Replace, Fault::Replace, Fault::Damage, Fault::LossyNetwork,
     Fault::SlowNetwork, Fault::SlowDisk}};

struct Run {
  SimulatedCluster Cluster;
  const FaultTable &Table;
  RandomGenerator &Random;
  uint64_t NextCommand = 0;
  /// No start is due before this.
  Timestamp AllStartedAt{};
  bool ClientsDone = false;

  Run(size_t Count, const FaultTable &Table, uint64_t Seed, Naive Simpler)
      : Cluster(Count, Seed, Simpler), Table(Table), Random(Cluster.Random) {}

  SimulatedHost &anyHost() {
    return Cluster.Hosts[randomBelow(Random, Cluster.Hosts.size())];
  }

  void restartLater(SimulatedHost &Host) {
    Duration Pause(randomBelow(Random, 800'000));
    AllStartedAt = std::max(AllStartedAt, Cluster.Now + Pause);
    Cluster.after(Pause, [this, &Host, Life = Host.Life] {
      if (!Host.Machine && Host.Life == Life)
        Cluster.start(Host);
    });
  }

  void cut(const HostId &From, const HostId &To) {
    if (From != To)
      Cluster.Cut.insert({From, To});
  }

  void loseDisk(SimulatedHost &Host, Fault Kind) {
    if (!Cluster.mayLoseDisk(Host))
      return;
    if (Kind == Fault::ReturnDisk) {
      Cluster.swapDisk(Host, Host.OldDisk);
    } else if (Kind == Fault::Replace) {
      Cluster.replace(Host);
    } else if (Kind == Fault::Wipe) {
      Cluster.swapDisk(Host, {});
    } else {
      Cluster.crash(Host);
      if (auto Read = Host.Disk.tryRecover();
          Read && Cluster.Simpler != Naive::CutDamage)
        Cluster.Checks.identityLost(Read->Self.Replica);
      Host.Disk.damage(Random);
    }
    restartLater(Host);
  }

  void inject(Fault Kind) {
    SimulatedHost &Host = anyHost();
    switch (Kind) {
    case Fault::CutHost:
    case Fault::CutSending:
    case Fault::CutReceiving:
      for (SimulatedHost &Other : Cluster.Hosts) {
        if (Kind != Fault::CutReceiving)
          cut(Host.Host, Other.Host);
        if (Kind != Fault::CutSending)
          cut(Other.Host, Host.Host);
      }
      return;
    case Fault::Heal:
      Cluster.Cut.clear();
      Cluster.Network = {};
      Cluster.MaxSyncTime = 3ms;
      return;
    case Fault::Freeze:
      Host.FrozenUntil = Cluster.Now + Duration(randomBelow(Random, 1'500'000));
      return;
    case Fault::Crash:
      Cluster.crash(Host);
      return restartLater(Host);
    case Fault::PowerLoss:
      for (SimulatedHost &Each : Cluster.Hosts) {
        Cluster.crash(Each);
        restartLater(Each);
      }
      return;
    case Fault::Wipe:
    case Fault::Replace:
    case Fault::ReturnDisk:
    case Fault::Damage:
      return loseDisk(Host, Kind);
    case Fault::LossyNetwork:
      Cluster.Network.DropPerMille = 150;
      Cluster.Network.DoublePerMille = 150;
      return;
    case Fault::SlowNetwork:
      Cluster.Network.MaxDelay = 80ms;
      return;
    case Fault::SlowDisk:
      Cluster.MaxSyncTime = 60ms;
      return;
    }
  }

  void clientsWork() {
    if (ClientsDone)
      return;
    for (SimulatedHost &Host : Cluster.Hosts) {
      if (!Host.Machine || Host.FrozenUntil > Cluster.Now)
        continue;
      if (Host.Machine->isLeader() || Random() % 10 == 0)
        Cluster.propose(Host, "c" + std::to_string(NextCommand++));
      // A callback of the proposal may have ended the replica.
      if (Host.Machine && Random() % 2 == 0)
        Cluster.read(Host);
    }
    Cluster.after(Duration(1000 + randomBelow(Random, 30'000)),
                  [this] { clientsWork(); });
  }

  void faultsHappen(Timestamp End) {
    inject(Table.Faults[randomBelow(Random, Table.Faults.size())]);
    Cluster.matchLogs();
    Duration Pause(20'000 + randomBelow(Random, 500'000));
    if (Cluster.Now + Pause < End)
      Cluster.after(Pause, [this, End] { faultsHappen(End); });
  }

  std::string describe() {
    std::string Text;
    for (SimulatedHost &Host : Cluster.Hosts) {
      if (!Host.Machine)
        continue;
      ReplicaStatus Status = Host.Machine->status();
      Text += "\n  " + Host.Host.Value + " " +
              std::to_string(Status.Replica.Value % 1000) + " " +
              std::string(enumName(Status.Now)) + " term " +
              std::to_string(Status.Term) + " commit " +
              std::to_string(Status.CommitIndex) + " log " +
              std::to_string(Status.FirstIndex) + ".." +
              std::to_string(Status.LastIndex) + " members";
      for (const Member &Voter : Status.Members.Voters)
        Text +=
            " " + Voter.Host.Value + std::to_string(Voter.Replica.Value % 1000);
    }
    return Text;
  }

  /// Only the first start may form the log.
  void form() {
    Cluster.Checks.require(
        Cluster.runUntil([&] { return Cluster.settled(); }, 20s),
        "does not form" + describe());
    Cluster.MayForm = false;
  }

  /// \returns what was violated, or nothing.
  std::string run(Duration Span) {
    Cluster.startAll();
    if (Cluster.Source == MemberSource::Discovered)
      form();
    clientsWork();
    Cluster.after(Duration(randomBelow(Random, 1'000'000)),
                  [this, End = Cluster.Now + Span] { faultsHappen(End); });
    Cluster.runUntil([&] { return !Cluster.Checks.violation().empty(); }, Span);
    inject(Fault::Heal);
    for (SimulatedHost &Host : Cluster.Hosts)
      Host.FrozenUntil = {};
    // The clients go on for a while, and must get somewhere.
    Cluster.runFor(3s);
    Cluster.Checks.require(Cluster.Checks.acknowledged() > 0, "no command ran");
    ClientsDone = true;
    bool Settled = Cluster.runUntil(
        [&] {
          return !Cluster.Checks.violation().empty() ||
                 (Cluster.Now > AllStartedAt && Cluster.settled());
        },
        30s);
    Cluster.matchLogs();
    Cluster.Checks.finish();
    Cluster.Checks.require(Settled,
                           "does not settle after the faults" + describe());
    return Cluster.Checks.violation();
  }
};

static constexpr Duration FaultSpan = 6s;

static void requireSafe(size_t Count, const FaultTable &Table, uint64_t Seeds) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    std::string Violation =
        Run(Count, Table, Seed, Naive::Nothing).run(FaultSpan);
    BOOST_TEST(Violation.empty(), Table.Name << " with " << Count
                                             << " hosts, seed " << Seed << ": "
                                             << Violation);
  }
}

BOOST_AUTO_TEST_CASE(network_faults_break_no_invariant) {
  requireSafe(3, Network, seedCount(60));
  requireSafe(5, Network, seedCount(20));
}

BOOST_AUTO_TEST_CASE(crashes_break_no_invariant) {
  requireSafe(3, Crashes, seedCount(60));
  requireSafe(5, Crashes, seedCount(20));
}

BOOST_AUTO_TEST_CASE(lost_and_returning_disks_break_no_invariant) {
  requireSafe(3, Disks, seedCount(80));
  requireSafe(5, Disks, seedCount(30));
}

/// \returns what was violated in a run whose members are discovered.
static std::string runDiscovered(size_t Count, size_t WantedVoters,
                                 const FaultTable &Table, uint64_t Seed,
                                 Naive Simpler) {
  Run Discovered(Count, Table, Seed, Simpler);
  Discovered.Cluster.Source = MemberSource::Discovered;
  Discovered.Cluster.WantedVoters = WantedVoters;
  return Discovered.run(FaultSpan);
}

static void requireSafeDiscovered(size_t Count, size_t WantedVoters,
                                  const FaultTable &Table, uint64_t Seeds) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    std::string Violation =
        runDiscovered(Count, WantedVoters, Table, Seed, Naive::Nothing);
    BOOST_TEST(Violation.empty(), Table.Name << " with " << Count
                                             << " discovered hosts, seed "
                                             << Seed << ": " << Violation);
  }
}

BOOST_AUTO_TEST_CASE(replaced_hosts_break_no_invariant) {
  requireSafeDiscovered(4, 3, Replacements, seedCount(60));
  requireSafeDiscovered(5, 5, Replacements, seedCount(20));
}

BOOST_AUTO_TEST_CASE(all_faults_with_discovered_members_break_no_invariant) {
  requireSafeDiscovered(3, 3, AllAndReplacements, seedCount(40));
  requireSafeDiscovered(4, 3, AllAndReplacements, seedCount(60));
  requireSafeDiscovered(5, 5, AllAndReplacements, seedCount(30));
}

BOOST_AUTO_TEST_CASE(all_faults_together_break_no_invariant) {
  requireSafe(3, All, seedCount(80));
  requireSafe(5, All, seedCount(30));
}

struct SimplerVersion {
  Naive Simpler;
  const FaultTable &Table;
};

/// The checks above are worth something only if they find these.
BOOST_AUTO_TEST_CASE(simpler_versions_are_found_out) {
  const SimplerVersion Versions[] = {{Naive::CountBeforeSync, Crashes},
                                     {Naive::KeepIdentity, Disks},
                                     {Naive::ReadByClock, Network},
                                     {Naive::CutDamage, Damages}};
  for (const SimplerVersion &Version : Versions) {
    std::string Violation;
    uint64_t Seed = 0;
    while (Violation.empty() && Seed < 200)
      Violation = Run(3, Version.Table, ++Seed, Version.Simpler).run(FaultSpan);
    BOOST_TEST(!Violation.empty());
    BOOST_TEST_MESSAGE("simpler version " << static_cast<int>(Version.Simpler)
                                          << " fails at seed " << Seed << " of "
                                          << Version.Table.Name << ": "
                                          << Violation);
  }
}

BOOST_AUTO_TEST_CASE(simpler_versions_with_discovered_members_are_found_out) {
  for (Naive Simpler : {Naive::CountBeforeSync, Naive::ReadByClock}) {
    std::string Violation;
    uint64_t Seed = 0;
    while (Violation.empty() && Seed < 200)
      Violation = runDiscovered(4, 3, AllAndReplacements, ++Seed, Simpler);
    BOOST_TEST(!Violation.empty());
    BOOST_TEST_MESSAGE("simpler version " << static_cast<int>(Simpler)
                                          << " fails at seed " << Seed << ": "
                                          << Violation);
  }
}

/// A settled cluster that has committed a command.
struct SettledCluster : SimulatedCluster {
  explicit SettledCluster(uint64_t Seed, size_t Count = 3)
      : SimulatedCluster(Count, Seed) {
    startAll();
    BOOST_REQUIRE(runUntil([&] { return settled(); }, 10s));
    commit("first");
  }

  void commit(const std::string &Command) {
    BOOST_REQUIRE(runUntil([&] { return leader() != nullptr; }, 10s));
    uint64_t Before = Checks.acknowledged();
    propose(*leader(), Command);
    BOOST_TEST(runUntil([&] { return Checks.acknowledged() > Before; }, 10s));
    BOOST_TEST(Checks.violation() == "");
  }

  SimulatedHost &follower(size_t Skip = 0) {
    for (SimulatedHost &Host : Hosts)
      if (&Host != leader() && Skip-- == 0)
        return Host;
    return Hosts.back();
  }

  void isolate(SimulatedHost &Host) {
    for (SimulatedHost &Other : Hosts) {
      Cut.insert({Host.Host, Other.Host});
      Cut.insert({Other.Host, Host.Host});
    }
  }
};

BOOST_AUTO_TEST_CASE(a_host_that_was_cut_off_deposes_no_leader) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SettledCluster Cluster(Seed);
    uint64_t Term = Cluster.Checks.highestTerm();
    SimulatedHost &Follower = Cluster.follower();
    Cluster.isolate(Follower);
    Cluster.runFor(5s);
    Cluster.Cut.clear();
    Cluster.runFor(2s);
    BOOST_TEST(Cluster.Checks.highestTerm() == Term);
    // It hears nobody, while everybody hears it.
    for (SimulatedHost &Other : Cluster.Hosts)
      Cluster.Cut.insert({Other.Host, Follower.Host});
    Cluster.runFor(5s);
    Cluster.Cut.clear();
    Cluster.runFor(2s);
    BOOST_TEST(Cluster.Checks.highestTerm() == Term);
    Cluster.commit("after");
  }
}

BOOST_AUTO_TEST_CASE(a_leader_that_hears_no_quorum_steps_down) {
  SettledCluster Cluster(1);
  SimulatedHost &Leader = *Cluster.leader();
  // It still reaches the others, who therefore start no election.
  for (SimulatedHost &Other : Cluster.Hosts)
    Cluster.Cut.insert({Other.Host, Leader.Host});
  Cluster.runFor(2 * Cluster.Timing.ElectionTimeout);
  BOOST_TEST(!Leader.Machine->isLeader());
  Cluster.commit("by another leader");
}

BOOST_AUTO_TEST_CASE(the_second_disk_is_lost_right_after_a_repair) {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SettledCluster Cluster(Seed);
    for (int Number = 0; Number < 50; ++Number)
      Cluster.commit(std::to_string(Number));
    // Followers and leaders, the same host again too.
    for (int Loss = 0; Loss < 4; ++Loss) {
      SimulatedHost &Lost =
          Cluster.Hosts[randomBelow(Cluster.Random, Cluster.Hosts.size())];
      BOOST_REQUIRE(
          Cluster.runUntil([&] { return Cluster.mayLoseDisk(Lost); }, 20s));
      Cluster.swapDisk(Lost, {});
      Cluster.start(Lost);
    }
    BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 20s));
    Cluster.commit("after");
    // The disk that was taken out last comes back.
    SimulatedHost &Returned = Cluster.follower();
    Cluster.swapDisk(Returned, {});
    Cluster.start(Returned);
    BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 20s));
    uint64_t Term = Cluster.Checks.highestTerm();
    Cluster.swapDisk(Returned, Returned.OldDisk);
    Cluster.start(Returned);
    Cluster.runFor(1s);
    BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 20s));
    BOOST_TEST(Cluster.Checks.highestTerm() == Term);
    Cluster.Checks.finish();
    BOOST_TEST(Cluster.Checks.violation() == "");
  }
}

BOOST_AUTO_TEST_CASE(a_blank_cluster_forms_once) {
  for (uint64_t Seed = 1; Seed <= seedCount(100); ++Seed) {
    SimulatedCluster Cluster(Seed % 2 == 0 ? 3 : 5, Seed);
    Cluster.Network.MaxDelay = 30ms;
    Cluster.Network.DropPerMille = 100;
    Cluster.Network.DoublePerMille = 300;
    // Hosts start one by one, and one loses its disk in the middle of it.
    for (SimulatedHost &Host : Cluster.Hosts)
      Cluster.after(Duration(randomBelow(Cluster.Random, 500'000)),
                    [&] { Cluster.start(Host); });
    for (int Loss = 0; Loss < 2; ++Loss)
      Cluster.after(Duration(randomBelow(Cluster.Random, 1'500'000)), [&] {
        SimulatedHost &Host =
            Cluster.Hosts[randomBelow(Cluster.Random, Cluster.Hosts.size())];
        if (!Host.Machine || !Cluster.mayLoseDisk(Host))
          return;
        Cluster.swapDisk(Host, {});
        Cluster.start(Host);
      });
    Cluster.runFor(2s);
    Cluster.Network = {};
    BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 20s),
               "seed " << Seed << " does not form");
    BOOST_TEST(Cluster.Checks.violation() == "");
  }
}

BOOST_AUTO_TEST_CASE(no_cluster_forms_without_an_answer_of_every_host) {
  SimulatedCluster Cluster(3, 7);
  Cluster.start(Cluster.Hosts[0]);
  Cluster.start(Cluster.Hosts[1]);
  Cluster.runFor(10s);
  for (size_t Index : {0, 1})
    BOOST_TEST((Cluster.Hosts[Index].Machine->standing() == Standing::Blank));
  // A refusing host does not count as blank.
  Cluster.Hosts[2].Disk.Log = "damaged";
  Cluster.start(Cluster.Hosts[2]);
  Cluster.runFor(10s);
  BOOST_TEST(Cluster.leader() == nullptr);
}

// Simulated clusters under random faults of the network, the hosts and the
// disks. Guards against lost or diverging entries, two leaders in one term,
// stale reads and logs that do not recover. A failure names its seed.
#include "LibConsensus/SimulatedCluster.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ferry;
using namespace ferry::consensus;

/// \returns the number of seeds for a test: \p Default, or the value of
/// FERRY_LONG_SEEDS, such as 5000.
static uint64_t seedCount(uint64_t Default) {
  const char *SeedText = std::getenv("FERRY_LONG_SEEDS");
  return SeedText != nullptr ? std::strtoull(SeedText, nullptr, 10) : Default;
}

/// The faults that a run injects.
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
  SlowDisk,
  VerySlowDisk
};

/// A run draws from Faults; a fault that is listed twice is twice as likely.
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
static const FaultTable SlowDisks{
    "slow disks",
    {Fault::VerySlowDisk, Fault::VerySlowDisk, Fault::SlowDisk, Fault::Crash,
     Fault::PowerLoss, Fault::CutHost, Fault::CutReceiving, Fault::Freeze,
     Fault::Heal}};
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

/// For runs with discovered members, whose hosts may be replaced.
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

/// A simulated cluster with clients, into which faults are injected.
struct Run {
  SimulatedCluster Cluster;
  const FaultTable &Table;
  RandomGenerator &Random;
  uint64_t NextCommand = 0;
  /// Time of the last scheduled start of a host.
  Timestamp AllStartedAt{};
  bool ClientsDone = false;

  Run(size_t Count, const FaultTable &Table, uint64_t Seed,
      Defect InjectedDefect)
      : Cluster(Count, Seed, InjectedDefect), Table(Table),
        Random(Cluster.Random) {}

  SimulatedHost &randomHost() {
    return Cluster.Hosts[randomBelow(Random, Cluster.Hosts.size())];
  }

  void restartLater(SimulatedHost &Host) {
    Duration Pause(randomBelow(Random, 800'000));
    AllStartedAt = std::max(AllStartedAt, Cluster.Now + Pause);
    Cluster.after(Pause, [this, &Host, Incarnation = Host.Incarnation] {
      if (!Host.LocalReplica && Host.Incarnation == Incarnation)
        Cluster.start(Host);
    });
  }

  void cut(const HostId &From, const HostId &To) {
    if (From != To)
      Cluster.CutLinks.insert({From, To});
  }

  void loseDisk(SimulatedHost &Host, Fault Kind) {
    if (!Cluster.mayLoseDisk(Host))
      return;
    if (Kind == Fault::ReturnDisk) {
      Cluster.swapDisk(Host, Host.RemovedDisk);
    } else if (Kind == Fault::Replace) {
      Cluster.replace(Host);
    } else if (Kind == Fault::Wipe) {
      Cluster.swapDisk(Host, {});
    } else {
      Cluster.crash(Host);
      if (auto Read = Host.Disk.tryRecover();
          Read && Cluster.InjectedDefect != Defect::TruncateAtDamage)
        Cluster.Checks.identityLost(Read->Self.Replica);
      Host.Disk.damage(Random);
    }
    restartLater(Host);
  }

  void inject(Fault Kind) {
    SimulatedHost &Host = randomHost();
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
      Cluster.CutLinks.clear();
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
      Cluster.Network.DuplicatePerMille = 150;
      return;
    case Fault::SlowNetwork:
      Cluster.Network.MaxDelay = 80ms;
      return;
    case Fault::SlowDisk:
      Cluster.MaxSyncTime = 60ms;
      return;
    case Fault::VerySlowDisk:
      Cluster.MaxSyncTime = 900ms;
      return;
    }
  }

  void runClients() {
    if (ClientsDone)
      return;
    for (SimulatedHost &Host : Cluster.Hosts) {
      if (!Host.LocalReplica || Host.FrozenUntil > Cluster.Now)
        continue;
      if (Host.LocalReplica->isLeader() || Random() % 10 == 0)
        Cluster.propose(Host, "c" + std::to_string(NextCommand++));
      // The proposal may have ended the replica.
      if (Host.LocalReplica && Random() % 2 == 0)
        Cluster.read(Host);
    }
    Cluster.after(Duration(1000 + randomBelow(Random, 30'000)),
                  [this] { runClients(); });
  }

  void injectFaults(Timestamp End) {
    inject(Table.Faults[randomBelow(Random, Table.Faults.size())]);
    Cluster.matchLogs();
    Duration Pause(20'000 + randomBelow(Random, 500'000));
    if (Cluster.Now + Pause < End)
      Cluster.after(Pause, [this, End] { injectFaults(End); });
  }

  std::string describe() {
    std::string Text;
    for (SimulatedHost &Host : Cluster.Hosts) {
      if (!Host.LocalReplica)
        continue;
      ReplicaStatus Status = Host.LocalReplica->status();
      Text += "\n  " + Host.Host.Value + " " +
              std::to_string(Status.Replica.Value % 1000) + " " +
              std::string(enumName(Status.CurrentStanding)) + " term " +
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

  /// Waits until the first start has formed the log; no later one may.
  void form() {
    Cluster.Checks.require(
        Cluster.runUntil([&] { return Cluster.settled(); }, 20s),
        "does not form" + describe());
    Cluster.MayForm = false;
  }

  /// \returns the first violated invariant, or nothing.
  std::string run(Duration Span) {
    Cluster.startAll();
    if (Cluster.Source == MemberSource::Discovered)
      form();
    runClients();
    Cluster.after(Duration(randomBelow(Random, 1'000'000)),
                  [this, End = Cluster.Now + Span] { injectFaults(End); });
    Cluster.runUntil([&] { return !Cluster.Checks.violation().empty(); }, Span);
    inject(Fault::Heal);
    for (SimulatedHost &Host : Cluster.Hosts)
      Host.FrozenUntil = {};
    // The clients continue for a while, and a command must be committed.
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
        Run(Count, Table, Seed, Defect::None).run(FaultSpan);
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

BOOST_AUTO_TEST_CASE(slow_disks_break_no_invariant) {
  requireSafe(3, SlowDisks, seedCount(60));
  requireSafe(5, SlowDisks, seedCount(20));
}

BOOST_AUTO_TEST_CASE(lost_and_returning_disks_break_no_invariant) {
  requireSafe(3, Disks, seedCount(80));
  requireSafe(5, Disks, seedCount(30));
}

/// \returns the first violated invariant of a run with discovered members, or
/// nothing.
static std::string runDiscovered(size_t Count, size_t WantedVoters,
                                 const FaultTable &Table, uint64_t Seed,
                                 Defect InjectedDefect) {
  Run Discovered(Count, Table, Seed, InjectedDefect);
  Discovered.Cluster.Source = MemberSource::Discovered;
  Discovered.Cluster.WantedVoters = WantedVoters;
  return Discovered.run(FaultSpan);
}

static void requireSafeDiscovered(size_t Count, size_t WantedVoters,
                                  const FaultTable &Table, uint64_t Seeds) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    std::string Violation =
        runDiscovered(Count, WantedVoters, Table, Seed, Defect::None);
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

struct DefectCase {
  Defect InjectedDefect;
  const FaultTable &Table;
};

// Guards against an oracle that accepts everything.
BOOST_AUTO_TEST_CASE(the_oracle_detects_injected_defects) {
  const DefectCase Cases[] = {{Defect::CountBeforeSync, Crashes},
                              {Defect::KeepIdentity, Disks},
                              {Defect::ReadWithoutQuorum, Network},
                              {Defect::TruncateAtDamage, Damages}};
  for (const DefectCase &Case : Cases) {
    std::string Violation;
    uint64_t Seed = 0;
    while (Violation.empty() && Seed < 200)
      Violation =
          Run(3, Case.Table, ++Seed, Case.InjectedDefect).run(FaultSpan);
    BOOST_TEST(!Violation.empty());
    BOOST_TEST_MESSAGE("defect " << static_cast<int>(Case.InjectedDefect)
                                 << " is detected at seed " << Seed << " of "
                                 << Case.Table.Name << ": " << Violation);
  }
}

BOOST_AUTO_TEST_CASE(the_oracle_detects_defects_with_discovered_members) {
  for (Defect InjectedDefect :
       {Defect::CountBeforeSync, Defect::ReadWithoutQuorum}) {
    std::string Violation;
    uint64_t Seed = 0;
    while (Violation.empty() && Seed < 200)
      Violation =
          runDiscovered(4, 3, AllAndReplacements, ++Seed, InjectedDefect);
    BOOST_TEST(!Violation.empty());
    BOOST_TEST_MESSAGE("defect " << static_cast<int>(InjectedDefect)
                                 << " is detected at seed " << Seed << ": "
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
      CutLinks.insert({Host.Host, Other.Host});
      CutLinks.insert({Other.Host, Host.Host});
    }
  }
};

// A host that hears no leader campaigns. Its elections must not raise the term
// of the others, neither while it is cut off nor when it comes back.
BOOST_AUTO_TEST_CASE(a_host_that_was_cut_off_deposes_no_leader) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SettledCluster Cluster(Seed);
    uint64_t Term = Cluster.Checks.highestTerm();
    SimulatedHost &Follower = Cluster.follower();
    Cluster.isolate(Follower);
    Cluster.runFor(5s);
    Cluster.CutLinks.clear();
    Cluster.runFor(2s);
    BOOST_TEST(Cluster.Checks.highestTerm() == Term);
    // It receives nothing, while the others receive its messages.
    for (SimulatedHost &Other : Cluster.Hosts)
      Cluster.CutLinks.insert({Other.Host, Follower.Host});
    Cluster.runFor(5s);
    Cluster.CutLinks.clear();
    Cluster.runFor(2s);
    BOOST_TEST(Cluster.Checks.highestTerm() == Term);
    Cluster.commit("after");
  }
}

// Finding review/7: on disks whose syncs took 300 ms no host was ever elected.
BOOST_DATA_TEST_CASE(hosts_with_slow_disks_elect_a_leader,
                     boost::unit_test::data::make({100, 300, 500, 900}),
                     SyncMillis) {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      SimulatedCluster Cluster(Seed % 2 == 0 ? 3 : 5, Seed);
      Cluster.MinSyncTime = std::chrono::milliseconds(SyncMillis);
      Cluster.MaxSyncTime = Cluster.MinSyncTime * 6 / 5;
      Cluster.startAll();
      BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 12s));
      for (int Death = 0; Death < 3 && Cluster.leader(); ++Death) {
        SimulatedHost &Leader = *Cluster.leader();
        Cluster.crash(Leader);
        BOOST_TEST(
            Cluster.runUntil([&] { return Cluster.leader() != nullptr; }, 12s));
        Cluster.start(Leader);
        BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 12s));
        uint64_t Term = Cluster.Checks.highestTerm();
        Cluster.runFor(10s);
        BOOST_TEST(Cluster.Checks.highestTerm() == Term);
      }
      BOOST_TEST(Cluster.Checks.violation() == "");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_leader_that_hears_no_quorum_steps_down) {
  SettledCluster Cluster(1);
  SimulatedHost &Leader = *Cluster.leader();
  // Its heartbeats still reach the others, which therefore start no election.
  for (SimulatedHost &Other : Cluster.Hosts)
    Cluster.CutLinks.insert({Other.Host, Leader.Host});
  Cluster.runFor(2 * Cluster.Timing.ElectionTimeout);
  BOOST_TEST(!Leader.LocalReplica->isLeader());
  Cluster.commit("by another leader");
}

// Disks are lost one after another, each as soon as the log must survive it.
// The host that lost its disk rejoins as a new replica, and the old disk must
// not vote when it comes back.
BOOST_AUTO_TEST_CASE(disks_lost_in_turn_lose_no_command) {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SettledCluster Cluster(Seed);
    for (int Number = 0; Number < 50; ++Number)
      Cluster.commit(std::to_string(Number));
    // The hosts are drawn at random: followers and leaders, some repeatedly.
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
    // A disk is removed, and comes back after its host has rejoined.
    SimulatedHost &Returned = Cluster.follower();
    Cluster.swapDisk(Returned, {});
    Cluster.start(Returned);
    BOOST_TEST(Cluster.runUntil([&] { return Cluster.settled(); }, 20s));
    uint64_t Term = Cluster.Checks.highestTerm();
    Cluster.swapDisk(Returned, Returned.RemovedDisk);
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
    Cluster.Network.DuplicatePerMille = 300;
    // The hosts start at different times, and disks are lost meanwhile.
    for (SimulatedHost &Host : Cluster.Hosts)
      Cluster.after(Duration(randomBelow(Cluster.Random, 500'000)),
                    [&] { Cluster.start(Host); });
    for (int Loss = 0; Loss < 2; ++Loss)
      Cluster.after(Duration(randomBelow(Cluster.Random, 1'500'000)), [&] {
        SimulatedHost &Host =
            Cluster.Hosts[randomBelow(Cluster.Random, Cluster.Hosts.size())];
        if (!Host.LocalReplica || !Cluster.mayLoseDisk(Host))
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

BOOST_AUTO_TEST_CASE(no_cluster_forms_without_an_answer_from_every_host) {
  SimulatedCluster Cluster(3, 7);
  Cluster.start(Cluster.Hosts[0]);
  Cluster.start(Cluster.Hosts[1]);
  Cluster.runFor(10s);
  for (size_t Index : {0, 1})
    BOOST_TEST(
        (Cluster.Hosts[Index].LocalReplica->standing() == Standing::Blank));
  // A host with a damaged log refuses, and does not count as blank.
  Cluster.Hosts[2].Disk.Log = "damaged";
  Cluster.start(Cluster.Hosts[2]);
  Cluster.runFor(10s);
  BOOST_TEST(Cluster.leader() == nullptr);
}

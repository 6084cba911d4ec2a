// Logs on real files: restarts, snapshots, wiped, returning and damaged disks,
// and the errors that callers see.
#include "LibConsensus/LogCluster.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace ferry;
using namespace ferry::consensus;
namespace fs = std::filesystem;

/// Proposes \p Command at the leader, and again after each error that says it
/// was not proposed. \returns whether it was committed.
static bool replicate(LogCluster &Cluster, const std::string &Command) {
  bool Proposed = false;
  bool Committed = false;
  return Cluster.waitFor([&] {
    LogDriver *Leader = Cluster.leader();
    if (Proposed || Leader == nullptr)
      return Committed;
    Proposed = true;
    Leader->propose(Command, [&](Result<uint64_t, ProposeError> Outcome) {
      Committed = Outcome.has_value();
      Proposed = Committed || !Outcome.error().certainlyNotProposed();
    });
    return Committed;
  });
}

static void startAll(LogCluster &Cluster) {
  Cluster.onLoop([&] {
    for (const HostId &Host : Cluster.Hosts)
      BOOST_REQUIRE(Cluster.tryStart(Host).has_value());
  });
}

static void restartAll(LogCluster &Cluster) {
  Cluster.onLoop([&] { Cluster.Drivers.clear(); });
  startAll(Cluster);
}

static bool allHave(LogCluster &Cluster, const std::string &State) {
  return Cluster.waitFor([&] {
    return std::all_of(
        Cluster.Hosts.begin(), Cluster.Hosts.end(),
        [&](const HostId &Host) { return Cluster.States[Host] == State; });
  });
}

BOOST_DATA_TEST_CASE(commands_survive_a_restart_of_all,
                     boost::unit_test::data::make({1, 3, 5}), Count) {
  LogCluster Cluster(Count);
  startAll(Cluster);
  BOOST_TEST(replicate(Cluster, "one"));
  BOOST_TEST(replicate(Cluster, "two"));
  BOOST_TEST(allHave(Cluster, "one;two;"));
  restartAll(Cluster);
  BOOST_TEST(allHave(Cluster, "one;two;"));
  BOOST_TEST(replicate(Cluster, "three"));
  BOOST_TEST(allHave(Cluster, "one;two;three;"));
}

BOOST_AUTO_TEST_CASE(snapshots_bound_the_log_and_restore_the_state) {
  LogCluster Cluster(3);
  Cluster.Limits.SnapshotEntries = 20;
  Cluster.Limits.TrailingEntries = 5;
  startAll(Cluster);
  std::string Expected;
  for (int Number = 0; Number < 100; ++Number) {
    BOOST_REQUIRE(replicate(Cluster, std::to_string(Number)));
    Expected += std::to_string(Number) + ";";
  }
  BOOST_TEST(allHave(Cluster, Expected));
  Cluster.onLoop([&] {
    ReplicaStatus Status = Cluster.Drivers.begin()->second->status();
    BOOST_TEST(Status.SnapshotIndex >= 80u);
    BOOST_TEST(Status.LastIndex - Status.FirstIndex < 50u);
  });
  restartAll(Cluster);
  BOOST_TEST(allHave(Cluster, Expected));
}

// Hundreds of changes near the largest size filled the memory of the control
// hosts: the log kept a number of entries, whatever their size.
BOOST_AUTO_TEST_CASE(large_commands_do_not_accumulate_in_the_log) {
  constexpr uint64_t CommandBytes = 64 << 10;
  constexpr uint64_t Commands = 100;
  LogCluster Cluster(3);
  Cluster.Limits.SnapshotBytes = 1 << 20;
  startAll(Cluster);
  std::string Expected;
  for (uint64_t Number = 0; Number < Commands; ++Number) {
    std::string Command(CommandBytes, static_cast<char>('a' + Number % 26));
    BOOST_REQUIRE(replicate(Cluster, Command));
    Expected += Command + ";";
  }
  BOOST_TEST(allHave(Cluster, Expected));
  // A snapshot may be under way meanwhile.
  constexpr uint64_t MostEntries = 2 * (1 << 20) / CommandBytes;
  BOOST_TEST(Cluster.waitFor([&] {
    return std::all_of(
        Cluster.Drivers.begin(), Cluster.Drivers.end(), [&](const auto &Host) {
          ReplicaStatus Status = Host.second->status();
          return Status.LastIndex - Status.FirstIndex < MostEntries;
        });
  }));
  restartAll(Cluster);
  BOOST_TEST(allHave(Cluster, Expected));
}

BOOST_AUTO_TEST_CASE(a_wiped_host_rejoins_under_a_new_identity) {
  LogCluster Cluster(3);
  startAll(Cluster);
  BOOST_TEST(replicate(Cluster, "one"));
  BOOST_TEST(allHave(Cluster, "one;"));
  // The second host is wiped as soon as the first one is a voter again.
  for (const char *Name : {"b", "c"}) {
    HostId Lost{Name};
    ReplicaId OldReplica;
    Cluster.onLoop([&] {
      OldReplica = Cluster.Drivers[Lost]->status().Replica;
      Cluster.Drivers.erase(Lost);
      fs::remove_all(Cluster.folderOf(Lost));
      BOOST_REQUIRE(Cluster.tryStart(Lost).has_value());
    });
    BOOST_TEST(Cluster.waitFor([&] {
      auto Status = Cluster.Drivers[Lost]->status();
      return Status.CurrentStanding == Standing::Voter &&
             Status.Replica != OldReplica && Status.Members.Voters.size() == 3;
    }));
  }
  BOOST_TEST(replicate(Cluster, "two"));
  BOOST_TEST(allHave(Cluster, "one;two;"));
}

// The old disk holds the identity of a replica that is no member any more.
BOOST_AUTO_TEST_CASE(a_disk_that_returns_after_its_replacement_rejoins) {
  LogCluster Cluster(3);
  startAll(Cluster);
  BOOST_TEST(replicate(Cluster, "one"));
  BOOST_TEST(allHave(Cluster, "one;"));
  HostId Lost{"c"};
  fs::path OldDisk = Cluster.Folder.Path / "kept";
  ReplicaId OldReplica;
  auto Replace = [&](const std::function<void()> &Swap) {
    Cluster.onLoop([&] {
      OldReplica = Cluster.Drivers[Lost]->status().Replica;
      Cluster.Drivers.erase(Lost);
      Swap();
      BOOST_REQUIRE(Cluster.tryStart(Lost).has_value());
    });
    BOOST_TEST(Cluster.waitFor([&] {
      auto Status = Cluster.Drivers[Lost]->status();
      return Status.CurrentStanding == Standing::Voter && Status.Leader &&
             Cluster.leader() != nullptr &&
             Cluster.leader()->status().Members.contains(Status.Replica);
    }));
  };
  Replace([&] { fs::rename(Cluster.folderOf(Lost), OldDisk); });
  BOOST_TEST(replicate(Cluster, "two"));
  BOOST_TEST(allHave(Cluster, "one;two;"));
  Replace([&] {
    fs::remove_all(Cluster.folderOf(Lost));
    fs::rename(OldDisk, Cluster.folderOf(Lost));
  });
  BOOST_TEST(replicate(Cluster, "three"));
  BOOST_TEST(allHave(Cluster, "one;two;three;"));
}

BOOST_AUTO_TEST_CASE(a_replica_with_a_damaged_log_votes_only_after_rejoining) {
  LogCluster Cluster(3);
  startAll(Cluster);
  for (const char *Command : {"one", "two", "three"})
    BOOST_TEST(replicate(Cluster, Command));
  BOOST_TEST(allHave(Cluster, "one;two;three;"));
  HostId DamagedHost{"a"};
  Cluster.onLoop([&] {
    Cluster.Drivers.erase(DamagedHost);
    for (const auto &File :
         fs::directory_iterator(Cluster.folderOf(DamagedHost)))
      if (File.path().filename().string().starts_with("log-")) {
        std::fstream Log(File.path(),
                         std::ios::in | std::ios::out | std::ios::binary);
        Log.seekp(static_cast<std::streamoff>(File.file_size() / 2));
        Log.write("damage", 6);
      }
    BOOST_REQUIRE(Cluster.tryStart(DamagedHost).has_value());
    auto &Driver = *Cluster.Drivers[DamagedHost];
    BOOST_REQUIRE(Driver.damage().has_value());
    BOOST_TEST((Driver.damage()->Kind == StorageErrorKind::Damaged));
    BOOST_TEST((Driver.standing() == Standing::Refusing));
  });
  BOOST_TEST(
      Cluster.waitFor([&] { return Cluster.Drivers[DamagedHost]->isVoter(); }));
  BOOST_TEST(allHave(Cluster, "one;two;three;"));
  BOOST_TEST(fs::exists(Cluster.folderOf(DamagedHost) / "damaged"));
}

BOOST_AUTO_TEST_CASE(an_isolated_leader_confirms_neither_reads_nor_proposals) {
  LogCluster Cluster(3);
  startAll(Cluster);
  BOOST_TEST(replicate(Cluster, "one"));
  int ReadFailures = 0;
  std::vector<ProposeErrorKind> Outcomes;
  LogDriver *OldLeader = nullptr;
  bool LeaderIsolated = Cluster.waitFor([&] {
    OldLeader = Cluster.leader();
    if (OldLeader == nullptr)
      return false;
    Cluster.Isolated.insert(*OldLeader->leader());
    OldLeader->confirmRead([&](Result<void, ReadError> Outcome) {
      ReadFailures += Outcome ? 0 : 1;
    });
    OldLeader->propose("lost", [&](Result<uint64_t, ProposeError> Outcome) {
      Outcomes.push_back(Outcome.error().Kind);
    });
    return true;
  });
  BOOST_REQUIRE(LeaderIsolated);
  BOOST_TEST(Cluster.waitFor([&] { return !OldLeader->isLeader(); }));
  Cluster.onLoop([&] {
    BOOST_TEST(ReadFailures == 1);
    BOOST_REQUIRE(Outcomes.size() == 1u);
    BOOST_TEST((Outcomes.front() == ProposeErrorKind::LeadershipLost));
    OldLeader->propose("refused", [&](Result<uint64_t, ProposeError> Outcome) {
      BOOST_TEST(Outcome.error().certainlyNotProposed());
    });
  });
}

BOOST_AUTO_TEST_CASE(folders_in_use_and_of_other_clusters_are_typed_errors) {
  LogCluster Cluster(1);
  startAll(Cluster);
  BOOST_TEST(replicate(Cluster, "one"));
  ControlLoop Loop;
  LogOptions Options;
  Options.Cluster = {"other"};
  Options.Self = Cluster.Hosts.front();
  Options.Members = Cluster.Hosts;
  Options.Folder = Cluster.folderOf(Options.Self);
  auto Kind = [&] {
    auto Opened = LogDriver::tryOpen(Options, Loop, Cluster.hooks({"x"}));
    return Opened ? std::nullopt : std::optional(Opened.error().Kind);
  };
  BOOST_TEST((Kind() == StorageErrorKind::Locked));
  Cluster.onLoop([&] { Cluster.Drivers.clear(); });
  BOOST_TEST((Kind() == StorageErrorKind::Foreign));
  Options.Self = {"stranger"};
  BOOST_TEST((Kind() == StorageErrorKind::BadOptions));
}

BOOST_AUTO_TEST_CASE(malformed_payloads_are_counted_and_dropped) {
  LogCluster Cluster(1);
  startAll(Cluster);
  Cluster.onLoop([&] {
    auto &Driver = *Cluster.Drivers.begin()->second;
    Driver.receive({"b"}, "no message");
    Driver.receive({"b"},
                   encodeMessage({"other"}, {1}, {{7}, {}, 1, wire::Probe()}));
    BOOST_TEST(Driver.droppedPayloads() == 2u);
  });
}

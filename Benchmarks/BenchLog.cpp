/// \file
/// Measures the replicated log: syncs, commits, restarts, failover, messages
/// and the cost of an idle replica. Prints Markdown tables. Takes about a
/// minute.
#include "LibConsensus/LogCluster.h"
#include "LibConsensus/LogFiles.h"
#include "LibConsensus/SimulatedCluster.h"
#include <algorithm>
#include <cstdio>
#include <sys/resource.h>

using namespace ferry;
using namespace ferry::consensus;

static constexpr size_t CommandBytes = 1024;

static double secondsSince(Timestamp Start) {
  return std::chrono::duration<double>(steadyNow() - Start).count();
}

/// \returns the processor time of this process in seconds.
static double processorSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

/// \returns the records written per second if each sync covers \p BatchSize of
/// them.
static double syncedRecords(size_t BatchSize) {
  TemporaryFolder Folder;
  auto Files = LogFiles::tryOpen(Folder.Path, {{"bench"}, {1}});
  if (!Files || !Files->tryInitialise({{7}, Standing::Blank, {}}))
    return 0;
  static constexpr size_t Records = 4096;
  uint64_t Index = 0;
  Timestamp Start = steadyNow();
  while (Index < Records) {
    std::vector<WriteBatch> Batches(BatchSize);
    for (WriteBatch &Batch : Batches)
      Batch.Entries.push_back(
          {++Index, 1, EntryKind::Command, std::string(CommandBytes, 'x')});
    if (!Files->tryWrite(Batches))
      return 0;
  }
  return static_cast<double>(Index) / secondsSince(Start);
}

static void benchSyncs() {
  std::printf("Records of 1 KB on one disk, by records for each sync:\n\n"
              "| records for each sync | records/s |\n|---|---|\n");
  for (size_t BatchSize : {1, 8, 64, 512})
    std::printf("| %zu | %.0f |\n", BatchSize, syncedRecords(BatchSize));
}

/// Keeps a fixed number of proposals outstanding until enough have committed.
struct Load {
  LogCluster &Cluster;
  size_t Outstanding;
  size_t TotalCommits;
  size_t Proposed = 0;
  size_t Committed = 0;

  void proposeNext() {
    if (Proposed == TotalCommits)
      return;
    ++Proposed;
    Cluster.leader()->propose(std::string(CommandBytes, 'x'),
                              [this](Result<uint64_t, ProposeError> Outcome) {
                                if (!Outcome)
                                  std::abort();
                                ++Committed;
                                proposeNext();
                              });
  }

  /// \returns false if the cluster did not commit all of them in time.
  bool run() {
    if (!Cluster.waitFor([&] { return Cluster.leader() != nullptr; }))
      return false;
    Cluster.onLoop([&] {
      for (size_t Index = 0; Index < Outstanding; ++Index)
        proposeNext();
    });
    return Cluster.waitFor([&] { return Committed == TotalCommits; },
                           std::chrono::seconds(120));
  }
};

static void startAll(LogCluster &Cluster) {
  Cluster.onLoop([&] {
    for (const HostId &Host : Cluster.Hosts)
      if (!Cluster.tryStart(Host))
        std::abort();
  });
}

/// Makes the application keep only its newest bytes, so that snapshots do not
/// grow with the number of changes.
static void boundState(LogCluster &Cluster) { Cluster.MaxStateBytes = 100'000; }

static void benchCommits() {
  std::printf("\nThree replicas in one process, one control thread, real "
              "files, commands of 1 KB:\n\n| proposals under way | commits/s | "
              "processor time for each commit, us |\n|---|---|---|\n");
  for (size_t Outstanding : {1, 8, 64, 512}) {
    LogCluster Cluster(3);
    Cluster.Timing = {};
    boundState(Cluster);
    startAll(Cluster);
    Load WarmUp{Cluster, 1, 10};
    Load Workload{Cluster, Outstanding, Outstanding == 1 ? 2000U : 10'000U};
    if (!WarmUp.run())
      std::abort();
    Timestamp Start = steadyNow();
    double Processor = processorSeconds();
    if (!Workload.run())
      std::abort();
    std::printf("| %zu | %.0f | %.0f |\n", Outstanding,
                static_cast<double>(Workload.TotalCommits) /
                    secondsSince(Start),
                (processorSeconds() - Processor) * 1e6 /
                    static_cast<double>(Workload.TotalCommits));
  }
}

static void benchRestart(size_t Changes, uint64_t SnapshotEntries) {
  LogCluster Cluster(3);
  Cluster.Timing = {};
  Cluster.Limits.SnapshotEntries = SnapshotEntries;
  Cluster.Limits.SnapshotBytes = uint64_t{1} << 40;
  boundState(Cluster);
  startAll(Cluster);
  Load Workload{Cluster, 256, Changes};
  if (!Workload.run())
    std::abort();
  Cluster.onLoop([&] { Cluster.Drivers.clear(); });
  uint64_t Bytes = 0;
  for (const auto &File : std::filesystem::recursive_directory_iterator(
           Cluster.folderOf(Cluster.Hosts.front())))
    Bytes += File.is_regular_file() ? File.file_size() : 0;
  Timestamp Start = steadyNow();
  startAll(Cluster);
  double Opened = secondsSince(Start);
  bool Ready = false;
  bool ReadRequested = false;
  Cluster.waitFor([&] {
    LogDriver *Leader = Cluster.leader();
    if (Leader == nullptr || ReadRequested)
      return Ready;
    ReadRequested = true;
    Leader->confirmRead([&](Result<void, ReadError> Outcome) {
      Ready = Outcome.has_value();
      ReadRequested = Ready;
    });
    return Ready;
  });
  std::printf("| %zu | %s | %.1f | %.0f | %.0f |\n", Changes,
              SnapshotEntries > Changes ? "no" : "yes",
              static_cast<double>(Bytes) / 1e6, Opened * 1e3,
              secondsSince(Start) * 1e3);
}

static void benchRestarts() {
  std::printf("\nRestart of all three replicas at once:\n\n| changes of 1 KB | "
              "snapshots | files of one replica, MB | files read, ms | first "
              "confirmed read, ms |\n|---|---|---|---|---|\n");
  for (size_t Changes : {100, 1000, 10'000})
    for (uint64_t Entries : {uint64_t{50}, uint64_t{1} << 40})
      benchRestart(Changes, Entries == 50
                                ? std::min<uint64_t>(1000, Changes / 2)
                                : Entries);
}

/// \returns the time from the crash of the leader to the next commit.
static Duration failover(size_t Hosts, uint64_t Seed) {
  SimulatedCluster Cluster(Hosts, Seed);
  Cluster.startAll();
  Cluster.runUntil([&] { return Cluster.settled(); }, 10s);
  Cluster.runFor(Duration(randomBelow(Cluster.Random, 1'000'000)));
  Cluster.crash(*Cluster.leader());
  Timestamp Crashed = Cluster.Now;
  SimulatedHost *NewLeader = nullptr;
  Cluster.runUntil(
      [&] {
        NewLeader = Cluster.leader();
        return NewLeader != nullptr &&
               NewLeader->LocalReplica->commitIndex() ==
                   NewLeader->LocalReplica->log().lastIndex();
      },
      30s);
  return Cluster.Now - Crashed;
}

static void benchFailover() {
  std::printf("\nFrom the crash of a leader to the next commit, virtual time, "
              "500 seeds:\n\n| replicas | p50, heartbeats | p99, heartbeats | "
              "p99, ms |\n|---|---|---|---|\n");
  double Heartbeat =
      static_cast<double>(ReplicaTiming().HeartbeatInterval.count());
  for (size_t Hosts : {3, 5, 7}) {
    std::vector<double> Times;
    for (uint64_t Seed = 1; Seed <= 500; ++Seed)
      Times.push_back(static_cast<double>(failover(Hosts, Seed).count()));
    std::sort(Times.begin(), Times.end());
    std::printf("| %zu | %.1f | %.1f | %.0f |\n", Hosts,
                Times[Times.size() / 2] / Heartbeat,
                Times[Times.size() * 99 / 100] / Heartbeat,
                Times[Times.size() * 99 / 100] / 1e3);
  }
}

static void benchMessages() {
  std::printf(
      "\nMessages, virtual time, commands of 1 KB one at a time:\n\n"
      "| replicas | idle leader, messages/s | idle leader, bytes/s | idle "
      "follower, bytes/s | bytes for each commit |\n"
      "|---|---|---|---|---|\n");
  for (size_t Hosts : {3, 5, 7}) {
    SimulatedCluster Cluster(Hosts, 1);
    Cluster.CountBytes = true;
    Cluster.startAll();
    Cluster.runUntil([&] { return Cluster.settled(); }, 10s);
    auto &Leader = Cluster.leader()->Host;
    Cluster.Sent.clear();
    static constexpr double IdleSeconds = 100;
    Cluster.runFor(std::chrono::seconds(100));
    auto Idle = std::exchange(Cluster.Sent, {});
    static constexpr int Commits = 100;
    for (int Index = 0; Index < Commits; ++Index) {
      Cluster.propose(*Cluster.leader(), std::string(CommandBytes, 'x'));
      Cluster.runUntil([&] { return Cluster.settled(); }, 10s);
    }
    uint64_t Bytes = 0;
    for (const auto &[Host, Traffic] : Cluster.Sent)
      Bytes += Traffic.Bytes;
    const HostId &Follower =
        Cluster.Hosts[Cluster.Hosts[0].Host == Leader].Host;
    std::printf("| %zu | %.1f | %.0f | %.0f | %.0f |\n", Hosts,
                static_cast<double>(Idle[Leader].Messages) / IdleSeconds,
                static_cast<double>(Idle[Leader].Bytes) / IdleSeconds,
                static_cast<double>(Idle[Follower].Bytes) / IdleSeconds,
                static_cast<double>(Bytes) / Commits);
  }
}

static void benchIdle() {
  LogCluster Cluster(3);
  Cluster.Timing = {};
  startAll(Cluster);
  Load WarmUp{Cluster, 1, 10};
  if (!WarmUp.run())
    std::abort();
  static constexpr int Seconds = 5;
  double Processor = processorSeconds();
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  std::printf("\nOne idle replica of three, real time: %.3f%% of a core.\n",
              (processorSeconds() - Processor) * 100 / Seconds / 3);
}

int main() {
  benchSyncs();
  benchCommits();
  benchRestarts();
  benchFailover();
  benchMessages();
  benchIdle();
}

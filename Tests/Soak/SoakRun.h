/// \file
/// A cluster of real processes with callers, operators and targets, under
/// random faults.
#ifndef FERRY_TESTS_SOAK_SOAKRUN_H
#define FERRY_TESTS_SOAK_SOAKRUN_H

#include "Soak/SoakTarget.h"
#include <functional>
#include <map>
#include <thread>

namespace ferry::soak {

using fakes::ProxyMode;

/// One soak run: injects faults for a while, then ends all of them and checks
/// that the cluster recovers.
class SoakRun {
public:
  explicit SoakRun(uint64_t Seed);
  ~SoakRun();

  /// Injects faults for \p Span, then checks the recovery.
  /// \returns the first violations, oldest first; empty if there are none.
  std::vector<std::string> run(Duration Span);

private:
  enum class HostState : uint8_t { Running, Paused, Stopping, Down };

  struct Host {
    HostState State = HostState::Down;
    bool DiskFull = false;
    /// Whether the process has answered a request since its start. Before that,
    /// its signal handling may not be set up.
    bool HasAnswered = false;
    std::unique_ptr<fakes::FakeProxy> Proxy;
  };

  static constexpr int FirstRouter = 11;
  static constexpr int RouterCount = 3;
  static constexpr int ControlCount = 4;

  static bool isRouter(int Number) { return Number >= FirstRouter; }

  // Processes.
  void start(int Number, test::LogFormation MayForm);
  void scheduleRestart(int Number, uint64_t MaxMillis);
  void kill(int Number);
  void stop(int Number);
  void pause(int Number);
  void fillDisk(int Number);
  void disturbPeers(int Number);
  /// Ends all faults, then loses the disk of one control host, with or without
  /// a kill of all others.
  void loseDisk();
  /// Resets all connections of a router to targets, new ones too, until
  /// reconnectToTargets().
  void cutFromTargets(int Router);
  void reconnectToTargets(int Router);
  void checkProcesses();
  bool handlesSignals(int Number);
  void injectFault();
  /// Ends all faults and runs all scheduled work at once.
  void endFaults();
  /// Runs scheduled work as it becomes due, and restarts hosts that ended.
  void runScheduled(Timestamp Until);
  /// Runs \p Work on the run's own thread after a random time up to
  /// \p MaxMillis.
  void schedule(uint64_t MaxMillis, std::function<void()> Work);
  bool hasRecovered();
  void checkRecovery();
  /// Checks, with no other fault, that a part which crashes engines, a request
  /// which crashes targets and the limits of targets are heeded by all routers,
  /// and that callers of a cut-off router are served.
  void checkCrashingPart();
  void checkCrashingRequest();
  void checkCutRouter();
  void checkLimits();
  bool hasEnoughVoters();

  // Callers and operators, each on a thread of its own.
  void addCallers();
  void callRepeatedly(fakes::FakeCaller Caller, std::string Path, bool Streams,
                      Duration Pause = std::chrono::milliseconds(10));
  /// Sends requests whose prompts have \p Part, until the run or \p Until ends.
  void sendCrashingPart(const std::string &Group, const std::string &Part,
                        uint64_t Seed, Timestamp Until);
  /// Sends one request whose body is \p Body again and again, until the run or
  /// \p Until ends.
  void sendCrashingRequest(const std::string &Group, const std::string &Body,
                           uint64_t Seed, Timestamp Until);
  /// Has targets name limits for some seconds.
  void limitTargetsRepeatedly(uint64_t Seed);
  void checkAttempt(const fakes::CallerAttempt &Attempt, bool Streams);
  void putRoutesRepeatedly(uint64_t Seed);
  void nameWeightsRepeatedly(uint64_t Seed);
  void readRoutesRepeatedly(uint64_t Seed);
  int readRoutesAt(int Host);
  std::string routesText(int Number) const;

  uint64_t drawBelow(uint64_t Bound) { return randomBelow(Random, Bound); }
  int drawHost();

  RandomGenerator Random;
  /// Draws what was added after seeds had been kept, which draw the same faults
  /// as before.
  RandomGenerator LaterRandom;
  test::RoutedCluster Cluster{test::PeerLinks::ThroughProxies};
  SoakRecord Record;
  std::map<int, Host> Hosts;
  std::vector<std::unique_ptr<SoakTarget>> Targets;
  /// The process of each router while it is cut off from targets; else 0.
  std::array<std::atomic<int>, RouterCount> CutProcesses{};
  std::multimap<Timestamp, std::function<void()>> Scheduled;
  std::atomic<bool> Stopping = false;
  /// Whether targets name limits at random.
  std::atomic<bool> Limiting = false;
  std::atomic<int> NextRoutes = 1;
  std::atomic<int> NewestAcknowledged = 0;
  std::atomic<int> NextWeights = 1;
  std::atomic<int> NewestWeights = 1;
  std::atomic<int> Served = 0;
  std::vector<std::thread> Threads;
};

} // namespace ferry::soak

#endif

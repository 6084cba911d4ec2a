/// \file
/// Real processes, callers, operators and targets under random faults.
#ifndef FERRY_TESTS_SOAK_SOAKWORLD_H
#define FERRY_TESTS_SOAK_SOAKWORLD_H

#include "Soak/SoakTarget.h"
#include <functional>
#include <map>
#include <thread>

namespace ferry::soak {

using fakes::ProxyMode;

/// One soak: faults strike for a while, then all heals and must be well again.
class SoakWorld {
public:
  explicit SoakWorld(uint64_t Seed);
  ~SoakWorld();

  /// \returns what was broken, the first ones first.
  std::vector<std::string> run(Duration Span);

private:
  enum class HostState : uint8_t { Running, Paused, Stopping, Down };

  struct Host {
    HostState State = HostState::Down;
    bool DiskFull = false;
    /// Its first answer came: from then on it takes signals.
    bool Answered = false;
    std::unique_ptr<fakes::FakeProxy> Proxy;
  };

  static constexpr int FirstRouter = 11;
  static constexpr int Routers = 3;
  static constexpr int Controls = 4;

  static bool isRouter(int Number) { return Number >= FirstRouter; }

  // Processes.
  void start(int Number, test::Formation MayForm);
  void restartLater(int Number, uint64_t MaxMillis);
  void kill(int Number);
  void stop(int Number);
  void pause(int Number);
  void fillDisk(int Number);
  void harmPeers(int Number);
  void loseDisk();
  void checkProcesses();
  bool takesSignals(int Number);
  void strike();
  void heal();
  void runLater(Timestamp Until);
  void later(uint64_t MaxMillis, std::function<void()> Work);
  bool wellAgain();
  void checkEnd();
  bool replicasVote();

  // Callers and operators, each on a thread of its own.
  void addCallers();
  void callInTurns(fakes::FakeCaller Caller, std::string Path, bool Stream);
  void checkAnswer(const fakes::CallerAttempt &Made, bool Stream);
  void putRoutes(uint64_t Seed);
  void nameWeights(uint64_t Seed);
  void readRoutes(uint64_t Seed);
  int readOnce(int Host);
  std::string routesText(int Number) const;

  uint64_t below(uint64_t Bound) { return randomBelow(Random, Bound); }
  int anyHost();

  RandomGenerator Random;
  test::RoutedCluster Cluster{test::PeerLinks::ByProxies};
  SoakRecord Record;
  std::map<int, Host> Hosts;
  std::vector<std::unique_ptr<SoakTarget>> Targets;
  std::multimap<Timestamp, std::function<void()>> Later;
  std::atomic<bool> Stopping = false;
  std::atomic<int> NextRoutes = 1;
  std::atomic<int> NewestAcked = 0;
  std::atomic<int> NextWeights = 1;
  std::atomic<int> NewestWeights = 1;
  std::atomic<int> Served = 0;
  std::vector<std::thread> Threads;
};

} // namespace ferry::soak

#endif

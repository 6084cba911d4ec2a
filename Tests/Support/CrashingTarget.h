/// \file
/// Plain targets that end while they run a certain request.
#ifndef FERRY_TESTS_SUPPORT_CRASHINGTARGET_H
#define FERRY_TESTS_SUPPORT_CRASHINGTARGET_H

#include "Fakes/FakeScriptedTarget.h"
#include "LibCore/Time.h"
#include "Support/RoutedCluster.h"
#include <set>

namespace ferry::test {

/// Targets of the service "app" that announce themselves to the control hosts
/// of a cluster. A target that runs the crashing request ends before it
/// answers: all its connections are reset, new ones too, until it is back under
/// another id.
class CrashingTargets {
public:
  using Predicate = std::function<bool(const fakes::ReceivedRequest &)>;

  CrashingTargets(RoutedCluster &Cluster, int Count, Predicate Crashes);
  /// Resets all connections of these routers from now on, as soon as they are
  /// made.
  void cutOff(std::set<int> Routers);
  ~CrashingTargets();

  /// \returns when targets ended, in order.
  std::vector<Timestamp> crashes() const;
  /// \returns the number of crashing requests that reached targets from
  /// \p From on, those included that found them ended.
  size_t arrivalsAfter(Timestamp From) const;

private:
  struct Target {
    int Number = 0;
    int Life = 0;
    Timestamp DownUntil;
    std::unique_ptr<fakes::FakeScriptedTarget> Server;
  };

  static std::string idOf(const Target &Subject);
  bool isCutOff(const Target &Subject, uint16_t PeerPort) const;
  void serve(Target &Serving, const fakes::ReceivedRequest &Read,
             fakes::ScriptedConnection &Link);
  void crash(Target &Crashing, int Life);
  bool hasEnded(const Target &Subject, int Life) const;
  void announceUntilStopped();

  RoutedCluster &Cluster;
  const Predicate IsCrashing;
  mutable std::mutex Mutex;
  std::set<int> CutRouters;
  std::vector<Timestamp> Crashes;
  std::vector<Timestamp> Arrivals;
  std::atomic<bool> Stopping = false;
  std::vector<std::unique_ptr<Target>> Targets;
  std::thread Announcer;
};

} // namespace ferry::test

#endif

// Brittle targets fall over when they have to turn away more requests in a
// second, for want of room, than the number that all their answers name. Falls
// are counted at the targets, under more load than these can serve.
#include "Fakes/FakeScriptedTarget.h"
#include "LibCore/Time.h"
#include "Support/RoutedCluster.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
using fakes::FakeScriptedTarget;
using fakes::ReceivedRequest;
using fakes::ScriptedConnection;

namespace {

constexpr std::array<int, 3> Routers = {11, 12, 13};
constexpr int TargetCount = 8;
constexpr auto ContactTime = 3s;

/// Plain targets that run four requests at a time, 50 ms each, and let none
/// wait.
class BrittleTargets {
public:
  static constexpr int Slots = 4;
  static constexpr int AllowedRefusals = 3;

  explicit BrittleTargets(RoutedCluster &Cluster) : Cluster(Cluster) {
    for (int Number = 0; Number < TargetCount; ++Number) {
      Targets.push_back(std::make_unique<Target>());
      Target &Added = *Targets.back();
      Added.Number = Number;
      Added.Server = std::make_unique<FakeScriptedTarget>(
          [this, &Added](const ReceivedRequest &Read,
                         ScriptedConnection &Link) {
            serve(Added, Read, Link);
          });
    }
    Announcer = std::thread([this] { announceUntilStopped(); });
  }
  ~BrittleTargets() {
    Stopping = true;
    Announcer.join();
  }

  void setBrittle() { Brittle = true; }
  size_t fallsFrom(Timestamp From) const {
    std::lock_guard Lock(Mutex);
    return static_cast<size_t>(
        std::count_if(Falls.begin(), Falls.end(),
                      [From](Timestamp At) { return At >= From; }));
  }

private:
  struct Target {
    int Number = 0;
    int Life = 0;
    int Running = 0;
    std::deque<Timestamp> Refusals;
    Timestamp DownUntil;
    std::unique_ptr<FakeScriptedTarget> Server;
  };

  static std::string idOf(const Target &Subject) {
    return "i-app" + std::to_string(Subject.Number) + "-" +
           std::to_string(Subject.Life);
  }

  /// Counts a refusal; too many in a second end the target.
  void refuse(Target &Full) {
    Timestamp Now = steadyNow();
    Full.Refusals.push_back(Now);
    while (Full.Refusals.front() + 1s <= Now)
      Full.Refusals.pop_front();
    if (!Brittle || Full.Refusals.size() <= AllowedRefusals)
      return;
    Falls.push_back(Now);
    Full.Refusals.clear();
    ++Full.Life;
    Full.Running = 0;
    Full.DownUntil = Now + 1s;
  }

  void serve(Target &Serving, const ReceivedRequest &Read,
             ScriptedConnection &Link) {
    std::string Fields = "X-Request-Id: " + Read.Head.get("X-Request-Id", "") +
                         "\r\n" + (Brittle ? "Server-Brittle: 3\r\n" : "");
    int Life = 0;
    {
      std::lock_guard Lock(Mutex);
      if (steadyNow() < Serving.DownUntil)
        return Link.reset();
      if (Read.Head.get("X-Expect-Instance", "") != idOf(Serving)) {
        Link.write("HTTP/1.1 421 Other\r\nX-Not-Run: 1\r\n" + Fields +
                   "Content-Length: 0\r\n\r\n");
        return;
      }
      if (Serving.Running >= Slots) {
        refuse(Serving);
        Link.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + Fields +
                   "Content-Length: 0\r\n\r\n");
        return;
      }
      ++Serving.Running;
      Life = Serving.Life;
    }
    std::this_thread::sleep_for(50ms);
    {
      std::lock_guard Lock(Mutex);
      if (Serving.Life != Life)
        return Link.reset();
      --Serving.Running;
    }
    Link.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + Fields +
               "Content-Length: 4\r\n\r\ndone");
  }

  void announceUntilStopped() {
    for (int Sequence = 1; !Stopping; ++Sequence) {
      for (auto &Each : Targets) {
        Announcement Details;
        {
          std::lock_guard Lock(Mutex);
          if (steadyNow() < Each->DownUntil)
            continue;
          Details.Id = idOf(*Each);
          Details.IncarnationMillis += Each->Life;
        }
        Details.Service = "app";
        Details.Address = Each->Server->address();
        Details.Sequence = Sequence;
        Cluster.announce(
            1 + (Sequence + Each->Number) % RoutedCluster::SeedCount, Details);
      }
      std::this_thread::sleep_for(200ms);
    }
  }

  RoutedCluster &Cluster;
  mutable std::mutex Mutex;
  std::vector<Timestamp> Falls;
  std::atomic<bool> Brittle = false;
  std::atomic<bool> Stopping = false;
  std::vector<std::unique_ptr<Target>> Targets;
  std::thread Announcer;
};

} // namespace

BOOST_AUTO_TEST_CASE(brittle_targets_under_load_do_not_fall_over) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  BrittleTargets Targets(Cluster);
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return Cluster.directoryListsRouters(Router); }));
  std::this_thread::sleep_for(1s);

  // 60 callers at a time, where the targets run 32 requests.
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Counting = false;
  std::atomic<size_t> Served = 0;
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 60; ++Caller)
    Callers.emplace_back([&, Caller] {
      int Router = Routers[static_cast<size_t>(Caller) % Routers.size()];
      for (int Number = 0; !Stopping; ++Number) {
        std::string Id = std::to_string(Caller) + "-" + std::to_string(Number);
        Answer Got =
            request(Cluster.callers(Router), "POST", "/1/x", "b" + Id,
                    {{"Host", "a.example"}, {"X-Request-Id", Id}}, 2000);
        if (Got.Status == 200 && Counting)
          ++Served;
        if (Got.Status != 200)
          std::this_thread::sleep_for(40ms);
      }
    });
  std::this_thread::sleep_for(1s);
  Targets.setBrittle();
  Timestamp BrittleFrom = steadyNow();
  std::this_thread::sleep_for(ContactTime);
  Counting = true;
  std::this_thread::sleep_for(10s);
  Counting = false;
  size_t Falls = Targets.fallsFrom(BrittleFrom + ContactTime);
  Stopping = true;
  for (std::thread &Caller : Callers)
    Caller.join();

  // The users' bound on falls, and half of what the targets can serve.
  static constexpr size_t CanServe = TargetCount * BrittleTargets::Slots * 20;
  BOOST_TEST_MESSAGE(Falls << " falls, " << Served << " served in 10 s");
  BOOST_TEST(Falls <= 2U + TargetCount / 10);
  BOOST_TEST(Served >= 10 * CanServe / 2);
}

// Brittle targets fall over when they have to turn away more requests in a
// second, for want of room, than the number that all their answers name. Falls
// are counted at the targets, under more load than these can serve.
#include "Fakes/FakeScriptedTarget.h"
#include "LibCore/Time.h"
#include "Support/RoutedCluster.h"
#include <algorithm>
#include <boost/test/data/test_case.hpp>
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
constexpr auto ContactTime = 3s;

/// Targets and the callers at the routers, more than the targets have room for.
struct BrittleLoad {
  const char *Name;
  int Targets;
  /// Requests that a target runs at a time, 50 ms each.
  int Slots;
  int Callers;
  /// Whether one target after the other is replaced, two in a second.
  bool Replaced;
};

std::ostream &operator<<(std::ostream &Out, const BrittleLoad &Load) {
  return Out << Load.Name;
}

const BrittleLoad Loads[] = {
    {"more_slots_than_routers", 8, 4, 60, false},
    {"fewer_slots_than_routers", 8, 2, 30, false},
    {"targets_are_replaced", 8, 2, 30, true},
    {"fewer_slots_in_all_than_routers", 2, 1, 12, false}};

/// Plain targets that let no request wait.
class BrittleTargets {
public:
  static constexpr int AllowedRefusals = 3;

  BrittleTargets(RoutedCluster &Cluster, const BrittleLoad &Load)
      : Cluster(Cluster), Load(Load) {
    for (int Number = 0; Number < Load.Targets; ++Number) {
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

  /// Replaces each target once in a while, if the load calls for it.
  void replaceInTurn(int Sequence) {
    // The targets are announced five times a second.
    static constexpr int StepsOfReplacement = 3;
    if (!Load.Replaced || !Brittle || Sequence % StepsOfReplacement != 0)
      return;
    std::lock_guard Lock(Mutex);
    auto Next = static_cast<size_t>(Sequence / StepsOfReplacement);
    Target &Replaced = *Targets[Next % Targets.size()];
    ++Replaced.Life;
    Replaced.Running = 0;
    Replaced.Refusals.clear();
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
      if (Serving.Running >= Load.Slots) {
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
      replaceInTurn(Sequence);
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
        Details.Slots = Load.Slots;
        Details.Address = Each->Server->address();
        Details.Sequence = Sequence;
        Cluster.announce(
            1 + (Sequence + Each->Number) % RoutedCluster::SeedCount, Details);
      }
      std::this_thread::sleep_for(200ms);
    }
  }

  RoutedCluster &Cluster;
  const BrittleLoad &Load;
  mutable std::mutex Mutex;
  std::vector<Timestamp> Falls;
  std::atomic<bool> Brittle = false;
  std::atomic<bool> Stopping = false;
  std::vector<std::unique_ptr<Target>> Targets;
  std::thread Announcer;
};

} // namespace

BOOST_DATA_TEST_CASE(brittle_targets_under_load_do_not_fall_over,
                     boost::unit_test::data::make(Loads), Load) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  BrittleTargets Targets(Cluster, Load);
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return Cluster.directoryListsRouters(Router); }));
  std::this_thread::sleep_for(1s);

  std::atomic<bool> Stopping = false;
  std::atomic<bool> Counting = false;
  std::array<std::atomic<size_t>, Routers.size()> ServedAt = {};
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < Load.Callers; ++Caller)
    Callers.emplace_back([&, Caller] {
      size_t Position = static_cast<size_t>(Caller) % Routers.size();
      int Router = Routers[Position];
      for (int Number = 0; !Stopping; ++Number) {
        std::string Id = std::to_string(Caller) + "-" + std::to_string(Number);
        Answer Got =
            request(Cluster.callers(Router), "POST", "/1/x", "b" + Id,
                    {{"Host", "a.example"}, {"X-Request-Id", Id}}, 2000);
        if (Got.Status == 200 && Counting)
          ++ServedAt[Position];
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

  // The users' bound on falls, half of what the targets can serve, and a
  // quarter of its part at each router.
  auto CanServe = static_cast<size_t>(Load.Targets * Load.Slots * 20 * 10);
  size_t Served = 0;
  for (const auto &Part : ServedAt) {
    Served += Part;
    BOOST_TEST(Part >= CanServe / Routers.size() / 4);
  }
  BOOST_TEST_MESSAGE(Load.Name << ": " << Falls << " falls, " << Served
                               << " served in 10 s, " << ServedAt[0] << ", "
                               << ServedAt[1] << " and " << ServedAt[2]
                               << " at the routers");
  BOOST_TEST(Falls <= 2U + static_cast<size_t>(Load.Targets) / 10);
  BOOST_TEST(Served >= CanServe / 2);
}

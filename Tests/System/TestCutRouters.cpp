// Routers whose connections to targets are all reset, while callers and other
// routers reach them. A while after the cut began their callers must be served
// nearly as well as those of the others. First tries are counted as callers see
// them. Tests/LibTraffic/TestPassedCalls.cpp plays other kinds of cuts.
#include "LibCore/Time.h"
#include "Support/CrashingTarget.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::array<int, 3> Routers = {11, 12, 13};
constexpr auto ContactTime = 3s;
constexpr auto CutTime = 8s;

struct Case {
  const char *Name;
  std::set<int> CutRouters;
};

std::ostream &operator<<(std::ostream &Out, const Case &Subject) {
  return Out << Subject.Name;
}

const std::vector<Case> Cases = {{"one cut", {11}}, {"two cut", {11, 12}}};

/// Callers that send to each router, and what their first tries got.
class Callers {
public:
  explicit Callers(RoutedCluster &Cluster) {
    for (int Router : Routers)
      Threads.emplace_back([this, &Cluster, Router] {
        std::vector<std::thread> Calls;
        for (int Number = 0; !Stopping; ++Number) {
          Calls.emplace_back([this, &Cluster, Router, Number] {
            call(Cluster, Router, Number);
          });
          std::this_thread::sleep_for(25ms);
        }
        for (std::thread &Call : Calls)
          Call.join();
      });
  }
  ~Callers() { stop(); }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  struct Count {
    double Sent = 0;
    double Served = 0;
    double share() const { return Served / std::max(1.0, Sent); }
  };
  Count count(const std::set<int> &AtRouters, Timestamp From, Timestamp Until) {
    std::lock_guard Lock(Mutex);
    Count Result;
    for (const Outcome &Each : Outcomes)
      if (AtRouters.contains(Each.Router) && Each.SentAt >= From &&
          Each.SentAt < Until) {
        Result.Sent += 1;
        Result.Served += Each.Served ? 1 : 0;
      }
    return Result;
  }

private:
  struct Outcome {
    int Router = 0;
    Timestamp SentAt;
    bool Served = false;
  };

  void call(RoutedCluster &Cluster, int Router, int Number) {
    // Half of the requests may run once only.
    std::string Path = Number % 2 == 0 ? "/many/x" : "/1/x";
    std::string Id = std::to_string(Router) + "-" + std::to_string(Number);
    Timestamp SentAt = steadyNow();
    Answer Got = request(Cluster.callers(Router), "POST", Path, "b" + Id,
                         {{"Host", "a.example"}, {"X-Request-Id", Id}}, 2000);
    std::lock_guard Lock(Mutex);
    Outcomes.push_back({Router, SentAt, Got.Status == 200});
  }

  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Threads;
};

} // namespace

BOOST_DATA_TEST_CASE(callers_of_cut_routers_are_served_through_others,
                     data::make(Cases), Played) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  CrashingTargets Targets(Cluster, 8,
                          [](const fakes::ReceivedRequest &) { return false; });
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return Cluster.directoryListsRouters(Router); }));
  std::this_thread::sleep_for(1s);

  std::set<int> Others;
  for (int Router : Routers)
    if (!Played.CutRouters.contains(Router))
      Others.insert(Router);
  Callers Subject(Cluster);
  std::this_thread::sleep_for(1s);
  Timestamp CutFrom = steadyNow();
  Targets.cutOff(Played.CutRouters);
  std::this_thread::sleep_for(CutTime);
  Timestamp CutUntil = steadyNow();
  Targets.cutOff({});
  std::this_thread::sleep_for(3s);
  Subject.stop();

  // The bounds are those of the users' rules.
  auto Cut = Subject.count(Played.CutRouters, CutFrom + ContactTime, CutUntil);
  auto Whole = Subject.count(Others, CutFrom + ContactTime, CutUntil);
  auto Behind = Subject.count(Played.CutRouters, CutUntil + 2s, CutUntil + 3s);
  BOOST_TEST_MESSAGE(Played.Name << ": cut " << Cut.Served << " of " << Cut.Sent
                                 << ", others " << Whole.Served << " of "
                                 << Whole.Sent << ", behind " << Behind.Served
                                 << " of " << Behind.Sent);
  BOOST_TEST(Whole.share() > 0.9);
  BOOST_TEST(Cut.share() >= Whole.share() * 2 / 3);
  BOOST_TEST(Cut.Sent - Cut.Served <= 10 + (Cut.Sent + Whole.Sent) / 50);
  BOOST_TEST(Behind.share() > 0.9);
}

namespace {

/// A plain service and an engine behind three routers, of which one is cut off.
struct CutCluster {
  explicit CutCluster(int Cut) {
    Cluster.startAll();
    Cluster.startRouter(13);
    BOOST_REQUIRE(
        TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
    for (int Router : Routers)
      BOOST_REQUIRE(TestCluster::eventually([&] {
        return Cluster.directoryListsRouters(Router) && get(Router) == 200;
      }));
    cut(Cut);
  }

  void cut(int Router) {
    CutRouters.insert(Router);
    Targets.cutOff(CutRouters);
    Timestamp Limit = steadyNow() + ContactTime;
    while (steadyNow() < Limit)
      get(Router);
  }

  /// \returns the status of a call.
  int get(int Router, const std::string &Key = "none") {
    return request(Cluster.callers(Router), "GET", "/many/x", "",
                   {{"Host", "a.example"},
                    {"X-Request-Id", "r" + std::to_string(++Calls)},
                    {"X-Ferry-Pass-Key", Key}},
                   2000)
        .Status;
  }

  RoutedCluster Cluster;
  std::set<int> CutRouters;
  std::atomic<int> KeysSeen = 0;
  CrashingTargets Targets{
      Cluster, 8, [this](const fakes::ReceivedRequest &Read) {
        KeysSeen += Read.Head.has("X-Ferry-Pass-Key") ? 1 : 0;
        return false;
      }};
  int Calls = 0;
};

} // namespace

// A caller cannot pretend to be a router, which would end its request here, and
// targets never see the keys of routers.
BOOST_AUTO_TEST_CASE(callers_cannot_forge_the_mark_of_a_passed_request) {
  CutCluster Subject(11);
  BOOST_TEST(Subject.get(11, "0123456789abcdef0123456789abcdef") == 200);
  BOOST_TEST(Subject.get(11, "") == 200);
  BOOST_TEST(Subject.KeysSeen == 0);
}

BOOST_AUTO_TEST_CASE(without_a_router_that_reaches_targets_calls_end_at_once) {
  CutCluster Subject(11);
  Subject.cut(12);
  Subject.cut(13);
  for (int Router : Routers) {
    Timestamp SentAt = steadyNow();
    BOOST_TEST(Subject.get(Router) == 503);
    BOOST_TEST((steadyNow() - SentAt).count() < 200'000);
  }
}

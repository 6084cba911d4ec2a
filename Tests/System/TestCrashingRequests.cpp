// One request crashes each target that runs it and is sent again and again to
// all routers. After three crashes no router may send it any more, and sound
// requests must stay served: some share its path and caller, some its body and
// caller, and one is popular. Arrivals are counted at the targets.
#include "LibCore/Time.h"
#include "Support/CrashingTarget.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;

namespace {

constexpr std::array<int, 3> Routers = {11, 12, 13};

/// What callers send; "*" in a body is replaced by a number of its own.
struct Pattern {
  std::string Name;
  std::string Method;
  std::string Path;
  std::string Body;
};

/// Callers of all routers, and what they got.
class Callers {
public:
  explicit Callers(RoutedCluster &Cluster) : Cluster(Cluster) {}
  ~Callers() { stop(); }

  /// Sends requests to all routers in turn, one each \p Pause.
  void start(const Pattern &Sent, Duration Pause) {
    Threads.emplace_back([this, Sent, Pause] {
      std::vector<std::thread> Calls;
      for (int Number = 0; !Stopping; ++Number) {
        Calls.emplace_back([this, Sent, Number] { call(Sent, Number); });
        std::this_thread::sleep_for(Pause);
      }
      for (std::thread &Call : Calls)
        Call.join();
    });
  }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  /// \returns the share of the requests of \p Name that were sent from \p From
  /// on, before \p Until, and served.
  double servedShare(const std::string &Name, Timestamp From, Timestamp Until) {
    std::lock_guard Lock(Mutex);
    double Sent = 0;
    double Served = 0;
    for (const Outcome &Each : Outcomes)
      if (Each.Name == Name && Each.SentAt >= From && Each.SentAt < Until) {
        Sent += 1;
        Served += Each.Served ? 1 : 0;
      }
    BOOST_REQUIRE(Sent >= 20);
    return Served / Sent;
  }

private:
  struct Outcome {
    std::string Name;
    Timestamp SentAt;
    bool Served = false;
  };

  void call(const Pattern &Sent, int Number) {
    std::string Body = Sent.Body;
    if (size_t Mark = Body.find('*'); Mark != std::string::npos)
      Body.replace(Mark, 1, std::to_string(Number));
    int Router = Routers[static_cast<size_t>(Number) % Routers.size()];
    Timestamp SentAt = steadyNow();
    Answer Got =
        request(Cluster.callers(Router), Sent.Method, Sent.Path, Body,
                {{"Host", "a.example"},
                 {"X-Request-Id", Sent.Name + "-" + std::to_string(Number)}},
                2500);
    std::lock_guard Lock(Mutex);
    Outcomes.push_back({Sent.Name, SentAt, Got.Status == 200});
  }

  RoutedCluster &Cluster;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Threads;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_crashes_targets_stops_reaching_them) {
  static constexpr auto ContactTime = 3s;
  static const std::vector<Pattern> SoundOnes = {
      {"same path", "POST", "/many/x", "sound *"},
      {"same body", "POST", "/many/y", "crash"},
      {"popular", "GET", "/many/popular", ""}};
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  CrashingTargets Targets(Cluster, 8, [](const fakes::ReceivedRequest &Read) {
    return Read.Body == "crash" && Read.Head.getURI() == "/many/x";
  });
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return Cluster.directoryListsRouters(Router); }));
  std::this_thread::sleep_for(1s);

  Callers Sound(Cluster);
  Callers Crashing(Cluster);
  Timestamp SoundFrom = steadyNow();
  for (const Pattern &Each : SoundOnes)
    Sound.start(Each, 60ms);
  std::this_thread::sleep_for(3s);
  Timestamp CrashingFrom = steadyNow();
  Crashing.start({"crash", "POST", "/many/x", "crash"}, 250ms);
  std::this_thread::sleep_for(14s);
  Crashing.stop();
  Sound.stop();

  // The bounds are those of the users' rules.
  std::vector<Timestamp> Crashes = Targets.crashes();
  Timestamp Third = Crashes.empty()
                        ? CrashingFrom
                        : Crashes[std::min<size_t>(Crashes.size(), 3) - 1];
  size_t Late = Targets.arrivalsAfter(Third + ContactTime);
  BOOST_TEST_MESSAGE(Crashes.size()
                     << " crashes, " << Late << " arrivals too late");
  BOOST_TEST(Late <= 3U);
  for (const Pattern &Each : SoundOnes) {
    double Before = Sound.servedShare(Each.Name, SoundFrom, CrashingFrom);
    double Behind = Sound.servedShare(Each.Name, Third + 2 * ContactTime,
                                      steadyNow() - 500ms);
    BOOST_TEST_MESSAGE(Each.Name << ": " << Before << " before, " << Behind
                                 << " behind");
    BOOST_TEST(Before > 0.9);
    BOOST_TEST(Behind >= Before / 2);
  }
}

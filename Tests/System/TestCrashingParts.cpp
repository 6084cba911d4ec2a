// A part of a prompt crashes each engine that begins an answer on it, while
// sound requests share the caller, the route and the first part. After a few
// crashes no router may send the part to engines any more, and the sound
// requests must stay served. Arrivals are counted at the engines.
#include "LibCore/Time.h"
#include "Support/CrashingEngine.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;

namespace {

constexpr std::array<int, 3> Routers = {11, 12, 13};

/// Callers of all routers, and what they got.
class Callers {
public:
  explicit Callers(RoutedCluster &Cluster) : Cluster(Cluster) {}
  ~Callers() { stop(); }

  /// Sends requests to all routers in turn, one each \p Pause. Their prompts
  /// have a shared first part, \p Part, and a part of their own.
  void start(const std::string &Part, Duration Pause) {
    Threads.emplace_back([this, Part, Pause] {
      std::vector<std::thread> Calls;
      for (int Number = 0; !Stopping; ++Number) {
        int Router = Routers[static_cast<size_t>(Number) % Routers.size()];
        Calls.emplace_back(
            [this, Part, Number, Router] { call(Part, Number, Router); });
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

  /// \returns the share of the calls with \p Part that were sent from \p From
  /// on, before \p Until, and got a whole stream.
  double servedShare(const std::string &Part, Timestamp From, Timestamp Until) {
    std::lock_guard Lock(Mutex);
    double Sent = 0;
    double Served = 0;
    for (const Outcome &Each : Outcomes)
      if (Each.Part == Part && Each.SentAt >= From && Each.SentAt < Until) {
        Sent += 1;
        Served += Each.Served ? 1 : 0;
      }
    BOOST_REQUIRE(Sent >= 20);
    return Served / Sent;
  }

private:
  struct Outcome {
    std::string Part;
    Timestamp SentAt;
    bool Served = false;
  };

  void call(const std::string &Part, int Number, int Router) {
    std::string Id = Part + "-" + std::to_string(Number);
    Timestamp SentAt = steadyNow();
    Answer Got = request(
        Cluster.callers(Router), "POST", "/stream/x", "b",
        {{"Host", "a.example"},
         {"X-Request-Id", Id},
         {"X-Model", "m0"},
         {"X-Token-Counts", "100,4"},
         {"X-Prompt-Prefix",
          "5eed:40," + Part + ":40," + std::to_string(1000 + Number) + ":20"}},
        4000);
    bool Whole =
        Got.Status == 200 && Got.Body.find("id: 3") != std::string::npos;
    std::lock_guard Lock(Mutex);
    Outcomes.push_back({Part, SentAt, Whole});
  }

  RoutedCluster &Cluster;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Threads;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_part_that_crashes_engines_stops_reaching_them) {
  static constexpr auto ContactTime = 3s;
  static const std::string SoundPart = "a11";
  static const std::string CrashingPart = "bad";
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  EngineFleet Engines(Cluster, 8, CrashingPart);
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return Cluster.directoryListsRouters(Router); }));
  std::this_thread::sleep_for(1s);

  Callers Sound(Cluster);
  Callers Crashing(Cluster);
  Timestamp SoundFrom = steadyNow();
  Sound.start(SoundPart, 25ms);
  std::this_thread::sleep_for(3s);
  Timestamp CrashingFrom = steadyNow();
  Crashing.start(CrashingPart, 200ms);
  std::this_thread::sleep_for(13s);
  Crashing.stop();
  Sound.stop();

  // The bounds are those of the users' rules, without the slack of fewer than
  // five crashes.
  std::vector<Timestamp> Crashes = Engines.crashes();
  Timestamp LastThatCounts =
      Crashes.empty() ? CrashingFrom
                      : Crashes[std::min<size_t>(Crashes.size(), 5) - 1];
  size_t Late = Engines.arrivalsAfter(LastThatCounts + ContactTime);
  BOOST_TEST_MESSAGE(Crashes.size()
                     << " crashes, " << Late << " arrivals too late");
  BOOST_TEST(Late <= 3U);
  double Before = Sound.servedShare(SoundPart, SoundFrom, CrashingFrom);
  double Behind = Sound.servedShare(SoundPart, LastThatCounts + 2 * ContactTime,
                                    steadyNow() - 500ms);
  BOOST_TEST_MESSAGE("sound requests: " << Before << " before, " << Behind
                                        << " behind");
  BOOST_TEST(Before > 0.9);
  BOOST_TEST(Behind >= Before / 2);
}

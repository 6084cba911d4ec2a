// A part of a prompt crashes each engine that begins an answer on it, while
// sound requests share the caller, the route and the first part. After a few
// crashes no router may send the part to engines any more, and the sound
// requests must stay served. Arrivals are counted at the engines.
#include "Support/CrashingEngine.h"
#include "Support/StreamCallers.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;

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

  StreamCallers Sound(Cluster);
  StreamCallers Crashing(Cluster);
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

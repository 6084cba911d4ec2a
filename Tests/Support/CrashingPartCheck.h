/// \file
/// Checks that routers keep a part of a prompt that crashes engines away from
/// them.
#ifndef FERRY_TESTS_SUPPORT_CRASHINGPARTCHECK_H
#define FERRY_TESTS_SUPPORT_CRASHINGPARTCHECK_H

#include "Support/CrashingEngine.h"
#include "Support/StreamCallers.h"
#include <boost/test/unit_test.hpp>

namespace ferry::test {

/// How a part of a prompt crashes engines.
struct CrashingLoad {
  CrashSign Sign = CrashSign::HeadAndReset;
  /// Time until an engine that has ended is back.
  Duration DownTime = std::chrono::seconds(1);
  /// Time between two requests with the part.
  Duration Pause = std::chrono::milliseconds(200);
};

/// Sends sound streams, whose heads come before their first event, and streams
/// with a part that crashes engines, and checks the users' bounds on both.
inline void checkPartIsKeptAway(const std::string &Path,
                                const CrashingLoad &Load) {
  using namespace std::chrono_literals;
  static constexpr auto ContactTime = 3s;
  static constexpr auto FirstEventDelay = 250ms;
  static const std::string SoundPart = "a11";
  static const std::string CrashingPart = "bad";
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  EngineFleet Engines(Cluster, 8, CrashingPart, Load.Sign, FirstEventDelay,
                      Load.DownTime);
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return Cluster.directoryListsRouters(Router); }));
  std::this_thread::sleep_for(1s);

  StreamCallers Sound(Cluster, Path);
  StreamCallers Crashing(Cluster, Path);
  Timestamp SoundFrom = steadyNow();
  Sound.start(SoundPart, 33ms);
  std::this_thread::sleep_for(3s);
  Timestamp CrashingFrom = steadyNow();
  Crashing.start(CrashingPart, Load.Pause);
  std::this_thread::sleep_for(13s);
  Crashing.stop();
  Sound.stop();

  // The bounds of the users' rules, as in TestCrashingParts.
  std::vector<Timestamp> Crashes = Engines.crashes();
  Timestamp LastThatCounts =
      Crashes.empty() ? CrashingFrom
                      : Crashes[std::min<size_t>(Crashes.size(), 5) - 1];
  size_t Late = Engines.arrivalsAfter(LastThatCounts + ContactTime);
  double Before = Sound.servedShare(SoundPart, SoundFrom, CrashingFrom);
  double Behind = Sound.servedShare(SoundPart, LastThatCounts + 2 * ContactTime,
                                    steadyNow() - 500ms);
  BOOST_TEST_MESSAGE(Path << ": " << Crashes.size() << " crashes, " << Late
                          << " arrivals too late; sound requests: " << Before
                          << " before, " << Behind << " behind");
  BOOST_TEST(Late <= 3U);
  BOOST_TEST(Before > 0.9);
  BOOST_TEST(Behind >= Before / 2);
}

} // namespace ferry::test

#endif

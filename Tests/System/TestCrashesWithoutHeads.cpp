// A part of a prompt crashes each engine that begins an answer on it, by a
// reset that discards the head of that answer, or without any sign. Sound
// streams at the same engines have their heads and no event yet. No router may
// send the part to engines any more after a few crashes, and the sound requests
// must stay served.
#include "Support/CrashingEngine.h"
#include "Support/StreamCallers.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const std::vector<std::string> Paths = {"/stream/x", "/flow/x"};

static void checkPartIsKeptAway(const std::string &Path, CrashSign Sign) {
  static constexpr auto ContactTime = 3s;
  static constexpr auto FirstEventDelay = 250ms;
  static const std::string SoundPart = "a11";
  static const std::string CrashingPart = "bad";
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  EngineFleet Engines(Cluster, 8, CrashingPart, Sign, FirstEventDelay);
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
  Crashing.start(CrashingPart, 200ms);
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

BOOST_DATA_TEST_CASE(
    a_part_whose_crashes_discard_the_head_stops_reaching_engines,
    data::make(Paths), Path) {
  checkPartIsKeptAway(Path, CrashSign::ResetOnly);
}

BOOST_DATA_TEST_CASE(
    a_part_whose_crashes_look_like_whole_answers_stops_reaching_engines,
    data::make(Paths), Path) {
  checkPartIsKeptAway(Path, CrashSign::UnframedHeadAndClose);
}

BOOST_DATA_TEST_CASE(
    a_part_whose_crashes_leave_connections_open_stops_reaching_engines,
    data::make(Paths), Path) {
  checkPartIsKeptAway(Path, CrashSign::Silence);
}

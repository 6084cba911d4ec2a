// Routers keep a part of prompts away from engines as it has crashed five of
// them. Then all routers end at once, or all processes do. The part must not
// reach more engines than if none had ended.
#include "Support/CrashingEngine.h"
#include "Support/StreamCallers.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

enum class Ends : uint8_t { Routers, AllProcesses };

static std::ostream &operator<<(std::ostream &Out, Ends Which) {
  return Out << (Which == Ends::Routers ? "routers" : "all processes");
}

static void restart(RoutedCluster &Cluster, Ends Which) {
  bool WithControl = Which == Ends::AllProcesses;
  for (int Router : Routers)
    Cluster.kill(Router);
  for (int Host = 1; WithControl && Host <= RoutedCluster::SeedCount; ++Host)
    Cluster.kill(Host);
  for (int Host = 1; WithControl && Host <= RoutedCluster::SeedCount; ++Host)
    Cluster.startControl(Host, LogFormation::Forbidden);
  for (int Router : Routers)
    Cluster.startRouter(Router);
}

BOOST_DATA_TEST_CASE(a_part_is_kept_away_after_a_restart,
                     data::make({Ends::Routers, Ends::AllProcesses}), Which) {
  static constexpr auto ContactTime = 3s;
  static constexpr auto FirstEventDelay = 250ms;
  static const std::string SoundPart = "a11";
  static const std::string CrashingPart = "bad";
  RoutedCluster Cluster;
  Cluster.startAll();
  Cluster.startRouter(13);
  EngineFleet Engines(Cluster, 8, CrashingPart, CrashSign::ResetOnly,
                      FirstEventDelay);
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  auto Serve = [&] {
    for (int Router : Routers)
      BOOST_REQUIRE(TestCluster::eventually(
          [&] { return Cluster.directoryListsRouters(Router); }));
  };
  Serve();
  std::this_thread::sleep_for(1s);
  {
    StreamCallers Sound(Cluster);
    StreamCallers Crashing(Cluster);
    Sound.start(SoundPart, 33ms);
    std::this_thread::sleep_for(2s);
    Crashing.start(CrashingPart, 200ms);
    BOOST_REQUIRE(TestCluster::eventually([&] {
      return Engines.crashes().size() >= 5 &&
             Engines.arrivalsAfter(steadyNow() - 3s) == 0;
    }));
  }

  restart(Cluster, Which);
  Serve();
  // Routers that were started this long ago are in touch.
  std::this_thread::sleep_for(ContactTime);
  size_t CrashesBefore = Engines.crashes().size();
  Timestamp From = steadyNow();
  StreamCallers Sound(Cluster);
  StreamCallers Crashing(Cluster);
  Sound.start(SoundPart, 33ms);
  Crashing.start(CrashingPart, 500ms);
  std::this_thread::sleep_for(10s);
  Crashing.stop();
  Sound.stop();

  size_t Late = Engines.arrivalsAfter(From);
  double Served = Sound.servedShare(SoundPart, From, steadyNow() - 500ms);
  BOOST_TEST_MESSAGE(Which << ": " << CrashesBefore << " crashes before, "
                           << Late << " arrivals behind, " << Served
                           << " of the sound requests served");
  // The bounds of the users' rule.
  BOOST_TEST(Late <= 3U);
  BOOST_TEST(Served > 0.9);
}

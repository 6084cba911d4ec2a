// Whole clusters with the routed interface, as the users' platform runs them.
#include "Support/Announcers.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using fakes::ReceivedRequest;

namespace {

bool eventually(const std::function<bool()> &Done) {
  return TestCluster::eventually(Done);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_calm_day) {
  RoutedCluster Cluster;
  Cluster.startAll();
  // Before there are routes, a refusal that promises not to have run.
  BOOST_TEST(eventually([&] { return Cluster.call(11, 1).Status == 503; }));
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(1); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.serves(1); }));
  BOOST_TEST(Cluster.call(11, 2).Status == 404);
  // The directory names both routers.
  BOOST_TEST(eventually([&] { return Cluster.namesRouters(12); }));
  BOOST_TEST(request(Cluster.readiness(11), "GET", "/ready").Status == 200);
  // A change reaches both; a resend and an overtaken one are acknowledged.
  BOOST_REQUIRE(Cluster.accepts(3));
  BOOST_TEST(eventually([&] { return Cluster.serves(3); }));
  BOOST_TEST(Cluster.putRoutes(2, 3).Status == 200);
  BOOST_TEST(Cluster.putRoutes(3, 2).Status == 200);
  BOOST_TEST(eventually([&] { return Cluster.routesAt(1) == 3; }));
  // Invalid ones are not, and change nothing.
  BOOST_TEST(request(Cluster.control(1), "PUT", "/config", "{").Status == 400);
  // Weights that are named are ordered.
  BOOST_TEST(
      eventually([&] { return Cluster.nameWeights(2, 2).Status == 200; }));
  BOOST_TEST(eventually([&] { return Targets.weights() == 2; }));
  // Figures are served.
  std::string Figures = request(Cluster.figures(11), "GET", "/metrics").Body;
  BOOST_TEST(Figures.find("ferry_routed_answers_total") != std::string::npos);
  BOOST_TEST(
      request(Cluster.figures(1), "GET", "/v1/dump").Body.find("\"voters\"") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_change_outlives_the_loss_of_a_disk_and_of_all_power) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(1); }));
  BOOST_REQUIRE(Cluster.accepts(2));
  BOOST_REQUIRE(eventually([&] { return Cluster.serves(2); }));
  for (int Host = 1; Host <= 3; ++Host)
    Cluster.kill(Host);
  Cluster.wipeDisk(2);
  // Routers go on while no control host runs.
  BOOST_TEST(Cluster.call(11, 1).Status == 200);
  Cluster.startControl(2, Formation::Forbidden);
  Cluster.startControl(1, Formation::Forbidden);
  Cluster.startControl(3, Formation::Forbidden);
  BOOST_TEST(eventually([&] { return Cluster.routesAt(2) == 2; }));
  BOOST_TEST(eventually([&] { return Cluster.accepts(4); }));
  BOOST_TEST(eventually([&] { return Cluster.serves(4); }));
}

BOOST_AUTO_TEST_CASE(an_empty_host_at_another_address_replaces_a_lost_one) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(1); }));
  Cluster.kill(3);
  Cluster.startControl(4, Formation::Forbidden);
  // Once it is in, a second loss is borne.
  BOOST_REQUIRE(eventually([&] { return Cluster.votes(4); }));
  Cluster.kill(1);
  BOOST_TEST(eventually([&] { return Cluster.accepts(2); }));
  BOOST_TEST(eventually([&] { return Cluster.serves(2); }));
}

// A disk that was full for a while does not cost the quorum later.
BOOST_AUTO_TEST_CASE(a_host_whose_disk_was_full_votes_again) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(1); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.serves(1); }));
  Cluster.host(1).limitFiles(1);
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(2); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.serves(2); }));
  Cluster.host(1).liftFileLimit();
  Cluster.kill(2);
  BOOST_TEST(eventually([&] { return Cluster.accepts(3); }));
  BOOST_TEST(eventually([&] { return Cluster.serves(3); }));
  BOOST_TEST(Cluster.host(1).isRunning());
}

BOOST_AUTO_TEST_CASE(signals_stop_without_a_cut_and_reload) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(1); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.serves(1); }));
  for (int Host : {1, 2, 3, 11, 12})
    Cluster.host(Host).signal(SIGHUP);
  std::atomic<bool> Stop = false;
  std::set<std::string> Served;
  std::thread Caller([&] {
    for (int Count = 0; !Stop; ++Count) {
      std::string Id = "drain-" + std::to_string(Count);
      if (Cluster.call(11, 1, Id).Status == 200)
        Served.insert(Id);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Cluster.host(11).signal(SIGTERM);
  BOOST_TEST(eventually([&] {
    return request(Cluster.readiness(11), "GET", "/ready").Status != 200;
  }));
  int Code = Cluster.host(11).wait();
  Stop = true;
  Caller.join();
  BOOST_TEST(Code == 0);
  // Whatever reached a target was answered to its caller.
  for (const ReceivedRequest &Read : Targets.app().requests()) {
    std::string Id = Read.Head.get("X-Request-Id", "");
    if (Id.starts_with("drain-"))
      BOOST_TEST(Served.count(Id) == 1U, Id);
  }
  BOOST_TEST(!Served.empty());
  for (int Host : {1, 2, 3, 12})
    BOOST_TEST(Cluster.host(Host).isRunning());
  BOOST_TEST(Cluster.call(12, 1).Status == 200);
}

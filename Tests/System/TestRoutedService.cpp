// Whole clusters with the routed interface, as the users' platform runs them.
// Guards against routes that are lost with disks or restarts, against hosts
// that do not vote again after a fault, and against requests that are cut by a
// shutdown.
#include "Support/Announcers.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using fakes::ReceivedRequest;

namespace {

bool eventually(const std::function<bool()> &Condition) {
  return TestCluster::eventually(Condition);
}

} // namespace

BOOST_AUTO_TEST_CASE(healthy_cluster_serves_routes_weights_and_metrics) {
  RoutedCluster Cluster;
  Cluster.startAll();
  // Without routes, calls are refused with a status that says they were not
  // run.
  BOOST_TEST(eventually([&] { return Cluster.call(11, 1).Status == 503; }));
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.routersServe(1); }));
  // Until its routes are confirmed, a router does not refuse for good.
  BOOST_TEST(eventually([&] {
    int Status = Cluster.call(11, 2).Status;
    BOOST_TEST((Status == 404 || Status == 503));
    return Status == 404;
  }));
  // The directory lists both routers.
  BOOST_TEST(eventually([&] { return Cluster.directoryListsRouters(12); }));
  BOOST_TEST(request(Cluster.readiness(11), "GET", "/ready").Status == 200);
  // New routes reach both routers. A resend of them, and older routes, are
  // acknowledged without effect.
  BOOST_REQUIRE(Cluster.putRoutesAnywhere(3));
  BOOST_TEST(eventually([&] { return Cluster.routersServe(3); }));
  BOOST_TEST(Cluster.putRoutes(2, 3).Status == 200);
  BOOST_TEST(Cluster.putRoutes(3, 2).Status == 200);
  BOOST_TEST(eventually([&] { return Cluster.routesVersionAt(1) == 3; }));
  // Invalid routes are rejected.
  BOOST_TEST(request(Cluster.control(1), "PUT", "/config", "{").Status == 400);
  // The engine is ordered to load the weights that an operator names.
  BOOST_TEST(
      eventually([&] { return Cluster.nameWeights(2, 2).Status == 200; }));
  BOOST_TEST(eventually([&] { return Targets.weights() == 2; }));
  // Metrics and the dump are served.
  std::string Metrics = request(Cluster.operators(11), "GET", "/metrics").Body;
  BOOST_TEST(Metrics.find("ferry_routed_answers_total") != std::string::npos);
  BOOST_TEST(request(Cluster.operators(1), "GET", "/v1/dump")
                 .Body.find("\"voters\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(
    routes_survive_a_lost_disk_and_a_kill_of_all_control_hosts) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  BOOST_REQUIRE(Cluster.putRoutesAnywhere(2));
  BOOST_REQUIRE(eventually([&] { return Cluster.routersServe(2); }));
  for (int Host = 1; Host <= 3; ++Host)
    Cluster.kill(Host);
  Cluster.wipeDisk(2);
  // Routers keep serving while no control host runs.
  BOOST_TEST(Cluster.call(11, 1).Status == 200);
  Cluster.startControl(2, LogFormation::Forbidden);
  Cluster.startControl(1, LogFormation::Forbidden);
  Cluster.startControl(3, LogFormation::Forbidden);
  BOOST_TEST(eventually([&] { return Cluster.routesVersionAt(2) == 2; }));
  BOOST_TEST(eventually([&] { return Cluster.putRoutesAnywhere(4); }));
  BOOST_TEST(eventually([&] { return Cluster.routersServe(4); }));
}

BOOST_AUTO_TEST_CASE(an_empty_host_at_another_address_replaces_a_lost_one) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  Cluster.kill(3);
  Cluster.startControl(4, LogFormation::Forbidden);
  // Once the new host votes, the cluster bears the loss of another.
  BOOST_REQUIRE(eventually([&] { return Cluster.isVoter(4); }));
  Cluster.kill(1);
  BOOST_TEST(eventually([&] { return Cluster.putRoutesAnywhere(2); }));
  BOOST_TEST(eventually([&] { return Cluster.routersServe(2); }));
}

// A host whose disk was full for a while must vote again afterwards: otherwise
// the loss of another host would cost the quorum.
BOOST_AUTO_TEST_CASE(a_host_whose_disk_was_full_votes_again) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.routersServe(1); }));
  Cluster.host(1).limitFileSize(1);
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(2); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.routersServe(2); }));
  Cluster.host(1).liftFileSizeLimit();
  Cluster.kill(2);
  BOOST_TEST(eventually([&] { return Cluster.putRoutesAnywhere(3); }));
  BOOST_TEST(eventually([&] { return Cluster.routersServe(3); }));
  BOOST_TEST(Cluster.host(1).isRunning());
}

BOOST_AUTO_TEST_CASE(sigterm_drains_and_sighup_reloads_without_cut_requests) {
  RoutedCluster Cluster;
  Cluster.startAll();
  Announcers Targets(Cluster);
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  BOOST_REQUIRE(eventually([&] { return Cluster.routersServe(1); }));
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
  // Every request that reached a target was answered to its caller.
  for (const ReceivedRequest &Received : Targets.app().requests()) {
    std::string Id = Received.Head.get("X-Request-Id", "");
    if (Id.starts_with("drain-"))
      BOOST_TEST(Served.count(Id) == 1U, Id);
  }
  BOOST_TEST(!Served.empty());
  for (int Host : {1, 2, 3, 12})
    BOOST_TEST(Cluster.host(Host).isRunning());
  BOOST_TEST(Cluster.call(12, 1).Status == 200);
}

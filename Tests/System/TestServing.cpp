// Guards against routers that do not serve after restarts, that keep using a
// dead engine, or that cut requests when they stop.
#include "Support/TestCluster.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry::test;

/// A cluster with two engines.
struct EngineCluster : TestCluster {
  EngineCluster() {
    startAll();
    BOOST_REQUIRE(
        eventually([&] { return apply(4, 0, "first", 100).Status == 200; }));
    startEngine(1);
    startEngine(2);
    for (int Host = 1; Host <= HostCount; ++Host)
      requireServing(Host);
  }

  void startEngine(int Number, std::vector<std::string> ExtraArguments = {}) {
    std::vector<std::string> Arguments = {"--kind",    "engine",  "--service",
                                          "lm",        "--model", "lm",
                                          "--weights", "1"};
    Arguments.insert(Arguments.end(), ExtraArguments.begin(),
                     ExtraArguments.end());
    startFake("engine-" + std::to_string(Number), 110 + Number, Arguments);
  }

  void requireServing(int Host) {
    BOOST_REQUIRE(eventually([&] { return chat(Host, "hola").Status == 200; }));
  }
};

BOOST_FIXTURE_TEST_CASE(all_routers_restarted_at_once_serve_again,
                        EngineCluster) {
  for (int Host = 1; Host <= HostCount; ++Host)
    killHost(Host);
  startAll();
  for (int Host = 1; Host <= HostCount; ++Host)
    requireServing(Host);
}

BOOST_FIXTURE_TEST_CASE(killed_engine_is_avoided_and_serves_after_its_restart,
                        EngineCluster) {
  fake("engine-1").kill();
  for (int Round = 0; Round < 10; ++Round) {
    Answer Each = chat(4, "hola");
    BOOST_TEST(Each.Status == 200, Each.Body);
  }
  startEngine(1);
  fake("engine-2").kill();
  requireServing(5);
}

BOOST_FIXTURE_TEST_CASE(graceful_shutdown_cuts_no_request, EngineCluster) {
  // The answer takes longer than the lifetime of the entries that were sent to
  // callers.
  fake("engine-1").kill();
  fake("engine-2").kill();
  startEngine(3, {"--token-ms", "400"});
  requireServing(5);
  Answer LongAnswer;
  std::thread Caller([&] { LongAnswer = chat(5, "resumen"); });
  BOOST_REQUIRE(eventually([&] { return requestsInProgress(5) == 1; }));
  host(5).signal(SIGTERM);
  Caller.join();
  BOOST_TEST(LongAnswer.Status == 200, LongAnswer.Body);
  BOOST_TEST(host(5).wait() == 0);
  BOOST_REQUIRE(eventually([&] {
    std::string Entries =
        request(callers(4), "GET", "/v1/entries?workspace=w").Body;
    return Entries.find("host-5") == std::string::npos;
  }));
}

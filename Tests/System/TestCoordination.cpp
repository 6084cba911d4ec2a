// Guards against descriptions that are lost, doubled or served when outdated
// while control hosts are killed, frozen, cut off or lose their disks.
#include "Support/TestCluster.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry::test;

/// A cluster in which a first description is in force on all hosts.
struct RunningCluster : TestCluster {
  RunningCluster() {
    startAll();
    BOOST_REQUIRE(
        eventually([&] { return apply(4, 0, "first", 100).Status == 200; }));
    requireInForce(1, {1, 2, 3, 4, 5});
  }

  void requireInForce(int Number, std::vector<int> Hosts) {
    for (int Host : Hosts)
      BOOST_REQUIRE_MESSAGE(
          eventually([&] { return numberInForce(Host) == Number; }),
          "host " << Host << " has " << numberInForce(Host));
  }

  /// Sends a description until it is accepted; before a leader is elected, it
  /// is refused.
  void requireAccepted(int Host, int Base, const std::string &Operation,
                       int Value) {
    BOOST_REQUIRE(eventually(
        [&] { return apply(Host, Base, Operation, Value).Status == 200; }));
  }

  bool isVoter(int Host) {
    return dumpValue(Host, "log", "standing") == "voter";
  }
};

BOOST_FIXTURE_TEST_CASE(two_operators_on_one_base_get_one_winner,
                        RunningCluster) {
  Answer Left, Right;
  std::thread Other([&] { Left = apply(4, 1, "left", 201); });
  Right = apply(5, 1, "right", 202);
  Other.join();
  BOOST_TEST((Left.Status == 200) + (Right.Status == 200) == 1);
  BOOST_TEST((Left.Status == 409) + (Right.Status == 409) == 1);
  // A resend after a restart of all hosts gets the answer to the first send.
  for (int Host = 1; Host <= HostCount; ++Host)
    killHost(Host);
  startAll();
  std::string Winner = Left.Status == 200 ? "left" : "right";
  int Value = Left.Status == 200 ? 201 : 202;
  Answer Resent;
  BOOST_REQUIRE(eventually([&] {
    Resent = apply(5, 1, Winner, Value);
    return Resent.Status == 200;
  }));
  BOOST_TEST(Resent.Body.find("\"number\":2") != std::string::npos);
  BOOST_TEST(apply(5, 1, Winner, 999).Status == 409);
}

BOOST_FIXTURE_TEST_CASE(accepted_change_survives_the_kill_of_the_leader,
                        RunningCluster) {
  for (int Round = 0; Round < 2; ++Round) {
    int Leader = 0;
    BOOST_REQUIRE(eventually([&] {
      for (int Host = 1; Host <= 3; ++Host)
        if (dumpValue(Host, "log", "leads") == "true")
          Leader = Host;
      return Leader != 0;
    }));
    requireAccepted(5, 1 + Round, "change-" + std::to_string(Round),
                    300 + Round);
    killHost(Leader);
    requireInForce(2 + Round, {4, 5});
    startHost(Leader);
    BOOST_REQUIRE(eventually([&] { return isVoter(Leader); }));
  }
}

BOOST_FIXTURE_TEST_CASE(lost_disks_are_repaired_one_after_the_other,
                        RunningCluster) {
  saveDisk(1);
  killHost(1);
  wipeDisk(1);
  startHost(1);
  BOOST_REQUIRE(eventually([&] { return isVoter(1); }));
  // The second host loses its disk right after the repair of the first.
  killHost(2);
  wipeDisk(2);
  requireAccepted(4, 1, "after-repair", 400);
  startHost(2);
  BOOST_REQUIRE(eventually([&] { return isVoter(2); }));
  // The first host restarts with its old disk while the third host is down. The
  // replica on that disk was replaced, so its vote must not count: no host may
  // confirm a description number with it.
  killHost(1);
  restoreDisk(1);
  killHost(3);
  startHost(1);
  BOOST_REQUIRE(eventually([&] { return isVoter(1); }));
  std::string OldReplica = dumpValue(1, "log", "replica");
  BOOST_REQUIRE(eventually(
      [&] { return dumpValue(4, "host", "standing") == "unconfirmed"; }));
  BOOST_TEST(chat(4, "hola").notRun() == "true");
  // Once the third host is back, the first joins as a new replica, and no host
  // returns to an older description.
  startHost(3);
  BOOST_REQUIRE(eventually([&] {
    return isVoter(1) && dumpValue(1, "log", "replica") != OldReplica;
  }));
  requireInForce(2, {1, 2, 3, 4, 5});
  killHost(3);
  requireAccepted(5, 2, "last", 401);
  requireInForce(3, {1, 2, 4, 5});
}

BOOST_FIXTURE_TEST_CASE(frozen_host_never_serves_an_old_description,
                        RunningCluster) {
  startFake("app-1", 101, {"--kind", "service", "--service", "app"});
  BOOST_REQUIRE(
      eventually([&] { return writeRecord(5, "warm", "{}").Status == 201; }));
  host(5).signal(SIGSTOP);
  requireAccepted(4, 1, "while-frozen", 500);
  // The frozen host's confirmation expires only with time.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::string NotRun;
  std::thread Caller(
      [&] { NotRun = writeRecord(5, "thawed", "{}", 3000).notRun(); });
  host(5).signal(SIGCONT);
  Caller.join();
  // The host either refused without running the request, or had applied the new
  // description before it served it.
  if (NotRun.empty())
    BOOST_TEST(numberInForce(5) == 2);
  else
    BOOST_TEST(writes("thawed", {101}) == 0);
  requireInForce(2, {5});
}

BOOST_FIXTURE_TEST_CASE(hosts_without_control_quorum_refuse_without_running,
                        RunningCluster) {
  startFake("app-1", 101, {"--kind", "service", "--service", "app"});
  BOOST_REQUIRE(
      eventually([&] { return writeRecord(5, "warm", "{}").Status == 201; }));
  killHost(1);
  killHost(2);
  BOOST_REQUIRE(eventually([&] { return chat(5, "hola").notRun() == "true"; }));
  // Without the ledger, a host cannot know whether an earlier send of the key
  // ran.
  Answer Refused = writeRecord(5, "cut", "{}", 1000);
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST((Refused.notRun() == "true" || Refused.notRun() == "unknown"));
  BOOST_TEST(writes("cut", {101}) == 0);
  // Requests for entries are still answered, and the host serves again once
  // there is a quorum.
  BOOST_TEST(request(callers(5), "GET", "/v1/entries?workspace=w").Status ==
             200);
  startHost(1);
  BOOST_REQUIRE(
      eventually([&] { return writeRecord(5, "cut", "{}").Status == 201; }));
  BOOST_TEST(writes("cut", {101}) == 1);
}

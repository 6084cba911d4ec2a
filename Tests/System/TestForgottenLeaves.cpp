// A target's leave is acknowledged, and hosts that know of it end or missed it.
// A heartbeat that the target sent before must not bring it back into use.
#include "LibCore/Time.h"
#include "Support/Announcers.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

enum class Way : uint8_t { Deleted, Draining };
enum class Fault : uint8_t {
  AcknowledgingHostEnds,
  SomeRestart,
  AllRestart,
  FrozenThroughIt
};

std::ostream &operator<<(std::ostream &Out, Way Which) {
  return Out << (Which == Way::Deleted ? "deleted" : "draining");
}

std::ostream &operator<<(std::ostream &Out, Fault Which) {
  static const char *const Names[] = {"the acknowledging host ends",
                                      "some hosts restart", "all hosts restart",
                                      "hosts are frozen through it"};
  return Out << Names[static_cast<size_t>(Which)];
}

/// A deployment of which one target leaves while another one stays.
class LeaveScenario {
public:
  static constexpr auto DrainTime = 2s;
  static constexpr auto ContactTime = 3s;

  LeaveScenario()
      : Staying(Announcers::answerDone), Leaving(Announcers::answerDone) {
    Cluster.startAll();
    BOOST_REQUIRE(
        TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
    Announcer = std::thread([this] {
      for (int Sequence = 1; !Stopping; ++Sequence) {
        announceAnywhere("i-stays", Staying.address(), Sequence);
        std::this_thread::sleep_for(200ms);
      }
    });
    BOOST_REQUIRE(TestCluster::eventually([&] {
      announceAnywhere("i-leaves", Leaving.address(), NextSequence++);
      callRouters();
      return Leaving.requestCount() > 0;
    }));
    // Every host has the list of the one that the target announced itself to.
    std::this_thread::sleep_for(1s);
  }
  ~LeaveScenario() {
    Stopping = true;
    Announcer.join();
  }

  void freeze(Fault Which) {
    if (Which != Fault::FrozenThroughIt)
      return;
    Cluster.host(2).signal(SIGSTOP);
    Cluster.host(11).signal(SIGSTOP);
  }

  /// Announces the leave to control host 1. \returns whether it acknowledged.
  bool leave(Way Which) {
    if (Which == Way::Deleted)
      return Cluster.leave(1, "i-leaves").Status == 200;
    Announcement Last = announcement("i-leaves", Leaving.address(), 1000);
    Last.State = "draining";
    return Cluster.announce(1, Last).Status == 200;
  }

  void cause(Fault Which) {
    switch (Which) {
    case Fault::AcknowledgingHostEnds:
      Cluster.kill(1);
      restart({11});
      return;
    case Fault::SomeRestart:
      return restart({2, 11});
    case Fault::AllRestart:
      return restart({1, 2, 3, 11, 12});
    case Fault::FrozenThroughIt:
      Cluster.host(2).signal(SIGCONT);
      Cluster.host(11).signal(SIGCONT);
      return;
    }
  }

  /// The heartbeat that was delayed arrives at control host 2.
  bool lateHeartbeatArrives() {
    return Cluster
               .announce(2, announcement("i-leaves", Leaving.address(),
                                         NextSequence++))
               .Status == 200;
  }

  /// The target starts again under its id.
  void startAgain() {
    Announcement Next = announcement("i-leaves", Leaving.address(), 1);
    ++Next.IncarnationMillis;
    BOOST_TEST(Cluster.announce(2, Next).Status == 200);
  }

  void callRouters() {
    for (int Router : {11, 12})
      Served +=
          Cluster.call(Router, 1, "q" + std::to_string(++Calls)).Status == 200;
  }
  void callRoutersFor(Duration Span) {
    for (Timestamp End = steadyNow() + Span; steadyNow() < End;) {
      callRouters();
      std::this_thread::sleep_for(10ms);
    }
  }

  size_t arrivals() const { return Leaving.requestCount(); }
  int served() const { return Served; }

private:
  static Announcement announcement(const std::string &Id,
                                   const std::string &Address, int Sequence) {
    return {
        .Id = Id, .Service = "app", .Address = Address, .Sequence = Sequence};
  }

  void announceAnywhere(const std::string &Id, const std::string &Address,
                        int Sequence) {
    for (int Host : {3, 2, 1})
      if (Cluster.announce(Host, announcement(Id, Address, Sequence)).Status ==
          200)
        return;
  }

  void restart(const std::vector<int> &Hosts) {
    for (int Host : Hosts)
      Cluster.kill(Host);
    for (int Host : Hosts)
      if (Host <= RoutedCluster::SeedCount)
        Cluster.startControl(Host, LogFormation::Forbidden);
      else
        Cluster.startRouter(Host);
  }

  RoutedCluster Cluster;
  FakeScriptedTarget Staying;
  FakeScriptedTarget Leaving;
  int NextSequence = 1;
  int Calls = 0;
  int Served = 0;
  std::atomic<bool> Stopping = false;
  std::thread Announcer;
};

void checkLeaveHolds(Way How, Fault Which) {
  LeaveScenario Scenario;
  Scenario.freeze(Which);
  BOOST_REQUIRE(TestCluster::eventually([&] { return Scenario.leave(How); }));
  Timestamp Drained = steadyNow() + LeaveScenario::DrainTime;
  Scenario.cause(Which);
  // Also right after the fault, before the hosts have heard from each other.
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Scenario.lateHeartbeatArrives(); }));
  Timestamp InTouch = steadyNow() + LeaveScenario::ContactTime;
  Scenario.callRoutersFor(std::max(InTouch, Drained) - steadyNow());
  size_t Before = Scenario.arrivals();
  BOOST_TEST(Scenario.lateHeartbeatArrives());
  int ServedBefore = Scenario.served();
  Scenario.callRoutersFor(2s);
  BOOST_TEST(Scenario.arrivals() == Before);
  BOOST_TEST(Scenario.served() > ServedBefore);
  Scenario.startAgain();
  // One announcement, to one host: the others hear of it in random exchanges.
  Timestamp KnownBy = steadyNow() + LeaveScenario::ContactTime;
  while (Scenario.arrivals() == Before && steadyNow() < KnownBy)
    Scenario.callRoutersFor(10ms);
  BOOST_TEST(Scenario.arrivals() > Before);
}

} // namespace

// Finding review/7 of the second review.
BOOST_DATA_TEST_CASE(an_acknowledged_leave_holds,
                     data::make({Way::Deleted, Way::Draining}) *
                         data::make({Fault::AcknowledgingHostEnds,
                                     Fault::SomeRestart, Fault::AllRestart,
                                     Fault::FrozenThroughIt}),
                     How, Which) {
  checkLeaveHolds(How, Which);
}

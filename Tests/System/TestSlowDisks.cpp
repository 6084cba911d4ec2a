// Control hosts whose disks are slow. What the log has to record is still
// acknowledged at the first call, as long as one sync fits into a second.
#include "LibCore/Time.h"
#include "Support/RoutedCluster.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct SlowDisk {
  const char *Name;
  std::chrono::milliseconds EachSync;
  /// One in so many takes longer by SlowSync.
  int SlowEvery;
  std::chrono::milliseconds SlowSync;
};

std::ostream &operator<<(std::ostream &Out, const SlowDisk &Disk) {
  return Out << Disk.Name;
}

const SlowDisk Disks[] = {{"300 ms", 300ms, 0, 0ms},
                          {"600 ms", 600ms, 0, 0ms},
                          {"one in four 1500 ms", 0ms, 4, 1500ms}};

/// A deployment with slow disks and a few targets.
class SlowDeployment {
public:
  static constexpr int Targets = 6;

  explicit SlowDeployment(const SlowDisk &Disk) {
    Cluster.setProgram(
        "ferryd-slow-disk",
        {{"FERRY_TEST_SYNC_MILLIS", std::to_string(Disk.EachSync.count())},
         {"FERRY_TEST_SLOW_SYNC_EVERY", std::to_string(Disk.SlowEvery)},
         {"FERRY_TEST_SLOW_SYNC_MILLIS",
          std::to_string(Disk.SlowSync.count())}});
    Cluster.startAll();
    Timestamp FormedBy = steadyNow() + 20s;
    bool Accepted = false;
    while (!Accepted && steadyNow() < FormedBy)
      Accepted = Cluster.putRoutesAnywhere(1);
    BOOST_REQUIRE(Accepted);
    for (int Target = 0; Target < Targets; ++Target)
      BOOST_REQUIRE(Cluster
                        .announce(1, {.Id = targetId(Target),
                                      .Service = "app",
                                      .Address = "127.0.0.1:9"})
                        .Status == 200);
    std::this_thread::sleep_for(2s);
  }

  static std::string targetId(int Target) {
    return "target-" + std::to_string(Target);
  }

  /// The greatest term of the log that a control host knows.
  double term() {
    double Greatest = 0;
    for (int Host = 1; Host <= RoutedCluster::SeedCount; ++Host) {
      std::string Text =
          request(Cluster.operators(Host), "GET", "/metrics", "").Body;
      static const std::string Name = "\nferry_log_term ";
      size_t At = Text.find(Name);
      if (At != std::string::npos)
        Greatest =
            std::max(Greatest, std::strtod(&Text[At + Name.size()], nullptr));
    }
    return Greatest;
  }

  RoutedCluster Cluster;
};

/// \returns whether \p Call gets status 200 within a second.
bool acknowledgedInTime(const std::function<Answer()> &Call) {
  Timestamp Deadline = steadyNow() + 1s;
  return Call().Status == 200 && steadyNow() < Deadline;
}

} // namespace

// Finding review/7: a leave was refused, or nothing was ever agreed on.
BOOST_DATA_TEST_CASE(leaves_and_changes_are_acknowledged_at_the_first_call,
                     data::make(Disks), Disk) {
  SlowDeployment Deployment(Disk);
  RoutedCluster &Cluster = Deployment.Cluster;
  double Term = Deployment.term();
  BOOST_TEST(Term > 0);
  for (int Target = 0; Target < SlowDeployment::Targets; ++Target) {
    int Host = 1 + Target % RoutedCluster::SeedCount;
    BOOST_TEST_CONTEXT("target " << Target)
    BOOST_TEST(acknowledgedInTime(
        [&] { return Cluster.leave(Host, SlowDeployment::targetId(Target)); }));
  }
  BOOST_TEST(acknowledgedInTime([&] { return Cluster.putRoutes(2, 2); }));
  BOOST_TEST(acknowledgedInTime([&] { return Cluster.nameWeights(3, 2); }));
  // Hosts write the description to a second file, which must not stop them.
  std::this_thread::sleep_for(2s);
  BOOST_TEST(Deployment.term() == Term);
}

// Finding review/7: each repetition waited for a sync of its own.
BOOST_AUTO_TEST_CASE(a_repeated_change_is_acknowledged_once_it_is_committed) {
  SlowDeployment Deployment({"1200 ms", 1200ms, 0, 0ms});
  RoutedCluster &Cluster = Deployment.Cluster;
  BOOST_TEST(!acknowledgedInTime([&] { return Cluster.putRoutes(2, 2); }));
  std::this_thread::sleep_for(3s);
  BOOST_TEST(acknowledgedInTime([&] { return Cluster.putRoutes(2, 2); }));
  BOOST_TEST(acknowledgedInTime([&] { return Cluster.putRoutes(3, 2); }));
}

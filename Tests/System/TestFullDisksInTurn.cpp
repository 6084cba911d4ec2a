// The disks of the control hosts were full for some seconds each, one after the
// other: long after the last one had room again, changes were refused or stayed
// unanswered, while all processes ran.
#include "LibCore/Time.h"
#include "Support/Announcers.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// A change has to be acknowledged in this time.
constexpr auto AckLimit = 4s;

/// A cluster of control hosts, and the changes that an operator sends to it.
class ChangedCluster {
public:
  explicit ChangedCluster(int Controls) : Controls(Controls) {
    Cluster.startAll();
    for (int Host = RoutedCluster::SeedCount + 1; Host <= Controls; ++Host)
      Cluster.startControl(Host, LogFormation::Forbidden);
    BOOST_REQUIRE(TestCluster::eventually([&] { return change(1); }));
  }

  /// Sends the next change to host \p First and, without an acknowledgement, to
  /// the other ones. \returns whether one acknowledged it.
  bool change(int First, int ExtraRoutes = 0) {
    ++Number;
    Timestamp Until = steadyNow() + AckLimit;
    for (int Try = 0; steadyNow() < Until; ++Try) {
      int Host = 1 + (First - 1 + Try) % Controls;
      if (Cluster.putRoutes(Host, Number, ExtraRoutes).Status == 200)
        return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }

  /// Sends the next change to host \p Host only. \returns whether it was
  /// acknowledged.
  bool acknowledgedBy(int Host) {
    return Cluster.putRoutes(Host, ++Number).Status == 200;
  }

  /// Sends changes for as long as the disk of \p Host is full.
  /// \returns how many of them were not acknowledged.
  int changesWhileFull(int Host, std::chrono::milliseconds Span,
                       int ExtraRoutes) {
    int Missing = 0;
    Cluster.host(Host).limitFileSize(1);
    Timestamp Until = steadyNow() + Span;
    for (int Count = 0; steadyNow() < Until; ++Count)
      Missing += change(1 + Count % Controls, ExtraRoutes) ? 0 : 1;
    Cluster.host(Host).liftFileSizeLimit();
    return Missing;
  }

  const int Controls;
  RoutedCluster Cluster;

private:
  int Number = 0;
};

/// The control hosts, how long each disk is full, and the size of the changes.
struct FullDisks {
  int Controls;
  std::chrono::milliseconds Span;
  int ExtraRoutes;
};

std::ostream &operator<<(std::ostream &Out, const FullDisks &Case) {
  return Out << Case.Controls << " hosts, " << Case.Span.count() << " ms, "
             << Case.ExtraRoutes << " further routes";
}

const FullDisks Cases[] = {{3, 700ms, 0}, {3, 2s, 1400}, {5, 2s, 300}};

} // namespace

BOOST_DATA_TEST_CASE(changes_are_acknowledged_after_full_disks,
                     data::make(Cases), Case) {
  ChangedCluster Changed(Case.Controls);
  for (int Round = 0; Round < 2; ++Round)
    for (int Host = 1; Host <= Case.Controls; ++Host)
      BOOST_TEST(Changed.changesWhileFull(Host, Case.Span, Case.ExtraRoutes) ==
                 0);
  for (int Host = 1; Host <= Case.Controls; ++Host) {
    BOOST_TEST(Changed.Cluster.host(Host).isRunning());
    BOOST_TEST(
        TestCluster::eventually([&] { return Changed.acknowledgedBy(Host); }));
  }
  // The hosts vote again: the quorum holds without any one of the others.
  for (int Host = 1; Host <= Case.Controls; ++Host) {
    Changed.Cluster.kill(Host);
    BOOST_TEST(
        TestCluster::eventually([&] { return Changed.change(1 + Host); }));
    Changed.Cluster.startControl(Host, LogFormation::Forbidden);
    BOOST_TEST(
        TestCluster::eventually([&] { return Changed.acknowledgedBy(Host); }));
    // Of more hosts, another one has taken the vote over.
    if (Case.Controls == RoutedCluster::SeedCount) {
      BOOST_TEST(TestCluster::eventually(
          [&] { return Changed.Cluster.isVoter(Host); }));
    }
  }
}

// A change of a large description has to be in force at routers with slow links
// in time: copies that are sent while the first one is under way delay it, and
// a router without it must not refuse requests by the older one.
#include "Fakes/FakeProxy.h"
#include "Support/RoutedCluster.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
using fakes::FakeProxy;

namespace {

constexpr std::array<int, 5> HostNumbers = {1, 2, 3, 11, 12};
constexpr std::array<int, 2> Routers = {11, 12};
/// Ten megabits a second.
constexpr int64_t LinkBytesPerSecond = 1'250'000;
/// With this many the text has about 0.9 MB.
constexpr int ExtraRoutes = 3600;
constexpr uint64_t TextBytes = 900'000;
/// The users' bound from the acknowledgement of a change on.
constexpr auto ApplyTime = 2500ms;

/// Hosts whose links to the routers are slow.
class SlowlyLinkedCluster {
public:
  SlowlyLinkedCluster() {
    for (int Host : HostNumbers)
      Proxies[Host] = std::make_unique<FakeProxy>(Cluster.peers(Host),
                                                  Cluster.proxiedPeers(Host));
    for (int Router : Routers)
      Proxies.at(Router)->setRequestBytesPerSecond(LinkBytesPerSecond);
    Cluster.startAll();
  }

  bool put(int Number) {
    for (int Host = 1; Host <= RoutedCluster::SeedCount; ++Host)
      if (Cluster.putRoutes(Host, Number, ExtraRoutes).Status == 200)
        return true;
    return false;
  }

  /// \returns the status of an answer to a request on the route that number
  /// \p Number added. No target runs, so that a router with the text answers
  /// 503.
  int statusOf(int Router, int Number) {
    return Cluster.call(Router, Number).Status;
  }

  uint64_t bytesTo(int Router) const {
    return Proxies.at(Router)->requestBytes();
  }

  RoutedCluster Cluster{PeerLinks::ThroughProxies};

private:
  std::map<int, std::unique_ptr<FakeProxy>> Proxies;
};

/// \returns the first digit of the number in force at the router; "" if it does
/// not answer.
std::string numberAt(RoutedCluster &Cluster, int Router) {
  static const std::string Name = "\nferry_description_number ";
  std::string Text = request(Cluster.operators(Router), "GET", "/metrics").Body;
  size_t At = Text.find(Name);
  return At == std::string::npos ? "" : Text.substr(At + Name.size(), 1);
}

} // namespace

BOOST_AUTO_TEST_CASE(changes_of_a_large_description_do_not_choke_slow_links) {
  SlowlyLinkedCluster Hosts;
  BOOST_REQUIRE(TestCluster::eventually([&] { return Hosts.put(1); }));
  for (int Router : Routers)
    BOOST_REQUIRE(TestCluster::eventually(
        [&] { return numberAt(Hosts.Cluster, Router) == "1"; }));
  std::this_thread::sleep_for(2s);

  std::map<int, uint64_t> BytesBefore;
  for (int Router : Routers)
    BytesBefore[Router] = Hosts.bytesTo(Router);
  // The second change follows the acknowledgement of the first one at once.
  BOOST_REQUIRE(TestCluster::eventually([&] { return Hosts.put(2); }));
  BOOST_REQUIRE(TestCluster::eventually([&] { return Hosts.put(3); }));
  Timestamp AckedAt = steadyNow();

  std::map<int, Timestamp> InForceAt;
  size_t RefusedLate = 0;
  while (steadyNow() < AckedAt + 6s) {
    for (int Router : Routers) {
      Timestamp SentAt = steadyNow();
      int Status = Hosts.statusOf(Router, 3);
      RefusedLate += Status == 404 && SentAt > AckedAt + ApplyTime;
      if (InForceAt.count(Router) == 0 &&
          numberAt(Hosts.Cluster, Router) == "3")
        InForceAt[Router] = steadyNow();
    }
    std::this_thread::sleep_for(50ms);
  }
  for (int Router : Routers) {
    uint64_t Bytes = Hosts.bytesTo(Router) - BytesBefore[Router];
    bool IsInForce = InForceAt.count(Router) != 0;
    BOOST_TEST_MESSAGE(
        "router " << Router << ": " << Bytes << " bytes, in force "
                  << (IsInForce ? (InForceAt[Router] - AckedAt).count() / 1000
                                : -1)
                  << " ms after the acknowledgement");
    BOOST_TEST_REQUIRE(IsInForce);
    BOOST_TEST((InForceAt[Router] <= AckedAt + ApplyTime));
    // Each text once, and what hosts send each other in six seconds.
    BOOST_TEST(Bytes <= 2 * TextBytes + 400'000);
  }
  BOOST_TEST(RefusedLate == 0U);
}

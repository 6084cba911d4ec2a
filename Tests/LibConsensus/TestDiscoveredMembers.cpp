// Logs with discovered members: formation, replacement of hosts, lost disks.
#include "LibConsensus/SimulatedCluster.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::consensus;
namespace data = boost::unit_test::data;

/// Hosts a, b and c are seeds; further ones are discovered.
static SimulatedCluster makeCluster(size_t Hosts, uint64_t Seed) {
  SimulatedCluster Cluster(Hosts, Seed);
  Cluster.Source = MemberSource::Discovered;
  return Cluster;
}

static std::set<std::string> votersOf(SimulatedCluster &Cluster) {
  std::set<std::string> Names;
  if (SimulatedHost *Leader = Cluster.leader())
    for (const Member &Voter : Leader->LocalReplica->status().Members.Voters)
      Names.insert(Voter.Host.Value);
  return Names;
}

/// \returns a seed host that is not the leader.
static SimulatedHost &followerAmongSeeds(SimulatedCluster &Cluster) {
  return Cluster.leader() == &Cluster.Hosts[0] ? Cluster.Hosts[1]
                                               : Cluster.Hosts[0];
}

/// Proposes \p Command at the leader. \returns whether it is committed there.
static bool commitOne(SimulatedCluster &Cluster, const std::string &Command) {
  return Cluster.runUntil([&] { return Cluster.leader() != nullptr; }, 5s) &&
         [&] {
           SimulatedHost *Leader = Cluster.leader();
           Cluster.propose(*Leader, Command);
           uint64_t Index = Leader->LocalReplica->log().lastIndex();
           return Cluster.runUntil(
               [&] {
                 return Leader->LocalReplica &&
                        Leader->LocalReplica->commitIndex() >= Index;
               },
               2s);
         }();
}

BOOST_DATA_TEST_CASE(a_silent_voter_is_replaced_by_a_discovered_host,
                     data::xrange(10), Seed) {
  SimulatedCluster Cluster = makeCluster(4, Seed);
  Cluster.startAll();
  BOOST_REQUIRE(commitOne(Cluster, "one"));
  Cluster.runFor(5s);
  const std::set<std::string> Seeds{"a", "b", "c"};
  BOOST_TEST((votersOf(Cluster) == Seeds));
  SimulatedHost &Lost = followerAmongSeeds(Cluster);
  std::string Name = Lost.Host.Value;
  Cluster.crash(Lost);
  // The fourth host, which is a learner already, takes the place of the lost
  // one.
  BOOST_REQUIRE(Cluster.runUntil(
      [&] {
        auto Voters = votersOf(Cluster);
        return Voters.count("d") == 1 && Voters.count(Name) == 0;
      },
      10s));
  BOOST_TEST(votersOf(Cluster).size() == 3U);
  BOOST_TEST(commitOne(Cluster, "two"));
  // A second host is lost right after the repair.
  for (SimulatedHost &Host : Cluster.Hosts)
    if (Host.LocalReplica && &Host != Cluster.leader() &&
        Host.Host.Value != "d") {
      Cluster.crash(Host);
      break;
    }
  BOOST_TEST(commitOne(Cluster, "three"));
  BOOST_TEST(Cluster.Checks.violation() == "");
}

// A host is lost, and then its replacement, while that is being added. If the
// lost voter were still a member then, the log would lose its quorum, although
// only one disk is missing at any time.
BOOST_DATA_TEST_CASE(losing_a_replacement_as_it_is_added_keeps_the_quorum,
                     data::xrange(10), Seed) {
  SimulatedCluster Cluster = makeCluster(4, Seed);
  Cluster.startAll();
  BOOST_REQUIRE(commitOne(Cluster, "one"));
  Cluster.runFor(1s);
  Cluster.MayForm = false;
  SimulatedHost &Lost = followerAmongSeeds(Cluster);
  Cluster.swapDisk(Lost, {});
  SimulatedHost &Replacement = Cluster.Hosts[3];
  BOOST_REQUIRE(
      Cluster.runUntil([&] { return votersOf(Cluster).count("d") == 1; }, 10s));
  Cluster.replace(Replacement);
  Cluster.start(Replacement);
  BOOST_TEST(commitOne(Cluster, "two"));
  BOOST_TEST(Cluster.runUntil(
      [&] { return votersOf(Cluster).count(Replacement.Host.Value) == 1; },
      20s));
  BOOST_TEST(votersOf(Cluster).size() == 3U);
  BOOST_TEST(Cluster.Checks.violation() == "");
}

BOOST_DATA_TEST_CASE(empty_disks_never_form_a_second_log, data::xrange(5),
                     Seed) {
  SimulatedCluster Cluster = makeCluster(4, Seed);
  Cluster.MayForm = false;
  Cluster.startAll();
  Cluster.runFor(10s);
  BOOST_TEST(Cluster.leader() == nullptr);
}

// A committed entry is on the disks of the leader and one follower only. When
// that follower loses its disk and the leader is down, the host that missed the
// entry must not become leader with the help of the blank one.
BOOST_DATA_TEST_CASE(stale_and_blank_hosts_elect_nobody, data::xrange(10),
                     Seed) {
  SimulatedCluster Cluster = makeCluster(3, Seed);
  Cluster.startAll();
  BOOST_REQUIRE(commitOne(Cluster, "one"));
  Cluster.runFor(1s);
  SimulatedHost *Leader = Cluster.leader();
  BOOST_REQUIRE(Leader != nullptr);
  std::vector<SimulatedHost *> Others;
  for (SimulatedHost &Host : Cluster.Hosts)
    if (&Host != Leader)
      Others.push_back(&Host);
  SimulatedHost &Stale = *Others[0];
  SimulatedHost &Wiped = *Others[1];
  for (SimulatedHost &Host : Cluster.Hosts)
    if (&Host != &Stale) {
      Cluster.CutLinks.insert({Host.Host, Stale.Host});
      Cluster.CutLinks.insert({Stale.Host, Host.Host});
    }
  BOOST_REQUIRE(commitOne(Cluster, "missed"));
  Cluster.MayForm = false;
  Cluster.swapDisk(Wiped, {});
  Cluster.crash(*Leader);
  Cluster.start(Wiped);
  Cluster.CutLinks.clear();
  Cluster.runFor(10s);
  BOOST_TEST(Cluster.leader() == nullptr);
  // The former leader has the entry, so the log continues.
  Cluster.start(*Leader);
  BOOST_TEST(commitOne(Cluster, "after"));
  BOOST_TEST(Cluster.Checks.violation() == "");
}

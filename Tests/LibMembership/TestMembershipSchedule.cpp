// Hosts must not use stale description numbers or ended targets. Random
// schedules of lost, delayed and duplicated messages, isolated and frozen
// hosts, restarts and lost disks try to make them do so.
#include "HostWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;

// FERRY_SCHEDULE_SEEDS sets the number of seeds for each row of the table.
static uint64_t seedCount() {
  const char *Text = std::getenv("FERRY_SCHEDULE_SEEDS");
  return Text != nullptr ? std::strtoull(Text, nullptr, 10) : 14;
}

struct FaultCase {
  const char *Name;
  HostFaults Faults;
  Duration MaxIsolation;
};

static std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.Name;
}

static const FaultCase FaultCases[] = {
    {"no faults", {}, 0s},
    {"lossy network", {100, 100, 100, 0, 0, 0, 0, 30}, 0s},
    {"isolated hosts", {10, 10, 10, 0, 0, 5, 0, 20}, 20s},
    {"freezes", {10, 10, 10, 5, 0, 0, 0, 20}, 0s},
    {"restarts", {10, 10, 10, 0, 5, 0, 0, 20}, 0s},
    {"lost disks", {10, 10, 10, 0, 2, 2, 5, 0}, 5s},
    {"everything", {50, 50, 50, 3, 3, 3, 2, 30}, 20s}};

BOOST_DATA_TEST_CASE(stale_numbers_and_targets_are_never_used,
                     boost::unit_test::data::make(FaultCases), Case) {
  size_t Changes = 0;
  for (uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    HostWorldOptions Opts;
    Opts.Seed = Seed;
    Opts.Faults = Case.Faults;
    Opts.MaxIsolation = Case.MaxIsolation;
    Opts.QueryPolicy =
        Seed % 2 == 0 ? QueryPolicy::Always : QueryPolicy::WhenStale;
    HostWorld World(Opts);
    World.run(30s);
    World.endFaults();
    World.run(10s);
    BOOST_TEST_INFO("seed " << Seed);
    for (const std::string &Violation : World.Violations)
      BOOST_ERROR(Violation);
    BOOST_TEST(World.Uses > 1000u);
    Changes += World.AcceptedAt.size();
    // After the faults all hosts are confirmed and know all targets.
    for (size_t Index = 0; Index < World.Hosts.size(); ++Index) {
      BOOST_TEST_INFO("seed " << Seed << " host " << Index);
      BOOST_TEST(World.Hosts[Index].Confirm->isConfirmed(World.Now));
      BOOST_TEST(World.Hosts[Index].Members->targets(World.Now).size() ==
                 World.Targets.size());
    }
  }
  BOOST_TEST(Changes > seedCount());
}

BOOST_AUTO_TEST_CASE(a_host_cut_off_for_an_hour_refuses_and_catches_up) {
  for (uint64_t Seed = 1; Seed <= 2; ++Seed) {
    HostWorldOptions Opts;
    Opts.Seed = Seed;
    Opts.Change = 1;
    HostWorld World(Opts);
    World.run(5s);
    // Host 2 is a control host, host 5 a router.
    for (size_t Index : {2, 5})
      World.Hosts[Index].IsolatedUntil = World.Now + 1h;
    World.run(3s);
    for (size_t Index : {2, 5}) {
      BOOST_TEST(!World.Hosts[Index].Confirm->isConfirmed(World.Now));
      BOOST_TEST(World.Hosts[Index].Members->targets(World.Now).size() <=
                 World.Targets.size() / 2);
    }
    World.run(1h);
    World.run(2s);
    BOOST_TEST(World.Violations.empty());
    uint64_t Newest = World.AcceptedAt.size();
    BOOST_TEST(Newest > 10u);
    for (size_t Index : {2, 5})
      BOOST_TEST(World.Hosts[Index].Confirm->isConfirmed(World.Now));
  }
}

BOOST_AUTO_TEST_CASE(
    hosts_restarted_at_once_know_all_targets_within_3_seconds) {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    HostWorldOptions Opts;
    Opts.Seed = Seed;
    Opts.Hosts = 20;
    Opts.Targets = 40;
    Opts.Change = 0;
    HostWorld World(Opts);
    World.change();
    World.run(5s);
    for (size_t Index = 0; Index < World.Hosts.size(); ++Index)
      World.restart(Index);
    World.run(3s);
    for (size_t Index = 0; Index < World.Hosts.size(); ++Index) {
      BOOST_TEST_INFO("seed " << Seed << " host " << Index);
      BOOST_TEST(World.Hosts[Index].Confirm->isConfirmed(World.Now));
      BOOST_TEST(World.Hosts[Index].Confirm->number().Value == 1u);
      BOOST_TEST(World.Hosts[Index].Members->targets(World.Now).size() ==
                 World.Targets.size());
    }
    BOOST_TEST(World.Violations.empty());
  }
}

BOOST_AUTO_TEST_CASE(without_control_hosts_routers_refuse_and_keep_targets) {
  HostWorldOptions Opts;
  Opts.Change = 0;
  HostWorld World(Opts);
  World.change();
  World.run(5s);
  for (size_t Index = 0; Index < Opts.Controls; ++Index)
    World.Hosts[Index].DownUntil = World.Now + 1h;
  World.restart(4);
  World.run(5s);
  for (size_t Index = Opts.Controls; Index < World.Hosts.size(); ++Index) {
    BOOST_TEST(!World.Hosts[Index].Confirm->isConfirmed(World.Now));
    BOOST_TEST(World.Hosts[Index].Members->targets(World.Now).size() ==
               World.Targets.size());
  }
  // The restarted router, too, has the newest description from its peers.
  BOOST_TEST(World.Hosts[4].Confirm->number().Value == 1u);
}

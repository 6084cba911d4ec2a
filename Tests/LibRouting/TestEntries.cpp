// Guards the ranking of entries: it must list serving hosts only, give each
// workspace a number of homes proportional to its share, and stay stable when
// other hosts are lost.
#include "LibRouting/Entries.h"
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace ferry;
using namespace ferry::routing;

static RoutingView makeView() {
  RoutingView View;
  View.Self = HostId{"h0"};
  auto Description = std::make_shared<config::Description>();
  for (int Index = 0; Index < 8; ++Index)
    Description->Workspaces.push_back({WorkspaceId{"w" + std::to_string(Index)},
                                       Index == 0 ? 9U : 1U,
                                       config::TokenPolicy::NotRequired, ""});
  View.Description = Description;
  for (int Index = 0; Index < 9; ++Index)
    View.Hosts.push_back({HostId{"h" + std::to_string(Index)},
                          DataCentreId{Index < 6 ? "a" : "b"}, "127.0.0.1:1",
                          HostStanding::Serving});
  return View;
}

static const std::optional<DataCentreId> InA = DataCentreId{"a"};

static size_t countHomes(const std::vector<EntryHost> &Entries) {
  size_t Homes = 0;
  for (const EntryHost &Each : Entries)
    Homes += Each.Use == EntryHost::Role::Home;
  return Homes;
}

BOOST_AUTO_TEST_CASE(homes_follow_the_share_and_come_from_the_callers_centre) {
  RoutingView View = makeView();
  auto Large = rankEntries(View, WorkspaceId{"w0"}, InA);
  auto Small = rankEntries(View, WorkspaceId{"w1"}, InA);
  BOOST_TEST(countHomes(Large) == 4u);
  BOOST_TEST(countHomes(Small) == 1u);
  BOOST_TEST(Large.size() == 9u);
  BOOST_TEST(Large[0].DataCentre.Value == "a");
  BOOST_TEST(Small[1].DataCentre.Value == "b");
}

BOOST_AUTO_TEST_CASE(only_serving_hosts_are_listed) {
  for (HostStanding Standing :
       {HostStanding::Draining, HostStanding::Unconfirmed,
        HostStanding::Silent}) {
    RoutingView View = makeView();
    View.Hosts[3].Standing = Standing;
    View.OwnStanding = Standing;
    for (const EntryHost &Each : rankEntries(View, WorkspaceId{"w0"}, InA)) {
      BOOST_TEST(Each.Id.Value != "h3");
      BOOST_TEST(Each.Id.Value != "h0");
    }
  }
}

BOOST_AUTO_TEST_CASE(lost_centre_leaves_the_others_and_order_is_stable) {
  RoutingView View = makeView();
  auto Before = rankEntries(View, WorkspaceId{"w1"}, InA);
  for (HostView &Host : View.Hosts)
    if (Host.DataCentre == *InA && Host.Id != Before[0].Id)
      Host.Standing = HostStanding::Silent;
  BOOST_TEST(rankEntries(View, WorkspaceId{"w1"}, InA)[0].Id == Before[0].Id);
  for (HostView &Host : View.Hosts)
    if (Host.DataCentre == *InA)
      Host.Standing = HostStanding::Silent;
  BOOST_TEST(rankEntries(View, WorkspaceId{"w1"}, InA).size() == 3u);
  for (HostView &Host : View.Hosts)
    Host.Standing = HostStanding::Silent;
  BOOST_TEST(rankEntries(View, WorkspaceId{"w1"}, InA).empty());
}

BOOST_AUTO_TEST_CASE(small_workspaces_spread_and_callers_rotate_over_homes) {
  RoutingView View = makeView();
  std::set<HostId> FirstHosts;
  for (int Index = 0; Index < 60; ++Index)
    FirstHosts.insert(rankEntries(View,
                                  WorkspaceId{"x" + std::to_string(Index)},
                                  std::nullopt)[0]
                          .Id);
  BOOST_TEST(FirstHosts.size() == 9u);
  std::map<HostId, int> FirstHomes;
  for (uint64_t Caller = 0; Caller < 40; ++Caller)
    ++FirstHomes[rankEntries(View, WorkspaceId{"w0"}, InA, Caller)[0].Id];
  BOOST_TEST(FirstHomes.size() == 4u);
}

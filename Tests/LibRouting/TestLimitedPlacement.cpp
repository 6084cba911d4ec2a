// Placement while targets name how many requests a second they take from all
// routers together.
#include "LibRouting/RoutedDeployment.h"
#include <map>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

// Targets in need take few requests; the others take the rest.
BOOST_AUTO_TEST_CASE(a_limited_engine_is_no_home_and_gets_only_its_rate) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  PlacedCall Home =
      expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
  serve(Router, Home, Deployment.Now);
  Router.limits().noteAnswer(Home.Target, {1}, 2.0, Deployment.Now,
                             Deployment.Now);
  size_t AtLimited = 0;
  for (int Call = 0; Call < 100; ++Call) {
    Deployment.Now += 40ms;
    PlacedCall Placed =
        expectPlaced(Router.place(Deployment.call(7), Deployment.Now));
    AtLimited += Placed.Target == Home.Target;
    BOOST_TEST(Placed.CountedAgainstLimit == (Placed.Target == Home.Target));
    BOOST_TEST(Router.maySend(Placed, Deployment.Now));
    serve(Router, Placed, Deployment.Now);
  }
  BOOST_TEST(AtLimited <= 9U);
}

BOOST_AUTO_TEST_CASE(a_call_placed_before_the_limit_counts_against_it) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  std::vector<PlacedCall> Placed;
  for (int Call = 0; Call < 6; ++Call)
    Placed.push_back(
        expectPlaced(Router.place(Deployment.call(7), Deployment.Now)));
  std::map<TargetId, int> Sent;
  for (const PlacedCall &Each : Placed)
    Router.limits().noteAnswer(Each.Target, {1}, 1.0, Deployment.Now,
                               Deployment.Now);
  for (const PlacedCall &Each : Placed)
    Sent[Each.Target] += Router.maySend(Each, Deployment.Now);
  for (const auto &[Target, Count] : Sent)
    BOOST_TEST(Count <= 1);
}

// A stream whose build is gone is not told to come back, whatever the limits.
BOOST_AUTO_TEST_CASE(limits_do_not_hide_that_a_build_is_gone) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  for (const char *Target : {"e0", "e1"})
    Router.limits().noteAnswer({Target}, {1}, 2.0, Deployment.Now,
                               Deployment.Now);
  RoutedCall Call = Deployment.call(7);
  Call.Build = {"v0"};
  auto Decision = Router.place(Call, Deployment.Now);
  const auto *Refusal = std::get_if<RefusedCall>(&Decision);
  BOOST_REQUIRE(Refusal != nullptr);
  BOOST_TEST((Refusal->Reason == CallRefusalReason::BuildGone));
}

// Every target names a limit: callers come back one after the other, as fast
// as the limits allow.
BOOST_AUTO_TEST_CASE(callers_return_at_the_rate_of_the_limits) {
  TestDeployment Deployment(2);
  RoutedPlacement Router = Deployment.router();
  for (const char *Target : {"e0", "e1"})
    Router.limits().noteAnswer({Target}, {1}, 2.0, Deployment.Now,
                               Deployment.Now);
  Timestamp Previous = Deployment.Now;
  int Refused = 0;
  for (int Call = 0; Call < 30; ++Call) {
    auto Decision = Router.place(Deployment.call(7), Deployment.Now);
    const auto *Refusal = std::get_if<RefusedCall>(&Decision);
    if (Refusal == nullptr)
      continue;
    ++Refused;
    BOOST_TEST((Refusal->Reason == CallRefusalReason::Limited));
    BOOST_TEST((Refusal->RetryAt >= Previous));
    BOOST_TEST((Refusal->RetryAt <= Deployment.Now + Refused * 250ms));
    BOOST_TEST((Refusal->RetryAt <= Deployment.Now + 10s));
    Previous = Refusal->RetryAt;
  }
  BOOST_TEST(Refused >= 26);
}

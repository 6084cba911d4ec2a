// A router that cannot confirm its routes must not refuse requests by them for
// good: a newer description may have the route or the key.
#include "LibTraffic/RoutedBed.h"

using namespace ferry;
using namespace ferry::traffic;
using namespace std::chrono_literals;

static const std::string UnknownKey =
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
    "Authorization: Bearer k9\r\nContent-Length: 0\r\n\r\n";

static auto answerDone() {
  return [](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(wholeAnswer(200, "done"));
  };
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_router_refuses_by_its_routes_as_not_run) {
  RoutedBed Bed;
  Bed.ConfirmedUntil = steadyNow() - 1ms;
  Bed.add("app", answerDone());
  for (const std::string &Raw : {RoutedBed::request("/none/x"), UnknownKey}) {
    CallerAnswer Refusal = Bed.sendRaw(Raw);
    BOOST_TEST(Refusal.Status == 503);
    BOOST_TEST(Refusal.Head.has("Retry-After"));
  }
  BOOST_TEST(Bed.targetRequests() == 0U);
  // Routes that it has are served: no control host may be left to confirm them.
  BOOST_TEST(Bed.send("/once/x").Status == 200);
}

BOOST_AUTO_TEST_CASE(a_confirmation_that_ends_between_two_views_counts) {
  RoutedBed Bed;
  Bed.ConfirmedUntil = steadyNow() + 300ms;
  Bed.add("app", answerDone());
  BOOST_TEST(Bed.send("/none/x").Status == 404);
  BOOST_TEST(Bed.sendRaw(UnknownKey).Status == 401);
  std::this_thread::sleep_for(310ms);
  BOOST_TEST(Bed.send("/none/x").Status == 503);
  BOOST_TEST(Bed.sendRaw(UnknownKey).Status == 503);
}

BOOST_AUTO_TEST_CASE(routes_that_are_newer_elsewhere_count) {
  RoutedBed Bed;
  Bed.NewestElsewhere = {4};
  Bed.add("app", answerDone());
  BOOST_TEST(Bed.send("/none/x").Status == 503);
  BOOST_TEST(Bed.sendRaw(UnknownKey).Status == 503);
  BOOST_TEST(Bed.send("/once/x").Status == 200);
}

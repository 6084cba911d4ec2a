// Guards against retries that add up: when engines fail, all routers retry at
// the same time, and their targets see the sum.
#include "LibRouting/RetryShare.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

/// Every request fails and is retried as often as the shares allow. In every
/// sliding window, the retries of all routers together must stay within the
/// bound.
BOOST_DATA_TEST_CASE(all_routers_together_keep_the_bound,
                     data::make({1, 7, 80}) ^ data::make({300, 40, 4}), Routers,
                     RequestsPerSecond) {
  RetryBound Bound{0.2, 58, 10s};
  std::vector<RetryShare> Shares(Routers, RetryShare(Bound));
  std::deque<Timestamp> Retries;
  std::deque<Timestamp> Requests;
  Timestamp Start{100s};
  Duration Interval = Duration(1s) / RequestsPerSecond;
  size_t Most = 0;
  for (Timestamp Now = Start; Now < Start + 60s; Now += Interval) {
    for (RetryShare &Share : Shares) {
      Requests.push_back(Now);
      Share.countRequest(Routers, Now);
      while (Share.spend(Routers, Now))
        Retries.push_back(Now);
    }
    while (!Retries.empty() && Retries.front() <= Now - Bound.Window)
      Retries.pop_front();
    while (!Requests.empty() && Requests.front() <= Now - Bound.Window)
      Requests.pop_front();
    Most = std::max(Most, Retries.size());
    double Allowed = Bound.Ratio * double(Requests.size()) + Bound.Slack;
    BOOST_REQUIRE(double(Retries.size()) <= Allowed);
  }
  BOOST_TEST(Most > 0U);
}

BOOST_AUTO_TEST_CASE(a_router_with_one_request_may_retry_it) {
  RetryShare Share({0.2, 58, 10s});
  Share.countRequest(9, Timestamp(100s));
  BOOST_TEST(Share.spend(9, Timestamp(100s)));
}

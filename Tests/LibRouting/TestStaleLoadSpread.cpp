// The draw among targets whose load is known from old reports: who is drawn
// how often.
#include "LibRouting/StaleLoadSpread.h"
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace ferry;
using namespace ferry::routing;

static std::vector<double> sharesOf(const std::vector<double> &Seconds) {
  static constexpr int Draws = 20'000;
  RandomGenerator Random(7);
  std::vector<double> Shares(Seconds.size());
  for (int Count = 0; Count < Draws; ++Count)
    Shares[StaleLoadSpread::draw(Seconds, Random)] += 1.0 / Draws;
  return Shares;
}

// A draw that favoured one of several equal targets would gather the requests
// of all routers there.
BOOST_AUTO_TEST_CASE(equal_loads_are_drawn_equally) {
  for (double Share : sharesOf({0.1, 0.1, 0.1, 0.1}))
    BOOST_TEST(std::abs(Share - 0.25) < 0.02);
}

// A target whose queue is longer than all that the routers can send meanwhile
// must get nothing.
BOOST_AUTO_TEST_CASE(a_target_above_the_level_is_not_drawn) {
  std::vector<double> Shares = sharesOf({0.05, 9.0, 0.25});
  BOOST_TEST(Shares[1] == 0);
  BOOST_TEST(Shares[0] > Shares[2]);
  BOOST_TEST(Shares[2] > 0.2);
}

BOOST_AUTO_TEST_CASE(a_single_target_is_drawn) {
  BOOST_TEST(sharesOf({99.0})[0] > 0.9999);
}

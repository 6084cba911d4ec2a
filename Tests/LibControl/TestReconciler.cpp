#include "LibControl/ControlWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ferry;
using namespace ferry::control;
namespace data = boost::unit_test::data;

namespace {

const Faults FaultTable[] = {
    {.Name = "none"},
    {.Name = "cut", .Cut = 0.1, .AdapterChange = 1},
    {.Name = "freeze", .Freeze = 0.1, .AdapterChange = 1},
    {.Name = "lost orders and answers", .OrderLost = 0.3, .AnswerLost = 0.3},
    {.Name = "doubled and slow orders", .OrderDoubled = 0.5, .OrderSlow = 0.3},
    {.Name = "cold starts", .ColdStart = 0.05},
    {.Name = "changes in mid-rollout", .DescriptionChange = 0.3},
    {.Name = "all at once",
     .Cut = 0.08,
     .Freeze = 0.08,
     .ColdStart = 0.03,
     .DescriptionChange = 0.1,
     .AdapterChange = 0.2,
     .OrderLost = 0.1,
     .AnswerLost = 0.1,
     .OrderDoubled = 0.2,
     .OrderSlow = 0.2}};

} // namespace

/// FERRY_LONG_SEEDS asks for a longer run by hand.
static uint64_t seedCount() {
  const char *Asked = std::getenv("FERRY_LONG_SEEDS");
  return Asked ? std::strtoull(Asked, nullptr, 10) : 25;
}

BOOST_DATA_TEST_CASE(orders_stay_safe_and_make_the_description_true,
                     data::make(FaultTable)) {
  uint32_t Takeovers = 0;
  for (uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      ControlWorld World(Seed, sample);
      World.run(std::chrono::seconds(120), true);
      World.run(std::chrono::seconds(120), false);
      BOOST_TEST(World.converged());
      BOOST_TEST(World.Overlaps == 0u);
      BOOST_TEST(World.Regressions == 0u);
      BOOST_TEST(World.ExcessLoads == 0u);
      BOOST_TEST(World.OrdersSent >= 6u);
      Takeovers += World.Takeovers;
    }
  }
  // Otherwise the faults would not have crossed two givers at all.
  if (sample.Cut > 0 || sample.Freeze > 0)
    BOOST_TEST(Takeovers > 2 * seedCount());
}

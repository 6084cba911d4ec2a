/// \file
/// Guards against more loads of weights at once than the limit, as engines that
/// could not be reached come back while another loads beside their slots.
#include "LibControl/RolloutWorld.h"
#include <boost/test/unit_test.hpp>

using namespace ferry::control;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(frozen_engines_come_back_beside_a_load) {
  for (uint64_t Seed = 1; Seed <= seedCount(150); ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RolloutWorld World(Seed, {.FrequentNamings = true, .EngineFreeze = 0.01},
                         traceOf(Seed));
      World.runUntil(120s);
      World.endFaults();
      World.runUntil(180s);
      BOOST_TEST(World.outdatedEngines() == 0);
      BOOST_TEST(World.counts().MostOverdue <= 1);
      BOOST_TEST(World.counts().ExcessLoads == 0u);
    }
  }
}

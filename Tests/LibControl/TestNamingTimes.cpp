/// \file
/// Checks that the deadline of engines with old weights counts from the naming
/// of the first newer ones, whatever was restarted since, and that no fault of
/// a clock makes a naming younger than it is known to be.
#include "LibControl/NamingTimes.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace ferry;
using namespace ferry::control;
using namespace std::chrono_literals;

namespace {

const ModelId Model{"m0"};

/// A control host with its own monotonic clock, whose log is applied by \c
/// name.
struct ControlHost {
  void name(uint64_t Weights, int64_t NamedAtMillis) {
    Log.apply(Log.appliedIndex() + 1, encodeCommand(registry::NameWeights{
                                          Model, {Weights}, {NamedAtMillis}}));
  }

  /// Updates the times and returns the ages, with that of the oldest first.
  std::vector<int32_t> ages(int64_t WallMillis) {
    Namings.update(Model, Log.namedVersions(Model), {WallMillis}, Now);
    std::vector<int32_t> Ages;
    for (const routing::NamedWeights &Named : Namings.all())
      Ages.push_back(ageMillis(Named, Now));
    return Ages;
  }

  registry::Registry Log;
  NamingTimes Namings;
  Timestamp Now{100s};
};

bool isSame(const std::vector<int32_t> &Actual,
            const std::vector<int32_t> &Expected) {
  return Actual == Expected;
}

} // namespace

// Incident inc1: all processes were killed 31 s after a naming. The control
// hosts told the routers that it was a second old, and these sent requests to
// engines with old weights for another 12 s.
BOOST_AUTO_TEST_CASE(a_naming_keeps_its_age_over_a_restart_of_all_hosts) {
  ControlHost Killed;
  Killed.name(2, 1'003'000);
  Killed.name(3, 1'023'000);
  BOOST_TEST(isSame(Killed.ages(1'023'000), {20'000, 0}));
  ControlHost Restarted;
  Restarted.Now = Timestamp{5s};
  BOOST_REQUIRE(Restarted.Log.tryRestore(Killed.Log.snapshot()).has_value());
  BOOST_TEST(isSame(Restarted.ages(1'035'000), {32'000, 12'000}));
  Restarted.Now += 4s;
  BOOST_TEST(isSame(Restarted.ages(1'039'000), {36'000, 16'000}));
}

// Namings in logs from before times were kept.
// Versions that the log dropped since must not make the next one younger than a
// host that starts would take it for.
BOOST_AUTO_TEST_CASE(a_restart_amid_many_namings_changes_no_age) {
  constexpr int64_t Millis = 500;
  ControlHost Running;
  int64_t Wall = 1'000'000;
  for (uint64_t Weights = 1; Weights <= 100; ++Weights) {
    Running.name(Weights, Wall);
    std::vector<int32_t> Ages = Running.ages(Wall);
    ControlHost Restarted;
    BOOST_REQUIRE(Restarted.Log.tryRestore(Running.Log.snapshot()).has_value());
    BOOST_TEST(isSame(Restarted.ages(Wall), Ages));
    Wall += Millis;
    Running.Now += std::chrono::milliseconds(Millis);
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_time_counts_from_when_the_host_learned_of_it) {
  ControlHost Host;
  Host.name(2, 0);
  BOOST_TEST(isSame(Host.ages(1'000'000), {0}));
  Host.Now += 7s;
  BOOST_TEST(isSame(Host.ages(1'007'000), {7'000}));
}

BOOST_AUTO_TEST_CASE(a_version_is_at_least_as_old_as_the_next_one) {
  for (int64_t UnknownOrAhead : {0, 1'060'000}) {
    ControlHost Host;
    Host.name(2, UnknownOrAhead);
    Host.name(3, 1'010'000);
    BOOST_TEST(isSame(Host.ages(1'030'000), {20'000, 20'000}));
  }
}

// The clock of a control host is set back or ahead by seconds while the host
// runs, or between the naming and its restart.
BOOST_AUTO_TEST_CASE(a_step_of_the_clock_gives_no_negative_age) {
  ControlHost Host;
  Host.name(2, 1'000'000);
  BOOST_TEST(isSame(Host.ages(997'000), {0}));
  Host.Now += 5s;
  BOOST_TEST(isSame(Host.ages(1'009'000), {5'000}));
  Host.Now += 1s;
  BOOST_TEST(isSame(Host.ages(980'000), {6'000}));
}

// A control host opens its log again after a failure of its disk.
BOOST_AUTO_TEST_CASE(a_log_that_is_applied_again_changes_no_age) {
  ControlHost Host;
  Host.name(2, 0);
  Host.name(3, 0);
  BOOST_TEST(isSame(Host.ages(1'000'000), {0, 0}));
  Host.Log = registry::Registry();
  for (uint64_t Weights : {1, 2, 3}) {
    Host.Now += 1s;
    if (Weights > 1)
      Host.name(Weights, 0);
    auto Age = static_cast<int32_t>(Weights * 1'000);
    BOOST_TEST(isSame(Host.ages(1'000'000), {Age, Age}));
  }
}

// Messages carry the age as a number of 32 bits, which 25 days exceed.
BOOST_AUTO_TEST_CASE(the_age_of_an_old_naming_does_not_wrap) {
  ControlHost Host;
  Host.name(2, 1);
  Host.name(3, 1'796'000'000'000);
  BOOST_TEST(isSame(Host.ages(1'800'000'000'000),
                    {std::numeric_limits<int32_t>::max(),
                     std::numeric_limits<int32_t>::max()}));
}

// Routers date a naming that is missing from the leader's list as younger than
// the list. Models that no route uses yet were left out of it.
BOOST_AUTO_TEST_CASE(the_log_lists_all_models_with_named_weights) {
  ControlHost Host;
  BOOST_TEST(Host.Log.namedModels().empty());
  Host.name(2, 1'003'000);
  BOOST_REQUIRE(Host.Log.namedModels().size() == 1U);
  BOOST_TEST((Host.Log.namedModels().front() == Model));
  ControlHost Restarted;
  BOOST_REQUIRE(Restarted.Log.tryRestore(Host.Log.snapshot()).has_value());
  BOOST_TEST(Restarted.Log.namedModels().size() == 1U);
}

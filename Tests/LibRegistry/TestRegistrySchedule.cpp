/// \file
/// Runs CallWorld's random schedules. They guard against a call that runs twice
/// or is reported as not run although it ran, and against two changes of the
/// description accepted with one number. Such faults come about when messages
/// are lost, duplicated or late while hosts freeze, restart or lose leadership.
#include "CallWorld.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;

// The environment variable FERRY_SCHEDULE_SEEDS sets the number of seeds for
// each row of the table.
static uint64_t seedCount() {
  const char *SeedsText = std::getenv("FERRY_SCHEDULE_SEEDS");
  return SeedsText != nullptr ? std::strtoull(SeedsText, nullptr, 10) : 60;
}

struct FaultCase {
  const char *Name;
  CallFaults Faults;
  bool SmallLedger;
};

static std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.Name;
}

static const FaultCase FaultCases[] = {
    {"no faults", {0, 0, 0, 0, 0, 0, 0}, false},
    {"lossy network", {200, 200, 200, 0, 0, 0, 10}, false},
    {"routers freeze and restart", {20, 50, 50, 10, 10, 0, 0}, false},
    {"control hosts restart", {20, 50, 50, 0, 0, 30, 50}, false},
    {"all faults, small ledger", {80, 150, 150, 4, 4, 10, 20}, true}};

static LedgerLimits limits(bool Small) {
  LedgerLimits Limits;
  if (!Small)
    return Limits;
  Limits.Answers = 10;
  Limits.Released = 5;
  Limits.Unknown = 5;
  Limits.UnstampedKeys = 40;
  Limits.StampedTombstones = 20;
  return Limits;
}

BOOST_DATA_TEST_CASE(calls_run_at_most_once_and_answers_match_what_ran,
                     boost::unit_test::data::make(FaultCases), Case) {
  size_t Runs = 0;
  size_t Changes = 0;
  size_t Answers = 0;
  for (uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    CallWorld World(Seed, Case.Faults, limits(Case.SmallLedger));
    World.run(40s);
    for (const std::string &Violation : World.Violations)
      BOOST_ERROR("seed " << Seed << ": " << Violation);
    Runs += World.TotalRuns;
    Changes += World.Changes;
    Answers += World.AnswersCompleted;
  }
  // Makes sure that enough calls, changes and answers get through.
  BOOST_TEST(Runs > seedCount() * 10);
  BOOST_TEST(Changes > seedCount() * 5);
  BOOST_TEST(Answers > seedCount() * 10);
}

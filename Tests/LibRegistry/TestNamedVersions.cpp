/// \file
/// Checks that the log keeps the last named weights of each model and when they
/// were named. Without the times and the earlier versions, control hosts that
/// restart would take every naming for a new one, and routers would use engines
/// with old weights past their deadline.
#include "LibCore/NamingHistory.h"
#include "LibRegistry/RegistryServer.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;
using namespace std::string_literals;

static const ModelId Model{"m0"};

static std::string naming(uint64_t Weights, int64_t NamedAtMillis) {
  return encodeCommand(NameWeights{Model, {Weights}, {NamedAtMillis}});
}

static bool isSame(const std::vector<NamedVersion> &Actual,
                   const std::vector<NamedVersion> &Expected) {
  return Actual == Expected;
}

BOOST_AUTO_TEST_CASE(named_versions_and_their_times_survive_a_restart) {
  Registry State;
  State.apply(1, naming(2, 1'000));
  State.apply(2, naming(4, 9'000));
  // An older version and a resend of the newest change nothing.
  State.apply(3, naming(3, 9'500));
  State.apply(4, naming(4, 12'000));
  State.apply(5, encodeCommand(NameWeights{{"m1"}, {7}, {500}}));
  std::vector<NamedVersion> Expected = {{{2}, {1'000}}, {{4}, {9'000}}};
  BOOST_TEST(isSame(State.namedVersions(Model), Expected));
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(State.snapshot()).has_value());
  BOOST_TEST(isSame(Restored.namedVersions(Model), Expected));
  BOOST_TEST(isSame(Restored.namedVersions({"m1"}), {{{7}, {500}}}));
  BOOST_TEST(Restored.namedVersions({"m2"}).empty());
  BOOST_TEST(Restored.namedWeights(Model).Value == 4U);
  BOOST_TEST(Restored.snapshot() == State.snapshot());
}

BOOST_AUTO_TEST_CASE(only_the_last_named_versions_are_kept) {
  Registry State;
  constexpr uint64_t Named = MaxNamings + 3;
  constexpr uint64_t Millis = 60'000;
  for (uint64_t Weights = 1; Weights <= Named; ++Weights)
    State.apply(Weights,
                naming(Weights, static_cast<int64_t>(Weights * Millis)));
  std::vector<NamedVersion> Kept = State.namedVersions(Model);
  BOOST_REQUIRE(Kept.size() == MaxNamings);
  BOOST_TEST((Kept.front() == NamedVersion{{4}, {4 * Millis}}));
  BOOST_TEST((Kept.back() == NamedVersion{{Named}, {Named * Millis}}));
}

// Weights that were named each 0.5 s kept an engine in use for good, as the
// naming that superseded its weights was dropped before their deadline.
BOOST_AUTO_TEST_CASE(namings_in_quick_succession_move_no_deadline) {
  constexpr int64_t Millis = 500;
  constexpr int64_t MostEarlyMillis = 4'000;
  constexpr int64_t HorizonMillis = 60'000;
  Registry State;
  for (int64_t Newest = 1; Newest <= 500; ++Newest) {
    State.apply(static_cast<uint64_t>(Newest),
                naming(static_cast<uint64_t>(Newest), Newest * Millis));
    std::vector<NamedVersion> Kept = State.namedVersions(Model);
    BOOST_TEST(Kept.size() <= MaxNamings);
    BOOST_TEST((Kept.back() == NamedVersion{{static_cast<uint64_t>(Newest)},
                                            {Newest * Millis}}));
    for (int64_t Old = 0; Old < Newest; ++Old) {
      auto Newer = std::find_if(
          Kept.begin(), Kept.end(), [&](const NamedVersion &Version) {
            return Version.Weights.Value > static_cast<uint64_t>(Old);
          });
      int64_t Superseded = (Old + 1) * Millis;
      int64_t Latest =
          std::max(Superseded, (Newest * Millis) - HorizonMillis + Millis);
      BOOST_REQUIRE(Newer->NamedAt.Value <= Latest);
      BOOST_REQUIRE(Newer->NamedAt.Value >= Superseded - MostEarlyMillis);
    }
  }
}

// Logs and snapshots were written without times before; these bytes name
// weights 2 of m0.
BOOST_AUTO_TEST_CASE(commands_and_snapshots_without_times_are_read) {
  std::string OldCommand = "\xdc\x18\x02\x6d\x30\x16\x04\x00\x00"s;
  std::string OldSnapshot =
      "\x15\x02\x16\x0e\x1c\x16\x00\x18\x00\x18\x00\x00\x19\x0c\x19\x0c\x19\x1c"
      "\x16\x01\x18\x00\x00\x16\x00\x16\x02\x19\x0c\x19\x0c\x19\x0c\x16\x00\x16"
      "\x00\x19\x1c\x18\x02\x6d\x30\x16\x04\x00\x00"s;
  std::vector<NamedVersion> Expected = {{{2}, {0}}};
  Registry Replayed;
  auto Outcome = tryOutcome<WeightsNamed>(Replayed.apply(7, OldCommand));
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST((*Outcome == WeightsNamed{Model, {2}}));
  BOOST_TEST(isSame(Replayed.namedVersions(Model), Expected));
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(OldSnapshot).has_value());
  BOOST_TEST(Restored.appliedIndex() == 7U);
  BOOST_TEST(isSame(Restored.namedVersions(Model), Expected));
}

// The host that an operator reached may have another time than the leader,
// which tells the routers the age of the naming.
BOOST_AUTO_TEST_CASE(the_leader_dates_a_naming) {
  Registry State;
  RegistryServer Server(State);
  wire::RegistryRequest Request;
  Request.RequestNumber = 1;
  Request.Kind = wire::RequestKind::Propose;
  Request.Command = naming(2, 5);
  auto Effects = Server.step(ServerRequestReceived{{"r1"}, Request, {70'000}});
  BOOST_REQUIRE(Effects.size() == 1U);
  State.apply(1, std::get<ServerPropose>(Effects.front()).Command);
  BOOST_TEST(isSame(State.namedVersions(Model), {{{2}, {70'000}}}));
}

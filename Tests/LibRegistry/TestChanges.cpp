/// \file
/// Checks that each description number has one accepted change, also when
/// changes are resent or duplicated and across snapshots, and that damaged
/// commands, replies and snapshots are refused without a crash.
#include "LibCore/Random.h"
#include "LibRegistry/Convert.h"
#include "LibRegistry/Registry.h"
#include "LibWire/Codec.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;

struct ChangeStep {
  uint64_t Base;
  const char *Operation;
  const char *Text;
  enum { Accepted, Conflict, Reused } Outcome;
  uint64_t Number;
};

struct ChangeCase {
  const char *Name;
  std::vector<ChangeStep> Steps;
};

static std::ostream &operator<<(std::ostream &Out, const ChangeCase &Case) {
  return Out << Case.Name;
}

using S = ChangeStep;
static const ChangeCase ChangeCases[] = {
    {"two operators with the same base",
     {{0, "a", "A", S::Accepted, 1}, {0, "b", "B", S::Conflict, 1}}},
    {"a resend gets the first answer",
     {{0, "a", "A", S::Accepted, 1},
      {1, "b", "B", S::Accepted, 2},
      {0, "a", "A", S::Accepted, 1}}},
    {"a resend of a refused change stays refused",
     {{0, "a", "A", S::Accepted, 1},
      {0, "b", "B", S::Conflict, 1},
      {1, "c", "C", S::Accepted, 2},
      {0, "b", "B", S::Conflict, 2}}},
    {"the same operation with another text",
     {{0, "a", "A", S::Accepted, 1}, {1, "a", "B", S::Reused, 1}}},
    {"a duplicate of a change refused for a future base is not accepted",
     {{1, "x", "X", S::Conflict, 0},
      {0, "a", "A", S::Accepted, 1},
      {1, "x", "X", S::Conflict, 1}}},
    {"an old base with an old text is refused",
     {{0, "a", "A", S::Accepted, 1},
      {1, "b", "B", S::Accepted, 2},
      {1, "c", "A", S::Conflict, 2}}},
    // The test's history keeps only four operations.
    {"a resend of a forgotten operation is refused",
     {{0, "a", "A", S::Accepted, 1},
      {1, "b", "B", S::Accepted, 2},
      {2, "c", "C", S::Accepted, 3},
      {3, "d", "D", S::Accepted, 4},
      {4, "e", "E", S::Accepted, 5},
      {0, "a", "A", S::Conflict, 5}}}};

static void checkStep(const ChangeOutcome &Outcome, const ChangeStep &Step) {
  BOOST_TEST(Outcome.index() == static_cast<size_t>(Step.Outcome));
  if (auto *Accepted = std::get_if<ChangeAccepted>(&Outcome))
    BOOST_TEST(Accepted->Number.Value == Step.Number);
  if (auto *Conflict = std::get_if<ChangeConflict>(&Outcome))
    BOOST_TEST(Conflict->Current.Value == Step.Number);
}

BOOST_DATA_TEST_CASE(changes_have_one_winner,
                     boost::unit_test::data::make(ChangeCases) ^
                         boost::unit_test::data::xrange(std::size(ChangeCases)),
                     Case, Index) {
  static_cast<void>(Index);
  // Once without snapshots, once with a restore from a snapshot before each
  // step.
  for (bool WithSnapshots : {false, true}) {
    DescriptionHistory History(4);
    for (const ChangeStep &Step : Case.Steps) {
      if (WithSnapshots) {
        wire::RegistrySnapshot Snapshot;
        History.save(Snapshot);
        History = DescriptionHistory(4);
        History.load(Snapshot);
      }
      checkStep(History.apply({{Step.Base}, Step.Operation, Step.Text}), Step);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_conflict_shows_the_winner) {
  Registry State;
  State.apply(1, encodeCommand(ChangeDescription{{0}, "a", "winner's text"}));
  auto Outcome = tryOutcome<ChangeOutcome>(
      State.apply(2, encodeCommand(ChangeDescription{{0}, "b", "other"})));
  BOOST_REQUIRE(Outcome.has_value());
  const auto &Conflict = std::get<ChangeConflict>(*Outcome);
  BOOST_TEST(Conflict.CurrentOperation == "a");
  BOOST_TEST(Conflict.CurrentText == "winner's text");
}

BOOST_AUTO_TEST_CASE(a_thousand_changes_survive_a_snapshot) {
  Registry State;
  for (uint64_t Base = 0; Base < 1000; ++Base)
    State.apply(Base + 1, encodeCommand(ChangeDescription{
                              {Base}, "op" + std::to_string(Base), "text"}));
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(State.snapshot()).has_value());
  BOOST_TEST(Restored.greatestNumber().Value == 1000u);
  BOOST_TEST(Restored.appliedIndex() == 1000u);
  BOOST_TEST(Restored.snapshot() == State.snapshot());
  auto First = tryOutcome<ChangeOutcome>(Restored.apply(
      1001, encodeCommand(ChangeDescription{{0}, "op0", "text"})));
  BOOST_TEST(std::get<ChangeAccepted>(*First).Number.Value == 1u);
}

BOOST_AUTO_TEST_CASE(
    the_greatest_possible_number_includes_uncommitted_commands) {
  GreatestPossibleNumber Greatest({3});
  for (auto [Base, Expected] : std::vector<std::pair<uint64_t, uint64_t>>{
           {2, 3}, {3, 4}, {3, 4}, {4, 5}, {1'000'000, 5}}) {
    Greatest.add(encodeCommand(ChangeDescription{{Base}, "x", "y"}));
    BOOST_TEST(Greatest.value().Value == Expected);
  }
}

BOOST_AUTO_TEST_CASE(malformed_commands_are_refused_and_change_nothing) {
  Registry State;
  State.apply(1, encodeCommand(ChangeDescription{{0}, "a", "A"}));
  auto Before = State.snapshot();
  wire::RegistryCommand Two;
  Two.__set_Change({});
  Two.__set_Claim({});
  std::string Cases[] = {"", "x", wire::encode(wire::RegistryCommand()),
                         wire::encode(Two),
                         std::string(MaxCommandBytes + 1, 'x')};
  for (const std::string &Bytes : Cases) {
    auto Answer = tryDecodeReply(State.apply(1, Bytes));
    BOOST_REQUIRE(Answer.has_value());
    BOOST_TEST(std::holds_alternative<CommandInvalid>(*Answer));
    BOOST_TEST(State.snapshot() == Before);
  }
}

/// \returns valid commands, their replies and a snapshot, encoded.
static std::vector<std::string> corpus(Registry &State) {
  ClaimKey Key{{"w"}, {"s"}, "t1700000000000-k"};
  ClaimAttempt Attempt{{"r1"}, {3}, 9};
  std::vector<std::string> Bytes = {
      encodeCommand(ChangeDescription{{0}, "a", "A"}),
      encodeCommand(Claim{Key, Attempt, 5, {1'700'000'000'000}}),
      encodeCommand(Complete{Key, Attempt, {200, "text/plain", "ok"}}),
      encodeCommand(Claim{{{"w"}, {"s"}, "k"}, Attempt, 5, {}}),
      encodeCommand(AcquireOrderLease{"orders", {"r1"}, {3}, {0}, 0}),
      encodeCommand(BeginWeightsLoad{{{"t"}, {1}, {2}, {1}, 1}, 2})};
  size_t Commands = Bytes.size();
  for (size_t Index = 0; Index < Commands; ++Index)
    Bytes.push_back(State.apply(Index + 1, Bytes[Index]));
  Bytes.push_back(State.snapshot());
  return Bytes;
}

BOOST_AUTO_TEST_CASE(damaged_bytes_never_crash_the_decoders) {
  Registry Source;
  std::vector<std::string> Seeds = corpus(Source);
  RandomGenerator Random(20261203);
  size_t Restored = 0;
  for (int Round = 0; Round < 30'000; ++Round) {
    std::string Bytes = Seeds[randomBelow(Random, Seeds.size())];
    for (uint64_t Flip = 0; Flip <= randomBelow(Random, 4); ++Flip)
      Bytes[randomBelow(Random, Bytes.size())] = static_cast<char>(Random());
    if (randomBelow(Random, 4) == 0)
      Bytes.resize(randomBelow(Random, Bytes.size()));
    Registry State;
    State.apply(1, Bytes);
    static_cast<void>(tryDecodeReply(Bytes));
    if (!State.tryRestore(Bytes))
      continue;
    // A state that was restored must be usable.
    ++Restored;
    State.apply(2, Seeds[1]);
    State.apply(3, encodeCommand(AdvanceLowWater{{1'800'000'000'000}}));
    BOOST_TEST(!State.snapshot().empty());
  }
  BOOST_TEST(Restored > 0u);
}

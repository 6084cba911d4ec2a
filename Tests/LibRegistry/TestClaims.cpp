/// \file
/// Checks that the claim ledger grants each key to one attempt at a time and
/// never again once the call may have run. Double runs come about when claims,
/// releases and completions are resent, duplicated or overtake each other, when
/// hosts restart, and when the ledger forgets keys.
#include "LibRegistry/ClaimLedger.h"
#include "LibRegistry/Convert.h"
#include "LibRegistry/Registry.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;

/// Indexes of the alternatives of ClaimOutcome.
enum OutcomeIndex : size_t {
  Granted,
  Held,
  Done,
  Unknown,
  Mismatch,
  Expired,
  Full,
  Released,
  Ahead
};

static ClaimKey key(std::string Key) { return {{"w"}, {"s"}, std::move(Key)}; }

static ClaimAttempt attempt(const char *Host, uint64_t Number,
                            uint64_t Incarnation = 1) {
  return {{Host}, {Incarnation}, Number};
}

static constexpr int64_t Noon = 1'700'000'000'000;
static constexpr int64_t Minute = 60'000;

static Command claim(const ClaimAttempt &Attempt, uint64_t Body = 1,
                     const std::string &Key = "k") {
  return Claim{key(Key), Attempt, Body, {Noon}};
}

static Command complete(const ClaimAttempt &Attempt, std::string Body,
                        const std::string &Key = "k") {
  return Complete{
      key(Key), Attempt, {201, "application/json", std::move(Body)}};
}

static Command release(const ClaimAttempt &Attempt,
                       const std::string &Key = "k") {
  return Release{key(Key), Attempt};
}

static Command unknown(const ClaimAttempt &Holder,
                       const std::string &Key = "k") {
  return MarkUnknown{key(Key), Holder};
}

static std::string stamped(int64_t Millis, const std::string &Rest = "k") {
  return "t" + std::to_string(Millis) + "-" + Rest;
}

struct ClaimStep {
  Command Input;
  OutcomeIndex Expected;
};

struct ClaimCase {
  const char *Name;
  std::vector<ClaimStep> Steps;
};

static std::ostream &operator<<(std::ostream &Out, const ClaimCase &Case) {
  return Out << Case.Name;
}

static const ClaimAttempt A = attempt("r1", 1);
static const ClaimAttempt B = attempt("r2", 1);
static const ClaimAttempt NextOfA = attempt("r1", 2);
static const ClaimAttempt AfterRestart = attempt("r1", 1, 2);

static const ClaimCase ClaimCases[] = {
    {"a resend of the claim", {{claim(A), Granted}, {claim(A), Granted}}},
    {"a second attempt while the first holds the key",
     {{claim(A), Granted}, {claim(B), Held}}},
    {"a claim with another body",
     {{claim(A), Granted},
      {claim(B, 2), Mismatch},
      {complete(A, "x"), Done},
      {claim(B, 2), Mismatch}}},
    {"a resend after success gets the answer",
     {{claim(A), Granted}, {complete(A, "x"), Done}, {claim(B), Done}}},
    {"a second answer does not replace the first",
     {{claim(A), Granted}, {complete(A, "x"), Done}, {complete(A, "y"), Done}}},
    {"only the holder completes",
     {{claim(A), Granted}, {complete(B, "x"), Held}, {claim(NextOfA), Held}}},
    {"only the holder releases",
     {{claim(A), Granted}, {release(B), Held}, {claim(NextOfA), Held}}},
    {"a released key may be claimed again",
     {{claim(A), Granted}, {release(A), Granted}, {claim(B), Granted}}},
    {"a late duplicate of a claim after its release",
     {{claim(A), Granted},
      {release(A), Granted},
      {claim(A), Released},
      {claim(B), Granted}}},
    {"a release that overtakes its claim",
     {{release(A), Granted}, {claim(A), Released}, {claim(B), Granted}}},
    {"a release of an attempt that never held",
     {{claim(A), Granted},
      {release(B), Held},
      {release(A), Granted},
      {claim(B), Released},
      {claim(NextOfA), Granted}}},
    {"a late duplicate of a release does not free the next holder",
     {{claim(A), Granted},
      {release(A), Granted},
      {claim(B), Granted},
      {release(A), Held},
      {claim(NextOfA), Held}}},
    {"an unknown call never runs again",
     {{claim(A), Granted},
      {unknown(A), Unknown},
      {claim(B), Unknown},
      {claim(A), Unknown},
      {release(A), Unknown},
      {claim(B, 2), Unknown}}},
    {"the holder's late answer settles an unknown call",
     {{claim(A), Granted},
      {unknown(A), Unknown},
      {complete(B, "y"), Unknown},
      {complete(A, "x"), Done},
      {claim(B), Done}}},
    {"a mark as unknown affects only its own attempt",
     {{claim(A), Granted},
      {release(A), Granted},
      {claim(B), Granted},
      {unknown(A), Held},
      {complete(B, "x"), Done}}},
    {"a mark as unknown after the answer changes nothing",
     {{claim(A), Granted}, {complete(A, "x"), Done}, {unknown(A), Done}}},
    {"a mark as unknown that overtakes its claim",
     {{unknown(A), Unknown}, {claim(A), Unknown}, {claim(B), Unknown}}},
    {"a claim of an earlier incarnation of its host",
     {{claim(AfterRestart, 1, "other"), Granted},
      {claim(A), Released},
      {claim(AfterRestart), Granted}}},
    {"a completion without a claim",
     {{complete(A, "x"), Released}, {claim(B), Granted}}},
    {"a stamp below the low-water mark",
     {{AdvanceLowWater{{Noon}}, Granted},
      {claim(A, 1, stamped(Noon - 1)), Expired},
      {release(A, stamped(Noon - 1)), Expired},
      {unknown(A, stamped(Noon - 1)), Expired},
      {claim(A, 1, stamped(Noon)), Granted}}},
    {"a stamp ahead of the clock",
     {{claim(A, 1, stamped(Noon + 6 * Minute)), Ahead},
      {claim(A, 1, stamped(Noon + 4 * Minute)), Granted}}},
    {"the claiming router's clock does not matter for a known key",
     {{claim(A, 1, stamped(Noon)), Granted},
      {complete(A, "x", stamped(Noon)), Done},
      {Claim{key(stamped(Noon)), B, 1, {Noon - 60 * Minute}}, Done}}},
    {"a held key below the low-water mark is kept",
     {{claim(A, 1, stamped(Noon)), Granted},
      {AdvanceLowWater{{Noon + Minute}}, Granted},
      {claim(B, 1, stamped(Noon)), Held},
      {complete(A, "x", stamped(Noon)), Done},
      {claim(B, 1, stamped(Noon)), Done}}}};

BOOST_DATA_TEST_CASE(each_key_runs_at_most_once,
                     boost::unit_test::data::make(ClaimCases), Case) {
  // Once without snapshots, once with a restore from a snapshot before each
  // step.
  for (bool WithSnapshots : {false, true}) {
    Registry State;
    uint64_t Index = 0;
    for (const ClaimStep &Step : Case.Steps) {
      if (WithSnapshots) {
        Registry Restored;
        BOOST_REQUIRE(Restored.tryRestore(State.snapshot()).has_value());
        BOOST_TEST(Restored.snapshot() == State.snapshot());
        State = std::move(Restored);
      }
      std::string Bytes = State.apply(++Index, encodeCommand(Step.Input));
      auto Outcome = tryOutcome<ClaimOutcome>(Bytes);
      if (std::holds_alternative<AdvanceLowWater>(Step.Input))
        continue;
      BOOST_REQUIRE(Outcome.has_value());
      BOOST_TEST_INFO("step " << Index);
      BOOST_TEST(Outcome->index() == Step.Expected);
      if (auto *Completed = std::get_if<ClaimCompleted>(&*Outcome))
        BOOST_TEST(Completed->Body == "x");
    }
  }
}

static LedgerLimits smallLimits() {
  LedgerLimits Limits;
  Limits.OpenClaims = 6;
  Limits.Answers = 3;
  Limits.AnswerBytes = 100;
  Limits.Released = 3;
  Limits.Unknown = 2;
  Limits.UnstampedKeys = 8;
  Limits.StampedTombstones = 8;
  return Limits;
}

static OutcomeIndex claimAndComplete(ClaimLedger &Ledger,
                                     const std::string &Key,
                                     const std::string &Body = "x") {
  auto Outcome = Ledger.apply(Claim{key(Key), A, 1, {Noon}});
  if (std::holds_alternative<ClaimGranted>(Outcome))
    Ledger.apply(Complete{key(Key), A, {200, "", Body}});
  return static_cast<OutcomeIndex>(Outcome.index());
}

BOOST_AUTO_TEST_CASE(unstamped_keys_fill_the_ledger_and_are_never_forgotten) {
  ClaimLedger Ledger(smallLimits());
  for (int Number = 0; Number < 8; ++Number)
    BOOST_TEST(claimAndComplete(Ledger, std::to_string(Number)) == Granted);
  BOOST_TEST(claimAndComplete(Ledger, "one more") == Full);
  for (int Number = 0; Number < 8; ++Number) {
    OutcomeIndex Again = claimAndComplete(Ledger, std::to_string(Number));
    BOOST_TEST(Again == (Number < 5 ? Expired : Done));
  }
  // Stamped keys are still granted.
  BOOST_TEST(claimAndComplete(Ledger, stamped(Noon)) == Granted);
}

BOOST_AUTO_TEST_CASE(answers_are_bounded_by_bytes) {
  ClaimLedger Ledger(smallLimits());
  BOOST_TEST(claimAndComplete(Ledger, "a", std::string(60, 'a')) == Granted);
  BOOST_TEST(claimAndComplete(Ledger, "b", std::string(60, 'b')) == Granted);
  BOOST_TEST(claimAndComplete(Ledger, "a") == Expired);
  BOOST_TEST(claimAndComplete(Ledger, "b") == Done);
  BOOST_TEST(claimAndComplete(Ledger, "huge", std::string(101, 'c')) ==
             Granted);
  BOOST_TEST(claimAndComplete(Ledger, "huge") == Expired);
}

BOOST_AUTO_TEST_CASE(forgotten_unknown_calls_stay_unknown) {
  ClaimLedger Ledger(smallLimits());
  for (const char *Key : {"a", "b", "c", "d"}) {
    Ledger.apply(Claim{key(Key), A, 1, {Noon}});
    Ledger.apply(MarkUnknown{key(Key), A});
  }
  BOOST_TEST(Ledger.tombstoneCount() == 2u);
  for (const char *Key : {"a", "b", "c", "d"})
    BOOST_TEST(claimAndComplete(Ledger, Key) == Unknown);
}

BOOST_AUTO_TEST_CASE(
    stamped_keys_raise_the_low_water_mark_and_never_run_twice) {
  ClaimLedger Ledger(smallLimits());
  std::vector<std::string> Keys;
  for (int Number = 0; Number < 60; ++Number) {
    Keys.push_back(stamped(Noon - (60 - Number) * Minute));
    BOOST_TEST(claimAndComplete(Ledger, Keys.back()) == Granted);
    BOOST_TEST(Ledger.tombstoneCount() <= 8u);
  }
  BOOST_TEST((Ledger.lowWater() > UnixMillis{Noon - 30 * Minute}));
  for (const std::string &Key : Keys)
    BOOST_TEST(claimAndComplete(Ledger, Key) != Granted);
}

BOOST_AUTO_TEST_CASE(open_and_released_claims_are_bounded) {
  ClaimLedger Ledger(smallLimits());
  auto Name = [](int Number) { return stamped(Noon, std::to_string(Number)); };
  for (int Number = 0; Number < 6; ++Number)
    BOOST_TEST(Ledger.apply(Claim{key(Name(Number)), A, 1, {Noon}}).index() ==
               Granted);
  BOOST_TEST(Ledger.apply(Claim{key(Name(9)), A, 1, {Noon}}).index() == Full);
  for (int Number = 0; Number < 6; ++Number)
    Ledger.apply(Release{key(Name(Number)), A});
  BOOST_TEST(Ledger.entryCount() == 3u);
  BOOST_TEST(Ledger.openCount() == 0u);
}

struct StampCase {
  const char *Key;
  int64_t Stamp;
};

BOOST_AUTO_TEST_CASE(only_keys_of_the_stamped_form_have_a_stamp) {
  static const StampCase Cases[] = {{"t1700000000000-x", 1'700'000'000'000},
                                    {"t0-", 0},
                                    {"t-x", -1},
                                    {"t17x-1", -1},
                                    {"1700000000000-x", -1},
                                    {"t1700000000000", -1},
                                    {"t-5-x", -1},
                                    {"t9999999999999999999999-x", -1},
                                    {"", -1}};
  for (const StampCase &Case : Cases) {
    BOOST_TEST_INFO(Case.Key);
    BOOST_TEST(stampOf(Case.Key).value_or(UnixMillis{-1}).Value == Case.Stamp);
  }
}

BOOST_AUTO_TEST_CASE(
    keys_whose_parts_join_to_equal_text_have_different_digests) {
  BOOST_TEST((digestOf(ClaimKey{{"ab"}, {"c"}, "d"}) !=
              digestOf(ClaimKey{{"a"}, {"bc"}, "d"})));
  BOOST_TEST((digestOf(ClaimKey{{"a"}, {"b"}, "c"}) !=
              digestOf(ClaimKey{{"a"}, {"c"}, "b"})));
}

// The operators' routes: answers to changes, checks of input, and tokens, which
// must be required everywhere and must never be printed.
#include "LibCore/ConstantTime.h"
#include "LibTraffic/TrafficBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <sstream>

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::registry;

namespace {

/// A host whose control port answers every change with a fixed outcome.
struct OperatorBed {
  explicit OperatorBed(RegistryResult<ChangeOutcome> Outcome) {
    Port = Ledger.port();
    Port.Change = [this, Outcome](ChangeRequest Request, auto Done) {
      Changes.push_back(Request);
      Done(Outcome);
    };
    Port.ReadDescription = [](Timestamp, auto Done) {
      Done(CurrentDescription{{7}, "op-7", "text: 7\n"});
    };
    Port.ReadSpread = [](DescriptionNumber Number, auto Done) {
      Done(SpreadStatus{Number, 3, 7});
    };
    Port.ReadHistory = [](auto Done) {
      Done(std::vector<PastChange>{{{6}, "op-6"}, {{7}, "op-\"7"}});
    };
    Bed = std::make_unique<TrafficBed>(Ledger, "host-1", 1, TrafficLimits{},
                                       200, Port);
  }

  CallerReply ask(const std::string &Method, const std::string &Path,
                  Headers Fields = {}, const std::string &Body = "") {
    Fields.emplace("Authorization", "Bearer op-secret");
    return traffic::ask(Bed->Front->operatorAddress(), Method, Path, Fields,
                        Body);
  }
  CallerReply put(const std::string &Body, Headers Fields = {}) {
    Fields.emplace("If-Match", "\"6\"");
    Fields.emplace("X-Operation-Id", "op-7");
    return ask("PUT", "/v1/description", Fields, Body);
  }

  LedgerStub Ledger;
  ControlPort Port;
  std::vector<ChangeRequest> Changes;
  std::unique_ptr<TrafficBed> Bed;
};

std::string sampleText() {
  std::ifstream File(FERRY_SOURCE_DIR "/Examples/prestamos-austral.yaml");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

struct OutcomeCase {
  const char *Name;
  RegistryResult<ChangeOutcome> Outcome;
  int Status;
  const char *Type;
  const char *NotRun;
};

std::ostream &operator<<(std::ostream &Out, const OutcomeCase &Case) {
  return Out << Case.Name;
}

const OutcomeCase OutcomeCases[] = {
    {"accepted", ChangeOutcome(ChangeAccepted{{7}}), 200, "", ""},
    {"conflict", ChangeOutcome(ChangeConflict{{9}, "op-9", "a: \"b\"\n"}), 409,
     "conflict", "true"},
    {"reused", ChangeOutcome(ChangeOperationReused{{4}}), 409,
     "operation_reused", "true"},
    {"timeout", makeTypedError(RegistryErrorKind::Timeout), 503, "no_quorum",
     "unknown"},
    {"not proposed", makeTypedError(RegistryErrorKind::NotProposed), 503,
     "no_quorum", "true"},
    {"invalid", makeTypedError(RegistryErrorKind::Invalid), 400, "bad_request",
     "true"}};

} // namespace

BOOST_DATA_TEST_CASE(each_outcome_of_a_change_gets_its_own_answer,
                     boost::unit_test::data::make(OutcomeCases), Case) {
  OperatorBed Operators(Case.Outcome);
  CallerReply Answer = Operators.put(sampleText());
  BOOST_TEST(Answer.Status == Case.Status);
  BOOST_REQUIRE(Operators.Changes.size() == 1U);
  BOOST_TEST(Operators.Changes[0].Base.Value == 6U);
  BOOST_TEST(Operators.Changes[0].Operation == "op-7");
  BOOST_TEST(Operators.Changes[0].Text == sampleText());
  if (Answer.Status == 200) {
    BOOST_TEST(Answer.Headers["ETag"] == "\"7\"");
    return;
  }
  BOOST_TEST(Answer.error("type") == Case.Type);
  BOOST_TEST(Answer.error("not_run") == Case.NotRun);
  if (std::string(Case.Type) == "conflict") {
    BOOST_TEST(Answer.error("current_number") == "9");
    BOOST_TEST(Answer.error("current_text") == "a: \"b\"\n");
  }
}

BOOST_AUTO_TEST_CASE(a_change_needs_its_headers_and_a_valid_text) {
  OperatorBed Operators{ChangeOutcome(ChangeAccepted{{7}})};
  const std::pair<Headers, std::string> Cases[] = {
      {{{"If-Match", ""}}, "precondition_required"},
      {{{"If-Match", "6"}}, "bad_header"},
      {{{"If-Match", "\"x\""}}, "bad_header"},
      {{{"If-Match", "\"\""}}, "bad_header"},
      {{{"X-Operation-Id", ""}}, "bad_header"},
      {{{"X-Operation-Id", std::string(300, 'o')}}, "bad_header"}};
  for (const auto &[Fields, Type] : Cases)
    BOOST_TEST(Operators.put(sampleText(), Fields).error("type") == Type);
  CallerReply Bad = Operators.put("deployment: [x\nregoin: y\n");
  BOOST_TEST(Bad.Status == 422);
  BOOST_TEST(Bad.error("errors").find("\"line\"") != std::string::npos);
  BOOST_TEST(Operators.put(std::string(2 << 20, '#')).Status == 413);
  BOOST_TEST(Operators.Changes.empty());
}

BOOST_AUTO_TEST_CASE(history_lists_the_changes_of_the_host) {
  OperatorBed Operators{ChangeOutcome(ChangeAccepted{{7}})};
  CallerReply Reply = Operators.ask("GET", "/v1/description/history");
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Reply.Body == R"({"changes":[{"number":6,"operation":"op-6"},)"
                           R"({"number":7,"operation":"op-\"7"}]})");
}

BOOST_AUTO_TEST_CASE(every_operator_route_needs_the_operator_token) {
  OperatorBed Operators{ChangeOutcome(ChangeAccepted{{7}})};
  const std::pair<const char *, const char *> Routes[] = {
      {"PUT", "/v1/description"},
      {"GET", "/v1/description"},
      {"GET", "/v1/description/spread?number=7"},
      {"GET", "/v1/description/history"},
      {"GET", "/v1/dump"},
      {"GET", "/metrics"},
      {"POST", "/v1/drain"}};
  for (auto [Method, Path] : Routes)
    for (const char *Token : {"", "Bearer w2-secret", "Bearer op-secre"})
      BOOST_TEST(
          Operators.ask(Method, Path, {{"Authorization", Token}}).Status ==
          401);
  BOOST_TEST(Operators.Ledger.Drains == 0);
  BOOST_TEST(Operators.ask("GET", "/v1/description").Body == "text: 7\n");
  BOOST_TEST(Operators.ask("GET", "/v1/description/spread?number=7").Body ==
             R"({"number":7,"hosts_in_force":3,"hosts_known":7})");
  BOOST_TEST(Operators.ask("GET", "/v1/description/spread").Status == 400);
  BOOST_TEST(Operators.ask("POST", "/v1/drain").Status == 202);
  BOOST_TEST(Operators.Ledger.Drains == 1);
  std::string Output = Operators.ask("GET", "/v1/dump").Body +
                       Operators.ask("GET", "/metrics").Body;
  BOOST_TEST(Output.find("ferry_traffic_requests_total") != std::string::npos);
  BOOST_TEST(Output.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(tokens_are_compared_whole_and_key_files_are_validated) {
  BOOST_TEST(equalInConstantTime("abc", "abc"));
  for (const char *Presented : {"", "ab", "abd", "abcabc", "abcd"})
    BOOST_TEST(!equalInConstantTime(Presented, "abc"), Presented);
  BOOST_TEST(!equalInConstantTime("abc", ""));
  auto Store = TokenStore::tryParse("# keys\n\n a : t1 \nb: t:2\n");
  BOOST_REQUIRE(Store.has_value());
  BOOST_TEST(Store->grants("a", "Bearer t1"));
  BOOST_TEST(Store->grants("b", "Bearer t:2"));
  BOOST_TEST(!Store->grants("c", "Bearer "));
  BOOST_TEST(!TokenStore().grants("", "Bearer "));
  for (const char *Text : {"a\n", "a:\n", ": t\n", "a: t\na: u\n"}) {
    auto Bad = TokenStore::tryParse(Text);
    BOOST_REQUIRE(!Bad.has_value());
    BOOST_TEST((Bad.error().Kind == TrafficErrorKind::TokenFileMalformed));
  }
  BOOST_TEST(!TokenStore::tryLoad("/nonexistent/tokens").has_value());
}

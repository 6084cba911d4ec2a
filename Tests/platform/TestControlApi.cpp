// The calls of the platform's targets and operators, each outcome of them.
#include "Support/TestCluster.h"
#include "platform/ControlApi.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
using namespace ferry::registry;
using namespace ferry::traffic;
using ferry::test::Answer;
namespace data = boost::unit_test::data;

namespace {

const std::string Routes =
    R"({"version":7,"routes":[{"name":"r","host":"a.example",)"
    R"("path_prefix":"/x/","route_kind":"idempotent","timeout_ms":2000,)"
    R"("service":"app"}],"services":[{"name":"app"}]})";
const std::string Heartbeat =
    R"({"service":"app","addr":"10.1.0.9:80","zone":"z","version":"v1",)"
    R"("slots":6,"state":"ready","cold_left_ms":0,"seq":1,"born":5})";

/// A control thread that answers as it is told, or not at all.
struct ControlBed {
  ControlBed() {
    ControlPort Port;
    Port.Announce = [this](TargetRecord Record, auto Done) {
      Announced.push_back(Record);
      if (Busy)
        return;
      Done(AnnounceReply());
    };
    Port.Replace = [this](DescriptionNumber Number, std::string Text, Timestamp,
                          auto Done) {
      Numbers.push_back(Number.Value);
      Texts.push_back(Text);
      if (!Busy)
        Done(Replaced);
    };
    Port.NameWeights = [this](ModelId Model, WeightsVersion Weights, Timestamp,
                              auto Done) {
      Named.push_back({Model, Weights});
      if (!Busy)
        Done(Naming);
    };
    Port.ReadDescription = [this](Timestamp, auto Done) {
      if (!Busy)
        Done(Current);
    };
    auto Started =
        ControlApi::tryStart("127.0.0.1:0", Port, FencingCheck::Checked);
    BOOST_REQUIRE(Started);
    Api = std::move(*Started);
  }

  Answer ask(const std::string &Method, const std::string &Path,
             const std::string &Body = "") {
    return test::request(Api->address(), Method, Path, Body);
  }

  /// Whether the control thread leaves its callers without an answer.
  std::atomic<bool> Busy = false;
  RegistryResult<ChangeOutcome> Replaced = ChangeOutcome{ChangeAccepted{{7}}};
  RegistryResult<WeightsNamed> Naming = WeightsNamed{{"m0"}, {2}};
  RegistryResult<CurrentDescription> Current =
      CurrentDescription{{7}, "", Routes};
  std::vector<TargetRecord> Announced;
  std::vector<uint64_t> Numbers;
  std::vector<std::string> Texts;
  std::vector<WeightsNamed> Named;
  std::unique_ptr<ControlApi> Api;
};

struct BadCall {
  const char *Method;
  std::string Path;
  std::string Body;
  int Status;
};

std::ostream &operator<<(std::ostream &Out, const BadCall &Call) {
  return Out << Call.Method << " " << Call.Path << " "
             << Call.Body.substr(0, 40);
}

const std::vector<BadCall> BadCalls = {
    {"PUT", "/config", "", 400},
    {"PUT", "/config", "{", 400},
    {"PUT", "/config", Routes.substr(0, Routes.size() - 1), 400},
    {"PUT", "/config", R"({"version":"7","routes":[],"services":[]})", 400},
    {"PUT", "/instances/i-1", "", 400},
    {"PUT", "/instances/i-1", "\xff\xfe", 400},
    {"PUT", "/instances/i-1", "[]", 400},
    {"PUT", "/instances/i-1", std::string(70'000, ' '), 413},
    {"PUT", "/config", std::string(5'000'000, ' '), 413},
    {"POST", "/version-put", "", 400},
    {"POST", "/version-put", R"({"model":"m0"})", 400},
    {"POST", "/version-put", R"({"model":"m0","version":0})", 400},
    {"POST", "/version-put", R"({"model":"m0","version":"2"})", 400},
    {"POST", "/version-put", R"({"model":7,"version":2})", 400},
    {"GET", "/version-put", "", 404},
    {"POST", "/config", Routes, 404},
    {"GET", "/instances/i-1", "", 404},
    {"GET", "/odd", "", 404}};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_heartbeat_is_acknowledged_and_passed_on, ControlBed) {
  Answer Told = ask("PUT", "/instances/i-7f3a91c2", Heartbeat);
  BOOST_TEST(Told.Status == 200);
  // Longer ones would not count as an acknowledgement.
  BOOST_TEST(Told.Body.size() <= 4096U);
  BOOST_REQUIRE(Announced.size() == 1U);
  BOOST_TEST(Announced.front().Id.Value == "i-7f3a91c2");
  BOOST_TEST(Announced.front().Address == "10.1.0.9:80");
}

BOOST_FIXTURE_TEST_CASE(a_target_leaves_with_or_without_a_body, ControlBed) {
  BOOST_TEST(ask("DELETE", "/instances/i-1").Status == 200);
  BOOST_TEST(ask("DELETE", "/instances/i-1", R"({"born":5})").Status == 200);
  BOOST_REQUIRE(Announced.size() == 2U);
  for (const TargetRecord &Left : Announced)
    BOOST_TEST((Left.Phase == TargetPhase::Leaving));
  BOOST_TEST(Announced.back().Incarnation.Value == 5U);
}

BOOST_FIXTURE_TEST_CASE(routes_are_put_with_their_own_number, ControlBed) {
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 200);
  BOOST_REQUIRE(Numbers.size() == 1U);
  BOOST_TEST(Numbers.front() == 7U);
  BOOST_TEST(Texts.front() == Routes);
}

// A number that is not above the one in force is acknowledged for ever.
BOOST_FIXTURE_TEST_CASE(an_overtaken_number_is_acknowledged, ControlBed) {
  Replaced = ChangeOutcome{ChangeConflict{{9}, "", "other"}};
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 200);
}

BOOST_FIXTURE_TEST_CASE(what_no_quorum_decided_is_not_acknowledged,
                        ControlBed) {
  Replaced = makeError(RegistryError{RegistryErrorKind::Timeout, ""});
  Naming = makeError(RegistryError{RegistryErrorKind::Timeout, ""});
  Current = makeError(RegistryError{RegistryErrorKind::Timeout, ""});
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 503);
  BOOST_TEST(
      ask("POST", "/version-put", R"({"model":"m0","version":2})").Status ==
      503);
  BOOST_TEST(ask("GET", "/config").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(a_busy_control_thread_is_told_as_a_failure,
                        ControlBed) {
  Busy = true;
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 503);
  BOOST_TEST(ask("PUT", "/instances/i-1", Heartbeat).Status == 503);
  BOOST_TEST(ask("DELETE", "/instances/i-1").Status == 503);
  BOOST_TEST(ask("GET", "/config").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(the_newest_routes_are_read_back_as_sent, ControlBed) {
  Answer Read = ask("GET", "/config");
  BOOST_TEST(Read.Status == 200);
  BOOST_TEST(Read.Body == Routes);
  // Before the first ones nobody can say what is in force.
  Current = CurrentDescription{{0}, "", ""};
  BOOST_TEST(ask("GET", "/config").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(weights_are_named, ControlBed) {
  BOOST_TEST(
      ask("POST", "/version-put", R"({"model":"m0","version":2})").Status ==
      200);
  BOOST_REQUIRE(Named.size() == 1U);
  BOOST_TEST((Named.front() == WeightsNamed{{"m0"}, {2}}));
}

BOOST_DATA_TEST_CASE(bad_calls_get_clear_errors_and_change_nothing,
                     data::make(BadCalls), Call) {
  ControlBed Bed;
  Answer Told = Bed.ask(Call.Method, Call.Path, Call.Body);
  BOOST_TEST(Told.Status == Call.Status);
  BOOST_TEST(Told.Body.find("error") != std::string::npos);
  BOOST_TEST(Bed.Announced.empty());
  BOOST_TEST(Bed.Numbers.empty());
  BOOST_TEST(Bed.Named.empty());
}

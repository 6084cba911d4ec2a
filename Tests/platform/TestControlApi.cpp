// The calls of the platform's targets and operators: each outcome on the
// control thread must give the right status, and an invalid call must change
// nothing.
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

/// A control API with a control thread that gives preset answers, or none.
struct ControlApiFixture {
  ControlApiFixture() {
    ControlPort Port;
    Port.Announce = [this](TargetRecord Record, Timestamp, auto Done) {
      Announced.push_back(Record);
      if (Busy)
        return;
      Done(Acknowledgement);
    };
    Port.Replace = [this](ReplaceDescription Replacement, Timestamp,
                          auto Done) {
      Numbers.push_back(Replacement.Number.Value);
      Texts.push_back(Replacement.Text);
      Sharings.push_back(Replacement.Sharing);
      if (!Busy)
        Done(ReplaceReply);
    };
    Port.NameWeights = [this](ModelId Model, WeightsVersion Weights, Timestamp,
                              auto Done) {
      NamedWeights.push_back({Model, Weights});
      if (!Busy)
        Done(NameWeightsReply);
    };
    Port.ReadDescription = [this](Timestamp, auto Done) {
      if (!Busy)
        Done(ReadReply);
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

  AnnounceReply Acknowledgement;
  /// Whether the control thread does not answer.
  std::atomic<bool> Busy = false;
  RegistryResult<ChangeOutcome> ReplaceReply =
      ChangeOutcome{ChangeAccepted{{7}}};
  RegistryResult<WeightsNamed> NameWeightsReply = WeightsNamed{{"m0"}, {2}};
  RegistryResult<CurrentDescription> ReadReply =
      CurrentDescription{{7}, "", Routes};
  std::vector<TargetRecord> Announced;
  std::vector<uint64_t> Numbers;
  std::vector<std::string> Texts;
  std::vector<std::optional<CacheSharing>> Sharings;
  std::vector<WeightsNamed> NamedWeights;
  std::unique_ptr<ControlApi> Api;
};

struct InvalidCall {
  const char *Method;
  std::string Path;
  std::string Body;
  int Status;
};

std::ostream &operator<<(std::ostream &Out, const InvalidCall &Call) {
  return Out << Call.Method << " " << Call.Path << " "
             << Call.Body.substr(0, 40);
}

const std::vector<InvalidCall> InvalidCalls = {
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

BOOST_FIXTURE_TEST_CASE(a_heartbeat_is_acknowledged_and_announced,
                        ControlApiFixture) {
  Answer Reply = ask("PUT", "/instances/i-7f3a91c2", Heartbeat);
  BOOST_TEST(Reply.Status == 200);
  // A longer answer would not count as an acknowledgement.
  BOOST_TEST(Reply.Body.size() <= 4096U);
  BOOST_REQUIRE(Announced.size() == 1U);
  BOOST_TEST(Announced.front().Id.Value == "i-7f3a91c2");
  BOOST_TEST(Announced.front().Address == "10.1.0.9:80");
}

BOOST_FIXTURE_TEST_CASE(a_target_can_leave_with_or_without_a_body,
                        ControlApiFixture) {
  BOOST_TEST(ask("DELETE", "/instances/i-1").Status == 200);
  BOOST_TEST(ask("DELETE", "/instances/i-1", R"({"born":5})").Status == 200);
  BOOST_REQUIRE(Announced.size() == 2U);
  for (const TargetRecord &Record : Announced)
    BOOST_TEST((Record.Phase == TargetPhase::Leaving));
  BOOST_TEST(Announced.back().Incarnation.Value == 5U);
}

// A host that acknowledged such a leave might be the only one that knows it.
BOOST_FIXTURE_TEST_CASE(a_leave_that_is_not_recorded_is_not_acknowledged,
                        ControlApiFixture) {
  Acknowledgement.Status = AnnounceReply::Verdict::LeaveNotRecorded;
  BOOST_TEST(ask("DELETE", "/instances/i-1").Status == 503);
  std::string Draining = Heartbeat;
  Draining.replace(Draining.find("ready"), 5, "draining");
  BOOST_TEST(ask("PUT", "/instances/i-1", Draining).Status == 503);
}

BOOST_FIXTURE_TEST_CASE(routes_are_put_with_the_number_in_their_text,
                        ControlApiFixture) {
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 200);
  BOOST_REQUIRE(Numbers.size() == 1U);
  BOOST_TEST(Numbers.front() == 7U);
  BOOST_TEST(Texts.front() == Routes);
  // Without a list of workspaces, anyone shares the cache.
  BOOST_TEST((Sharings.front() == CacheSharing{{}, {}, true}));
}

BOOST_FIXTURE_TEST_CASE(a_description_says_which_workspaces_share_a_cache,
                        ControlApiFixture) {
  std::string Text = Routes;
  Text.insert(Text.size() - 1,
              R"(,"tenants":[{"name":"t1","api_keys":["k1"]},)"
              R"({"name":"t2","api_keys":["k2"],"isolated":true}]})");
  Text.pop_back();
  BOOST_TEST(ask("PUT", "/config", Text).Status == 200);
  BOOST_REQUIRE(Sharings.size() == 1U);
  BOOST_TEST((Sharings.front() == CacheSharing{{digestOf(WorkspaceId{"t1"})},
                                               {digestOf(WorkspaceId{"t2"})},
                                               false}));
}

// A number that is not greater than the one in force is always acknowledged.
BOOST_FIXTURE_TEST_CASE(an_older_number_is_acknowledged, ControlApiFixture) {
  ReplaceReply = ChangeOutcome{ChangeConflict{{9}, "", "other"}};
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 200);
}

BOOST_FIXTURE_TEST_CASE(calls_without_a_quorum_are_not_acknowledged,
                        ControlApiFixture) {
  ReplaceReply = makeError(RegistryError{RegistryErrorKind::Timeout, ""});
  NameWeightsReply = makeError(RegistryError{RegistryErrorKind::Timeout, ""});
  ReadReply = makeError(RegistryError{RegistryErrorKind::Timeout, ""});
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 503);
  BOOST_TEST(
      ask("POST", "/version-put", R"({"model":"m0","version":2})").Status ==
      503);
  BOOST_TEST(ask("GET", "/config").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(calls_fail_while_the_control_thread_is_busy,
                        ControlApiFixture) {
  Busy = true;
  BOOST_TEST(ask("PUT", "/config", Routes).Status == 503);
  BOOST_TEST(ask("PUT", "/instances/i-1", Heartbeat).Status == 503);
  BOOST_TEST(ask("DELETE", "/instances/i-1").Status == 503);
  BOOST_TEST(ask("GET", "/config").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(the_newest_routes_are_returned_unchanged,
                        ControlApiFixture) {
  Answer Read = ask("GET", "/config");
  BOOST_TEST(Read.Status == 200);
  BOOST_TEST(Read.Body == Routes);
  // Before the first routes are put, there is nothing to read.
  ReadReply = CurrentDescription{{0}, "", ""};
  BOOST_TEST(ask("GET", "/config").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(named_weights_reach_the_control_thread,
                        ControlApiFixture) {
  BOOST_TEST(
      ask("POST", "/version-put", R"({"model":"m0","version":2})").Status ==
      200);
  BOOST_REQUIRE(NamedWeights.size() == 1U);
  BOOST_TEST((NamedWeights.front() == WeightsNamed{{"m0"}, {2}}));
}

BOOST_DATA_TEST_CASE(invalid_calls_give_errors_and_change_nothing,
                     data::make(InvalidCalls), Call) {
  ControlApiFixture Fixture;
  Answer Reply = Fixture.ask(Call.Method, Call.Path, Call.Body);
  BOOST_TEST(Reply.Status == Call.Status);
  BOOST_TEST(Reply.Body.find("error") != std::string::npos);
  BOOST_TEST(Fixture.Announced.empty());
  BOOST_TEST(Fixture.Numbers.empty());
  BOOST_TEST(Fixture.NamedWeights.empty());
}

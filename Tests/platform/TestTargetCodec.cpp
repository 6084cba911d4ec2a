// Decoding of heartbeats and reports of the platform's targets, and encoding of
// orders. An invalid heartbeat must not create a target.
#include "platform/TargetCodec.h"
#include <Poco/String.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
namespace data = boost::unit_test::data;

static const std::string Heartbeat =
    R"({"service":"lm","addr":"10.128.0.9:8080","zone":"z-b","version":"v1",)"
    R"("slots":64,"state":"ready","cold_left_ms":0,"phase":"colocated",)"
    R"("models":[{"name":"m0","version":3,"adapters":[]}],"seq":4,)"
    R"("born":1777919335160})";

static constexpr UnixMillis Now{1777919400000};

static std::optional<TargetRecord> decode(const std::string &Body) {
  return decodeTarget("i-1", Body, FencingCheck::Checked, Now);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_is_decoded) {
  auto Record = decode(Heartbeat);
  BOOST_REQUIRE(Record);
  BOOST_TEST(Record->Id.Value == "i-1");
  BOOST_TEST(Record->Incarnation.Value == 1777919335160U);
  BOOST_TEST(Record->Sequence == 4U);
  BOOST_TEST(Record->Weights.Value == 3U);
  BOOST_TEST(Record->Load.MaxConcurrent == 64U);
  BOOST_TEST((Record->Kind == TargetKind::Engine));
  BOOST_TEST((Record->Phase == TargetPhase::Ready));
}

BOOST_AUTO_TEST_CASE(a_draining_target_is_leaving) {
  auto Record = decode(
      Poco::replace(Heartbeat, std::string("ready"), std::string("draining")));
  BOOST_REQUIRE(Record);
  BOOST_TEST((Record->Phase == TargetPhase::Leaving));
}

BOOST_AUTO_TEST_CASE(a_target_without_models_is_a_plain_service) {
  auto Record = decode(R"({"service":"app","addr":"10.1.0.9:80","zone":"z",)"
                       R"("version":"v1","slots":6,"state":"ready",)"
                       R"("seq":1,"born":5})");
  BOOST_REQUIRE(Record);
  BOOST_TEST(Record->Build.Value == "v1");
  BOOST_TEST((Record->Kind == TargetKind::PlainService));
}

/// Replacements in the valid heartbeat, each of which makes it invalid.
static const std::vector<std::pair<std::string, std::string>> InvalidChanges = {
    {R"("service":"lm",)", ""},
    {R"("version":"v1",)", ""},
    {R"("version":"v1")", R"("version":1)"},
    {R"("version":"v1")", R"("version":"")"},
    {R"("lm")", "7"},
    {R"("10.128.0.9:8080")", R"("10.128.0.9")"},
    {R"("10.128.0.9:8080")", R"("host:80")"},
    {R"("ready")", R"("odd")"},
    {R"("seq":4)", R"("seq":"4")"},
    {R"("seq":4)", R"("seq":9007199254740992)"},
    {"1777919335160", "1778006000000"},
    {"1777919335160", "18446744073709551615"},
    {R"("seq":4)", R"("seq":-4)"},
    {R"("born":1777919335160)", R"("born":null)"},
    {R"(,"born":1777919335160)", ""},
    {R"("slots":64)", R"("slots":true)"},
    {R"("version":3)", R"("version":"3")"},
    {R"([{"name":"m0","version":3,"adapters":[]}])", R"("m0")"},
    {"}]", "}"}};

BOOST_DATA_TEST_CASE(an_invalid_heartbeat_is_rejected,
                     data::xrange(InvalidChanges.size()), Index) {
  const auto &[From, To] = InvalidChanges[Index];
  std::string Body = Poco::replace(Heartbeat, From, To);
  BOOST_REQUIRE(Body != Heartbeat);
  BOOST_TEST(!decode(Body), Body);
}

BOOST_AUTO_TEST_CASE(a_target_may_leave_without_a_start_time) {
  BOOST_TEST(decodeLeave("i-1", "", Now)->Incarnation.Value == 0U);
  BOOST_TEST(decodeLeave("i-1", "{\"born\":5}", Now)->Incarnation.Value == 5U);
  BOOST_TEST(!decodeLeave("i-1", "{\"born\":1778006000000}", Now));
  BOOST_TEST(!decodeLeave("i-1", "{\"born\":99999999999999999999}", Now));
  BOOST_TEST(!decodeLeave("i-1", "{\"born\":\"x\"}", Now));
}

BOOST_AUTO_TEST_CASE(a_report_is_decoded) {
  auto Report = decodeReport(
      R"({"phase":"colocated","models":[{"name":"m0","version":1,)"
      R"("adapters":[]}],"busy":true,"seq":2,"queued":1,"active":12})");
  BOOST_REQUIRE(Report);
  BOOST_TEST(Report->Busy);
  BOOST_TEST(Report->Orders == 2U);
  BOOST_TEST((Report->Running == 12U));
  BOOST_TEST(!decodeReport(R"({"models":[],"busy":true,"seq":2})"));
  BOOST_TEST(!decodeReport("busy"));
}

BOOST_AUTO_TEST_CASE(an_order_contains_holder_fencing_number_and_precondition) {
  std::string Body = encodeOrder({{"m0"}, {2}, {"10.0.0.1"}, {41}, 6});
  for (const char *Part :
       {R"("op":"version")", R"("model":"m0")", R"("version":2)",
        R"("mode":"block")", R"("holder":"10.0.0.1")", R"("fence":41)",
        R"("precondition":6)"})
    BOOST_TEST(Body.find(Part) != std::string::npos, Part);
}

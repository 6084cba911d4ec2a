// Decoding of the platform's descriptions: a valid one gives the expected route
// table, and each kind of fault gives its own error.
#include "platform/RouteTableCodec.h"
#include <Poco/String.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
namespace data = boost::unit_test::data;

static const std::string ValidText = R"({"version":7,"routes":[
{"name":"r-1","host":"a.example","path_prefix":"/p/","route_kind":"stream",
 "timeout_ms":12000,"target_latency_ms":800,"priority":1,
 "traffic_split":[{"service":"lm","weight":90},{"service":"lm2","weight":10}],
 "max_attempts":1,"public":false,"sticky":true,"resumable":false,
 "gap_target_ms":400},
{"name":"r-2","host":"a.example","path_prefix":"/p/q/","route_kind":"stream",
 "timeout_ms":5000,"priority":0,"service":"lm","max_attempts":2,
 "resumable":true},
{"name":"r-3","host":"a.example","path_prefix":"/w/",
 "route_kind":"non_idempotent","timeout_ms":2000,"service":"lm2"},
{"name":"r-4","host":"a.example","path_prefix":"/r/",
 "route_kind":"idempotent","timeout_ms":2000,"service":"lm2","public":true}],
"services":[{"name":"lm","health_path":"/health","max_conns":360,
 "engine":{"slots":64,"kv_capacity":163847,"kv_token_bytes":18432,
 "link_mbps":370000.0,"models":[{"name":"m0"}]}},
 {"name":"lm2","health_path":"/health","max_conns":100},
 {"name":"store","kv_store_addr":"172.20.0.2:8781","zone":"z-b",
 "kv_capacity":1331668,"link_mbps":31000.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":9000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"isolated":true},
 {"name":"t2","api_keys":["k3"]}]})";

BOOST_AUTO_TEST_CASE(a_valid_description_is_decoded) {
  auto Decoded = tryDecodeRoutes(ValidText);
  BOOST_REQUIRE(Decoded);
  const config::RouteTable &Table = **Decoded;
  BOOST_TEST(Table.number().Value == 7U);
  // The longest prefix wins.
  const config::Route *Long = Table.findRoute("a.example", "/p/q/x");
  BOOST_REQUIRE(Long);
  BOOST_TEST(Long->Name == "r-2");
  BOOST_TEST((Long->Repeats == config::RepeatPolicy::Idempotent));
  const config::Route *Split = Table.findRoute("a.example", "/p/x");
  BOOST_REQUIRE(Split);
  // A stream that cannot be resumed runs at most once.
  BOOST_TEST((Split->Repeats == config::RepeatPolicy::AtMostOnce));
  BOOST_TEST((Split->Answers == config::AnswerForm::Stream));
  BOOST_TEST(Table.findRoute("a.example", "/p") == nullptr);
  BOOST_TEST(Table.findRoute("b.example", "/p/x") == nullptr);
  BOOST_TEST(Table.findWorkspace("k2")->Id.Value == "t1");
  BOOST_TEST(Table.findWorkspace("k2")->Isolated);
  BOOST_TEST(Table.findWorkspace("k4") == nullptr);
  BOOST_TEST(Table.limits().IdleTimeoutMillis == 9000U);
  const config::RoutedService *Store = Table.findService({"store"});
  BOOST_REQUIRE(Store && Store->Store);
  BOOST_TEST(Store->Store->CapacityTokens == 1331668U);
  BOOST_TEST(Table.findService({"lm"})->Engine->LinkMegabitsPerSecond ==
             370000U);
}

BOOST_AUTO_TEST_CASE(services_are_picked_by_weight) {
  auto Decoded = tryDecodeRoutes(ValidText);
  BOOST_REQUIRE(Decoded);
  const config::Route *Split = (*Decoded)->findRoute("a.example", "/p/x");
  int SecondCount = 0;
  for (uint64_t Number = 0; Number < 1000; ++Number)
    SecondCount +=
        config::RouteTable::pickService(*Split, Number).Value == "lm2";
  BOOST_TEST(SecondCount == 100);
}

namespace {

/// A change that makes the valid text invalid.
struct FaultCase {
  std::string From;
  std::string To;
  DecodeErrorKind Kind;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.From << " -> " << Case.To;
}

} // namespace

static const std::vector<FaultCase> Faults = {
    {R"("service":"lm","max)", R"("service":"gone","max)",
     DecodeErrorKind::UnknownService},
    {R"("/p/q/")", R"("/p/")", DecodeErrorKind::SameRoute},
    {R"("weight":90},{"service":"lm2","weight":10)",
     R"("weight":0},{"service":"lm2","weight":0)", DecodeErrorKind::NoWeight},
    {R"("timeout_ms":12000)", R"("timeout_ms":0)", DecodeErrorKind::NoTimeout},
    {R"("k3")", R"("k1")", DecodeErrorKind::SharedKey},
    {R"("version":7)", R"("version":"7")", DecodeErrorKind::Malformed},
    {R"("version":7)", R"("version":0)", DecodeErrorKind::Malformed},
    {R"("timeout_ms":12000)", R"("timeout_ms":-1)", DecodeErrorKind::Malformed},
    {R"("route_kind":"idempotent")", R"("route_kind":"odd")",
     DecodeErrorKind::Malformed},
    {R"("api_keys":["k3"])", R"("api_keys":[3])", DecodeErrorKind::Malformed},
    {R"("host":"a.example","path_prefix":"/w/")", R"("path_prefix":"/w/")",
     DecodeErrorKind::Malformed},
    {R"("routes":[)", R"("paths":[)", DecodeErrorKind::Malformed}};

BOOST_DATA_TEST_CASE(each_fault_gives_its_error, data::make(Faults), Case) {
  std::string Text = Poco::replace(ValidText, Case.From, Case.To);
  BOOST_REQUIRE(Text != ValidText);
  auto Decoded = tryDecodeRoutes(Text);
  BOOST_REQUIRE(!Decoded);
  BOOST_TEST((Decoded.error().Kind == Case.Kind));
}

namespace {

/// The members that an entry of a workspace has, and the cap they mean.
struct CapCase {
  std::string Members;
  std::optional<config::WorkspaceCap> Cap;
};

std::ostream &operator<<(std::ostream &Out, const CapCase &Case) {
  return Out << Case.Members;
}

} // namespace

static std::string withMembers(const std::string &Members) {
  return Poco::replace(ValidText, std::string(R"("api_keys":["k3"])"),
                       R"("api_keys":["k3"])" + Members);
}

using config::CapUnit;

static const std::vector<CapCase> Caps = {
    {"", {}},
    {R"(,"unit":"token_stream","uncached_tokens":400)", {}},
    {R"(,"rate_per_s":0,"burst":100)", {}},
    {R"(,"rate_per_s":0.0)", {}},
    {R"(,"rate_per_s":null)", {}},
    {R"(,"rate_per_s":20000,"burst":30000,"unit":"token_stream",)"
     R"("uncached_tokens":383)",
     {{20000, 30000, CapUnit::Tokens, 383}}},
    {R"(,"rate_per_s":47000.5,"burst":1.25e5,"unit":"token_stream",)"
     R"("uncached_tokens":382.5)",
     {{47000.5, 125000, CapUnit::Tokens, 383}}},
    {R"(,"rate_per_s":2.5,"burst":10)", {{2.5, 10, CapUnit::Requests, 0}}},
    {R"(,"rate_per_s":2.5,"burst":10,"unit":"calls")",
     {{2.5, 10, CapUnit::Requests, 0}}},
    {R"(,"rate_per_s":40,"burst":0)", {{40, 0, CapUnit::Requests, 0}}},
    {R"(,"rate_per_s":40)", {{40, 40, CapUnit::Requests, 0}}},
    {R"(,"rate_per_s":40,"burst":4,"uncached_tokens":1e12)",
     {{40, 4, CapUnit::Requests, UINT32_MAX}}}};

// A cap that is lost lets a workspace use the share of others; one that is read
// from an entry without a rate would refuse all its requests.
BOOST_DATA_TEST_CASE(the_cap_of_a_workspace_is_decoded, data::make(Caps),
                     Case) {
  auto Decoded = tryDecodeRoutes(withMembers(Case.Members));
  BOOST_REQUIRE(Decoded);
  BOOST_TEST(((*Decoded)->findWorkspace("k3")->Cap == Case.Cap));
  BOOST_TEST(!(*Decoded)->findWorkspace("k1")->Cap);
}

// A value that cannot be read must not stand for "no cap".
BOOST_DATA_TEST_CASE(an_unreadable_cap_is_an_error_with_its_place,
                     data::make({"rate_per_s", "burst", "uncached_tokens"}) *
                         data::make({"-1", "-0.5", R"("20")", "true", "[]",
                                     "{}", "1e999", "NaN", "Infinity"}),
                     Member, Value) {
  std::string Members = R"(,")" + std::string(Member) + R"(":)" + Value;
  if (std::string(Member) != "rate_per_s")
    Members += R"(,"rate_per_s":10)";
  auto Decoded = tryDecodeRoutes(withMembers(Members));
  BOOST_REQUIRE(!Decoded);
  BOOST_TEST((Decoded.error().Kind == DecodeErrorKind::Malformed));
  // Texts that are not JSON have no member to name.
  std::string Text = Value;
  if (Text != "NaN" && Text != "Infinity" && Text != "1e999")
    BOOST_TEST(Decoded.error().Detail == "tenants: t2: " + std::string(Member));
}

BOOST_AUTO_TEST_CASE(a_truncated_text_is_malformed) {
  for (size_t Size = 0; Size < ValidText.size(); Size += 7)
    BOOST_TEST(!tryDecodeRoutes(ValidText.substr(0, Size)), Size);
}

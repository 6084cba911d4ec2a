// Guards against descriptions whose faults are noticed only by callers: each
// planted fault must be found at its place, a sound description has no finding,
// what the check passes is accepted by control hosts, and no finding or
// difference shows a key.
#include "platform/RouteTableCodec.h"
#include "platform/RouteTextCheck.h"
#include <Poco/String.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
using ferry::config::FindingSeverity;
using ferry::config::RouteMember;
namespace data = boost::unit_test::data;
using Kind = ferry::config::RouteFindingKind;

static const std::string SoundText = R"({"version":7,"routes":[
{"name":"r-1","host":"a.example","path_prefix":"/p/","route_kind":"stream",
 "timeout_ms":12000,"target_latency_ms":800,"priority":1,
 "traffic_split":[{"service":"lm","weight":90},{"service":"lm2","weight":10}],
 "max_attempts":2,"public":false,"sticky":true,"resumable":false,
 "gap_target_ms":400},
{"name":"r-2","host":"a.example","path_prefix":"/p/q/","route_kind":"stream",
 "timeout_ms":5000,"priority":0,"service":"lm","max_attempts":2,
 "resumable":true},
{"name":"r-3","host":"a.example","path_prefix":"/w/",
 "route_kind":"non_idempotent","timeout_ms":2000,"service":"lm2"}],
"services":[{"name":"lm","health_path":"/health","max_conns":360,
 "engine":{"slots":64,"kv_capacity":163847,"kv_token_bytes":18432,
 "link_mbps":370000.0,"models":[{"name":"m0"}]}},
 {"name":"lm2","health_path":"/health","max_conns":100},
 {"name":"store","kv_store_addr":"172.20.0.2:8781","zone":"z-b",
 "kv_capacity":1331668,"link_mbps":31000.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":9000},
"tenants":[{"name":"t1","api_keys":["secret-1","secret-2"],"priority":1,
 "isolated":true},
 {"name":"t2","api_keys":["secret-3"]}]})";

static std::string changed(const std::string &From, const std::string &To) {
  BOOST_REQUIRE(SoundText.find(From) != std::string::npos);
  return Poco::replace(SoundText, From, To);
}

static bool hasErrors(const RouteTextReview &Review) {
  for (const RouteTextFinding &Finding : Review.Findings)
    if (severityOf(Finding.Kind) == FindingSeverity::Error)
      return true;
  return false;
}

/// \returns the kinds and places of all findings.
static std::string summaryOf(const RouteTextReview &Review) {
  std::string Text;
  for (const RouteTextFinding &Finding : Review.Findings)
    Text += std::string(enumName(Finding.Kind)) + " at " + Finding.Place + "\n";
  return Text;
}

static void checkSecrecy(const RouteTextReview &Review) {
  for (const RouteTextFinding &Finding : Review.Findings)
    BOOST_TEST((Finding.Place + Finding.Detail).find("secret") ==
               std::string::npos);
}

namespace {

/// A change of the sound text, and the only finding that it makes.
struct PlantedFault {
  std::string From;
  std::string To;
  Kind Found;
  std::string Place;
};

std::ostream &operator<<(std::ostream &Out, const PlantedFault &Case) {
  return Out << Case.From << " -> " << Case.To;
}

} // namespace

static const std::vector<PlantedFault> Faults = {
    {R"("service":"lm","max)", R"("service":"gone","max)", Kind::UnknownService,
     "routes[1].service"},
    {R"({"service":"lm2","weight":10})", R"({"service":"gone","weight":10})",
     Kind::UnknownService, "routes[0].traffic_split"},
    {R"("/p/q/")", R"("/p/")", Kind::SameRoute, "routes[1]"},
    {R"("weight":90},{"service":"lm2","weight":10)",
     R"("weight":0},{"service":"lm2","weight":0)", Kind::NoWeight,
     "routes[0].traffic_split"},
    {R"("timeout_ms":12000)", R"("timeout_ms":0)", Kind::NoTimeout,
     "routes[0].timeout_ms"},
    {R"("timeout_ms":12000)", R"("timeout_ms":-1)", Kind::InvalidMember,
     "routes[0].timeout_ms"},
    {R"("timeout_ms":12000)", R"("timeout_ms":"12000")", Kind::InvalidMember,
     "routes[0].timeout_ms"},
    {R"("timeout_ms":12000,)", "", Kind::InvalidMember, "routes[0].timeout_ms"},
    {R"("route_kind":"non_idempotent")", R"("route_kind":"odd")",
     Kind::InvalidMember, "routes[2].route_kind"},
    {R"("host":"a.example","path_prefix":"/w/")", R"("path_prefix":"/w/")",
     Kind::InvalidMember, "routes[2].host"},
    {R"("weight":10)", R"("weight":"10")", Kind::InvalidMember,
     "routes[0].traffic_split"},
    {R"("secret-3")", R"("secret-1")", Kind::SharedKey,
     "tenants[1].api_keys[0]"},
    {R"("secret-2")", R"("secret-1")", Kind::SharedKey,
     "tenants[0].api_keys[1]"},
    {R"(["secret-3"])", R"({"secret-3":1})", Kind::InvalidMember,
     "tenants[1].api_keys"},
    {R"("version":7)", R"("version":"7")", Kind::InvalidMember, "version"},
    {R"("version":7)", R"("version":0)", Kind::InvalidMember, "version"},
    {R"("routes":[)", R"("routes":[5,)", Kind::InvalidMember, "routes[0]"},
    {R"({"name":"store",)", R"({)", Kind::InvalidMember, "services[2].name"},
    {R"("sticky":true)", R"("sticky":true,"sticky":false)",
     Kind::DuplicateMember, "routes[0].sticky"},
    {R"(["secret-3"])", R"(["secret-3"],"api_keys":["secret-4"])",
     Kind::DuplicateMember, "tenants[1].api_keys"},
    {R"("weight":90},{"service":"lm2","weight":10)",
     R"("weight":90},{"service":"lm2","weight":0)", Kind::WeightZero,
     "routes[0].traffic_split"},
    {R"({"name":"lm2","health)", R"({"name":"idle"},{"name":"lm2","health)",
     Kind::ServiceUnused, "services[1]"},
    {R"(["secret-3"])", "[]", Kind::WorkspaceWithoutKeys,
     "tenants[1].api_keys"},
    {R"("name":"r-2")", R"("name":"r-1")", Kind::SameName, "routes[1].name"},
    {R"("name":"t2")", R"("name":"t1")", Kind::SameName, "tenants[1].name"},
    {R"("/w/")", R"("w/")", Kind::RouteNeverMatches, "routes[2].path_prefix"},
    {R"("/w/")", R"("/w/?x=")", Kind::RouteNeverMatches,
     "routes[2].path_prefix"},
    {R"("a.example","path_prefix":"/w/")",
     R"("a.example:80","path_prefix":"/w/")", Kind::RouteNeverMatches,
     "routes[2].host"},
    {R"("max_attempts":2,"public")", R"("max_attempts":16,"public")",
     Kind::TooManyTargets, "routes[0].max_attempts"},
    {R"("target_latency_ms":800,"priority":1,)",
     R"("target_latency_ms":800,"priority":10,)", Kind::PriorityOutOfRange,
     "routes[0].priority"},
    {R"("target_latency_ms":800,"priority":1,)",
     R"("target_latency_ms":800,"priority":-1,)", Kind::PriorityOutOfRange,
     "routes[0].priority"},
    {R"("priority":1,
 "isolated")",
     R"("priority":11,
 "isolated")",
     Kind::PriorityOutOfRange, "tenants[0].priority"},
    {R"("sticky":true)", R"("sticky":"yes")", Kind::MemberIgnored,
     "routes[0].sticky"}};

BOOST_DATA_TEST_CASE(each_planted_fault_is_found, data::make(Faults), Case) {
  std::string Text = changed(Case.From, Case.To);
  RouteTextReview Review = reviewRoutes(Text);
  BOOST_TEST(summaryOf(Review) ==
             std::string(enumName(Case.Found)) + " at " + Case.Place + "\n");
  if (!Review.Findings.empty())
    BOOST_TEST(Review.Findings.front().Line > 0U);
  // What the check passes is accepted, and control hosts have the last word.
  BOOST_TEST((Review.Table != nullptr) == tryDecodeRoutes(Text).has_value());
  if (!hasErrors(Review))
    BOOST_TEST(tryDecodeRoutes(Text).has_value());
  checkSecrecy(Review);
}

BOOST_AUTO_TEST_CASE(a_latency_above_the_timeout_is_found) {
  RouteTextReview Review = reviewRoutes(
      changed(R"("target_latency_ms":800)", R"("target_latency_ms":12001)"));
  BOOST_TEST(summaryOf(Review) ==
             "latency_above_timeout at routes[0].target_latency_ms\n"
             "too_many_targets at routes[0].max_attempts\n");
}

BOOST_AUTO_TEST_CASE(sound_descriptions_have_no_findings) {
  const std::pair<const char *, const char *> Changes[] = {
      {R"("version":7)", R"("version":7.0)"},
      {R"("version":7)", "\"note\":\"\xC3\xA9\",\"version\":7"},
      {R"("name":"r-3",)", ""},
      {R"("public":false)", R"("public":true)"},
      {R"("priority":0)", R"("priority":9)"},
      {R"("/w/")", R"("/")"},
      {R"("isolated":true)", R"("isolated":null)"}};
  BOOST_TEST(summaryOf(reviewRoutes(SoundText)) == "");
  for (const auto &[From, To] : Changes) {
    RouteTextReview Review = reviewRoutes(changed(From, To));
    BOOST_TEST(summaryOf(Review) == "");
    BOOST_TEST((Review.Table != nullptr));
  }
}

BOOST_AUTO_TEST_CASE(all_errors_are_found_in_one_run) {
  std::string Text = changed(R"("timeout_ms":12000)", R"("timeout_ms":0)");
  Text = Poco::replace(Text, std::string(R"("route_kind":"stream",
 "timeout_ms":0,"target)"),
                       std::string(R"("route_kind":"odd",
 "timeout_ms":0,"target)"));
  Text = Poco::replace(Text, std::string(R"("service":"lm2"}])"),
                       std::string(R"("service":"gone"}])"));
  Text = Poco::replace(Text, std::string(R"("secret-3")"),
                       std::string(R"("secret-1")"));
  RouteTextReview Review = reviewRoutes(Text);
  BOOST_TEST(summaryOf(Review) == "invalid_member at routes[0].route_kind\n"
                                  "no_timeout at routes[0].timeout_ms\n"
                                  "unknown_service at routes[2].service\n"
                                  "shared_key at tenants[1].api_keys[0]\n");
  // The lines in the text.
  std::vector<uint32_t> Lines;
  for (const RouteTextFinding &Finding : Review.Findings)
    Lines.push_back(Finding.Line);
  BOOST_TEST(Lines == (std::vector<uint32_t>{2, 3, 11, 22}),
             boost::test_tools::per_element());
  checkSecrecy(Review);
}

namespace {

/// A text that is no description at all.
struct BadText {
  const char *Name;
  std::string Text;
  Kind Found;
};

std::ostream &operator<<(std::ostream &Out, const BadText &Case) {
  return Out << Case.Name;
}

} // namespace

static std::string utf16(const std::string &Text) {
  std::string Wide = "\xFF\xFE";
  for (char Byte : Text) {
    Wide += Byte;
    Wide += '\0';
  }
  return Wide;
}

static const std::vector<BadText> BadTexts = {
    {"empty", "", Kind::BadSyntax},
    {"a number", "5", Kind::BadSyntax},
    {"a list", "[]", Kind::BadSyntax},
    {"not JSON", "version: 7\n", Kind::BadSyntax},
    {"truncated", SoundText.substr(0, SoundText.size() / 2), Kind::BadSyntax},
    {"binary", std::string("\x7F\x45\x4C\x46\x02\x01\x00\x00", 8),
     Kind::WrongEncoding},
    {"nested arrays", std::string(1 << 20, '['), Kind::BadSyntax},
    {"nested objects",
     [] {
       std::string Text;
       while (Text.size() < (1 << 20))
         Text += "{\"a\":";
       return Text;
     }(),
     Kind::BadSyntax},
    {"nested in a member",
     "{\"version\":7,\"routes\":" + std::string(1 << 19, '[') +
         std::string(1 << 19, ']') + "}",
     Kind::BadSyntax},
    {"UTF-16", utf16(SoundText), Kind::WrongEncoding},
    {"a byte order mark", "\xEF\xBB\xBF" + SoundText, Kind::WrongEncoding},
    {"Latin-1", "{\"version\":7,\"note\":\"\xE9t\xE9\"}", Kind::WrongEncoding},
    {"too large", SoundText + std::string(MaxRoutesBytes, ' '),
     Kind::TooLarge}};

BOOST_DATA_TEST_CASE(bad_texts_get_one_clear_error, data::make(BadTexts),
                     Case) {
  RouteTextReview Review = reviewRoutes(Case.Text);
  BOOST_TEST((Review.Table == nullptr));
  // Control hosts reject a body that is too large before they decode it.
  if (Case.Found != Kind::TooLarge)
    BOOST_TEST(!tryDecodeRoutes(Case.Text));
  BOOST_REQUIRE(Review.Findings.size() == 1U);
  BOOST_TEST(enumName(Review.Findings.front().Kind) == enumName(Case.Found));
  checkSecrecy(Review);
}

// No prefix of a description passes the check.
BOOST_AUTO_TEST_CASE(each_truncated_text_has_an_error) {
  for (size_t Size = 0; Size < SoundText.size(); Size += 5) {
    RouteTextReview Review = reviewRoutes(SoundText.substr(0, Size));
    BOOST_TEST(hasErrors(Review), Size);
    checkSecrecy(Review);
  }
}

BOOST_AUTO_TEST_CASE(differences_are_listed_by_name) {
  RouteTextReview Before = reviewRoutes(SoundText);
  BOOST_REQUIRE(Before.Table);
  BOOST_TEST(config::diffRouteTables(*Before.Table, *Before.Table).empty());
  std::string Text = changed(R"("version":7)", R"("version":8)");
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {R"("timeout_ms":12000)", R"("timeout_ms":9000)"},
           {R"("name":"r-3")", R"("name":"r-4")"},
           {R"("max_conns":100)", R"("max_conns":50)"},
           {R"("secret-2")", R"("secret-9")"},
           {R"("isolated":true)", R"("isolated":false)"},
           {R"("idle_timeout_ms":9000)", R"("idle_timeout_ms":8000)"}})
    Text = Poco::replace(Text, From, To);
  RouteTextReview After = reviewRoutes(Text);
  BOOST_REQUIRE(After.Table);
  std::string Summary;
  for (const config::RouteChange &Change :
       config::diffRouteTables(*Before.Table, *After.Table)) {
    Summary += std::string(enumName(Change.Kind)) + " " + Change.Name;
    for (const config::RouteMemberChange &Member : Change.Members)
      Summary += " " + std::string(memberName(Member.Member)) + " " +
                 Member.Before + ">" + Member.After;
    Summary += "\n";
  }
  BOOST_TEST(Summary ==
             "number_changed  version 7>8\n"
             "route_changed r-1 timeout_ms 12000>9000\n"
             "route_removed r-3\n"
             "route_added r-4\n"
             "service_changed lm2 max_conns 100>50\n"
             "workspace_changed t1 isolated true>false\n"
             "key_removed t1 " +
                 config::keyLabel("secret-2") + "\nkey_added t1 " +
                 config::keyLabel("secret-9") +
                 "\nlimits_changed  limits 16384 and 4194304 bytes, 3000 and "
                 "9000 ms>16384 and 4194304 bytes, 3000 and 8000 ms\n");
  BOOST_TEST(Summary.find("secret") == std::string::npos);
}

namespace {

/// A cap and the finding about it; nothing if it is sound.
struct CapCase {
  config::WorkspaceCap Cap;
  std::optional<Kind> Found;
};

std::ostream &operator<<(std::ostream &Out, const CapCase &Case) {
  return Out << Case.Cap.PerSecond << " a second, burst " << Case.Cap.Burst;
}

} // namespace

static const std::vector<CapCase> CapCases = {
    {{100, 100, config::CapUnit::Requests, 0}, std::nullopt},
    {{0.5, 1, config::CapUnit::Requests, 0}, std::nullopt},
    {{0, 0, config::CapUnit::Requests, 0}, std::nullopt},
    {{100, 0.5, config::CapUnit::Requests, 0}, Kind::CapBelowRequest},
    {{100, 99, config::CapUnit::Requests, 0}, Kind::BurstBelowSecond},
    {{47'000, 47'000, config::CapUnit::Tokens, 17'000}, std::nullopt},
    {{47'000, 47'000, config::CapUnit::Tokens, 47'001}, Kind::CapBelowRequest},
    {{47'000, 20'000, config::CapUnit::Tokens, 17'000},
     Kind::BurstBelowSecond}};

BOOST_DATA_TEST_CASE(caps_that_contradict_themselves_are_found,
                     data::make(CapCases), Case) {
  config::RouteTable::Parts Parts;
  config::RoutedWorkspace Workspace;
  Workspace.Id = {"t1"};
  Workspace.Keys = {"secret-1"};
  Workspace.Cap = Case.Cap;
  Parts.Workspaces = {Workspace};
  auto Findings =
      config::checkRouteTable(*config::RouteTable::create(std::move(Parts)));
  BOOST_REQUIRE(Findings.size() == (Case.Found ? 1U : 0U));
  if (Case.Found) {
    BOOST_TEST(enumName(Findings.front().Kind) == enumName(*Case.Found));
    BOOST_TEST((Findings.front().Place.Member == RouteMember::Burst));
  }
}

// An empty list and none admit different callers.
BOOST_AUTO_TEST_CASE(an_empty_list_of_workspaces_is_told_apart_from_none) {
  size_t Start = SoundText.find(R"("tenants")");
  size_t End = SoundText.find(']', SoundText.rfind("api_keys"));
  End = SoundText.find(']', End + 1) + 1;
  std::string Empty = SoundText;
  Empty.replace(Start, End - Start, R"("tenants":[])");
  std::string Absent = Empty;
  Absent = Poco::replace(Absent, R"("tenants":[])", R"("other":[])");
  RouteTextReview Closed = reviewRoutes(Empty);
  RouteTextReview Open = reviewRoutes(Absent);
  BOOST_REQUIRE(Closed.Table);
  BOOST_REQUIRE(Open.Table);
  BOOST_REQUIRE(Closed.Findings.size() == 1U);
  BOOST_TEST(enumName(Closed.Findings.front().Kind) == "no_workspace");
  BOOST_TEST(Closed.Findings.front().Place == "tenants");
  BOOST_TEST(Open.Findings.empty());
  auto Changes = config::diffRouteTables(*Closed.Table, *Open.Table);
  BOOST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(enumName(Changes.front().Kind) == "key_need_changed");
}

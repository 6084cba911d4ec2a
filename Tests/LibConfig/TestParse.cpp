// Parsing of descriptions, settings and token files: valid texts are read as
// written, and every error has the kind and the position of its cause.
#include "LibConfig/Parse.h"
#include "LibConfig/TokenFile.h"
#include "LibCore/ConstantTime.h"
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>

using namespace ferry;
using namespace ferry::config;
namespace data = boost::unit_test::data;

static std::filesystem::path example(const std::string &Name) {
  return std::filesystem::path(FERRY_SOURCE_DIR) / "Examples" / Name;
}

static std::string textOf(const std::filesystem::path &Path) {
  auto Text = tryReadText(Path);
  BOOST_REQUIRE_MESSAGE(Text.has_value(), Path.string());
  return *Text;
}

/// Replaces the first \p From, which \p Text must contain.
static std::string replaced(std::string Text, const std::string &From,
                            const std::string &To) {
  size_t Position = Text.find(From);
  BOOST_REQUIRE_MESSAGE(Position != std::string::npos, From);
  return Text.replace(Position, From.size(), To);
}

static std::string joined(const ConfigErrors &Errors) {
  std::string Text;
  for (const ConfigError &Error : Errors)
    Text += Error.message() + "\n";
  return Text;
}

/// Fails the test with the errors if there is no value.
template <typename ResultType>
static void requireValue(const ResultType &Parsed) {
  if (!Parsed)
    BOOST_FAIL(joined(Parsed.error()));
}

static const char *const SampleDescription = R"(deployment: d
region: r
data_centres: [a, b]
workspaces:
  - {id: w1, share: 2}
services:
  - {id: lm, kind: engine, model: m, weights: 3, depends_on: [store]}
  - {id: store, kind: cache_store}
  - id: app
    kind: service
    depends_on: [lm]
    non_idempotent: [{method: POST, path: /holds}]
limits: {max_queued: 9}
)";

static const char *const SampleSettings = R"(cluster: c
host: h1
data_centre: a
role: control
listen: {callers: "127.0.0.1:1", targets: "127.0.0.1:2", operators: "127.0.0.1:3", peers: "127.0.0.1:4"}
hosts:
  - {id: h1, data_centre: a, role: control, peers: "127.0.0.1:4", callers: "127.0.0.1:1"}
  - {id: h2, data_centre: a, role: router, peers: "127.0.0.2:4", callers: "127.0.0.2:1"}
data_folder: data
cluster_key_file: key
token_file: /etc/tokens
)";

BOOST_DATA_TEST_CASE(sample_descriptions_are_valid,
                     data::make({"prestamos-austral.yaml",
                                 "bridge-permit-desk.yaml"})) {
  auto Parsed = tryParseDescription(textOf(example(sample)), sample);
  requireValue(Parsed);
  BOOST_TEST(Parsed->Workspaces.size() == 8u);
  BOOST_TEST(Parsed->Services.size() == 4u);
  BOOST_TEST(Parsed->Limits.MaxWeightsLoads == 2u);
}

BOOST_DATA_TEST_CASE(sample_settings_are_valid, data::xrange(1, 8)) {
  std::filesystem::path Path =
      example("hosts/host-" + std::to_string(sample) + ".yaml");
  auto Parsed = tryLoadSettings(Path);
  requireValue(Parsed);
  BOOST_TEST(Parsed->Hosts.size() == 7u);
  BOOST_TEST(Parsed->controlHosts().size() == 3u);
  BOOST_TEST(Parsed->TokenFile == Path.parent_path() / "tokens");
  BOOST_TEST(Parsed->DataFolder.empty() == (Parsed->Role == HostRole::Router));
}

BOOST_AUTO_TEST_CASE(description_is_read_as_written) {
  auto Parsed = tryParseDescription(SampleDescription, "d.yaml");
  requireValue(Parsed);
  BOOST_TEST((Parsed->WhenUnconfirmed == UnconfirmedPolicy::Refuse));
  BOOST_TEST(Parsed->DataCentres.size() == 2u);
  BOOST_TEST(Parsed->findWorkspace({"w1"})->Share == 2u);
  BOOST_TEST(Parsed->findModelService({"m"})->Weights.Value == 3u);
  const Service *App = Parsed->findService({"app"});
  BOOST_TEST(App->NonIdempotent.at(0).PathPrefix == "/holds");
  BOOST_TEST(App->DependsOn.at(0) == ServiceId{"lm"});
  BOOST_TEST(Parsed->Limits.MaxQueued == 9u);
  BOOST_TEST(Parsed->Limits.RetryBudgetPercent == 10u);
}

namespace {

/// One fault inserted into a sample, and the error that it must cause.
struct FaultCase {
  const char *From;
  const char *To;
  ConfigErrorKind Kind;
  uint32_t Line;
  uint32_t Column;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.To;
}

using Kind = ConfigErrorKind;

const FaultCase DescriptionFaults[] = {
    {"region: r", "regio: r", Kind::MissingKey, 1, 1},
    {"region: r", "region: [r]", Kind::WrongType, 2, 9},
    {"region: r", "region: ~", Kind::WrongType, 2, 9},
    {"region: r", "region: r # Pr\xe9stamos", Kind::BadSyntax, 2, 15},
    {"region: r", "region: a b", Kind::BadValue, 2, 9},
    {"region: r", "region: r\nregion: r", Kind::Duplicate, 3, 1},
    {"region: r", "region: r\nextra: 1", Kind::UnknownKey, 3, 1},
    {"region: r", "region: r\n[x]: 1", Kind::WrongType, 3, 1},
    {"region: r", "region: r\nwhen_unconfirmed: x", Kind::BadValue, 3, 19},
    {"[a, b]", "[a, a]", Kind::Duplicate, 3, 19},
    {"[a, b]", "[]", Kind::BadValue, 3, 15},
    {"[a, b]", "[a, [b]]", Kind::WrongType, 3, 19},
    {"[a, b]", "a", Kind::WrongType, 3, 15},
    {"share: 2", "share: 0", Kind::BadValue, 5, 21},
    {"share: 2", "share: -1", Kind::WrongType, 5, 21},
    {"share: 2", "share: 1.5", Kind::WrongType, 5, 21},
    {"share: 2", "share: '2'", Kind::WrongType, 5, 21},
    {"share: 2", "share: 99999999999999999999", Kind::BadValue, 5, 21},
    {"share: 2}", "share: 2}\n  - {id: w1}", Kind::Duplicate, 6, 10},
    {"share: 2}", "share: 2}\n  - w2", Kind::WrongType, 6, 5},
    {"{id: w1, ", "{", Kind::MissingKey, 5, 5},
    {"weights: 3, ", "", Kind::MissingKey, 7, 5},
    {"weights: 3", "weights: 0", Kind::BadValue, 7, 47},
    {"kind: engine", "kind: motor", Kind::BadValue, 7, 20},
    {"[store]", "[stor]", Kind::DanglingReference, 7, 63},
    {"[store]", "[app]", Kind::DependencyCycle, 7, 63},
    {"[store]", "[lm]", Kind::DependencyCycle, 7, 63},
    {"cache_store}", "cache_store, model: m}", Kind::BadValue, 8, 43},
    {"cache_store}", "cache_store, non_idempotent: []}", Kind::BadValue, 8, 52},
    {"id: store", "id: lm", Kind::Duplicate, 8, 10},
    {"POST", "GET", Kind::BadValue, 12, 31},
    {"/holds", "holds", Kind::BadValue, 12, 43},
    {"max_queued: 9", "max_queued: 0", Kind::BadValue, 13, 22},
    {"{max_queued: 9}", "9", Kind::WrongType, 13, 9},
    {"deployment: d", "deployment: &x d", Kind::BadSyntax, 1, 13},
    {"deployment: d", "deployment: *x", Kind::BadSyntax, 1, 13},
    {"deployment: d", "deployment: }", Kind::BadSyntax, 1, 13},
    {"limits:", "---\nlimits:", Kind::BadSyntax, 13, 1},
};

const FaultCase SettingsFaults[] = {
    {"host: h1", "host: h9", Kind::DanglingReference, 2, 7},
    {"data_centre: a\nrole", "data_centre: b\nrole", Kind::BadValue, 3, 14},
    {"callers: \"127.0.0.1:1\"", "callers: \"127.0.0.1:9\"", Kind::BadValue, 5,
     9},
    {"127.0.0.1:2", "127.0.0.1", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "localhost:2", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "127.1:2", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "0.0.0.0:2", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", ":2", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "127.0.0.1:0", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "127.0.0.1:65536", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "::1:2", Kind::BadValue, 5, 43},
    {"127.0.0.1:2", "127.0.0.1:1", Kind::Duplicate, 5, 43},
    {"id: h2", "id: h1", Kind::Duplicate, 8, 10},
    {"127.0.0.2:4", "127.0.0.1:4", Kind::Duplicate, 8, 51},
    {"data_folder: data", "log_level: info", Kind::MissingKey, 1, 1},
    {"data_folder: data", "data_folder: \"\"", Kind::BadValue, 9, 14},
    {"token_file: /etc/tokens", "log_level: loud", Kind::MissingKey, 1, 1},
    {"token_file", "limits: {max_body_bytes: 1}\ntoken_file", Kind::BadValue,
     11, 26},
};

} // namespace

/// Requires an error of the kind and at the position that \p Case expects.
static void checkFault(const ConfigErrors &Errors, const FaultCase &Case) {
  auto Matches = [&](const ConfigError &Error) {
    return Error.Kind == Case.Kind && Error.Line == Case.Line &&
           Error.Column == Case.Column;
  };
  BOOST_TEST((std::any_of(Errors.begin(), Errors.end(), Matches)),
             joined(Errors));
}

BOOST_DATA_TEST_CASE(description_faults_have_kind_and_position,
                     data::make(DescriptionFaults)) {
  std::string Text = replaced(SampleDescription, sample.From, sample.To);
  auto Parsed = tryParseDescription(Text, "d.yaml");
  BOOST_REQUIRE(!Parsed.has_value());
  checkFault(Parsed.error(), sample);
}

BOOST_DATA_TEST_CASE(settings_faults_have_kind_and_position,
                     data::make(SettingsFaults)) {
  BOOST_REQUIRE(tryParseSettings(SampleSettings, "s.yaml").has_value());
  std::string Text = replaced(SampleSettings, sample.From, sample.To);
  auto Parsed = tryParseSettings(Text, "s.yaml");
  BOOST_REQUIRE(!Parsed.has_value());
  checkFault(Parsed.error(), sample);
}

BOOST_AUTO_TEST_CASE(ipv6_addresses_need_brackets) {
  std::string Text = replaced(SampleSettings, "127.0.0.1:2", "[::1]:2");
  BOOST_TEST(tryParseSettings(Text, "s.yaml").has_value());
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_in_order) {
  std::string Text = replaced(SampleDescription, "region: r", "regio: r");
  Text = replaced(Text, "share: 2", "share: 0");
  Text = replaced(Text, "[store]", "[stor]");
  auto Parsed = tryParseDescription(Text, "d.yaml");
  BOOST_REQUIRE(!Parsed.has_value());
  BOOST_TEST(joined(Parsed.error()) ==
             "d.yaml:1:1: missing_key: region\n"
             "d.yaml:2:1: unknown_key: regio\n"
             "d.yaml:5:21: bad_value: workspaces[0].share: must be from 1 to "
             "1000000\n"
             "d.yaml:7:63: dangling_reference: service stor\n");
}

BOOST_AUTO_TEST_CASE(size_and_nesting_are_bounded) {
  auto KindOf = [](const std::string &Text) {
    auto Parsed = tryParseDescription(Text, "d.yaml");
    BOOST_REQUIRE(!Parsed.has_value());
    return Parsed.error().at(0).Kind;
  };
  BOOST_TEST((KindOf(std::string((1 << 20) + 1, ' ')) == Kind::TooLarge));
  BOOST_TEST((KindOf(std::string(100'000, '[')) == Kind::TooLarge));
  std::string Wide = "a: [";
  for (int Count = 0; Count < 250'000; ++Count)
    Wide += "0,";
  BOOST_TEST((KindOf(Wide + "]") == Kind::TooLarge));
  BOOST_TEST((KindOf("") == Kind::WrongType));
}

BOOST_AUTO_TEST_CASE(unreadable_files_give_typed_errors) {
  for (const char *Name : {"no-such-file.yaml", "hosts"}) {
    auto Loaded = tryLoadSettings(example(Name));
    BOOST_REQUIRE(!Loaded.has_value());
    BOOST_TEST((Loaded.error().at(0).Kind == Kind::Unreadable));
  }
}

BOOST_AUTO_TEST_CASE(token_files_are_checked_and_errors_contain_no_token) {
  auto Valid =
      tryParseTokens("# c\n\n a : 0123456789abcdef \nb: x:yyyyyyyyyyyyyy"
                     "\n",
                     "t");
  requireValue(Valid);
  BOOST_TEST(Valid->at("a") == "0123456789abcdef");
  BOOST_TEST(Valid->at("b") == "x:yyyyyyyyyyyyyy");
  auto Invalid =
      tryParseTokens("a: 0123456789abcdef\nsecret-words\nb: shortsecret\n"
                     "a: 0123456789abcdef\n",
                     "t");
  BOOST_REQUIRE(!Invalid.has_value());
  BOOST_TEST(joined(Invalid.error()) ==
             "t:2:1: bad_syntax: must be \"name: token\"\n"
             "t:3:3: bad_value: a token must have 16 printable characters or "
             "more\n"
             "t:4:1: duplicate: a\n");
  requireValue(tryLoadTokens(example("hosts/tokens")));
  BOOST_TEST(equalInConstantTime("abc", "abc"));
  BOOST_TEST(!equalInConstantTime("abc", "abd"));
  BOOST_TEST(!equalInConstantTime("abc", "abcd"));
}

// A platform that fills in the settings may write bounds with a fraction.
BOOST_AUTO_TEST_CASE(bounds_of_the_routed_interface_may_have_fractions) {
  auto Parse = [](const std::string &Bounds) {
    return tryParseSettings("cluster: c\ncluster_key: k\nhost: 10.0.0.1\n"
                            "data_centre: a\nrole: router\ninterface: routed\n"
                            "listen:\n  callers: 10.0.0.1:80\n"
                            "  operators: 10.0.0.1:81\n  peers: 10.0.0.1:82\n"
                            "discovery:\n  seeds: [10.0.0.2:83]\n"
                            "routed:\n" +
                                Bounds,
                            "s.yaml");
  };
  auto Parsed = Parse("  retry_slack: 36.23\n  retry_window_s: 7.5\n"
                      "  grace_s: 8\n  order_lease_ms: 2999.9\n"
                      "  weights_deadline_ms: 12000.0\n");
  requireValue(Parsed);
  BOOST_TEST(Parsed->Routed.RetrySlack == 36U);
  BOOST_TEST(Parsed->Routed.RetryWindowMillis == 7500U);
  BOOST_TEST(Parsed->Routed.GraceMillis == 8000U);
  BOOST_TEST(Parsed->Routed.OrderLeaseMillis == 2999U);
  BOOST_TEST(Parsed->Routed.WeightsDeadlineMillis == 12'000U);
  Parsed = Parse("  cap_window_s: 8\n  cap_overage: 0.1\n"
                 "  cap_slack: 190000.0\n");
  requireValue(Parsed);
  BOOST_TEST(Parsed->Routed.CapWindowSeconds == 8);
  BOOST_TEST(Parsed->Routed.CapOverage == 0.1);
  BOOST_TEST(Parsed->Routed.CapSlack == 190'000);
  // A platform without caps renders their bounds as empty text; a process that
  // refused that would not start.
  for (const char *Absent :
       {"  cap_window_s: \n  cap_overage: \n  cap_slack: \n",
        "  cap_window_s: \"\"\n  cap_overage: ~\n  cap_slack: ''\n",
        "  grace_s: 8\n"}) {
    Parsed = Parse(Absent);
    requireValue(Parsed);
    BOOST_TEST(Parsed->Routed.CapWindowSeconds == 0);
    BOOST_TEST(Parsed->Routed.CapOverage == 0);
    BOOST_TEST(Parsed->Routed.CapSlack == 0);
  }
  for (const char *Bad :
       {"  grace_s: 0\n", "  grace_s: -1\n", "  grace_s: 1e9\n",
        "  grace_ms: 0.5\n", "  grace_s: soon\n", "  retry_slack: -3\n",
        "  retry_slack: 1e99\n", "  grace_s: nan\n", "  grace_s: \n",
        "  cap_window_s: -8\n", "  cap_overage: much\n", "  cap_overage: 11\n",
        "  cap_slack: inf\n", "  cap_slack: []\n"})
    BOOST_TEST(!Parse(Bad).has_value(), Bad);
}

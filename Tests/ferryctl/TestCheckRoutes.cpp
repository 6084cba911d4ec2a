// Guards the exit codes and the output of check-routes, which scripts depend
// on, and against keys in its output.
#include "ferryctl/Commands.h"
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace ferry;

namespace {

/// A file that is removed with this object.
class TestFile {
public:
  explicit TestFile(const std::string &Text) {
    std::ofstream(File.path(), std::ios::binary) << Text;
  }
  std::string path() const { return File.path(); }

private:
  Poco::TemporaryFile File;
};

struct RunResult {
  int Code = -1;
  std::string Out;
};

} // namespace

static RunResult check(std::vector<std::string> Words) {
  Words.insert(Words.begin(), "check-routes");
  std::ostringstream Out;
  std::streambuf *OutBefore = std::cout.rdbuf(Out.rdbuf());
  std::streambuf *ErrorsBefore = std::cerr.rdbuf(Out.rdbuf());
  auto Code = ctl::runCommand({Words, "0.0.0"});
  std::cout.rdbuf(OutBefore);
  std::cerr.rdbuf(ErrorsBefore);
  return {static_cast<int>(Code), Out.str()};
}

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// \returns a description with the given members.
static std::string description(int Number, const std::string &Timeout,
                               const std::string &Key) {
  return R"({"version":)" + std::to_string(Number) + R"(,"routes":[
{"name":"r-1","host":"a.example","path_prefix":"/p/","route_kind":"stream",
 "timeout_ms":)" +
         Timeout + R"(,"service":"lm"}],
"services":[{"name":"lm"}],
"tenants":[{"name":"t1","api_keys":[")" +
         Key + R"("]}]})";
}

BOOST_AUTO_TEST_CASE(the_exit_code_tells_errors_from_warnings) {
  TestFile Sound(description(7, "2000", "secret-1"));
  TestFile Warned(description(7, R"(2000,"target_latency_ms":2001)", "k"));
  TestFile Faulty(description(7, "0", "secret-1"));
  BOOST_TEST(check({Sound.path()}).Code == 0);
  BOOST_TEST(check({Sound.path()}).Out ==
             "0 errors, 0 warnings, 0 differences\n");
  RunResult Warnings = check({Warned.path()});
  BOOST_TEST(Warnings.Code == 2);
  BOOST_TEST(contains(
      Warnings.Out,
      Warned.path() +
          ":3: warning: latency_above_timeout: routes[0].target_latency_ms"));
  RunResult Errors = check({Faulty.path()});
  BOOST_TEST(Errors.Code == 1);
  BOOST_TEST(contains(Errors.Out, ":3: error: no_timeout: "
                                  "routes[0].timeout_ms: the timeout is 0\n"));
  BOOST_TEST(!contains(Errors.Out, "secret"));
}

BOOST_AUTO_TEST_CASE(files_that_cannot_be_read_are_errors) {
  RunResult Missing = check({"/nonexistent/routes.json"});
  BOOST_TEST(Missing.Code == 1);
  BOOST_TEST(contains(Missing.Out, "error: unreadable: cannot be opened"));
  BOOST_TEST(check({"/tmp"}).Code == 1);
  TestFile Sound(description(7, "2000", "secret-1"));
  BOOST_TEST(
      check({Sound.path(), "--in-force", "/nonexistent/routes.json"}).Code ==
      1);
  // Between the limits of the product's own descriptions and of this one.
  TestFile Large(description(7, "2000", "k") + std::string(2 << 20, ' '));
  BOOST_TEST(check({Large.path()}).Code == 0);
  TestFile TooLarge(description(7, "2000", "k") + std::string(4 << 20, ' '));
  BOOST_TEST(contains(check({TooLarge.path()}).Out, "too_large"));
}

// A script must not take a wrong command line for warnings.
BOOST_AUTO_TEST_CASE(a_wrong_command_line_has_an_exit_code_of_its_own) {
  BOOST_TEST(check({}).Code == 3);
  BOOST_TEST(check({"--no-such-option", "x"}).Code == 3);
  BOOST_TEST(check({"--help"}).Code == 0);
}

BOOST_AUTO_TEST_CASE(differences_from_the_version_in_force_are_listed) {
  TestFile InForce(description(7, "2000", "secret-1"));
  TestFile Next(description(8, "3000", "secret-2"));
  RunResult Run = check({"--in-force", InForce.path(), Next.path()});
  BOOST_TEST(Run.Code == 0);
  BOOST_TEST(contains(Run.Out, "number_changed: version 7 -> 8\n"));
  BOOST_TEST(
      contains(Run.Out, "route_changed: r-1: timeout_ms 2000 -> 3000\n"));
  BOOST_TEST(contains(Run.Out, "key_removed: t1 "));
  BOOST_TEST(contains(Run.Out, "key_added: t1 "));
  BOOST_TEST(contains(Run.Out, "0 errors, 0 warnings, 4 differences\n"));
  BOOST_TEST(!contains(Run.Out, "secret"));
  RunResult Back = check({"--in-force", Next.path(), InForce.path()});
  BOOST_TEST(Back.Code == 2);
  BOOST_TEST(contains(Back.Out, "warning: number_not_newer: version: "));
  RunResult Broken = check({"--in-force", Next.path(), Next.path() + "x"});
  BOOST_TEST(Broken.Code == 1);
}

BOOST_AUTO_TEST_CASE(json_has_findings_and_differences) {
  TestFile InForce(description(7, "2000", "secret-1"));
  TestFile Next(description(8, R"(3000,"priority":10)", "secret-2"));
  RunResult Run = check({"--json", "--in-force", InForce.path(), Next.path()});
  BOOST_TEST(Run.Code == 2);
  BOOST_TEST(!contains(Run.Out, "secret"));
  auto Root =
      Poco::JSON::Parser().parse(Run.Out).extract<Poco::JSON::Object::Ptr>();
  BOOST_TEST(Root->getValue<int>("errors") == 0);
  BOOST_TEST(Root->getValue<int>("warnings") == 1);
  auto Finding = Root->getArray("findings")->getObject(0);
  BOOST_TEST(Finding->getValue<std::string>("kind") == "priority_out_of_range");
  BOOST_TEST(Finding->getValue<std::string>("severity") == "warning");
  BOOST_TEST(Finding->getValue<std::string>("place") == "routes[0].priority");
  BOOST_TEST(Finding->getValue<int>("line") == 3);
  auto Differences = Root->getArray("differences");
  BOOST_REQUIRE(Differences->size() == 4U);
  auto Changed = Differences->getObject(1);
  BOOST_TEST(Changed->getValue<std::string>("kind") == "route_changed");
  BOOST_TEST(Changed->getValue<std::string>("name") == "r-1");
  auto Member = Changed->getArray("members")->getObject(0);
  BOOST_TEST(Member->getValue<std::string>("member") == "timeout_ms");
  BOOST_TEST(Member->getValue<std::string>("before") == "2000");
}

// An empty list of workspaces opened all routes to every key: the description
// that took the last workspace away was taken for one without workspaces.
#include "LibTraffic/RoutedBed.h"
#include <Poco/String.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static const std::string Workspaces =
    RoutedText.substr(RoutedText.find(",\n\"tenants\""));

/// \returns the routes with \p List in place of the list of workspaces.
static std::string withWorkspaces(const std::string &List) {
  return Poco::replace(RoutedText, Workspaces,
                       List.empty() ? "}" : ",\"tenants\":" + List + "}");
}

static void addApp(RoutedBed &Bed) {
  Bed.add("app", [](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(wholeAnswer(200, "done"));
  });
}

/// \returns the status of the answer to a request with the field
/// \p Authorization; without it if that is empty.
static int statusFor(RoutedBed &Bed, const std::string &Path,
                     const std::string &Authorization) {
  std::string Field =
      Authorization.empty() ? "" : "Authorization: " + Authorization + "\r\n";
  return Bed
      .sendRaw("POST " + Path +
               " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n" + Field +
               "Content-Length: 1\r\n\r\nb")
      .Status;
}

static const std::vector<std::string> Authorizations = {
    "", "Bearer k1", "Bearer k-unknown", "Bearer ", "Bearer", "k1"};

BOOST_DATA_TEST_CASE(no_key_is_valid_once_the_last_workspace_is_removed,
                     data::make(Authorizations), Authorization) {
  RoutedBed Bed;
  addApp(Bed);
  BOOST_TEST(statusFor(Bed, "/once/x", "Bearer k1") == 200);
  Bed.Text = withWorkspaces("[]");
  Bed.publishView();
  size_t Before = Bed.targetRequests();
  BOOST_TEST(statusFor(Bed, "/once/x", Authorization) == 401);
  BOOST_TEST(statusFor(Bed, "/many/x", Authorization) == 401);
  BOOST_TEST(Bed.targetRequests() == Before);
  // Public routes need no key.
  BOOST_TEST(statusFor(Bed, "/open/x", Authorization) == 200);
}

BOOST_AUTO_TEST_CASE(workspaces_without_keys_admit_nobody) {
  for (const char *List : {R"([{"name":"t1","api_keys":[]}])",
                           R"([{"name":"t1","api_keys":[""]}])"}) {
    RoutedBed Bed;
    Bed.Text = withWorkspaces(List);
    addApp(Bed);
    for (const std::string &Authorization : Authorizations)
      BOOST_TEST(statusFor(Bed, "/once/x", Authorization) == 401,
                 List << " " << Authorization);
    BOOST_TEST(Bed.targetRequests() == 0U);
  }
}

// Without the list, requests need no key.
BOOST_AUTO_TEST_CASE(a_description_without_the_list_needs_no_keys) {
  RoutedBed Bed;
  Bed.Text = withWorkspaces("");
  addApp(Bed);
  BOOST_TEST(statusFor(Bed, "/once/x", "") == 200);
  BOOST_TEST(statusFor(Bed, "/once/x", "Bearer k1") == 200);
}

// What is no list is neither an empty list nor none.
BOOST_AUTO_TEST_CASE(a_description_whose_workspaces_are_no_list_is_rejected) {
  for (const char *List : {"null", "{}", "\"\"", "0", "false", "[null]"})
    BOOST_TEST(!platform::tryDecodeRoutes(withWorkspaces(List)), List);
}

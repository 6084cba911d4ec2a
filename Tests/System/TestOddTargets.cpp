// Another writer leaves odd entries among those of the targets. No process may
// end, and targets that announce themselves afterwards must be used.
#include "Support/Announcers.h"
#include "Support/RoutedCluster.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;

namespace {

/// \returns \p Text \p Count times.
std::string repeated(const std::string &Text, size_t Count) {
  std::string Result;
  for (size_t Each = 0; Each < Count; ++Each)
    Result += Text;
  return Result;
}

/// \returns an announcement whose field \p Name has the JSON value \p Value.
std::string entryWith(const std::string &Name, const std::string &Value) {
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"service", "\"app\""},
      {"addr", "\"127.0.0.1:9\""},
      {"zone", "\"dc-0\""},
      {"version", "\"v1\""},
      {"slots", "4"},
      {"state", "\"ready\""},
      {"cold_left_ms", "0"},
      {"seq", "1"},
      {"born", "1777919335160"},
      {Name, Value}};
  std::string Body;
  for (size_t Index = 0; Index < Fields.size(); ++Index)
    if (Fields[Index].first != Name || Index + 1 == Fields.size())
      Body += (Body.empty() ? "{\"" : ",\"") + Fields[Index].first +
              "\":" + Fields[Index].second;
  return Body + "}";
}

std::vector<std::string> oddEntries() {
  std::vector<std::string> Entries = {"",
                                      "{",
                                      "[]",
                                      "null",
                                      "7",
                                      "\xff\xfe",
                                      std::string(3, '\0'),
                                      repeated("[", 30'000),
                                      repeated("{\"a\":", 10'000),
                                      repeated("[", 15'000) +
                                          repeated("]", 15'000)};
  static const std::vector<std::string> Deep = {
      repeated("[", 20'000) + repeated("]", 20'000),
      repeated("{\"a\":", 8'000) + "1" + repeated("}", 8'000)};
  static const std::vector<std::string> Numbers = {"99999999999999999999999999",
                                                   "1e999",
                                                   "-1e999",
                                                   "-1",
                                                   "1e19",
                                                   "0.5",
                                                   "18446744073709551615",
                                                   "18446744073709551616",
                                                   "9223372036854775808",
                                                   "1" + repeated("0", 400),
                                                   "null",
                                                   "true",
                                                   "\"1\"",
                                                   "[1]",
                                                   "{}"};
  static const std::vector<std::string> Addresses = {
      "\"127.0.0.1:65536\"",
      "\"127.0.0.1:99999999999999999999\"",
      "\"127.0.0.1:0\"",
      "\"127.0.0.1:-1\"",
      "\"127.0.0.1\"",
      "\"127.0.0.1:\"",
      "\":80\"",
      "\"300.0.0.1:80\"",
      "\"127.0.0.1:80:80\"",
      "\"[::1]:80\"",
      "\"\"",
      "\"a\\u0000b:80\"",
      "\"" + repeated("1", 30'000) + ":80\""};
  for (const char *Name : {"models", "cold_left_ms", "seq", "born", "slots",
                           "service", "addr", "odd"})
    for (const std::string &Value : Deep)
      Entries.push_back(entryWith(Name, Value));
  for (const char *Name : {"slots", "seq", "born", "cold_left_ms", "odd"})
    for (const std::string &Value : Numbers)
      Entries.push_back(entryWith(Name, Value));
  for (const std::string &Value : Addresses)
    Entries.push_back(entryWith("addr", Value));
  for (const std::string &Value : Numbers)
    Entries.push_back(entryWith("models", R"([{"name":"m0","version":)" +
                                              Value + R"(,"adapters":[]}])"));
  for (const char *Text : {"\"\"", "\"\\ud800\"", "\"\xc3\x28\"", "7"})
    for (const char *Name : {"service", "zone", "version", "state"})
      Entries.push_back(entryWith(Name, Text));
  return Entries;
}

} // namespace

BOOST_AUTO_TEST_CASE(odd_entries_end_no_process_and_hide_no_target) {
  RoutedCluster Cluster;
  Cluster.startAll();
  BOOST_REQUIRE(
      TestCluster::eventually([&] { return Cluster.putRoutesAnywhere(1); }));
  std::vector<std::string> Entries = oddEntries();
  for (size_t Index = 0; Index < Entries.size(); ++Index) {
    std::string Id = "i-" + std::to_string(Index);
    int Host = 1 + static_cast<int>(Index) % RoutedCluster::SeedCount;
    (void)request(Cluster.control(Host), "PUT", "/instances/" + Id,
                  Entries[Index], {}, 1500);
    (void)request(Cluster.control(Host), "DELETE", "/instances/" + Id,
                  Entries[Index], {}, 1500);
    // A target that announces itself later has this id.
    (void)request(Cluster.control(Host), "PUT", "/instances/i-app",
                  Entries[Index], {}, 1500);
  }
  // Nor does the leave of an impossible incarnation hide it.
  for (const char *Start :
       {"9223372036854775808", "9007199254740992", "18446744073709551615"})
    (void)request(Cluster.control(1), "DELETE", "/instances/i-app",
                  entryWith("born", Start), {}, 1500);
  for (const char *Id : {"", "%00", "..", "a/b"})
    (void)request(Cluster.control(1), "PUT", std::string("/instances/") + Id,
                  entryWith("odd", "1"), {}, 1500);
  Answer Deep = request(Cluster.control(2), "PUT", "/config",
                        R"({"version":2,"routes":)" + repeated("[", 1'000'000) +
                            repeated("]", 1'000'000) + "}",
                        {}, 3000);
  BOOST_TEST(Deep.Status == 400);
  // What was kept is told to a host that starts anew, and read again from the
  // disk of one that restarts.
  Cluster.kill(2);
  Cluster.startControl(2);
  Cluster.startRouter(13);

  Announcers Targets(Cluster);
  for (int Router : {11, 12, 13})
    BOOST_TEST(TestCluster::eventually(
        [&] { return Cluster.call(Router, 1).Status == 200; }));
  for (int Host : {1, 2, 3, 11, 12, 13})
    BOOST_TEST(Cluster.host(Host).isRunning(), "host " << Host << " has ended");
  // Odd entries that were taken for targets do not outweigh the sound one.
  int Served = 0;
  for (int Count = 0; Count < 60; ++Count)
    Served +=
        Cluster.call(11 + Count % 3, 1, "s" + std::to_string(Count)).Status ==
        200;
  BOOST_TEST(Served >= 54);
}

// The platform's calls for the addresses of entries and for readiness.
#include "Support/TestCluster.h"
#include "platform/Directory.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
using ferry::test::Answer;

namespace {

/// A directory whose sources return the values that a test sets.
struct DirectoryFixture {
  DirectoryFixture() {
    Directory::Sources Sources;
    Sources.Entries = [this](const std::string &DataCentre) {
      RequestedDataCentre = DataCentre;
      return Entries;
    };
    Sources.Ready = [this] { return Ready; };
    Sources.LifetimeMillis = 1500;
    auto Started = Directory::tryStart({"127.0.0.1:0", ""}, Sources);
    BOOST_REQUIRE(Started);
    Server = std::move(*Started);
    BOOST_REQUIRE(Server->addresses().size() == 1U);
  }

  Answer ask(const std::string &Path) {
    return test::request(Server->addresses().front(), "GET", Path);
  }

  std::vector<std::string> Entries{"10.1.0.30:8782", "10.1.0.31:8782"};
  bool Ready = true;
  std::string RequestedDataCentre;
  std::unique_ptr<Directory> Server;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(addresses_have_a_lifetime, DirectoryFixture) {
  Answer Reply = ask("/resolve?name=jepu9.example&region=r&zone=centro-a");
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Reply.Body ==
             R"({"addrs":["10.1.0.30:8782","10.1.0.31:8782"],"ttl_s":1.5})");
  BOOST_TEST(RequestedDataCentre == "centro-a");
}

BOOST_FIXTURE_TEST_CASE(the_number_of_addresses_is_limited, DirectoryFixture) {
  Entries.assign(100, "10.1.0.30:8782");
  std::string Body = ask("/resolve?name=x").Body;
  size_t Count = 0;
  for (size_t Position = Body.find("8782"); Position != std::string::npos;
       Position = Body.find("8782", Position + 1))
    ++Count;
  BOOST_TEST(Count == 64U);
}

// Callers would cache an empty list; after a failure they ask another host.
BOOST_FIXTURE_TEST_CASE(a_call_without_any_address_fails, DirectoryFixture) {
  Entries.clear();
  BOOST_TEST(ask("/resolve?name=x").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(readiness_reflects_the_state_of_the_host,
                        DirectoryFixture) {
  BOOST_TEST(ask("/ready").Status == 200);
  Ready = false;
  BOOST_TEST(ask("/ready").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(other_paths_are_not_found, DirectoryFixture) {
  BOOST_TEST(ask("/resolved").Status == 404);
  BOOST_TEST(ask("/").Status == 404);
}

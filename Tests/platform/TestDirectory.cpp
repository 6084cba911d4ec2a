// The platform's questions for addresses and readiness.
#include "Support/TestCluster.h"
#include "platform/Directory.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
using ferry::test::Answer;

namespace {

/// A directory over answers that a test sets.
struct DirectoryBed {
  DirectoryBed() {
    Directory::Sources Given;
    Given.Entries = [this](const std::string &DataCentre) {
      AskedFor = DataCentre;
      return Entries;
    };
    Given.Ready = [this] { return Ready; };
    Given.LifetimeMillis = 1500;
    auto Started = Directory::tryStart({"127.0.0.1:0", ""}, Given);
    BOOST_REQUIRE(Started);
    Served = std::move(*Started);
    BOOST_REQUIRE(Served->addresses().size() == 1U);
  }

  Answer ask(const std::string &Path) {
    return test::request(Served->addresses().front(), "GET", Path);
  }

  std::vector<std::string> Entries{"10.1.0.30:8782", "10.1.0.31:8782"};
  bool Ready = true;
  std::string AskedFor;
  std::unique_ptr<Directory> Served;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(addresses_come_with_their_lifetime, DirectoryBed) {
  Answer Told = ask("/resolve?name=jepu9.example&region=r&zone=centro-a");
  BOOST_TEST(Told.Status == 200);
  BOOST_TEST(Told.Body ==
             R"({"addrs":["10.1.0.30:8782","10.1.0.31:8782"],"ttl_s":1.5})");
  BOOST_TEST(AskedFor == "centro-a");
}

BOOST_FIXTURE_TEST_CASE(no_more_addresses_than_are_read, DirectoryBed) {
  Entries.assign(100, "10.1.0.30:8782");
  std::string Body = ask("/resolve?name=x").Body;
  size_t Count = 0;
  for (size_t Place = Body.find("8782"); Place != std::string::npos;
       Place = Body.find("8782", Place + 1))
    ++Count;
  BOOST_TEST(Count == 64U);
}

// An empty list would be kept by callers; a failure sends them elsewhere.
BOOST_FIXTURE_TEST_CASE(without_any_address_the_question_fails, DirectoryBed) {
  Entries.clear();
  BOOST_TEST(ask("/resolve?name=x").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(readiness_follows_the_host, DirectoryBed) {
  BOOST_TEST(ask("/ready").Status == 200);
  Ready = false;
  BOOST_TEST(ask("/ready").Status == 503);
}

BOOST_FIXTURE_TEST_CASE(other_paths_are_not_found, DirectoryBed) {
  BOOST_TEST(ask("/resolved").Status == 404);
  BOOST_TEST(ask("/").Status == 404);
}

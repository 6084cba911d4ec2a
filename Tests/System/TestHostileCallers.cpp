// Callers send bytes that make no request: heads over the limit or without end,
// empty lines without end, half a head and silence. The process must live and
// stay within its memory and descriptors, and serve an ordinary request
// afterwards, at every listener.
#include "Support/HostileDeployment.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;

static const std::string RequestLine = "GET /sound/x HTTP/1.1\r\n";

static const std::vector<HostileBytes> Kinds = {
    {"a field without end", RequestLine + "X-More: ", repeated("m", 0x8000)},
    {"fields without end", RequestLine, repeated("a: b\r\n", 0x1000)},
    {"a request line without end", "GET /", repeated("m", 0x8000)},
    {"empty lines without end", "", repeated("\r\n", 0x4000)},
    {"half a head and silence",
     RequestLine + "X-More: " + repeated("m", 15 << 10), ""}};

BOOST_DATA_TEST_CASE(callers_of_a_router, data::make(Kinds), Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory, Bytes);
}

BOOST_DATA_TEST_CASE(callers_of_the_directory, data::make(Kinds), Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.directory(11), RouterMemory, Bytes);
  BOOST_TEST(TestCluster::eventually([&] {
    return request(Subject.Cluster.directory(11), "GET", "/").Status != 0;
  }));
}

BOOST_DATA_TEST_CASE(callers_of_the_operators_listener, data::make(Kinds),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.operators(11), RouterMemory, Bytes);
  BOOST_TEST(TestCluster::eventually([&] {
    return request(Subject.Cluster.operators(11), "GET", "/metrics").Status ==
           200;
  }));
}

BOOST_DATA_TEST_CASE(callers_of_the_readiness_listener, data::make(Kinds),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.readiness(11), RouterMemory, Bytes);
  BOOST_TEST(TestCluster::eventually([&] {
    return request(Subject.Cluster.readiness(11), "GET", "/").Status != 0;
  }));
}

BOOST_DATA_TEST_CASE(callers_of_a_control_host, data::make(Kinds), Bytes) {
  HostileDeployment Subject;
  Subject.bear(1, Subject.Cluster.control(1), ControlMemory, Bytes);
  BOOST_TEST(TestCluster::eventually(
      [&] { return Subject.Cluster.routesVersionAt(1) == 1; }));
}

// More than a listener has threads.
BOOST_AUTO_TEST_CASE(an_ordinary_request_is_served_beside_half_heads) {
  static constexpr size_t HalfHeads = 600;
  static const HostileBytes Start = {"the start of a head and silence",
                                     RequestLine + "X-More: ", ""};
  HostileDeployment Subject(
      R"("limits":{"header_timeout_ms":60000,"idle_timeout_ms":60000},)");
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory, Start,
               {.Callers = HalfHeads, .When = Served::Beside});
}

// Callers send heads that are sound and then misuse what follows: bodies and
// trailers without end or held back, answers that they do not read. The process
// must live and stay within its memory and descriptors, and serve an ordinary
// request afterwards.
#include "Support/HostileDeployment.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;

static std::string head(const std::string &Method, const std::string &Path,
                        const std::string &Fields) {
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n" + Fields +
         "\r\n";
}

static const std::string Chunked =
    head("POST", "/sound/x", "Transfer-Encoding: chunked\r\n");

/// Memory for the bodies of all requests, and for large answers.
static constexpr uint64_t BodyMemory = 16 << 20;
static constexpr uint64_t AnswerMemory = 32 << 20;

struct Misuse {
  HostileBytes Bytes;
  CrowdOptions Options = {};
};

static std::ostream &operator<<(std::ostream &Out, const Misuse &Case) {
  return Out << Case.Bytes;
}

static const std::vector<Misuse> Kinds = {
    {{"chunks of one byte without end", Chunked,
      repeated("1\r\nm\r\n", 0x1000)},
     {.SharedMemory = BodyMemory}},
    {{"a chunk extension without end", Chunked + "1;", repeated("m", 0x8000)}},
    {{"trailers without end", Chunked + "1\r\nm\r\n0\r\n",
      repeated("a: b\r\n", 0x1000)}},
    {{"bodies held back before their end",
      head("POST", "/sound/x", "Content-Length: 80000\r\n") +
          repeated("m", 79'999),
      ""},
     {.SharedMemory = BodyMemory}},
    {{"a body that was asked for and does not come",
      head("POST", "/sound/x",
           "Content-Length: 80000\r\nExpect: 100-continue\r\n"),
      ""},
     {.SharedMemory = BodyMemory}},
    {{"requests without end and answers unread", "",
      repeated(head("GET", "/sound/x", ""), 0x100)},
     {.DescriptorsPerCaller = 2}},
    {{"large answers unread", "", repeated(head("GET", "/large/x", ""), 0x100)},
     {.SharedMemory = AnswerMemory, .DescriptorsPerCaller = 2}},
    {{"silence", "", ""}}};

BOOST_DATA_TEST_CASE(callers_of_a_router, data::make(Kinds), Case) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory, Case.Bytes,
               Case.Options);
}

// More than a listener has threads, and none of them is done with its request.
static constexpr size_t MoreThanThreads = 600;

static const std::vector<HostileBytes> Holding = {
    {"a body that does not come",
     head("POST", "/sound/x", "Content-Length: 100\r\n"), ""},
    {"a body in single bytes",
     head("POST", "/sound/x", "Content-Length: 1000000\r\n"), "m"},
    {"answers unread", "", repeated(head("GET", "/medium/x", ""), 0x100)}};

BOOST_DATA_TEST_CASE(an_ordinary_request_is_served_beside, data::make(Holding),
                     Bytes) {
  HostileDeployment Subject(
      R"("limits":{"header_timeout_ms":60000,"idle_timeout_ms":60000},)");
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory, Bytes,
               {.Callers = MoreThanThreads,
                .SharedMemory = BodyMemory + AnswerMemory,
                .DescriptorsPerCaller = 2,
                .When = Served::Beside});
}

BOOST_AUTO_TEST_CASE(single_byte_chunks_of_more_callers_than_threads) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory,
               Kinds.front().Bytes,
               {.Callers = MoreThanThreads, .SharedMemory = BodyMemory});
}

static const std::vector<Misuse> ControlKinds = {
    {{"routes held back before their end",
      head("PUT", "/config", "Content-Length: 1000000\r\n") +
          repeated("m", 999'999),
      ""}},
    {{"announcements held back before their end",
      head("PUT", "/instances/i-9", "Content-Length: 4000\r\n") +
          repeated("m", 3'999),
      ""}},
    {{"routes in chunks of one byte without end",
      head("PUT", "/config", "Transfer-Encoding: chunked\r\n"),
      repeated("1\r\nm\r\n", 0x1000)}},
    {{"routes read without end and answers unread", "",
      repeated(head("GET", "/config", ""), 0x100)}}};

BOOST_DATA_TEST_CASE(callers_of_a_control_host, data::make(ControlKinds),
                     Case) {
  HostileDeployment Subject;
  Subject.bear(1, Subject.Cluster.control(1), ControlMemory, Case.Bytes,
               Case.Options);
  BOOST_TEST(TestCluster::eventually(
      [&] { return Subject.Cluster.routesVersionAt(1) == 1; }));
}

static const std::vector<HostileBytes> Reads = {
    {"metrics read without end and answers unread", "",
     repeated(head("GET", "/metrics", ""), 0x100)},
    {"dumps read without end and answers unread", "",
     repeated(head("GET", "/v1/dump", ""), 0x100)}};

BOOST_DATA_TEST_CASE(callers_of_the_operators_listener, data::make(Reads),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.operators(11), RouterMemory, Bytes);
  BOOST_TEST(TestCluster::eventually([&] {
    return request(Subject.Cluster.operators(11), "GET", "/metrics").Status ==
           200;
  }));
}

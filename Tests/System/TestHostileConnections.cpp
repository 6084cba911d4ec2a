// Callers open more connections than the router takes and keep sending, open
// and close them fast, speak other protocols, or never name the same id, key
// and part of a prompt twice. The process must live and stay within its memory
// and descriptors, and serve an ordinary request afterwards.
#include "Support/HostileDeployment.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

static const std::string BodyHead =
    "POST /sound/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
    "Content-Length: 4000000\r\n\r\n";

/// Connections that the kernel keeps for a listener, beside the open ones.
static constexpr uint64_t QueuedConnections = 1024;
/// Memory for the bodies of all requests.
static constexpr uint64_t BodyMemory = 16 << 20;

// The crowd is twice as large as the lowered limit, as the open and the queued
// connections together are twice the default.
static const std::vector<HostileBytes> BeyondLimit = {
    {"bodies on connections beyond the limit", BodyHead, repeated("m", 0x8000)},
    {"requests on connections beyond the limit", "",
     repeated("GET /sound/x HTTP/1.1\r\nHost: a.example\r\n\r\n", 0x100)},
    {"heads without end on connections beyond the limit", "GET /",
     repeated("m", 0x8000)}};

BOOST_DATA_TEST_CASE(connections_that_wait_to_be_accepted,
                     data::make(BeyondLimit), Bytes) {
  HostileDeployment Subject("", "limits:\n  max_caller_connections: 100\n");
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory, Bytes,
               {.SharedMemory = BodyMemory,
                .DescriptorsPerCaller = 2,
                .MachineConnections = MaxConnections + QueuedConnections});
}

static const std::vector<HostileBytes> Greetings = {
    {"a greeting of TLS and silence",
     std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11) +
         repeated("m", 506),
     ""},
    {"records of TLS without end",
     std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11),
     repeated("m", 0x8000)},
    {"frames of HTTP/2 without end", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
     repeated(std::string("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 9), 0x400)},
    {"zero bytes without end", "", std::string(0x8000, '\0')}};

BOOST_DATA_TEST_CASE(other_protocols_at_a_router, data::make(Greetings),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.callers(11), RouterMemory, Bytes);
}

BOOST_DATA_TEST_CASE(other_protocols_at_a_control_host, data::make(Greetings),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(1, Subject.Cluster.control(1), ControlMemory, Bytes);
  BOOST_TEST(TestCluster::eventually(
      [&] { return Subject.Cluster.routesVersionAt(1) == 1; }));
}

static const std::vector<std::string> Beginnings = {
    "", "GET /sound/x HTTP/1.1\r\nX-More: m", BodyHead + "m"};

BOOST_DATA_TEST_CASE(connections_that_open_and_close_fast,
                     data::make(Beginnings), Beginning) {
  static constexpr int Count = 20'000;
  HostileDeployment Subject;
  std::string Address = Subject.Cluster.callers(11);
  Subject.bear(11, Address, RouterMemory, "connections closed at once", {},
               [&] {
                 for (int Number = 0; Number < Count; ++Number)
                   try {
                     StreamSocket Socket{SocketAddress(Address)};
                     Socket.sendBytes(Beginning.data(),
                                      static_cast<int>(Beginning.size()));
                     Socket.setLinger(true, 0);
                   } catch (const Poco::Exception &) {
                     // The router has closed the connection first.
                   }
               });
}

BOOST_AUTO_TEST_CASE(requests_that_never_name_the_same_twice) {
  static constexpr int Callers = 16;
  static constexpr int RequestsOfEach = 2'000;
  HostileDeployment Subject;
  std::string Address = Subject.Cluster.callers(11);
  auto Call = [&](int Caller) {
    Poco::Net::HTTPClientSession Session{SocketAddress(Address)};
    for (int Number = 0; Number < RequestsOfEach; ++Number)
      try {
        std::string Unique = std::to_string(Caller * RequestsOfEach + Number);
        std::string Parts;
        for (int Part = 0; Part < 32; ++Part)
          Parts += Unique + "0" + std::to_string(10 + Part) + ":40,";
        Poco::Net::HTTPRequest Request("GET", "/sound/" + Unique,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        Request.setKeepAlive(true);
        Request.set("Host", "a.example");
        Request.set("X-Request-Id", "r" + Unique);
        Request.set("X-Api-Key", "k" + Unique);
        Request.set("Authorization", "Bearer k" + Unique);
        Request.set("Resumes", "s" + Unique);
        Request.set("X-Prompt-Prefix", Parts + Unique + ":20");
        Session.sendRequest(Request);
        Poco::Net::HTTPResponse Response;
        Poco::NullOutputStream Ignored;
        Poco::StreamCopier::copyStream(Session.receiveResponse(Response),
                                       Ignored);
      } catch (const Poco::Exception &) {
        Session.reset();
      }
  };
  Subject.bear(11, Address, RouterMemory, "requests with new ids", {}, [&] {
    std::vector<std::thread> Threads;
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back(Call, Caller);
    for (std::thread &Each : Threads)
      Each.join();
  });
}

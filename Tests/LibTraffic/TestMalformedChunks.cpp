// A caller's body whose chunks are malformed has no known end: what follows
// could be read as another request, whose answer the next caller behind a
// shared connection would get.
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static const std::vector<std::string> MalformedChunks = {
    "zz\r\nabc\r\n0\r\n\r\n",
    "3\r\nabcdef\r\n0\r\n\r\n",
    "-1\r\nabc\r\n0\r\n\r\n",
    "\r\n0\r\n\r\n",
    "+3\r\nabc\r\n0\r\n\r\n",
    "0x3\r\nabc\r\n0\r\n\r\n",
    "3 3\r\nabc\r\n0\r\n\r\n",
    "\xff\xfe\r\nabc\r\n0\r\n\r\n",
    "3\r\nabc0\r\n\r\n",
    "10000000000000003\r\nabc\r\n0\r\n\r\n",
    "3;" + std::string(5000, 'x') + "\r\nabc\r\n0\r\n\r\n"};

static const std::string HeadOfPost =
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
    "Authorization: Bearer k1\r\n";
static const std::string ChunkedHead =
    HeadOfPost + "Transfer-Encoding: chunked\r\n\r\n";

static void addApp(RoutedBed &Bed) {
  Bed.add("app", [](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(wholeAnswer(200, "done"));
  });
}

BOOST_DATA_TEST_CASE(a_body_of_malformed_chunks_reaches_no_target,
                     data::make(MalformedChunks), Chunks) {
  RoutedBed Bed;
  addApp(Bed);
  CallerAnswer Answer = Bed.sendRaw(ChunkedHead + Chunks);
  BOOST_TEST(Answer.Status == 400);
  BOOST_TEST(Answer.Whole);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// The bytes behind the fault hold a whole request, as a caller would send that
// wants it to be taken for somebody else's.
BOOST_DATA_TEST_CASE(nothing_behind_malformed_chunks_is_read_as_a_request,
                     data::make(MalformedChunks), Chunks) {
  RoutedBed Bed;
  addApp(Bed);
  std::string Received = Bed.exchangeUntilClosed(ChunkedHead + Chunks +
                                                 RoutedBed::request("/once/x"));
  BOOST_TEST(answersIn(Received) == 1U);
  BOOST_TEST(Received.find("HTTP/1.1 400") == 0U);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// The first of two lengths alone would tell that there is no body.
BOOST_AUTO_TEST_CASE(nothing_behind_repeated_lengths_is_read_as_a_request) {
  RoutedBed Bed;
  addApp(Bed);
  std::string Hidden = RoutedBed::request("/once/x");
  std::string Received = Bed.exchangeUntilClosed(
      HeadOfPost + "Content-Length: 0\r\nContent-Length: " +
      std::to_string(Hidden.size()) + "\r\n\r\n" + Hidden);
  BOOST_TEST(answersIn(Received) == 1U);
  BOOST_TEST(Received.find("HTTP/1.1 400") == 0U);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// Sound chunks, however they arrive, are the request's body, and the request
// behind them is the next one.
BOOST_AUTO_TEST_CASE(sound_chunks_end_where_the_next_request_begins) {
  const std::string Chunks = "3;name=\"x\"\r\nabc\r\n1\r\n\xff\r\n"
                             "00A \r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n";
  for (size_t Step : {std::string::npos, size_t{1}, size_t{7}}) {
    RoutedBed Bed;
    addApp(Bed);
    std::string Received = Bed.exchangeUntilClosed(
        ChunkedHead + Chunks + RoutedBed::request("/once/x", "second"), Step);
    BOOST_TEST(answersIn(Received) == 2U);
    auto Requests = Bed.Targets.front()->requests();
    BOOST_REQUIRE(Requests.size() == 2U);
    BOOST_TEST(Requests[0].Body == "abc\xff"
                                   "0123456789");
    BOOST_TEST(Requests[1].Body == "second");
  }
}

// A body that ends before its last chunk must not look complete.
BOOST_AUTO_TEST_CASE(chunks_cut_at_any_byte_reach_no_target) {
  const std::string Chunks = "3\r\nabc\r\n0\r\n\r\n";
  RoutedBed Bed;
  addApp(Bed);
  for (size_t Size = 0; Size < Chunks.size(); ++Size) {
    Poco::Net::StreamSocket Socket{
        Poco::Net::SocketAddress(Bed.Front->address())};
    Socket.setReceiveTimeout(Poco::Timespan(5, 0));
    std::string Raw = ChunkedHead + Chunks.substr(0, Size);
    Socket.sendBytes(Raw.data(), static_cast<int>(Raw.size()));
    Socket.shutdownSend();
    char Buffer[4096];
    while (Socket.receiveBytes(Buffer, sizeof Buffer) > 0) {
    }
  }
  BOOST_TEST(Bed.targetRequests() == 0U);
}

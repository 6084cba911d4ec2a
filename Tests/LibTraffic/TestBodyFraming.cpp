// A body that is cut off at any byte must not look complete.
#include "LibTraffic/BodyFraming.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static const std::string Chunked = "5\r\nhello\r\n6;x=1\r\n world\r\n0\r\n"
                                   "Trailer: t\r\n\r\n";

BOOST_AUTO_TEST_CASE(a_chunked_body_ends_only_with_the_empty_chunk) {
  for (size_t Cut = 0; Cut <= Chunked.size(); ++Cut) {
    BodyFraming Framing{ChunkFraming{}};
    std::string Body;
    BOOST_REQUIRE(Framing.decode(Chunked.substr(0, Cut), Body));
    BOOST_TEST(Framing.isComplete() == (Cut == Chunked.size()), Cut);
    BOOST_TEST(Framing.mayEndWithConnection() == (Cut == Chunked.size()), Cut);
    BOOST_REQUIRE(Framing.decode(Chunked.substr(Cut), Body));
    BOOST_TEST(Framing.isComplete());
    BOOST_TEST(Body == "hello world");
  }
}

BOOST_AUTO_TEST_CASE(bytes_after_the_end_are_dropped) {
  BodyFraming Framing{ChunkFraming{}};
  std::string Body;
  BOOST_REQUIRE(Framing.decode(Chunked + "HTTP/1.1 200 OK\r\n", Body));
  BOOST_TEST(Body == "hello world");
  BodyFraming Length{LengthFraming{3}};
  Body.clear();
  BOOST_REQUIRE(Length.decode("abcdef", Body));
  BOOST_TEST(Body == "abc");
  BOOST_TEST(Length.isComplete());
}

BOOST_AUTO_TEST_CASE(a_body_shorter_than_its_length_is_incomplete) {
  BodyFraming Framing{LengthFraming{3}};
  std::string Body;
  BOOST_REQUIRE(Framing.decode("ab", Body));
  BOOST_TEST(!Framing.isComplete());
  BOOST_TEST(!Framing.mayEndWithConnection());
}

BOOST_AUTO_TEST_CASE(a_body_without_length_ends_with_its_connection) {
  BodyFraming Framing{CloseFraming{}};
  std::string Body;
  BOOST_REQUIRE(Framing.decode("ab", Body));
  BOOST_TEST(!Framing.isComplete());
  BOOST_TEST(Framing.mayEndWithConnection());
}

static const std::vector<std::string> MalformedFramings = {
    "\r\n",
    "g\r\n",
    "5 5\r\n",
    "-1\r\n",
    "1\r\nab\r\n",
    "fffffffffffffffff\r\n",
    std::string(5000, '1')};

BOOST_DATA_TEST_CASE(malformed_framing_is_rejected,
                     data::make(MalformedFramings), Text) {
  BodyFraming Framing{ChunkFraming{}};
  std::string Body;
  auto Decoded = Framing.decode(Text, Body);
  BOOST_REQUIRE(!Decoded);
  BOOST_TEST((Decoded.error().Kind == LinkErrorKind::Broken));
}

BOOST_AUTO_TEST_CASE(an_endless_trailer_is_rejected) {
  BodyFraming Framing{ChunkFraming{}};
  std::string Body;
  BOOST_REQUIRE(Framing.decode("0\r\n", Body));
  bool Rejected = false;
  for (int Line = 0; Line < 100'000 && !Rejected; ++Line)
    Rejected = !Framing.decode("X-More: 1\r\n", Body);
  BOOST_TEST(Rejected);
}

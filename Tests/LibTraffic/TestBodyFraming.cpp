// Ends of bodies, cut at every byte.
#include "LibTraffic/BodyFraming.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static const std::string Chunked = "5\r\nhello\r\n6;x=1\r\n world\r\n0\r\n"
                                   "Trailer: t\r\n\r\n";

BOOST_AUTO_TEST_CASE(chunks_end_with_the_empty_one_only) {
  for (size_t Cut = 0; Cut <= Chunked.size(); ++Cut) {
    BodyFraming Framing{ChunkFraming{}};
    std::string Body;
    BOOST_REQUIRE(Framing.take(Chunked.substr(0, Cut), Body));
    BOOST_TEST(Framing.isComplete() == (Cut == Chunked.size()), Cut);
    BOOST_TEST(Framing.mayEndHere() == (Cut == Chunked.size()), Cut);
    BOOST_REQUIRE(Framing.take(Chunked.substr(Cut), Body));
    BOOST_TEST(Framing.isComplete());
    BOOST_TEST(Body == "hello world");
  }
}

BOOST_AUTO_TEST_CASE(bytes_behind_the_end_belong_to_nothing) {
  BodyFraming Framing{ChunkFraming{}};
  std::string Body;
  BOOST_REQUIRE(Framing.take(Chunked + "HTTP/1.1 200 OK\r\n", Body));
  BOOST_TEST(Body == "hello world");
  BodyFraming Length{LengthFraming{3}};
  Body.clear();
  BOOST_REQUIRE(Length.take("abcdef", Body));
  BOOST_TEST(Body == "abc");
  BOOST_TEST(Length.isComplete());
}

BOOST_AUTO_TEST_CASE(a_length_that_is_not_reached_is_no_end) {
  BodyFraming Framing{LengthFraming{3}};
  std::string Body;
  BOOST_REQUIRE(Framing.take("ab", Body));
  BOOST_TEST(!Framing.isComplete());
  BOOST_TEST(!Framing.mayEndHere());
}

BOOST_AUTO_TEST_CASE(a_body_without_length_ends_with_its_connection) {
  BodyFraming Framing{CloseFraming{}};
  std::string Body;
  BOOST_REQUIRE(Framing.take("ab", Body));
  BOOST_TEST(!Framing.isComplete());
  BOOST_TEST(Framing.mayEndHere());
}

static const std::vector<std::string> Senseless = {"\r\n",
                                                   "g\r\n",
                                                   "5 5\r\n",
                                                   "-1\r\n",
                                                   "1\r\nab\r\n",
                                                   "fffffffffffffffff\r\n",
                                                   std::string(5000, '1')};

BOOST_DATA_TEST_CASE(framing_that_makes_no_sense_is_broken,
                     data::make(Senseless), Text) {
  BodyFraming Framing{ChunkFraming{}};
  std::string Body;
  auto Taken = Framing.take(Text, Body);
  BOOST_REQUIRE(!Taken);
  BOOST_TEST((Taken.error().Kind == LinkErrorKind::Broken));
}

// A caller's body whose chunks are malformed has no known end: what follows
// could be read as another request.
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static const std::vector<std::string> MalformedChunks = {
    "zz\r\nabc\r\n0\r\n\r\n", "3\r\nabcdef\r\n0\r\n\r\n",
    "-1\r\nabc\r\n0\r\n\r\n", "\r\n0\r\n\r\n"};

BOOST_DATA_TEST_CASE(a_body_of_malformed_chunks_reaches_no_target,
                     data::make(MalformedChunks), Chunks) {
  RoutedBed Bed;
  Bed.add("app", [](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(wholeAnswer(200, "done"));
  });
  CallerAnswer Answer =
      Bed.sendRaw("POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
                  "Authorization: Bearer k1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" +
                  Chunks);
  BOOST_TEST(Answer.Status / 100 == 4);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// A target in trouble sends an answer whose status does not exist. Callers must
// not get it as an answer, nor wait for another one (issue 60).
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const std::vector<std::string> Statuses = {
    "000", "0", "00", "001", "099", "600", "999", "20", "2000", "-20", "2x0"};

BOOST_DATA_TEST_CASE(an_answer_with_an_invalid_status_is_none,
                     data::make(Statuses), Status) {
  for (const char *Path : {"/once/x", "/many/x", "/flow/x", "/goon/x"}) {
    RoutedBed Bed;
    for (const char *Service : {"app", "lm"})
      Bed.add(Service,
              [&](const ReceivedRequest &Read, ScriptedConnection &Link) {
                Link.write("HTTP/1.1 " + Status + " Any\r\nX-Request-Id: " +
                           Read.Head.get("X-Request-Id", "") +
                           "\r\nX-Server-Seal: seal\r\n"
                           "Content-Length: 2\r\n\r\nok");
                // The router must not wait until the target closes.
                Link.awaitPeerClosed(1500ms);
              });
    Timestamp Start = steadyNow();
    CallerAnswer Answer = Bed.send(Path);
    BOOST_TEST(Answer.Status == 502, Path);
    BOOST_TEST((steadyNow() < Start + 1s), Path);
  }
}

// A part of a prompt crashes each engine that begins an answer on it, and the
// connections to the engine stay open, as those to a machine without power do.
// No router may send the part to engines any more after a few crashes, and the
// sound requests must stay served.
#include "Support/CrashingPartCheck.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;

static const std::vector<std::string> Paths = {"/stream/x", "/flow/x"};

BOOST_DATA_TEST_CASE(
    a_part_whose_crashes_leave_connections_open_stops_reaching_engines,
    data::make(Paths), Path) {
  checkPartIsKeptAway(Path, {.Sign = CrashSign::Silence});
}

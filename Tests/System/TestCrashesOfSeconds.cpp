// A part of a prompt crashes each engine that begins an answer on it, and an
// engine that has ended resets what is sent to it for seconds. No router may
// send the part to engines any more after a few crashes, and the sound requests
// must stay served.
#include "Support/CrashingPartCheck.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const std::vector<std::string> Paths = {"/stream/x", "/flow/x"};

BOOST_DATA_TEST_CASE(engines_that_are_down_for_three_seconds, data::make(Paths),
                     Path) {
  checkPartIsKeptAway(Path, {.Sign = CrashSign::ResetOnly, .DownTime = 3s});
}

BOOST_DATA_TEST_CASE(crashes_that_are_a_second_apart, data::make(Paths), Path) {
  checkPartIsKeptAway(
      Path, {.Sign = CrashSign::HeadAndReset, .DownTime = 3s, .Pause = 1s});
}

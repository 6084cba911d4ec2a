// A part of a prompt crashes each engine that begins an answer on it, by a
// reset that discards the head of that answer. Sound streams at the same
// engines have their heads and no event yet. No router may send the part to
// engines any more after a few crashes, and the sound requests must stay
// served.
#include "Support/CrashingPartCheck.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;

static const std::vector<std::string> Paths = {"/stream/x", "/flow/x"};

BOOST_DATA_TEST_CASE(
    a_part_whose_crashes_discard_the_head_stops_reaching_engines,
    data::make(Paths), Path) {
  checkPartIsKeptAway(Path, {.Sign = CrashSign::ResetOnly});
}

BOOST_DATA_TEST_CASE(
    a_part_whose_crashes_look_like_whole_answers_stops_reaching_engines,
    data::make(Paths), Path) {
  checkPartIsKeptAway(Path, {.Sign = CrashSign::UnframedHeadAndClose});
}

// Strangers at the listener for peers announce a frame as large as those that
// peers may send each other, and send it, or send frames of no message, parts
// of frames or another protocol. Nobody has proved to be a peer yet, so that
// the process must not keep any of it.
#include "Support/HostileDeployment.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;

static const std::vector<HostileBytes> Frames = {
    {"a frame of 64 MiB", std::string("\x04\x00\x00\x00", 4),
     repeated("m", 0x8000)},
    {"empty frames without end", "", std::string(0x8000, '\0')},
    {"small frames without end", "",
     repeated(std::string("\x00\x00\x00\x04", 4) + "mmmm", 0x1000)},
    {"half a frame and silence", std::string("\x00\x00\x10\x00", 4) + "m", ""},
    {"a part of a length and silence", std::string("\x00", 1), ""},
    {"requests of another protocol", "",
     repeated("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n", 0x100)}};

BOOST_DATA_TEST_CASE(strangers_at_the_listener_for_peers, data::make(Frames),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.peers(11), RouterMemory, Bytes);
}

// A stranger at the listener for peers announces a frame as large as those that
// peers may send each other, and sends it. Nobody has proved to be a peer yet,
// so that the process must not keep it.
#include "Support/HostileDeployment.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::test;
namespace data = boost::unit_test::data;

static const std::vector<HostileBytes> Frames = {
    {"a frame of 64 MiB", std::string("\x04\x00\x00\x00", 4),
     repeated("m", 0x8000)}};

BOOST_DATA_TEST_CASE(strangers_at_the_listener_for_peers, data::make(Frames),
                     Bytes) {
  HostileDeployment Subject;
  Subject.bear(11, Subject.Cluster.peers(11), RouterMemory, Bytes);
}

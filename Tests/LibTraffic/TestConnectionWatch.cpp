// Which of the callers that are waited for are given up.
#include "LibTraffic/ConnectionWatch.h"
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::traffic;
using namespace std::chrono_literals;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

static constexpr Timestamp Start{10'000s};

/// A connection of a caller that sends nothing.
struct SilentCaller {
  explicit SilentCaller(ServerSocket &Server)
      : Caller(SocketAddress(Server.address())),
        Accepted(Server.acceptConnection()) {}
  bool isGivenUp() const {
    return Accepted.poll(0, Poco::Net::Socket::SELECT_READ);
  }

  StreamSocket Caller;
  StreamSocket Accepted;
};

BOOST_AUTO_TEST_CASE(those_awaited_for_longest_are_given_up_first) {
  ServerSocket Server(SocketAddress("127.0.0.1:0"));
  ConnectionWatch Watch;
  std::vector<SilentCaller> Callers;
  std::vector<ConnectionWatch::Id> Ids;
  for (int Count = 0; Count < 4; ++Count) {
    Callers.emplace_back(Server);
    Ids.push_back(Watch.add(Callers.back().Accepted, NeverExpires));
  }
  Watch.setAwaitedSince(Ids[0], Start + 2s);
  Watch.setAwaitedSince(Ids[1], Start);
  Watch.setAwaitedSince(Ids[2], Start + 1s);
  // Nobody waits for the last one.
  BOOST_TEST(Watch.endAwaited(2, Start - 1s) == 0U);
  BOOST_TEST(Watch.endAwaited(2, Start + 2s) == 2U);
  BOOST_TEST(Callers[1].isGivenUp());
  BOOST_TEST(Callers[2].isGivenUp());
  BOOST_TEST(!Callers[0].isGivenUp());
  BOOST_TEST(!Callers[3].isGivenUp());
  // None is given up twice.
  BOOST_TEST(Watch.endAwaited(4, Start + 3s) == 1U);
  BOOST_TEST(Callers[0].isGivenUp());
  BOOST_TEST(!Callers[3].isGivenUp());
}

BOOST_AUTO_TEST_CASE(a_caller_that_is_awaited_no_more_is_left_alone) {
  ServerSocket Server(SocketAddress("127.0.0.1:0"));
  ConnectionWatch Watch;
  SilentCaller Subject(Server);
  ConnectionWatch::Id Id = Watch.add(Subject.Accepted, NeverExpires);
  Watch.setAwaitedSince(Id, Start);
  Watch.setAwaitedSince(Id, NeverExpires);
  BOOST_TEST(Watch.endAwaited(1, Start + 9s) == 0U);
  BOOST_TEST(!Subject.isGivenUp());
}

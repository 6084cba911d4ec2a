#include "LibWire/PeerTransport.h"
#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace ferry;
using namespace ferry::wire;

/// \returns a loopback address that other test processes do not use.
static std::string addressForProcess(int Port) {
  int Process = getpid();
  std::string Address = "127." + std::to_string(1 + (Process >> 16) % 200);
  Address += "." + std::to_string((Process >> 8) & 255);
  Address += "." + std::to_string(1 + (Process & 255) % 254);
  return Address + ":" + std::to_string(Port);
}

/// Two hosts on one loop, with the messages and failures that each has seen.
struct TransportPair {
  struct Side {
    std::unique_ptr<PeerTransport> Transport;
    std::vector<std::string> Received;
    std::vector<WireErrorKind> Failures;
  };

  ControlLoop Loop;
  Side Left;
  Side Right;

  const std::string LeftAddress = addressForProcess(39471);
  const std::string RightAddress = addressForProcess(39472);

  void start(Side &Own, const char *Host, const std::string &Address,
             const char *PeerHost, const std::string &PeerAddress,
             const char *Key) {
    TransportOptions Options;
    Options.Identity = {{"austral"}, {Host}, {1}, Key};
    Options.ListenAddress = Address;
    Options.Peers[{PeerHost}] = PeerAddress;
    Options.MaxFrameBytes = 1 << 20;
    PeerTransport::Hooks Callbacks;
    Callbacks.Received = [&Own](const HostId &From, Envelope Message) {
      Own.Received.push_back(From.Value + "=" + Message.Payload);
    };
    Callbacks.Failed = [&Own](const HostId &, const WireError &Failure) {
      Own.Failures.push_back(Failure.Kind);
    };
    auto Started = PeerTransport::tryStart(Options, Loop, Callbacks);
    BOOST_REQUIRE(Started.has_value());
    Own.Transport = std::move(*Started);
  }

  void startBoth(const char *LeftKey, const char *RightKey) {
    start(Left, "left", LeftAddress, "right", RightAddress, LeftKey);
    start(Right, "right", RightAddress, "left", LeftAddress, RightKey);
  }

  /// Runs the loop until \p Done holds. If it never does, the timeout of ctest
  /// ends the test.
  void runUntil(std::function<bool()> Done) {
    std::function<void()> Poll = [&] {
      if (Done())
        return Loop.stop();
      Loop.at(steadyNow() + std::chrono::milliseconds(1), Poll);
    };
    Poll();
    Loop.run();
  }
};

static const std::string &lastOf(const std::vector<std::string> &Items) {
  return Items.back();
}

BOOST_AUTO_TEST_CASE(envelopes_arrive_in_order_with_their_sender) {
  TransportPair Pair;
  Pair.startBoth("key", "key");
  for (int Number = 0; Number < 100; ++Number)
    Pair.Left.Transport->send({"right"}, {1}, PayloadKind::Consensus,
                              std::to_string(Number));
  Pair.runUntil([&] { return Pair.Right.Received.size() == 100; });
  BOOST_TEST(Pair.Right.Received.front() == "left=0");
  BOOST_TEST(lastOf(Pair.Right.Received) == "left=99");
}

BOOST_AUTO_TEST_CASE(a_peer_with_another_key_is_refused) {
  TransportPair Pair;
  Pair.startBoth("key", "other");
  Pair.Left.Transport->send({"right"}, {1}, PayloadKind::Consensus, "secret");
  Pair.runUntil([&] { return !Pair.Left.Failures.empty(); });
  BOOST_TEST((Pair.Left.Failures.front() == WireErrorKind::Untrusted ||
              Pair.Left.Failures.front() == WireErrorKind::Disconnected));
  BOOST_TEST(Pair.Right.Received.empty());
}

BOOST_AUTO_TEST_CASE(sending_to_an_unknown_host_fails_with_bad_address) {
  TransportPair Pair;
  Pair.startBoth("key", "key");
  Pair.Left.Transport->send({"nobody"}, {1}, PayloadKind::Consensus, "x");
  BOOST_REQUIRE(Pair.Left.Failures.size() == 1u);
  BOOST_TEST((Pair.Left.Failures.front() == WireErrorKind::BadAddress));
}

BOOST_AUTO_TEST_CASE(
    an_oversized_frame_closes_the_connection_and_a_new_one_works) {
  TransportPair Pair;
  Pair.startBoth("key", "key");
  Pair.Left.Transport->send({"right"}, {1}, PayloadKind::Consensus,
                            std::string(2 << 20, 'x'));
  Pair.runUntil([&] { return !Pair.Right.Failures.empty(); });
  BOOST_TEST((Pair.Right.Failures.front() == WireErrorKind::TooLarge));
  Pair.runUntil([&] {
    Pair.Left.Transport->send({"right"}, {1}, PayloadKind::Consensus, "again");
    return !Pair.Right.Received.empty();
  });
  BOOST_TEST(Pair.Right.Received.front() == "left=again");
}

BOOST_AUTO_TEST_CASE(a_connection_without_a_handshake_is_closed) {
  TransportPair Pair;
  Pair.startBoth("key", "key");
  Poco::Net::SocketAddress Address(Pair.LeftAddress);
  Poco::Net::StreamSocket Client(Address);
  std::string Bytes = frame("GET / HTTP/1.1");
  Client.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  Pair.runUntil([&] { return !Pair.Left.Failures.empty(); });
  BOOST_TEST(Pair.Left.Received.empty());
}

// Calls of the native interface and of orders to a target that sends without an
// end must end at their deadline.
#include "Fakes/FakeScriptedTarget.h"
#include "LibTraffic/TargetConnection.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::traffic;
using fakes::FakeScriptedTarget;
using fakes::ReceivedRequest;
using fakes::ScriptedConnection;
namespace data = boost::unit_test::data;

static const std::string Head = "HTTP/1.1 200 OK\r\n";

/// Answers each request with \p Start, then with \p Rest until the caller
/// closes, at most for some seconds.
static FakeScriptedTarget::Script sendingEndlessly(std::string Start,
                                                   std::string Rest) {
  return [Start, Rest](const ReceivedRequest &, ScriptedConnection &Link) {
    Timestamp Limit = steadyNow() + std::chrono::seconds(6);
    std::string Block;
    while (Block.size() < 4096)
      Block += Rest;
    bool Open = Link.write(Start);
    while (Open && steadyNow() < Limit)
      Open = Link.write(Block);
  };
}

/// Sends a request with \p Deadline and reads the answer.
static LinkResult<HeldBody> call(const FakeScriptedTarget &Target,
                                 Timestamp Deadline) {
  auto Connected = TargetConnection::tryConnect(Target.address(), Deadline);
  BOOST_REQUIRE(Connected);
  TargetConnection &Link = **Connected;
  BOOST_REQUIRE(Link.trySend("GET", "/report", {}, "", Deadline));
  if (auto Received = Link.tryReceiveHead({Deadline}); !Received)
    return makeError(Received.error());
  return Link.tryReadWhole(1 << 20, {Deadline}, [](uint64_t) { return true; });
}

static const std::vector<std::pair<std::string, std::string>> EndlessBytes = {
    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    {Head, "X-More: 1\r\n"},
    {Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
    {Head + "\r\n", "more"}};

BOOST_DATA_TEST_CASE(a_call_with_an_endless_answer_ends_at_its_deadline,
                     data::xrange(EndlessBytes.size()), Index) {
  const auto &[Start, Rest] = EndlessBytes[Index];
  FakeScriptedTarget Target(sendingEndlessly(Start, Rest));
  Timestamp Deadline = steadyNow() + std::chrono::milliseconds(500);
  BOOST_TEST(!call(Target, Deadline));
  BOOST_TEST((steadyNow() < Deadline + std::chrono::seconds(2)));
}

// The end of the connection is not the end of a chunked answer.
BOOST_AUTO_TEST_CASE(a_chunked_answer_is_whole_only_with_its_last_chunk) {
  std::string Chunks = Head + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n";
  for (bool Cut : {false, true}) {
    FakeScriptedTarget Target(
        [&](const ReceivedRequest &, ScriptedConnection &Link) {
          Link.write(Cut ? Chunks : Chunks + "0\r\n\r\n");
        });
    auto Body = call(Target, steadyNow() + std::chrono::seconds(5));
    BOOST_TEST(Body.has_value() == !Cut);
  }
}

// Load pattern: a target stands still for 3 s, as in a pause of its machine,
// with a request on its way that is larger than its receive buffer. The
// connection was given up after 2 s, and the request ran again elsewhere or
// failed.
BOOST_AUTO_TEST_CASE(a_silent_target_keeps_its_running_request) {
  FakeScriptedTarget Target(
      [](const ReceivedRequest &, ScriptedConnection &Link) {
        Link.write(Head + "Content-Length: 4\r\n\r\ndone");
      },
      [](uint16_t) {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        return false;
      });
  Timestamp Deadline = steadyNow() + std::chrono::seconds(8);
  auto Connected = TargetConnection::tryConnect(Target.address(), Deadline);
  BOOST_REQUIRE(Connected);
  TargetConnection &Link = **Connected;
  std::string Body(8 << 20, 'x');
  auto Sent = Link.trySend("POST", "/v1", {}, Body, Deadline);
  BOOST_REQUIRE_MESSAGE(Sent, Sent.error().message());
  auto Received = Link.tryReceiveHead({Deadline});
  BOOST_REQUIRE_MESSAGE(Received, Received.error().message());
  auto Answer =
      Link.tryReadWhole(1 << 20, {Deadline}, [](uint64_t) { return true; });
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->text() == "done");
}

// Requests that came late in a planned stop were taken, passed on and cut at
// the end of the grace without an answer: the head was judged, and nothing
// looked again once the body had come.
#include "LibTraffic/RoutedBed.h"
#include <future>

using namespace ferry;
using namespace ferry::traffic;
using namespace std::chrono_literals;

namespace {

/// A caller that sends a request in two parts.
class SlowCaller {
public:
  SlowCaller(RoutedBed &Bed, const std::string &Path)
      : Text(RoutedBed::request(Path, "body")),
        Socket(Poco::Net::SocketAddress(Bed.Front->address())) {
    Socket.setReceiveTimeout(Poco::Timespan(MaxWait.count(), 0));
  }

  void sendHead() { send(Text.substr(0, Text.size() - 2)); }
  void sendRest() { send(Text.substr(Text.size() - 2)); }

  /// \returns what comes until the router closes the connection.
  std::string receive() {
    std::string Received;
    char Buffer[4096];
    for (int Count = 0;
         (Count = Socket.receiveBytes(Buffer, sizeof Buffer)) > 0;)
      Received.append(Buffer, static_cast<size_t>(Count));
    return Received;
  }

private:
  void send(const std::string &Bytes) {
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  }

  std::string Text;
  Poco::Net::StreamSocket Socket;
};

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Answers after \p Wait.
FakeScriptedTarget::Script answerAfter(std::chrono::milliseconds Wait) {
  return [Wait](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.awaitPeerClosed(Wait);
    Link.write(wholeAnswer(200, "done"));
  };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_body_that_comes_too_late_reaches_no_target) {
  for (const char *Path : {"/once/x", "/many/x", "/open/x"}) {
    RoutedBed Bed;
    Bed.add("app", answerAfter(0ms));
    SlowCaller Caller(Bed, Path);
    Caller.sendHead();
    BOOST_REQUIRE(waitFor([&] { return Bed.Front->activeRequests() == 1; }));
    Bed.Front->beginDrain(steadyNow() + 20ms, steadyNow() + 1h);
    std::this_thread::sleep_for(50ms);
    Caller.sendRest();
    std::string Received = Caller.receive();
    BOOST_TEST(answersIn(Received) == 1U);
    BOOST_TEST(Received.find("HTTP/1.1 503") == 0U);
    BOOST_TEST(has(Received, "\"draining\""));
    BOOST_TEST(has(Received, "\"not_run\":true"));
    BOOST_TEST(has(Received, "Retry-After"));
    BOOST_TEST(Bed.targetRequests() == 0U);
  }
}

// A refusal by a target is followed by another attempt only before that time.
BOOST_AUTO_TEST_CASE(no_attempt_begins_after_a_late_refusal) {
  RoutedBed Bed;
  std::promise<void> Refuse;
  std::shared_future<void> MayRefuse = Refuse.get_future().share();
  for (int Index = 0; Index < 2; ++Index)
    Bed.add("app",
            [MayRefuse](const ReceivedRequest &, ScriptedConnection &Link) {
              MayRefuse.wait();
              Link.write(notRunRefusal());
            });
  auto Answer =
      std::async(std::launch::async, [&] { return Bed.send("/once/x"); });
  BOOST_REQUIRE(waitFor([&] { return Bed.targetRequests() == 1; }));
  Bed.Front->beginDrain(steadyNow(), steadyNow() + 1h);
  Refuse.set_value();
  CallerAnswer Refused = Answer.get();
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(has(Refused.Body, "\"not_run\":true"));
  BOOST_TEST(Bed.targetRequests() == 1U);
}

// A request that a target still works on at the end of the grace gets an answer
// that leaves open whether it ran, and the target is not blamed.
BOOST_AUTO_TEST_CASE(the_last_requests_are_answered_before_the_exit) {
  for (const char *Path : {"/once/x", "/many/x"}) {
    RoutedBed Bed;
    Bed.add("app", answerAfter(1500ms));
    Bed.add("app", answerAfter(1500ms));
    auto Answer =
        std::async(std::launch::async, [&] { return Bed.send(Path); });
    BOOST_REQUIRE(waitFor([&] { return Bed.targetRequests() == 1; }));
    Timestamp AnswerBy = steadyNow() + 100ms;
    Bed.Front->beginDrain(steadyNow(), AnswerBy);
    std::this_thread::sleep_for(150ms);
    Bed.Front->endTargetCalls();
    CallerAnswer Last = Answer.get();
    BOOST_TEST(Last.Status == 504);
    BOOST_TEST(Last.Whole);
    BOOST_TEST(has(Last.Body, "\"not_run\":\"unknown\""));
    BOOST_TEST((steadyNow() < AnswerBy + 1s));
    BOOST_TEST(Bed.targetRequests() == 1U);
    BOOST_TEST(
        !has(Bed.Metrics.render(), "ferry_routed_broken_answers_total{"));
  }
}

// A target that answers in time is waited for.
BOOST_AUTO_TEST_CASE(an_answer_before_the_end_of_the_grace_is_passed_on) {
  RoutedBed Bed;
  Bed.add("app", answerAfter(300ms));
  auto Answer =
      std::async(std::launch::async, [&] { return Bed.send("/once/x"); });
  BOOST_REQUIRE(waitFor([&] { return Bed.targetRequests() == 1; }));
  Bed.Front->beginDrain(steadyNow(), steadyNow() + 1h);
  CallerAnswer Served = Answer.get();
  BOOST_TEST(Served.Status == 200);
  BOOST_TEST(Served.Body == "done");
}

// Targets that ask in their answers to be left alone, for ever or for a time,
// while callers keep sending.
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static FakeScriptedTarget::Script answering(const std::string &Bytes) {
  return [Bytes](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(Bytes);
  };
}

/// \returns a refusal of a target that has not run the request.
static std::string refusal(const std::string &Fields) {
  return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: r1\r\n" + Fields +
         "Content-Length: 0\r\n\r\n";
}

static const std::string LeavingField = "Server-Leaving: 1\r\n";

namespace {

struct LeavingAnswer {
  const char *Name;
  std::string Bytes;
};

std::ostream &operator<<(std::ostream &Out, const LeavingAnswer &Case) {
  return Out << Case.Name;
}

} // namespace

static const std::vector<LeavingAnswer> LeavingAnswers = {
    {"success", wholeAnswer(200, "done", LeavingField)},
    {"failure", wholeAnswer(500, "", LeavingField)},
    {"refusal", refusal(LeavingField)},
    {"body cut short", "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" +
                           LeavingField + "Content-Length: 9\r\n\r\nhalf"}};

// A rolling release: the answer says it before any announcement does.
BOOST_DATA_TEST_CASE(a_leaving_target_gets_no_further_request,
                     data::make(LeavingAnswers), Case) {
  RoutedBed Bed;
  auto &Leaving = Bed.add("app", answering(Case.Bytes));
  Bed.send("/many/x");
  BOOST_REQUIRE(Leaving.requestCount() == 1U);
  auto &Other = Bed.add("app", answering(wholeAnswer(200, "done")));
  for (int Call = 0; Call < 10; ++Call)
    BOOST_TEST(Bed.send("/many/x").Status == 200);
  BOOST_TEST(Leaving.requestCount() == 1U);
  BOOST_TEST(Other.requestCount() == 10U);
}

BOOST_AUTO_TEST_CASE(a_restarted_target_is_used_again_under_its_id) {
  RoutedBed Bed;
  auto &Target =
      Bed.add("app", answering(wholeAnswer(200, "done", LeavingField)));
  BOOST_TEST(Bed.send("/many/x").Status == 200);
  // Its record is lost and returns: it still leaves.
  std::vector<TargetRecord> Records = std::exchange(Bed.Records, {});
  Bed.publishView();
  Bed.Records = Records;
  Bed.publishView();
  BOOST_TEST(Bed.send("/many/x").Status == 503);
  Bed.Records[0].Incarnation = {2};
  Bed.publishView();
  BOOST_TEST(Bed.send("/many/x").Status == 200);
  BOOST_TEST(Target.requestCount() == 2U);
}

// Another target at a reused address says nothing about the expected one.
BOOST_AUTO_TEST_CASE(the_answer_of_another_target_is_not_obeyed) {
  RoutedBed Bed;
  std::atomic<bool> Replaced{true};
  Bed.add("app", [&](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(Replaced ? "HTTP/1.1 421 Other\r\nX-Not-Run: 1\r\n"
                          "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                        : wholeAnswer(200, "done"));
  });
  BOOST_TEST(Bed.send("/many/x").Status == 503);
  Replaced = false;
  BOOST_TEST(waitFor([&] { return Bed.send("/many/x").Status == 200; }));
}

// Ten callers press while the only target asks for a pause. After the first
// answer nothing arrives, and the callers hear when to return.
BOOST_AUTO_TEST_CASE(nothing_is_sent_to_a_target_in_a_pause) {
  RoutedBed Bed;
  auto &Target = Bed.add("app", answering(refusal("Retry-After: 1.5\r\n")));
  BOOST_TEST(Bed.send("/many/x").Status == 503);
  Timestamp PauseEnd = steadyNow() + std::chrono::milliseconds(1400);
  size_t SentBefore = Target.requestCount();
  std::vector<std::thread> Callers;
  std::atomic<int> Wrong{0};
  for (int Caller = 0; Caller < 10; ++Caller)
    Callers.emplace_back([&] {
      while (steadyNow() < PauseEnd) {
        CallerAnswer Answer = Bed.send("/many/x");
        double Seconds = std::stod(Answer.Head.get("Retry-After", "0"));
        double Left = double((PauseEnd - steadyNow()).count()) / 1e6;
        if (Answer.Status != 503 || Seconds < Left)
          ++Wrong;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  BOOST_TEST(Target.requestCount() == SentBefore);
  BOOST_TEST(Wrong == 0);
  BOOST_TEST(waitFor([&] {
    Bed.send("/many/x");
    return Target.requestCount() > SentBefore;
  }));
}

// A caller refused by one target is served by another while that one pauses.
BOOST_AUTO_TEST_CASE(a_request_goes_elsewhere_during_a_pause) {
  RoutedBed Bed;
  auto &Paused = Bed.add("app", answering(refusal("Retry-After: 60\r\n")));
  Bed.send("/once/x");
  auto &Other = Bed.add("app", answering(wholeAnswer(200, "done")));
  for (int Call = 0; Call < 5; ++Call)
    BOOST_TEST(Bed.send("/once/x").Status == 200);
  BOOST_TEST(Paused.requestCount() == 1U);
  BOOST_TEST(Other.requestCount() == 5U);
}

// No pause was asked for: the target is tried again after a short time.
BOOST_DATA_TEST_CASE(a_malformed_pause_is_ignored,
                     data::make({"Retry-After: soon\r\n", "Retry-After: -5\r\n",
                                 "Retry-After: 9e9\r\n", "Retry-After: \r\n",
                                 ""}),
                     Field) {
  RoutedBed Bed;
  auto &Target = Bed.add("app", answering(refusal(Field)));
  Bed.send("/many/x");
  size_t Sent = Target.requestCount();
  BOOST_TEST(waitFor([&] {
    Bed.send("/many/x");
    return Target.requestCount() > Sent;
  }));
}

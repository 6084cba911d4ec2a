// Requests of a workspace with a cap: those beyond it must reach no target, and
// those that no target has run must not use it up.
#include "LibTraffic/RoutedBed.h"
#include <Poco/String.h>
#include <atomic>
#include <thread>

using namespace ferry;
using namespace ferry::traffic;

namespace {

/// A router that serves alone, and so owns the workspaces. Its buckets begin
/// with a quarter of a second of the rate, and refill slowly enough for none of
/// the tests to notice.
struct CappedBed : RoutedBed {
  explicit CappedBed(const std::string &Cap) {
    Text = Poco::replace(RoutedText, std::string(R"("api_keys":["k1"])"),
                         R"("api_keys":["k1"],)" + Cap);
    Self = {"10.0.0.1"};
    Hosts.push_back({Self, {}, "10.0.0.1:80", HostStanding::Serving, {}});
  }

  /// \returns the status of the answer to a request with \p Tokens.
  int sendTokens(const std::string &Tokens,
                 const std::string &Path = "/many/x") {
    return send(Path, "X-Token-Counts: " + Tokens + "\r\n").Status;
  }
};

} // namespace

static FakeScriptedTarget::Script answering(const std::string &Bytes) {
  return [Bytes](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(Bytes);
  };
}

static const std::string TokenCap =
    R"("rate_per_s":0.4,"burst":1000,"unit":"token_stream",)"
    R"("uncached_tokens":5)";

// The bucket holds 0.1 tokens at first, and a request may take it below 0: one
// is admitted, and the next one has to wait for its tokens.
BOOST_AUTO_TEST_CASE(requests_beyond_the_cap_reach_no_target) {
  CappedBed Bed(TokenCap);
  auto &Target = Bed.add("app", answering(wholeAnswer(200, "done")));
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  Timestamp SentAt = steadyNow();
  CallerAnswer Rejected = Bed.send("/many/x", "X-Token-Counts: 9,3\r\n");
  BOOST_TEST(Rejected.Status == 429);
  BOOST_TEST((steadyNow() - SentAt < std::chrono::milliseconds(300)));
  BOOST_TEST(Rejected.Body.find("cap_exceeded") != std::string::npos);
  BOOST_TEST(Rejected.Body.find("\"not_run\":true") != std::string::npos);
  // 11.9 tokens are missing at 0.4 a second.
  double RetryAfter = std::stod(Rejected.Head.get("Retry-After", "0"));
  BOOST_TEST(RetryAfter > 20);
  BOOST_TEST(RetryAfter < 40);
  BOOST_TEST(Target.requestCount() == 1U);
}

// Another workspace, and requests to public routes, must not pay for it.
BOOST_AUTO_TEST_CASE(the_cap_of_one_workspace_concerns_no_other) {
  CappedBed Bed(TokenCap);
  Bed.add("app", answering(wholeAnswer(200, "done")));
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST(Bed.sendTokens("9,3") == 429);
  std::string Other = RoutedBed::request("/many/x");
  Other.replace(Other.find("k1"), 2, "k2");
  BOOST_TEST(Bed.sendRaw(Other).Status == 200);
  BOOST_TEST(Bed.sendTokens("9,3", "/open/x") == 200);
}

// No request that the cap can ever allow gets a time at which to come again.
BOOST_AUTO_TEST_CASE(a_request_above_the_burst_is_rejected_for_good) {
  CappedBed Bed(TokenCap);
  Bed.add("app", answering(wholeAnswer(200, "done")));
  CallerAnswer Answer = Bed.send("/many/x", "X-Token-Counts: 999,2\r\n");
  BOOST_TEST(Answer.Status == 429);
  BOOST_TEST(!Answer.Head.has("Retry-After"));
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
}

// A request whose header is missing must not be free.
BOOST_AUTO_TEST_CASE(a_request_without_token_counts_counts_the_default) {
  CappedBed Bed(TokenCap);
  Bed.add("app", answering(wholeAnswer(200, "done")));
  BOOST_TEST(Bed.send("/many/x").Status == 200);
  CallerAnswer Rejected = Bed.send("/many/x");
  BOOST_TEST(Rejected.Status == 429);
  // 4.9 tokens are missing at 0.4 a second.
  BOOST_TEST(std::stod(Rejected.Head.get("Retry-After", "0")) > 6);
}

BOOST_AUTO_TEST_CASE(without_a_unit_requests_are_counted) {
  CappedBed Bed(R"("rate_per_s":0.4,"burst":3)");
  Bed.add("app", answering(wholeAnswer(200, "done")));
  BOOST_TEST(Bed.sendTokens("9000,3") == 200);
  BOOST_TEST(Bed.sendTokens("1,1") == 429);
}

// Rejections by targets must not use the cap up: the caller comes again, and
// would be rejected a second time by the cap.
BOOST_AUTO_TEST_CASE(a_request_that_no_target_has_run_gives_its_units_back) {
  CappedBed Bed(TokenCap);
  std::atomic<bool> Full = true;
  Bed.add("app", [&](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(Full ? notRunRefusal() : wholeAnswer(200, "done"));
  });
  for (int Call = 0; Call < 5; ++Call)
    BOOST_TEST(Bed.sendTokens("9,3") == 503);
  Full = false;
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST(Bed.sendTokens("9,3") == 429);
}

// A target that fails may have run the request, so its units stay counted.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_keeps_its_units) {
  CappedBed Bed(TokenCap);
  Bed.add("app", answering(wholeAnswer(500, "failed")));
  BOOST_TEST(Bed.sendTokens("9,3", "/once/x") == 500);
  BOOST_TEST(Bed.sendTokens("9,3", "/once/x") == 429);
}

// Without caps, no request may wait for one.
BOOST_AUTO_TEST_CASE(a_removed_cap_no_longer_counts) {
  CappedBed Bed(TokenCap);
  Bed.add("app", answering(wholeAnswer(200, "done")));
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST(Bed.sendTokens("9,3") == 429);
  BOOST_TEST(Bed.Front->caps().status().size() == 1U);
  Bed.Text = RoutedText;
  Bed.publishView();
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST(Bed.Front->caps().status().empty());
  BOOST_TEST((Bed.Front->caps().nextDue() == NeverExpires));
}

// The router that passes a request on has counted it. Counting it again would
// halve what a workspace gets while some routers reach no target.
BOOST_AUTO_TEST_CASE(a_request_that_was_passed_in_is_not_counted) {
  CappedBed Bed(TokenCap);
  Bed.add("app", answering(wholeAnswer(200, "done")));
  std::string Fields =
      "X-Token-Counts: 9,3\r\nX-Ferry-Pass-Key: " + Bed.Front->reach().PassKey +
      "\r\n";
  for (int Call = 0; Call < 3; ++Call)
    BOOST_TEST(Bed.send("/many/x", Fields).Status == 200);
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST(Bed.sendTokens("9,3") == 429);
}

// While the owner, another router, is silent, requests are decided by this one
// within the longest wait, without help of the control thread.
BOOST_AUTO_TEST_CASE(a_silent_owner_delays_a_request_by_little) {
  CappedBed Bed(R"("rate_per_s":1000,"burst":1000,"unit":"token_stream")");
  Bed.Hosts.clear();
  Bed.Hosts.push_back(
      {{"10.0.0.2"}, {}, "10.0.0.2:80", HostStanding::Serving, {}});
  Bed.add("app", answering(wholeAnswer(200, "done")));
  Timestamp SentAt = steadyNow();
  BOOST_TEST(Bed.sendTokens("9,3") == 200);
  BOOST_TEST((steadyNow() - SentAt < std::chrono::milliseconds(400)));
  auto Questions = Bed.Front->caps().takeQuestions();
  BOOST_REQUIRE(!Questions.empty());
  BOOST_TEST(Questions.front().To.Value == "10.0.0.2");
  BOOST_TEST(Questions.front().Question.Needed == 12);
}

// Requests that arrive during a question wait for its reply; each must be
// decided by the owner, once.
BOOST_AUTO_TEST_CASE(requests_that_wait_are_decided_by_the_owners_replies) {
  const std::string Cap =
      R"("rate_per_s":10,"burst":120,"unit":"token_stream")";
  CappedBed Bed(Cap);
  HostId OwnerId = {"10.0.0.2"};
  Bed.Hosts.clear();
  Bed.Hosts.push_back({OwnerId, {}, "10.0.0.2:80", HostStanding::Serving, {}});
  Bed.add("app", answering(wholeAnswer(200, "done")));
  SharedCaps &Caps = Bed.Front->caps();
  std::atomic<bool> Stopping = false;
  std::thread Owner([&] {
    admission::CapOwner Bucket{{}};
    config::WorkspaceCap Described{10, 120, config::CapUnit::Tokens, 0};
    Bucket.setCaps({{{"t1"}, Described}}, steadyNow() - std::chrono::hours(1));
    while (!Stopping) {
      for (const auto &Each : Caps.takeQuestions())
        Caps.apply(Each.To, Bucket.answer(Each.Question, steadyNow()));
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  });
  std::atomic<int> Served = 0;
  std::atomic<int> Rejected = 0;
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 8; ++Caller)
    Callers.emplace_back([&] {
      for (int Call = 0; Call < 5; ++Call) {
        int Status = Bed.sendTokens("9,3");
        Served += Status == 200;
        Rejected += Status == 429;
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  Stopping = true;
  Owner.join();
  BOOST_TEST(Served + Rejected == 40);
  auto Status = Caps.status();
  BOOST_REQUIRE(Status.size() == 1U);
  BOOST_TEST(Status.front().Admitted == uint64_t(Served));
  // The bucket of 120 units serves ten requests, and its overdraft the requests
  // of one question. A machine that stops for 150 ms adds decisions without the
  // owner.
  int Fallbacks = int(Status.front().Fallbacks);
  BOOST_TEST(Served + Fallbacks >= 10);
  BOOST_TEST(Served - Fallbacks <= 18);
}

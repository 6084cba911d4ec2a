// Reading and writing the platform's headers. A caller must not be able to set
// headers that only the router may set, and an invalid header counts as absent.
#include "platform/CallHeaders.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::platform;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
namespace data = boost::unit_test::data;

static HTTPRequest callerHead() {
  HTTPRequest Head("POST", "/p/2f?x=1", "HTTP/1.1");
  Head.setHost("a.example");
  Head.set("X-Request-Id", "9c41");
  Head.set("X-Model", "m0");
  Head.set("X-Token-Counts", "1460,80");
  Head.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  Head.set("X-Deadline-Ms", "12000");
  Head.set("Authorization", "Bearer ctnf");
  return Head;
}

BOOST_AUTO_TEST_CASE(the_head_of_a_callers_request_is_read) {
  auto Caller = readCaller(callerHead());
  BOOST_TEST(Caller.Id.Value == "9c41");
  BOOST_TEST(Caller.WaitMillis.value_or(0) == 12000U);
  BOOST_TEST(Caller.Key == "ctnf");
  BOOST_TEST(Caller.PromptTokens == 1460U);
  BOOST_TEST(Caller.OutputTokens == 80U);
  BOOST_REQUIRE(Caller.Parts.size() == 3U);
  BOOST_TEST(Caller.Parts[0].Id == 0x5c1e07a2U);
  BOOST_TEST(Caller.Parts[1].Tokens == 410U);
}

static const std::vector<std::string> InvalidParts = {
    "zz:1",   "5c",    "5c:",       ":4",
    "5c:1,,", "5c:-1", "5c:1;6d:2", "11111111111111111:1"};

BOOST_DATA_TEST_CASE(a_chain_with_an_invalid_part_is_ignored,
                     data::make(InvalidParts), Text) {
  HTTPRequest Head = callerHead();
  Head.set("X-Prompt-Prefix", Text);
  BOOST_TEST(readCaller(Head).Parts.empty());
}

BOOST_AUTO_TEST_CASE(a_wait_that_is_not_a_number_is_ignored) {
  HTTPRequest Head = callerHead();
  Head.set("X-Deadline-Ms", "soon");
  BOOST_TEST(!readCaller(Head).WaitMillis);
}

static traffic::TargetDetails details() {
  traffic::TargetDetails Details;
  Details.ExpectedTarget = {"i-1"};
  Details.WaitMillis = 900;
  Details.Workspace = {"t1"};
  Details.Priority = 12;
  Details.Weights = {3};
  Details.CacheScope = "w3.t1";
  return Details;
}

BOOST_AUTO_TEST_CASE(a_target_gets_the_callers_head_without_the_key) {
  HTTPRequest Head = writeTarget(callerHead(), details());
  BOOST_TEST(Head.getURI() == "/p/2f?x=1");
  BOOST_TEST(Head.getMethod() == "POST");
  BOOST_TEST(Head.getHost() == "a.example");
  BOOST_TEST(Head.get("X-Model") == "m0");
  BOOST_TEST(Head.get("X-Token-Counts") == "1460,80");
  BOOST_TEST(Head.get("X-Deadline-Ms") == "900");
  BOOST_TEST(Head.get("X-Expect-Instance") == "i-1");
  BOOST_TEST(Head.get("X-Expect-Version") == "3");
  BOOST_TEST(Head.get("X-Tenant") == "t1");
  BOOST_TEST(Head.get("X-Cache-Salt") == "w3.t1");
  BOOST_TEST(Head.get("X-Request-Priority") == "9");
  BOOST_TEST(!Head.has("Authorization"));
  BOOST_TEST(!Head.has("X-Cache-Fetch"));
}

/// Headers that must not reach a target with the value of a caller.
static const std::vector<std::string> SpoofedHeaders = {"X-Tenant",
                                                        "x-cache-salt",
                                                        "X-CACHE-FETCH",
                                                        "X-Cache-Save",
                                                        "X-Cache-Backup",
                                                        "X-Hold",
                                                        "X-Pin-Ms",
                                                        "Kv-From",
                                                        "X-Request-Priority",
                                                        "X-Expect-Instance",
                                                        "X-Expect-Version",
                                                        "Connection",
                                                        "Keep-Alive",
                                                        "Transfer-Encoding",
                                                        "Content-Length",
                                                        "TE",
                                                        "Upgrade",
                                                        "X-Not-Run",
                                                        "X-Server-Seal"};

BOOST_DATA_TEST_CASE(headers_that_only_the_router_sets_are_removed,
                     data::make(SpoofedHeaders), Name) {
  HTTPRequest CallerHead = callerHead();
  CallerHead.add(Name, "spoofed");
  CallerHead.add(Name, "spoofed twice");
  traffic::TargetDetails MinimalDetails;
  MinimalDetails.ExpectedTarget = {"i-1"};
  HTTPRequest Head = writeTarget(CallerHead, MinimalDetails);
  for (const auto &[Key, Value] : Head)
    BOOST_TEST(Value.find("spoofed") == std::string::npos, Key);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_has_one_last_event_header) {
  HTTPRequest CallerHead = callerHead();
  CallerHead.set("Last-Event-Id", "2");
  traffic::TargetDetails Details = details();
  BOOST_TEST(writeTarget(CallerHead, Details).get("Last-Event-Id") == "2");
  Details.AfterEvent = "5";
  BOOST_TEST(writeTarget(CallerHead, Details).get("Last-Event-Id") == "5");
}

BOOST_AUTO_TEST_CASE(the_head_of_an_answer_is_read) {
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  Head.set("X-Request-Id", "9c41");
  Head.set("X-Server-Seal", "3e1b");
  auto Details = readAnswer(Head, {"9c41"});
  BOOST_TEST(Details.Attested);
  BOOST_TEST(!Details.OtherRequest);
  BOOST_TEST(!Details.NotRun);
  BOOST_TEST(readAnswer(Head, {"other"}).OtherRequest);
  // Without a request id there is nothing to compare.
  BOOST_TEST(!readAnswer(Head, {}).OtherRequest);
  HTTPResponse Refused(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  BOOST_TEST(!readAnswer(Refused, {"9c41"}).NotRun);
  Refused.set("X-Not-Run", "1");
  BOOST_TEST(readAnswer(Refused, {"9c41"}).NotRun);
  HTTPResponse Other(static_cast<HTTPResponse::HTTPStatus>(421));
  BOOST_TEST(readAnswer(Other, {"9c41"}).OtherTarget);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_is_recognised) {
  HTTPResponse Head(HTTPResponse::HTTP_OK);
  BOOST_TEST(!readAnswer(Head, {}).Leaving);
  Head.set("Server-Leaving", "0");
  BOOST_TEST(!readAnswer(Head, {}).Leaving);
  Head.set("Server-Leaving", "1");
  BOOST_TEST(readAnswer(Head, {}).Leaving);
}

BOOST_AUTO_TEST_CASE(a_pause_is_read_from_a_refusal_only) {
  using namespace std::chrono_literals;
  auto PauseIn = [](int Status, const std::string &Seconds) {
    HTTPResponse Head(static_cast<HTTPResponse::HTTPStatus>(Status));
    Head.set("Retry-After", Seconds);
    return readAnswer(Head, {}).Pause;
  };
  BOOST_TEST((PauseIn(503, "2") == Duration(2s)));
  BOOST_TEST((PauseIn(503, "0.25") == Duration(250ms)));
  BOOST_TEST((PauseIn(503, "99999999999999999999") == Duration(24h)));
  for (const char *Text : {"", "0", "-1", "soon", "1s", "1e3", "0x10", "nan",
                           "1.2.3", "Fri, 04 Dec 2026 00:00:00 GMT"})
    BOOST_TEST(!PauseIn(503, Text).has_value(), Text);
  BOOST_TEST(!PauseIn(200, "2").has_value());
}

BOOST_AUTO_TEST_CASE(a_limit_is_read_from_any_answer) {
  auto AnswerWith = [](int Status, const std::vector<std::string> &Limits) {
    Poco::Net::HTTPResponse Head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    for (const std::string &Limit : Limits)
      Head.add("Server-Limit", Limit);
    return readAnswer(Head, {});
  };
  for (int Status : {200, 404, 500, 503})
    BOOST_TEST((AnswerWith(Status, {"3.4"}).Limit == 3.4));
  BOOST_TEST((AnswerWith(200, {"0"}).Limit == 0.0));
  BOOST_TEST(!AnswerWith(200, {}).Limit.has_value());
  BOOST_TEST(!AnswerWith(200, {}).LimitUnreadable);
  // The target is in need, so the smallest of several counts.
  BOOST_TEST((AnswerWith(200, {"5", "4", "x"}).Limit == 4.0));
  // No host reaches such a limit.
  BOOST_TEST((AnswerWith(200, {std::string(300, '9')}).Limit == 1e6));
  for (const char *Text :
       {"", "x", "-1", "+1", "1e308", "inf", "nan", "3,4", "3.4.5", "3 4"}) {
    BOOST_TEST(!AnswerWith(200, {Text}).Limit.has_value(), Text);
    BOOST_TEST(AnswerWith(200, {Text}).LimitUnreadable, Text);
  }
}

// A target that says that it is brittle with a number that cannot be read must
// not end what is known of it.
BOOST_AUTO_TEST_CASE(brittleness_is_read_from_any_answer) {
  auto AnswerWith = [](int Status, const std::vector<std::string> &Numbers) {
    Poco::Net::HTTPResponse Head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    for (const std::string &Number : Numbers)
      Head.add("Server-Brittle", Number);
    return readAnswer(Head, {});
  };
  for (int Status : {200, 404, 500, 503})
    BOOST_TEST((AnswerWith(Status, {"3"}).RejectionsPerSecond == 3.0));
  BOOST_TEST((AnswerWith(200, {"0"}).RejectionsPerSecond == 0.0));
  BOOST_TEST((AnswerWith(200, {"5", "2"}).RejectionsPerSecond == 2.0));
  BOOST_TEST(!AnswerWith(200, {}).RejectionsPerSecond.has_value());
  BOOST_TEST(!AnswerWith(200, {"3"}).Limit.has_value());
  BOOST_TEST(!AnswerWith(200, {"3"}).LimitUnreadable);
  for (const char *Text : {"", "x", "-1", "1e9", "inf", "3,4"}) {
    BOOST_TEST(!AnswerWith(200, {Text}).RejectionsPerSecond.has_value(), Text);
    BOOST_TEST(AnswerWith(200, {Text}).LimitUnreadable, Text);
  }
}

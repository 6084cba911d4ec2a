// Malformed, oversized and slow input must get a typed error or be cut off, and
// must not affect the requests that follow.
#include "LibTraffic/HttpListener.h"
#include "LibTraffic/TrafficBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;

namespace {

/// One host for all cases of this file, which must survive every one of them.
struct SharedBed {
  SharedBed() { Bed.add(Engine); }
  LedgerStub Ledger;
  FakeEngine Engine{fakeOptions("e1"), EngineOptions()};
  TrafficBed Bed{Ledger};
};

SharedBed &shared() {
  static auto *Bed = new SharedBed;
  return *Bed;
}

const std::string GoodChat =
    R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]})";

/// The bytes of a request and the expected error.
struct RawCase {
  const char *Name;
  std::string Bytes;
  int Status;
  const char *Type;
};

/// A JSON body or the value of one header, and the expected error.
struct FieldCase {
  const char *Name;
  std::string Value;
  int Status;
  const char *Type;
};

std::ostream &operator<<(std::ostream &Out, const RawCase &Case) {
  return Out << Case.Name;
}
std::ostream &operator<<(std::ostream &Out, const FieldCase &Case) {
  return Out << Case.Name << " " << Case.Value.substr(0, 60);
}

std::string post(const std::string &Fields, const std::string &Body = "") {
  return "POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: w1\r\n" + Fields +
         "\r\n\r\n" + Body;
}

std::string manyFields(int Count, int Bytes) {
  std::string Text = "Content-Length: 2";
  for (int I = 0; I < Count; ++I)
    Text += "\r\nX-F" + std::to_string(I) + ": " +
            std::string(static_cast<size_t>(Bytes), 'a');
  return Text;
}

const RawCase RawCases[] = {
    {"no path", "GARBAGE\r\n\r\n", 400, "bad_header"},
    {"binary", std::string("\x16\x03\x01\x00\xff\r\n\r\n", 9), 400,
     "bad_header"},
    {"long method", std::string(5000, 'M') + " / HTTP/1.1\r\n\r\n", 400,
     "bad_header"},
    {"long path", "GET /" + std::string(40000, 'p') + " HTTP/1.1\r\n\r\n", 400,
     "bad_header"},
    {"long value", post("X-A: " + std::string(20000, 'v')), 400, "bad_header"},
    {"long name", post(std::string(2000, 'n') + ": v"), 400, "bad_header"},
    {"many fields", post(manyFields(300, 4)), 400, "bad_header"},
    {"large fields", post(manyFields(20, 1000), "{}"), 431,
     "headers_too_large"},
    {"no length", post("X-A: b"), 411, "length_required"},
    {"chunked body", post("Transfer-Encoding: chunked", "2\r\n{}\r\n0\r\n\r\n"),
     411, "length_required"},
    {"length and chunks",
     post("Content-Length: 2\r\nTransfer-Encoding: chunked", "{}"), 411,
     "length_required"},
    {"length no number", post("Content-Length: abc"), 400, "bad_header"},
    {"negative length", post("Content-Length: -1"), 400, "bad_header"},
    {"huge length", post("Content-Length: 99999999999999999999"), 400,
     "bad_header"},
    {"two lengths", post("Content-Length: 2\r\nContent-Length: 9", "{}"), 400,
     "bad_header"},
    {"two workspaces", post("X-Workspace: w2\r\nContent-Length: 2", "{}"), 400,
     "bad_header"},
    {"large body", post("Content-Length: 2000000", std::string(2000000, 'x')),
     413, "too_large"},
    {"cut body", post("Content-Length: 500", "{\"model\""), 408,
     "request_timeout"},
    {"dot path", "GET /v1/../x HTTP/1.1\r\n\r\n", 400, "bad_path"},
    {"null in path", "GET /v1/%00 HTTP/1.1\r\n\r\n", 400, "bad_path"},
    {"bad escape", "GET /v1/%zz HTTP/1.1\r\n\r\n", 400, "bad_path"},
    {"no route", "GET /v2/entries HTTP/1.1\r\n\r\n", 404, "not_found"},
    {"wrong method", "PUT /v1/entries HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
     405, "method_not_allowed"}};

const FieldCase BodyCases[] = {
    {"body", "", 400, "bad_json"},
    {"body", "[]", 400, "bad_json"},
    {"body", "{", 400, "bad_json"},
    {"body", "nul", 400, "bad_json"},
    {"body", std::string(10000, '['), 400, "bad_json"},
    {"body", std::string("{\"model\":\"\xff\xfe\"}"), 400, "bad_json"},
    {"body", R"({"messages":[]})", 400, "bad_json"},
    {"body", R"({"model":"m"})", 400, "bad_json"},
    {"body", R"({"model":"m","messages":[]})", 400, "bad_json"},
    {"body", R"({"model":"m","messages":"x"})", 400, "bad_json"},
    {"body", R"({"model":"m","messages":["x"]})", 400, "bad_json"},
    {"body", R"({"model":"m","messages":[{"role":"user"}]})", 400, "bad_json"},
    {"body", R"({"model":"m","messages":[{"role":1,"content":"x"}]})", 400,
     "bad_json"},
    {"body", R"({"model":["m"],"messages":[{"role":"u","content":"x"}]})", 400,
     "bad_json"},
    {"body",
     R"({"model":"m","stream":"yes","messages":[{"role":"u","content":"x"}]})",
     400, "bad_json"},
    {"body",
     R"({"model":"m","max_tokens":0,"messages":[{"role":"u","content":"x"}]})",
     400, "bad_json"},
    {"body",
     R"({"model":"m","max_tokens":-5,"messages":[{"role":"u","content":"x"}]})",
     400, "bad_json"},
    {"body",
     R"({"model":"m","max_tokens":1e40,"messages":[{"role":"u","content":"x"}]})",
     400, "bad_json"},
    {"body", R"({"model":"z","messages":[{"role":"u","content":"x"}]})", 404,
     "unknown_model"},
    {"body",
     R"({"model":"m","messages":[{"role":"u","content":")" +
         std::string(600 << 10, 'x') + "\"}]}",
     413, "too_large"}};

const FieldCase HeaderCases[] = {
    {"X-Workspace", "", 400, "bad_header"},
    {"X-Workspace", "nobody", 404, "unknown_workspace"},
    {"X-Workspace", std::string(500, 'w'), 400, "bad_header"},
    {"X-Workspace", "w2", 401, "unauthorized"},
    {"X-Request-Id", std::string(500, 'r'), 400, "bad_header"},
    {"X-Request-Id", "a b", 400, "bad_header"},
    {"Idempotency-Key", std::string(500, 'k'), 400, "bad_header"},
    {"X-Deadline-Ms", "0", 400, "bad_header"},
    {"X-Deadline-Ms", "-3", 400, "bad_header"},
    {"X-Deadline-Ms", "soon", 400, "bad_header"},
    {"X-Deadline-Ms", "99999999999999999999", 400, "bad_header"},
    {"X-Priority", "urgent", 400, "bad_header"}};

} // namespace

BOOST_DATA_TEST_CASE(malformed_requests_get_typed_errors,
                     boost::unit_test::data::make(RawCases), Case) {
  std::string Answer =
      exchangeRaw(shared().Bed.Front->callerAddress(), Case.Bytes);
  BOOST_TEST(Answer.starts_with("HTTP/1.1 " + std::to_string(Case.Status)),
             Answer.substr(0, 300));
  size_t Start = Answer.find("\r\n\r\n");
  BOOST_REQUIRE(Start != std::string::npos);
  CallerReply Parsed{Case.Status, {}, Answer.substr(Start + 4)};
  BOOST_TEST(Parsed.error("type") == Case.Type);
  BOOST_TEST(Parsed.error("not_run") == "true");
  BOOST_TEST(shared().Bed.chat(GoodChat).Status == 200);
}

BOOST_DATA_TEST_CASE(malformed_bodies_get_typed_errors,
                     boost::unit_test::data::make(BodyCases), Case) {
  CallerReply Answer = shared().Bed.chat(Case.Value);
  BOOST_TEST(Answer.Status == Case.Status);
  BOOST_TEST(Answer.error("type") == Case.Type);
  BOOST_TEST(Answer.error("not_run") == "true");
}

BOOST_DATA_TEST_CASE(malformed_headers_get_typed_errors,
                     boost::unit_test::data::make(HeaderCases), Case) {
  CallerReply Answer = shared().Bed.chat(GoodChat, {{Case.Name, Case.Value}});
  BOOST_TEST(Answer.Status == Case.Status);
  BOOST_TEST(Answer.error("type") == Case.Type);
}

BOOST_AUTO_TEST_CASE(a_workspace_with_a_token_must_send_it) {
  auto ChatWithToken = [](const std::string &Token) {
    return shared().Bed.chat(GoodChat,
                             {{"X-Workspace", "w2"}, {"Authorization", Token}});
  };
  BOOST_TEST(ChatWithToken("Bearer w2-secret").Status == 200);
  for (const char *Token : {"Bearer w2-secre", "Bearer w2-secretx", "Bearer ",
                            "w2-secret", "Bearer op-secret", "Basic w2-secret"})
    BOOST_TEST(ChatWithToken(Token).Status == 401, Token);
}

BOOST_AUTO_TEST_CASE(a_peer_that_trickles_bytes_is_disconnected) {
  HttpListener::Options Options{"127.0.0.1:0",
                                4,
                                1 << 16,
                                1 << 20,
                                std::chrono::milliseconds(150),
                                std::chrono::milliseconds(150)};
  auto Listener = HttpListener::tryStart(Options, [](HttpExchange &Exchange) {
    auto Body = Exchange.tryReadBody(1000);
    if (!Body)
      Exchange.sendError(Body.error());
    else
      Exchange.sendJson(200, "{}");
  });
  BOOST_REQUIRE(Listener.has_value());
  const std::string Starts[] = {
      "GET /", "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n"};
  for (const std::string &Start : Starts) {
    Poco::Net::StreamSocket Peer{
        Poco::Net::SocketAddress((*Listener)->address())};
    Peer.sendBytes(Start.data(), static_cast<int>(Start.size()));
    BOOST_TEST(waitFor([&] { return (*Listener)->connections() > 0; }));
    // At this rate the request would not be complete within the test's wait.
    Timestamp NextByte = steadyNow();
    bool Cut = waitFor([&] {
      try {
        if (steadyNow() < NextByte)
          return (*Listener)->connections() == 0;
        NextByte = steadyNow() + std::chrono::milliseconds(50);
        Peer.sendBytes("x", 1);
      } catch (const Poco::Exception &) {
        return true;
      }
      return (*Listener)->connections() == 0;
    });
    BOOST_TEST(Cut);
  }
  BOOST_TEST(ask((*Listener)->address(), "GET", "/").Status == 200);
}

BOOST_AUTO_TEST_CASE(announcements_are_validated) {
  const std::string Address = shared().Bed.Front->targetAddress();
  auto Announce = [&](const std::string &Body) {
    return ask(Address, "POST", "/v1/targets", {}, Body).Status;
  };
  const std::string ValidAnnouncement =
      R"({"id":"t","incarnation":3,"address":"127.0.0.1:99","kind":"engine",)"
      R"("weights":2,"fencing":"checked","load":{"running":4},"leaving":true})";
  BOOST_TEST(Announce(ValidAnnouncement) == 200);
  const TargetRecord &Record = shared().Ledger.Announced.back();
  BOOST_TEST(Record.Id.Value == "t");
  BOOST_TEST(Record.Incarnation.Value == 3U);
  BOOST_TEST(Record.Load.RunningRequests == 4U);
  BOOST_TEST((Record.Phase == TargetPhase::Leaving));
  BOOST_TEST((Record.Fencing == FencingCheck::Checked));
  const std::pair<std::string, std::string> Replacements[] = {
      {"\"t\"", "\"\""},
      {"\"t\"", "\"a/b\""},
      {":3,", ":0,"},
      {":3,", ":-3,"},
      {":3,", ":\"x\","},
      {"127.0.0.1:99", "127.0.0.1"},
      {"127.0.0.1:99", "a:99"},
      {"127.0.0.1:99", "127.0.0.1:0"},
      {"engine", "motor"},
      {"checked", "perhaps"},
      {"{\"running\":4}", "7"},
      {":4}", ":-4}"},
      {"true", "1"},
      {"}}", "}"}};
  for (auto [From, To] : Replacements) {
    std::string Body = ValidAnnouncement;
    size_t Position = Body.find(From);
    if (Position != std::string::npos)
      Body.replace(Position, From.size(), To);
    else
      Body.pop_back();
    BOOST_TEST(Announce(Body) == 400, Body);
  }
  BOOST_TEST(Announce(std::string(40000, ' ')) == 413);
}

BOOST_AUTO_TEST_CASE(cache_event_batches_are_validated) {
  const std::string Path = "/v1/targets/e1/cache-events";
  auto Send = [&](const std::string &Body) {
    return ask(shared().Bed.Front->targetAddress(), "POST", Path, {}, Body)
        .Status;
  };
  BOOST_TEST(Send(R"({"incarnation":5,"first_number":1,"events":)"
                  R"([["stored","ff01"],["evicted","ff01"],["cleared"]]})") ==
             200);
  const char *Bad[] = {
      "{}",
      R"({"incarnation":0,"first_number":1,"events":[]})",
      R"({"incarnation":5,"events":[]})",
      R"({"incarnation":5,"first_number":1,"events":7})",
      R"({"incarnation":5,"first_number":1,"events":[7]})",
      R"({"incarnation":5,"first_number":1,"events":[["stored"]]})",
      R"({"incarnation":5,"first_number":1,"events":[["stored","xyz"]]})",
      R"({"incarnation":5,"first_number":1,"events":[["lost","ff"]]})",
      R"({"incarnation":5,"first_number":1,"whole_cache":1,"events":[]})"};
  for (const char *Body : Bad)
    BOOST_TEST(Send(Body) == 400, Body);
}

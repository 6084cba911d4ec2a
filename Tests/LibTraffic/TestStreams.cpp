// Chat completions while engines crash, stall or answer wrongly: each caller
// must get the whole answer to its own request, or a typed error after a
// correct part.
#include "Fakes/FakeScriptedTarget.h"
#include "LibTraffic/EngineProtocol.h"
#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/TrafficBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;

namespace {

/// The content of an event stream as a caller parses it.
struct StreamRead {
  std::string Text;
  std::vector<uint64_t> Tokens;
  bool Done = false;
  std::string ErrorType;
};

StreamRead readStream(const std::string &Body) {
  // Runs on several threads, so it must not use the checks of the test library,
  // which are not thread-safe.
  EventSplitter Splitter;
  StreamRead Read;
  if (!Splitter.push(Body))
    return Read;
  while (auto Event = Splitter.next()) {
    if (Event->Data == "[DONE]") {
      Read.Done = true;
      continue;
    }
    auto Object = parseObject(Event->Data);
    if (!Object) {
      Read.ErrorType = "no JSON";
      continue;
    }
    if (Object->has("error")) {
      Read.ErrorType =
          Object->getObject("error")->getValue<std::string>("type");
      continue;
    }
    Read.Tokens.push_back(Event->Token.value_or(9999));
    auto Delta = Object->getArray("choices")->getObject(0)->getObject("delta");
    Read.Text += Delta->optValue<std::string>("content", "");
  }
  return Read;
}

std::string prompt(bool Streams, uint64_t Tokens = 12,
                   const std::string &Question = "how many loans") {
  return std::string(R"({"model":"m","stream":)") +
         (Streams ? "true" : "false") +
         ",\"max_tokens\":" + std::to_string(Tokens) +
         R"(,"messages":[{"role":"user","content":")" + Question + "\"}]}";
}

/// Two engines with equal weights behind one host.
struct TwoEngines {
  explicit TwoEngines(TrafficLimits Limits = {})
      : Bed(Ledger, "host-1", 1, Limits) {
    Bed.add(First);
    Bed.add(Second);
  }
  LedgerStub Ledger;
  FakeEngine First{fakeOptions("e1"), EngineOptions()};
  FakeEngine Second{fakeOptions("e2"), EngineOptions()};
  TrafficBed Bed;
};

/// A fault that the first engine shows once, and the form of the answer.
struct FaultCase {
  const char *Fault;
  bool Streams;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.Fault << (Case.Streams ? " streamed" : " whole");
}

const FaultCase RetriedFaults[] = {{"crash_after_tokens=1*1", true},
                                   {"crash_after_tokens=5*1", true},
                                   {"crash_after_tokens=12*1", true},
                                   {"crash_after_tokens=13*1", true},
                                   {"stall_after_tokens=4*1", true},
                                   {"early_done=1*1", true},
                                   {"skip_token=3*1", true},
                                   {"repeat_token=3*1", true},
                                   {"wrong_echo=1*1", true},
                                   {"close_before_answer=1*1", true},
                                   {"refuse=1*1", true},
                                   {"garbage=1*1", true},
                                   {"wrong_echo=1*1", false},
                                   {"close_before_answer=1*1", false},
                                   {"close_mid_answer=1*1", false},
                                   {"refuse=1*1", false},
                                   {"garbage=1*1", false}};

} // namespace

BOOST_DATA_TEST_CASE(after_an_engine_fault_the_answer_is_whole,
                     boost::unit_test::data::make(RetriedFaults), Case) {
  TrafficLimits Limits;
  Limits.StallLimit = std::chrono::milliseconds(300);
  TwoEngines Pair(Limits);
  Pair.First.faults().set(Case.Fault);
  // Placement is not under test here: sends requests until the first engine has
  // shown its fault.
  for (int Try = 0; Try < 100 && Pair.First.faults().active() > 0; ++Try) {
    std::string Body =
        prompt(Case.Streams, 12, "question " + std::to_string(Try));
    CallerReply Answer = Pair.Bed.chat(Body);
    BOOST_TEST(Answer.Status == 200);
    if (!Case.Streams) {
      auto Object = parseObject(Answer.Body);
      BOOST_REQUIRE(Object);
      BOOST_TEST(Object->getArray("choices")
                     ->getObject(0)
                     ->getObject("message")
                     ->getValue<std::string>("content") ==
                 fakeAnswer(Body, 12));
      continue;
    }
    StreamRead Read = readStream(Answer.Body);
    BOOST_TEST(Read.Text == fakeAnswer(Body, 12));
    BOOST_TEST(Read.Done);
    BOOST_TEST(Read.ErrorType == "");
    for (size_t I = 0; I < Read.Tokens.size(); ++I)
      BOOST_TEST(Read.Tokens[I] == I);
  }
  BOOST_TEST(Pair.First.faults().active() == 0);
}

/// Sends \p Body to the engines' host and reads the stream as far as it comes.
static StreamRead askStream(TwoEngines &Pair, const std::string &Body,
                            Headers Fields = {}) {
  return readStream(Pair.Bed.chat(Body, std::move(Fields)).Body);
}

BOOST_AUTO_TEST_CASE(a_stream_without_another_engine_ends_with_a_typed_error) {
  LedgerStub Ledger;
  FakeEngine Engine(fakeOptions("e1"), EngineOptions());
  TrafficBed Bed(Ledger);
  Bed.add(Engine);
  Engine.faults().set("crash_after_tokens=5*1");
  std::string Body = prompt(true);
  CallerReply Answer = Bed.chat(Body);
  StreamRead Read = readStream(Answer.Body);
  BOOST_TEST(Read.Text == fakeAnswer(Body, 5));
  BOOST_TEST(!Read.Done);
  BOOST_TEST(Read.ErrorType == "stream_lost");
}

BOOST_AUTO_TEST_CASE(a_stream_is_never_resumed_under_other_weights) {
  TrafficLimits Limits;
  Limits.StallLimit = std::chrono::milliseconds(300);
  LedgerStub Ledger;
  FakeEngine Old(fakeOptions("e1", 1), EngineOptions());
  FakeEngine New(fakeOptions("e2", 2), EngineOptions());
  TrafficBed Bed(Ledger, "host-1", 1, Limits);
  Bed.add(Old);
  Old.faults().set("stall_after_tokens=5");
  std::string Body = prompt(true);
  CallerReply Answer;
  std::thread Caller([&] { Answer = Bed.chat(Body); });
  BOOST_TEST(waitFor([&] { return Old.tokensSent() == 5; }));
  // A new description names other weights before the stall limit of the old
  // engine has passed.
  auto NewDescription =
      std::make_shared<config::Description>(*testDescription());
  NewDescription->Services[0].Weights = {2};
  Bed.View.Description = NewDescription;
  Bed.View.Number = {2};
  Bed.add(New);
  Caller.join();
  StreamRead Read = readStream(Answer.Body);
  BOOST_TEST(!Read.Done);
  BOOST_TEST(Read.ErrorType == "stream_lost");
  BOOST_TEST(Read.Text == fakeAnswer(Body, 5));
  BOOST_TEST(New.tokensSent() == 0U);
}

BOOST_AUTO_TEST_CASE(a_deadline_in_mid_stream_sends_a_typed_error_and_cancels) {
  TwoEngines Pair;
  for (FakeEngine *Engine : {&Pair.First, &Pair.Second})
    Engine->faults().set("stall_after_tokens=3*1");
  StreamRead Read = askStream(Pair, prompt(true), {{"X-Deadline-Ms", "400"}});
  BOOST_TEST(!Read.Done);
  BOOST_TEST(Read.ErrorType == "deadline_passed");
  BOOST_TEST(waitFor([&] {
    return Pair.First.cancelled() + Pair.Second.cancelled() == 1 &&
           Pair.First.running() + Pair.Second.running() == 0;
  }));
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_cancels_the_engine) {
  // With this limit, only the end of the caller's connection can stop the
  // stalled stream.
  TrafficLimits Limits;
  Limits.StallLimit = std::chrono::minutes(10);
  TwoEngines Pair(Limits);
  for (FakeEngine *Engine : {&Pair.First, &Pair.Second})
    Engine->faults().set("stall_after_tokens=3");
  std::string Body = prompt(true);
  {
    Poco::Net::StreamSocket Caller{
        Poco::Net::SocketAddress(Pair.Bed.Front->callerAddress())};
    std::string Text = "POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: "
                       "w1\r\nX-Deadline-Ms: 600000\r\nContent-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body;
    Caller.sendBytes(Text.data(), static_cast<int>(Text.size()));
    // Reads everything that the engine sends before it stalls, so that the
    // router cannot notice the caller's end by a later write.
    std::string Read;
    while (Read.find("id: 2") == std::string::npos ||
           !Read.ends_with("\n\n\r\n")) {
      char Piece[512];
      int Count = Caller.receiveBytes(Piece, sizeof(Piece));
      BOOST_REQUIRE(Count > 0);
      Read.append(Piece, static_cast<size_t>(Count));
    }
  }
  BOOST_TEST(waitFor([&] {
    return Pair.First.cancelled() + Pair.Second.cancelled() == 1 &&
           Pair.First.running() + Pair.Second.running() == 0;
  }));
  BOOST_TEST(Pair.Bed.Front->counters().value(TrafficCount::CallersLeft) == 1U);
}

BOOST_AUTO_TEST_CASE(a_slow_caller_slows_the_engine_down) {
  EngineOptions Fast;
  Fast.TokenMillis = 0;
  FakeEngine Engine(fakeOptions("e1"), Fast);
  LedgerStub Ledger;
  TrafficBed Bed(Ledger);
  Bed.add(Engine);
  // Far more than the buffers of three sockets can take.
  constexpr uint64_t Tokens = 150'000;
  std::string Body = prompt(true, Tokens);
  Poco::Net::StreamSocket Caller;
  Caller.connect(Poco::Net::SocketAddress(Bed.Front->callerAddress()));
  Caller.setReceiveTimeout(Poco::Timespan(MaxWait.count(), 0));
  std::string Text = "POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: "
                     "w1\r\nX-Deadline-Ms: 600000\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body;
  Caller.sendBytes(Text.data(), static_cast<int>(Text.size()));
  // The engine has stopped once many checks in a row see no progress.
  uint64_t Last = 0;
  int UnchangedChecks = 0;
  BOOST_TEST(waitFor([&] {
    uint64_t Now = Engine.tokensSent();
    UnchangedChecks = Now > 0 && Now == Last ? UnchangedChecks + 1 : 0;
    Last = Now;
    return UnchangedChecks > 100;
  }));
  BOOST_TEST(Engine.tokensSent() < Tokens / 2);
  uint64_t Bytes = 0;
  std::string Tail;
  std::string Piece(1 << 16, ' ');
  while (int Count = Caller.receiveBytes(Piece.data(), 1 << 16)) {
    Bytes += static_cast<uint64_t>(Count);
    Tail = (Tail + Piece.substr(0, static_cast<size_t>(Count)));
    if (Tail.size() > 200)
      Tail.erase(0, Tail.size() - 200);
  }
  BOOST_TEST(Tail.find("[DONE]") != std::string::npos);
  BOOST_TEST(Bytes > Tokens);
  BOOST_TEST(Engine.tokensSent() == Tokens + 1);
}

BOOST_AUTO_TEST_CASE(swapped_answers_never_reach_another_caller) {
  TwoEngines Pair;
  Pair.First.faults().set("swap_answers=1*6");
  Pair.Second.faults().set("swap_answers=1*6");
  std::atomic<int> Wrong = 0;
  std::atomic<int> Whole = 0;
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 8; ++Caller)
    Callers.emplace_back([&, Caller] {
      for (int I = 0; I < 8; ++I) {
        std::string Body = prompt(true, 8,
                                  "caller " + std::to_string(Caller) +
                                      " question " + std::to_string(I));
        StreamRead Read = askStream(Pair, Body);
        Whole += Read.Done;
        Wrong += Read.Done ? Read.Text != fakeAnswer(Body, 8)
                           : !fakeAnswer(Body, 8).starts_with(Read.Text);
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  BOOST_TEST(Wrong == 0);
  BOOST_TEST(Whole > 0);
  BOOST_TEST(Pair.Bed.Front->counters().value(TrafficCount::EchoMismatches) >
             0U);
}

/// Publishes an engine whose answers \p Script writes behind their heads.
static std::unique_ptr<FakeScriptedTarget>
addScripted(TrafficBed &Bed, std::function<void(ScriptedConnection &)> Script) {
  auto Engine = std::make_unique<
      FakeScriptedTarget>([Script](const ReceivedRequest &Request,
                                   ScriptedConnection &Link) {
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Type: "
                       "text/event-stream\r\n";
    for (const char *Name : {RequestHeader, IncarnationHeader, WeightsHeader})
      Head += std::string(Name) + ": " + Request.Head.get(Name, "") + "\r\n";
    if (Link.write(Head + "\r\n"))
      Script(Link);
  });
  TargetRecord Record = fakeOptions("scripted").Record;
  Record.Address = Engine->address();
  Record.Phase = TargetPhase::Ready;
  Record.UsableUntil = NeverExpires;
  Bed.View.Targets.push_back(Record);
  Bed.publishView();
  return Engine;
}

static std::string tokenEvent(int Token, bool Last = false) {
  return "id: " + std::to_string(Token) +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}" +
         (Last ? R"(,"finish_reason":"stop")" : "") + "}]}\n\n";
}

// An engine that hangs may go on to send bytes. Its stream must end a stall
// limit after its last whole event, long before the request's deadline.
BOOST_DATA_TEST_CASE(a_hanging_stream_ends_although_bytes_come,
                     boost::unit_test::data::make({"d", ": waiting\n",
                                                   ": waiting\n\n"}),
                     Piece) {
  TrafficLimits Limits;
  Limits.StallLimit = std::chrono::milliseconds(400);
  LedgerStub Ledger;
  TrafficBed Bed(Ledger, "host-1", 1, Limits);
  std::atomic<bool> Ended = false;
  auto Engine = addScripted(Bed, [&](ScriptedConnection &Link) {
    Timestamp Limit = steadyNow() + std::chrono::seconds(5);
    bool Open = Link.write(tokenEvent(0));
    while (Open && steadyNow() < Limit)
      Open = !Link.awaitPeerClosed(std::chrono::milliseconds(50)) &&
             Link.write(Piece);
    Ended = !Open;
  });
  Timestamp Start = steadyNow();
  StreamRead Read = readStream(Bed.chat(prompt(true)).Body);
  BOOST_TEST((steadyNow() - Start).count() < 3'000'000);
  BOOST_TEST(Read.Text == "x");
  BOOST_TEST(!Read.Done);
  BOOST_TEST(Read.ErrorType == "stream_lost");
  BOOST_TEST(waitFor([&] { return Ended.load(); }));
}

// A stream that takes several times the stall limit goes on as long as whole
// events come.
BOOST_AUTO_TEST_CASE(a_slow_stream_of_whole_events_goes_on) {
  TrafficLimits Limits;
  Limits.StallLimit = std::chrono::milliseconds(900);
  LedgerStub Ledger;
  TrafficBed Bed(Ledger, "host-1", 1, Limits);
  auto Engine = addScripted(Bed, [&](ScriptedConnection &Link) {
    for (int Token = 0; Token < 12; ++Token) {
      std::this_thread::sleep_for(std::chrono::milliseconds(250));
      Link.write(tokenEvent(Token, Token == 11));
    }
    Link.write("data: [DONE]\n\n");
  });
  StreamRead Read = readStream(Bed.chat(prompt(true)).Body);
  BOOST_TEST(Read.Text == std::string(12, 'x'));
  BOOST_TEST(Read.Done);
}

// A service may send a late duplicate of an answer; the next call on the
// caller's connection must get its own.
BOOST_AUTO_TEST_CASE(a_late_duplicate_answers_no_other_call) {
  FakeScriptedTarget Service(
      [](const ReceivedRequest &Request, ScriptedConnection &Link) {
        std::string Path = Request.Head.getURI();
        std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(Path.size()) + "\r\n\r\n" + Path;
        Link.write(Answer + Answer);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        Link.write(Answer);
      });
  LedgerStub Ledger;
  TrafficBed Bed(Ledger);
  TargetRecord Record = fakeOptions("app-1").Record;
  Record.Kind = TargetKind::PlainService;
  Record.Address = Service.address();
  Record.Phase = TargetPhase::Ready;
  Record.UsableUntil = NeverExpires;
  Bed.View.Targets.push_back(Record);
  Bed.publishView();
  Poco::Net::HTTPClientSession Kept{
      Poco::Net::SocketAddress(Bed.Front->callerAddress())};
  Kept.setKeepAlive(true);
  for (int Number = 0; Number < 20; ++Number) {
    std::string Path = "/item/" + std::to_string(Number);
    Poco::Net::HTTPRequest Request("GET", "/v1/services/app" + Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.set("X-Workspace", "w1");
    Kept.sendRequest(Request);
    Poco::Net::HTTPResponse Head;
    std::string Body;
    Poco::StreamCopier::copyToString(Kept.receiveResponse(Head), Body);
    BOOST_TEST(Head.getStatus() == 200);
    BOOST_TEST(Body == Path);
  }
}

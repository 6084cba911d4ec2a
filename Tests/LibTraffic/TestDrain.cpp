// Which requests a host serves while it drains, and while its description is
// missing or unconfirmed. Refusals must say truthfully whether a call ran.
#include "LibTraffic/TrafficBed.h"
#include <thread>

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;

static const std::string LongStream =
    R"({"model":"m","stream":true,"max_tokens":400,)"
    R"("messages":[{"role":"user","content":"x"}]})";
static const std::string ShortChat =
    R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]})";

static std::string entries(TrafficBed &Bed) {
  return ask(Bed.Front->callerAddress(), "GET", "/v1/entries?workspace=w1")
      .Body;
}

BOOST_AUTO_TEST_CASE(a_drain_finishes_streams_and_refuses_new_work) {
  LedgerStub Ledger;
  FakeEngine Engine(fakeOptions("e1"), EngineOptions());
  TrafficBed Bed(Ledger);
  Bed.add(Engine);
  BOOST_TEST(entries(Bed).find("host-1") != std::string::npos);
  CallerReply Stream;
  std::thread Caller([&] { Stream = Bed.chat(LongStream); });
  BOOST_TEST(waitFor([&] { return Engine.tokensSent() > 0; }));
  Bed.View.OwnStanding = routing::HostStanding::Draining;
  Bed.publishView();
  std::string Listed = entries(Bed);
  BOOST_TEST(Listed.find("host-1") == std::string::npos);
  BOOST_TEST(Listed.find("host-2") != std::string::npos);
  CallerReply Refused;
  BOOST_TEST(waitFor([&] {
    Refused = Bed.chat(ShortChat);
    return Refused.Status == 503;
  }));
  BOOST_TEST(Refused.error("type") == "draining");
  BOOST_TEST(Refused.error("not_run") == "true");
  BOOST_TEST(Refused.error("entries").find("127.0.0.1:2") != std::string::npos);
  BOOST_TEST(!Refused.Headers["Retry-After"].empty());
  Bed.Front->awaitDrained();
  Bed.Front->stop(steadyNow() + MaxWait);
  Caller.join();
  BOOST_TEST(Stream.Body.find("[DONE]") != std::string::npos);
  BOOST_TEST(Engine.tokensSent() >= 401U);
}

BOOST_AUTO_TEST_CASE(a_draining_host_serves_until_its_entries_expire) {
  LedgerStub Ledger;
  FakeEngine Engine(fakeOptions("e1"), EngineOptions());
  FakeService Service(fakeOptions("app-1"));
  TrafficBed Bed(Ledger, "host-1", 1, {}, 3'600'000);
  Bed.add(Engine);
  Bed.add(Service);
  Bed.View.OwnStanding = routing::HostStanding::Draining;
  Bed.publishView();
  BOOST_TEST(Bed.chat(ShortChat).Status == 200);
  BOOST_TEST(Bed.placeHold("k1").Status == 201);
  BOOST_TEST(!Bed.Front->drained());
}

BOOST_AUTO_TEST_CASE(a_drained_host_still_replays_stored_answers) {
  LedgerStub Ledger;
  FakeService Service(fakeOptions("app-1"));
  TrafficBed Bed(Ledger);
  Bed.add(Service);
  BOOST_TEST(Bed.placeHold("k1").Status == 201);
  Bed.Front->beginDrain();
  BOOST_TEST(waitFor([&] { return Bed.Front->drained(); }));
  CallerReply NewCall = Bed.placeHold("k2");
  BOOST_TEST(NewCall.error("type") == "draining");
  BOOST_TEST(NewCall.error("not_run") == "true");
  // A refusal with "not run" would be wrong, because this call has run.
  BOOST_TEST(Bed.placeHold("k1").Status == 201);
  BOOST_TEST(Service.counts()["k1"] == 1U);
  BOOST_TEST(Service.counts().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_host_serves_what_the_description_allows) {
  LedgerStub Ledger;
  FakeEngine Engine(fakeOptions("e1"), EngineOptions());
  FakeService Service(fakeOptions("app-1"));
  TrafficBed Bed(Ledger);
  Bed.add(Engine);
  Bed.add(Service);
  auto Read = [&] {
    return ask(Bed.Front->callerAddress(), "GET", "/v1/services/app/counts",
               {{"X-Workspace", "w1"}})
        .Status;
  };
  Bed.View.ConfirmedUntil = steadyNow();
  Bed.publishView();
  CallerReply Refused = Bed.chat(ShortChat);
  BOOST_TEST(Refused.error("type") == "unconfirmed");
  BOOST_TEST(Refused.error("not_run") == "true");
  BOOST_TEST(Read() == 503);
  BOOST_TEST(!entries(Bed).empty());
  auto ReadsOnly = std::make_shared<config::Description>(*testDescription());
  ReadsOnly->WhenUnconfirmed = config::UnconfirmedPolicy::ServeReads;
  Bed.View.Description = ReadsOnly;
  Bed.publishView();
  BOOST_TEST(Bed.chat(ShortChat).Status == 200);
  BOOST_TEST(Read() == 200);
  BOOST_TEST(Bed.placeHold("k1").Status == 503);
  BOOST_TEST(Service.counts().empty());
}

BOOST_AUTO_TEST_CASE(a_host_without_a_description_answers_at_once) {
  LedgerStub Ledger;
  TrafficBed Bed(Ledger);
  Bed.View = {};
  Bed.publishView();
  BOOST_TEST(entries(Bed).find("host-2") != std::string::npos);
  CallerReply Refused = Bed.chat(ShortChat);
  BOOST_TEST(Refused.error("type") == "no_description");
  BOOST_TEST(Refused.error("not_run") == "true");
  // Without a description the host cannot know whether this key has run.
  BOOST_TEST(Bed.placeHold("k1").error("not_run") == "unknown");
}

// An unexpected exception ends the request or the piece of work that it comes
// from. It must not end the process, and must leave nothing behind that later
// requests use.
#include "LibTraffic/HttpListener.h"
#include "LibTraffic/TrafficBed.h"

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;

static HttpListener::Options listenerOptions() {
  HttpListener::Options Options;
  Options.Address = "127.0.0.1:0";
  Options.MaxHeaderBytes = 1000;
  Options.BodyBudgetBytes = 1000;
  Options.MaxActive = 2;
  return Options;
}

// On the listener's thread.
BOOST_AUTO_TEST_CASE(a_connection_that_fails_ends_alone) {
  HttpListener::Options Options = listenerOptions();
  std::atomic<int> Opened = 0;
  Options.IdleLimit = [&] {
    if (++Opened <= 3)
      throw std::runtime_error("no settings");
    return Duration(std::chrono::seconds(5));
  };
  auto Listener = HttpListener::tryStart(
      Options, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  BOOST_REQUIRE(Listener.has_value());
  for (int Request = 0; Request < 3; ++Request)
    BOOST_TEST(ask((*Listener)->address(), "GET", "/").Status == 0);
  BOOST_TEST(ask((*Listener)->address(), "GET", "/").Status == 200);
}

// On a thread of the pool: the threads are free again afterwards.
BOOST_AUTO_TEST_CASE(a_request_that_throws_ends_alone) {
  std::atomic<int> Served = 0;
  auto Listener =
      HttpListener::tryStart(listenerOptions(), [&](HttpExchange &Exchange) {
        if (++Served <= 5)
          throw std::out_of_range("a request");
        Exchange.sendJson(200, "{}");
      });
  BOOST_REQUIRE(Listener.has_value());
  for (int Request = 0; Request < 5; ++Request)
    BOOST_TEST(ask((*Listener)->address(), "GET", "/").Status == 0);
  for (int Request = 0; Request < 5; ++Request)
    BOOST_TEST(ask((*Listener)->address(), "GET", "/").Status == 200);
  (*Listener)->stop(steadyNow() + MaxWait);
  BOOST_TEST((*Listener)->connections() == 0U);
}

// A request that waits for a target is registered under an address on its
// stack.
BOOST_AUTO_TEST_CASE(a_waiting_request_that_throws_is_removed) {
  LedgerStub Ledger;
  TrafficBed Bed(Ledger);
  routing::SubmitCall Call;
  Call.Id = {"r1"};
  Call.Workspace = {"w1"};
  Call.Service = {"app"};
  Call.Deadline = steadyNow() + std::chrono::seconds(3);
  FakeService Service(fakeOptions("app-1"));
  Bed.add(Service);
  // Fills the service, so that a further call waits.
  std::vector<RequestId> Running;
  bool Waited = false;
  for (int Number = 0; Number < 2000 && !Waited; ++Number) {
    Call.Id = {"r" + std::to_string(Number)};
    try {
      auto Placed = Bed.Front->placements().submit(
          Call, []() -> bool { throw std::runtime_error("the socket"); });
      BOOST_REQUIRE(Placed.has_value());
    } catch (const std::runtime_error &) {
      Waited = true;
    }
  }
  BOOST_TEST(Waited);
  BOOST_TEST(Bed.Front->placements().waiting() == 0U);
}

// Orders to engines that ask the control host for a pause, or answer twice.
#include "Fakes/FakeScriptedTarget.h"
#include "ferryd/OrderSender.h"
#include "platform/OrderCalls.h"
#include <boost/test/unit_test.hpp>
#include <condition_variable>

using namespace ferry;
using namespace ferry::daemon;
using namespace std::chrono_literals;

namespace {

/// Counts the orders that have ended.
class EndedOrders {
public:
  void add(const control::OrderEnded &Ended) {
    std::lock_guard Lock(Mutex);
    Outcomes.push_back(Ended.Outcome);
    Changed.notify_all();
  }
  bool await(size_t Count) {
    std::unique_lock Lock(Mutex);
    return Changed.wait_for(Lock, 20s,
                            [&] { return Outcomes.size() >= Count; });
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<control::OrderOutcome> Outcomes;
};

} // namespace

static control::SendOrder orderFor(const std::string &Address,
                                   uint64_t Incarnation, uint64_t OrderId) {
  control::SendOrder Request;
  Request.OrderId = OrderId;
  Request.Target = {"i-1"};
  Request.Incarnation = {Incarnation};
  Request.Address = Address;
  Request.Order = control::LoadWeights{{"m0"}, {2}};
  Request.Fencing = {1};
  Request.Deadline = steadyNow() + 1s;
  return Request;
}

BOOST_AUTO_TEST_CASE(an_engine_gets_no_call_during_its_pause) {
  fakes::FakeScriptedTarget Engine(
      [](const fakes::ReceivedRequest &, fakes::ScriptedConnection &Link) {
        Link.write("HTTP/1.1 503 Full\r\nRetry-After: 60\r\n"
                   "Content-Length: 0\r\n\r\n");
      });
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); },
      platform::orderDialect({"10.0.0.1"}));
  Sender.send(orderFor(Engine.address(), 1, 1));
  BOOST_REQUIRE(Ended.await(1));
  BOOST_TEST(Engine.requestCount() == 1U);
  for (uint64_t Id = 2; Id <= 10; ++Id)
    Sender.send(orderFor(Engine.address(), 1, Id));
  BOOST_REQUIRE(Ended.await(10));
  BOOST_TEST(Engine.requestCount() == 1U);
  for (control::OrderOutcome Outcome : Ended.Outcomes)
    BOOST_TEST((Outcome == control::OrderOutcome::NotSent));
  // The pause was asked for by one incarnation.
  Sender.send(orderFor(Engine.address(), 2, 11));
  BOOST_REQUIRE(Ended.await(11));
  BOOST_TEST(Engine.requestCount() == 2U);
}

// The late duplicate of one order's answer must not be taken for the answer to
// the next order.
BOOST_AUTO_TEST_CASE(a_late_duplicate_answers_no_other_order) {
  std::atomic<int> Calls = 0;
  fakes::FakeScriptedTarget Engine(
      [&](const fakes::ReceivedRequest &, fakes::ScriptedConnection &Link) {
        bool Accepts = ++Calls % 2 == 1;
        std::string Answer =
            Accepts ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 400 No\r\n";
        Answer += "Content-Length: 0\r\n\r\n";
        Link.write(Answer + Answer);
        std::this_thread::sleep_for(5ms);
        Link.write(Answer);
      });
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); });
  for (size_t Count = 1; Count <= 20; ++Count) {
    Sender.send(orderFor(Engine.address(), 1, Count));
    BOOST_REQUIRE(Ended.await(Count));
    auto Expected = Count % 2 == 1 ? control::OrderOutcome::Accepted
                                   : control::OrderOutcome::Refused;
    BOOST_TEST((Ended.Outcomes.back() == Expected));
  }
}

// An answer that fails unexpectedly ends its order only: as lost, since the
// engine may have it.
BOOST_AUTO_TEST_CASE(an_order_that_throws_ends_alone) {
  fakes::FakeScriptedTarget Engine(
      [](const fakes::ReceivedRequest &, fakes::ScriptedConnection &Link) {
        Link.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
      });
  OrderDialect Dialect = platform::orderDialect({"10.0.0.1"});
  std::atomic<bool> Throws = true;
  Dialect.ReadAnswer = [&](const Poco::Net::HTTPResponse &) {
    if (Throws)
      throw std::out_of_range("a header");
    return traffic::AnswerDetails();
  };
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); }, Dialect, 1);
  Sender.send(orderFor(Engine.address(), 1, 1));
  BOOST_REQUIRE(Ended.await(1));
  BOOST_TEST((Ended.Outcomes.back() == control::OrderOutcome::Lost));
  Throws = false;
  size_t Before = Engine.requestCount();
  Sender.send(orderFor(Engine.address(), 1, 2));
  BOOST_REQUIRE(Ended.await(2));
  BOOST_TEST(Engine.requestCount() > Before);
}

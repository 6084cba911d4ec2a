// Orders to engines that ask the control host for a pause or answer twice, and
// orders of a holder of the lease that was suspended while another one took
// over, and orders to more engines than there are sending threads.
#include "Fakes/FakeScriptedTarget.h"
#include "ferryd/OrderSender.h"
#include "platform/OrderCalls.h"
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>

using namespace ferry;
using namespace ferry::daemon;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

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
    BOOST_TEST((Outcome == control::OrderOutcome::Paused));
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

namespace {

/// An engine that accepts orders whatever their fencing numbers, is busy from
/// the first one on, and can drop its answers to orders.
class RecordingEngine {
public:
  explicit RecordingEngine(bool DropsAnswers = false)
      : DropsAnswers(DropsAnswers) {}

  std::string address() const { return Target.address(); }

  /// \returns the bodies of all orders that have arrived.
  std::vector<std::string> orders() const {
    std::lock_guard Lock(Mutex);
    return Arrived;
  }

private:
  void serve(const fakes::ReceivedRequest &Request,
             fakes::ScriptedConnection &Link) {
    std::lock_guard Lock(Mutex);
    if (Request.Head.getMethod() == "GET") {
      std::string Report = R"({"models":[{"name":"m0","version":1}],"busy":)" +
                           std::string(Arrived.empty() ? "false" : "true") +
                           R"(,"seq":)" + std::to_string(Arrived.size()) + "}";
      Link.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(Report.size()) + "\r\n\r\n" + Report);
      return;
    }
    Arrived.push_back(Request.Body);
    if (DropsAnswers)
      Link.reset();
    else
      Link.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
  }

  bool DropsAnswers;
  mutable std::mutex Mutex;
  std::vector<std::string> Arrived;
  fakes::FakeScriptedTarget Target{
      [this](const fakes::ReceivedRequest &Request,
             fakes::ScriptedConnection &Link) { serve(Request, Link); }};
};

/// Where the thread of an order is suspended.
enum class SuspendedAt : uint8_t { BeforeConnecting, BeforeWriting };

std::ostream &operator<<(std::ostream &Out, SuspendedAt At) {
  return Out << (At == SuspendedAt::BeforeConnecting ? "before connecting"
                                                     : "before writing");
}

/// The platform's calls, with a thread that is suspended for \p Length after it
/// has read the engine's state and before it sends the order.
OrderDialect suspendedDialect(SuspendedAt At, Duration Length) {
  OrderDialect Dialect = platform::orderDialect({"10.0.0.1"});
  auto IsOrder = std::make_shared<std::atomic<bool>>(false);
  Dialect.Body = [=, Inner = Dialect.Body](const control::SendOrder &Request,
                                           uint64_t OrdersBefore) {
    *IsOrder = true;
    if (At == SuspendedAt::BeforeConnecting)
      std::this_thread::sleep_for(Length);
    return Inner(Request, OrdersBefore);
  };
  Dialect.Headers = [=, Inner = Dialect.Headers](const TargetId &Target) {
    if (At == SuspendedAt::BeforeWriting && *IsOrder)
      std::this_thread::sleep_for(Length);
    return Inner(Target);
  };
  return Dialect;
}

} // namespace

// A holder of the lease that is suspended between its last look at the clock
// and the send must not send its order after the deadline: by then the lease
// has ended, and the next holder gives its own orders.
BOOST_DATA_TEST_CASE(a_suspended_holder_sends_nothing_after_the_deadline,
                     data::make({SuspendedAt::BeforeConnecting,
                                 SuspendedAt::BeforeWriting})) {
  RecordingEngine Engine;
  EndedOrders Ended;
  OrderSender Suspended(
      [&](const control::OrderEnded &Order) { Ended.add(Order); },
      suspendedDialect(sample, 1500ms), 1);
  Suspended.send(orderFor(Engine.address(), 1, 1));
  BOOST_REQUIRE(Ended.await(1));
  BOOST_TEST(Engine.orders().empty());
}

// The same in the native interface, for an order that waited in the queue.
BOOST_AUTO_TEST_CASE(a_native_order_is_not_sent_after_its_deadline) {
  RecordingEngine Engine;
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); });
  control::SendOrder Late = orderFor(Engine.address(), 1, 1);
  Late.Deadline = steadyNow() - 1ms;
  Sender.send(Late);
  BOOST_REQUIRE(Ended.await(1));
  BOOST_TEST(Engine.orders().empty());
  BOOST_TEST((Ended.Outcomes.front() == control::OrderOutcome::NotSent));
}

// Two holders act during a handover: the answer to the first one's order is
// lost, it is suspended before it sends the order again, and the second holder
// orders the same engine. The engine gets one order in all.
BOOST_AUTO_TEST_CASE(two_holders_send_an_order_once_when_answers_are_lost) {
  RecordingEngine Engine(/*DropsAnswers=*/true);
  EndedOrders EndedFirst;
  EndedOrders EndedSecond;
  OrderSender FirstSender(
      [&](const control::OrderEnded &Order) { EndedFirst.add(Order); },
      suspendedDialect(SuspendedAt::BeforeWriting, 200ms), 1);
  OrderSender SecondSender(
      [&](const control::OrderEnded &Order) { EndedSecond.add(Order); },
      platform::orderDialect({"10.0.0.2"}), 1);
  FirstSender.send(orderFor(Engine.address(), 1, 1));
  Timestamp Limit = steadyNow() + 5s;
  while (Engine.orders().empty() && steadyNow() < Limit)
    std::this_thread::sleep_for(5ms);
  control::SendOrder Next = orderFor(Engine.address(), 1, 1);
  Next.Fencing = {2};
  SecondSender.send(Next);
  BOOST_REQUIRE(EndedFirst.await(1));
  BOOST_REQUIRE(EndedSecond.await(1));
  BOOST_TEST(Engine.orders().size() == 1U);
  BOOST_TEST((EndedFirst.Outcomes.front() == control::OrderOutcome::Lost));
  // NotSent if the last read of the state came too late.
  control::OrderOutcome Second = EndedSecond.Outcomes.front();
  BOOST_TEST((Second == control::OrderOutcome::Busy ||
              Second == control::OrderOutcome::NotSent));
}

// A thread was taken for the whole watch of a load, so that the orders to
// further engines waited until their deadlines and were not sent.
BOOST_AUTO_TEST_CASE(watched_engines_take_no_thread) {
  std::vector<std::unique_ptr<RecordingEngine>> Engines;
  for (int Count = 0; Count < 8; ++Count)
    Engines.push_back(std::make_unique<RecordingEngine>());
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); },
      platform::orderDialect({"10.0.0.1"}), 1);
  for (size_t Index = 0; Index < Engines.size(); ++Index)
    Sender.send(orderFor(Engines[Index]->address(), 1, Index + 1));
  BOOST_REQUIRE(Ended.await(Engines.size()));
  for (const auto &Engine : Engines)
    BOOST_TEST(Engine->orders().size() == 1U);
  for (control::OrderOutcome Outcome : Ended.Outcomes)
    BOOST_TEST((Outcome == control::OrderOutcome::Accepted));
}

// An order that waits for a thread until its deadline says nothing of its
// engine, which counted as unreachable.
BOOST_AUTO_TEST_CASE(an_order_that_no_thread_takes_is_not_the_engines_failure) {
  fakes::FakeScriptedTarget Frozen(
      [](const fakes::ReceivedRequest &, fakes::ScriptedConnection &) {
        std::this_thread::sleep_for(1500ms);
      });
  RecordingEngine Other;
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); },
      platform::orderDialect({"10.0.0.1"}), 1);
  Sender.send(orderFor(Frozen.address(), 1, 1));
  control::SendOrder Next = orderFor(Other.address(), 1, 2);
  Next.Deadline = steadyNow() + 500ms;
  Sender.send(Next);
  BOOST_REQUIRE(Ended.await(2));
  BOOST_TEST(Other.orders().empty());
  BOOST_TEST((Ended.Outcomes[0] == control::OrderOutcome::NotSent));
  BOOST_TEST((Ended.Outcomes[1] == control::OrderOutcome::NotTaken));
}

// An engine that accepts an order and then connections, and answers none of its
// reads, held its thread for the whole watch too.
BOOST_AUTO_TEST_CASE(an_engine_without_answers_leaves_its_thread_to_others) {
  std::atomic<bool> HasOrder = false;
  fakes::FakeScriptedTarget Frozen([&](const fakes::ReceivedRequest &Request,
                                       fakes::ScriptedConnection &Link) {
    if (Request.Head.getMethod() == "POST") {
      HasOrder = true;
      Link.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (HasOrder) {
      std::this_thread::sleep_for(5s);
      return;
    }
    std::string Report =
        R"({"models":[{"name":"m0","version":1}],"busy":false,"seq":0})";
    Link.write("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(Report.size()) + "\r\n\r\n" + Report);
  });
  RecordingEngine Other;
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); },
      platform::orderDialect({"10.0.0.1"}), 1);
  Sender.send(orderFor(Frozen.address(), 1, 1));
  // The thread reads the state of the engine from then on.
  std::this_thread::sleep_for(1200ms);
  control::SendOrder Next = orderFor(Other.address(), 1, 2);
  Next.Target = {"i-2"};
  Next.Deadline = steadyNow() + 2s;
  Sender.send(Next);
  BOOST_REQUIRE(Ended.await(2));
  BOOST_TEST(Other.orders().size() == 1U);
}

// An engine that got its order beside running requests ended them under its
// slot, for seconds in which no other engine could load.
BOOST_AUTO_TEST_CASE(an_order_waits_for_running_requests) {
  std::atomic<int> Running = 3;
  std::mutex Mutex;
  std::vector<std::string> Orders;
  fakes::FakeScriptedTarget Engine([&](const fakes::ReceivedRequest &Request,
                                       fakes::ScriptedConnection &Link) {
    std::lock_guard Lock(Mutex);
    if (Request.Head.getMethod() != "GET") {
      Orders.push_back(Request.Body);
      Link.write("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    std::string Report =
        R"({"models":[{"name":"m0","version":1}],"busy":false,"seq":0,)"
        R"("active":)" +
        std::to_string(Running) + "}";
    Link.write("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(Report.size()) + "\r\n\r\n" + Report);
  });
  EndedOrders Ended;
  OrderSender Sender(
      [&](const control::OrderEnded &Order) { Ended.add(Order); },
      platform::orderDialect({"10.0.0.1"}), 1);
  auto SendWith = [&](control::RunningRequests Fate) {
    size_t Before = Ended.Outcomes.size();
    control::SendOrder Request = orderFor(Engine.address(), 1, Before + 1);
    Request.Running = Fate;
    Sender.send(Request);
    BOOST_REQUIRE(Ended.await(Before + 1));
    return Ended.Outcomes.back();
  };
  BOOST_TEST((SendWith(control::RunningRequests::Await) ==
              control::OrderOutcome::Serving));
  BOOST_TEST(Orders.empty());
  SendWith(control::RunningRequests::GoOn);
  Running = 0;
  SendWith(control::RunningRequests::Await);
  std::lock_guard Lock(Mutex);
  BOOST_REQUIRE(Orders.size() == 2U);
  BOOST_TEST(Orders[0].find(R"("mode":"retain")") != std::string::npos);
  BOOST_TEST(Orders[1].find(R"("mode":"block")") != std::string::npos);
}

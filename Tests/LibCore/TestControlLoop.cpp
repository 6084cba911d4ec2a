#include "LibCore/ControlLoop.h"
#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <thread>
#include <unistd.h>

using namespace ferry;

BOOST_AUTO_TEST_CASE(timers_run_in_order_of_their_deadlines) {
  ControlLoop Loop;
  std::vector<int> Order;
  Timestamp Start = steadyNow();
  Loop.at(Start + std::chrono::milliseconds(2), [&] {
    Order.push_back(2);
    Loop.stop();
  });
  Loop.at(Start + std::chrono::milliseconds(1), [&] { Order.push_back(1); });
  auto Cancelled = Loop.at(Start + std::chrono::milliseconds(1),
                           [&] { Order.push_back(9); });
  Loop.cancel(Cancelled);
  Loop.run();
  BOOST_TEST(Order == (std::vector<int>{1, 2}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(post_from_another_thread_wakes_the_loop) {
  ControlLoop Loop;
  std::thread::id TaskThread;
  std::thread LoopThread([&] { Loop.run(); });
  Loop.post([&] {
    TaskThread = std::this_thread::get_id();
    Loop.stop();
  });
  std::thread::id LoopThreadId = LoopThread.get_id();
  LoopThread.join();
  BOOST_TEST((TaskThread == LoopThreadId));
}

// One message or timer that fails unexpectedly must not end the process, nor
// keep the loop from its other work.
BOOST_AUTO_TEST_CASE(a_task_that_throws_ends_alone) {
  std::vector<std::string> Reasons;
  ControlLoop Loop(
      [&](std::string_view Reason) { Reasons.emplace_back(Reason); });
  int Pipe[2];
  BOOST_REQUIRE(pipe(Pipe) == 0);
  BOOST_REQUIRE(write(Pipe[1], "x", 1) == 1);
  int Ran = 0;
  Loop.post([] { throw std::runtime_error("posted"); });
  Loop.post([&] { ++Ran; });
  Loop.at(steadyNow(), [] { throw std::out_of_range("timer"); });
  Loop.at(steadyNow(), [&] { ++Ran; });
  Loop.watch(Pipe[0], Readiness::Read, [&] {
    Loop.unwatch(Pipe[0]);
    throw std::bad_alloc();
  });
  Loop.at(steadyNow() + std::chrono::milliseconds(50), [&] {
    ++Ran;
    Loop.stop();
  });
  Loop.run();
  close(Pipe[0]);
  close(Pipe[1]);
  BOOST_TEST(Ran == 3);
  BOOST_TEST(Reasons.size() == 3U);
  BOOST_TEST(Reasons.front() == "posted");
}

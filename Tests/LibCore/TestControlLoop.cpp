#include "LibCore/ControlLoop.h"
#include <boost/test/unit_test.hpp>
#include <thread>

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

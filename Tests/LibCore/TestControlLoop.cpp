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
  auto Dropped = Loop.at(Start + std::chrono::milliseconds(1),
                         [&] { Order.push_back(9); });
  Loop.cancel(Dropped);
  Loop.run();
  BOOST_TEST(Order == (std::vector<int>{1, 2}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(post_from_another_thread_wakes_the_loop) {
  ControlLoop Loop;
  std::thread::id Ran;
  std::thread Runner([&] { Loop.run(); });
  Loop.post([&] {
    Ran = std::this_thread::get_id();
    Loop.stop();
  });
  std::thread::id Expected = Runner.get_id();
  Runner.join();
  BOOST_TEST((Ran == Expected));
}

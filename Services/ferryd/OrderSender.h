/// \file
/// Sends orders to engines over HTTP, off the control thread.
#ifndef FERRY_FERRYD_ORDERSENDER_H
#define FERRY_FERRYD_ORDERSENDER_H

#include "LibControl/ReconcilerEvents.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::daemon {

/// \returns the JSON body of \p Sent.
std::string orderBody(const control::SendOrder &Sent);

/// A few threads that send orders one at a time each. Safe from any thread.
class OrderSender {
public:
  /// Called on a sending thread with the order's end.
  using Callback = std::function<void(control::OrderAnswered)>;

  explicit OrderSender(Callback Done);
  ~OrderSender();
  OrderSender(const OrderSender &) = delete;
  OrderSender &operator=(const OrderSender &) = delete;

  /// Queues \p Sent; after its deadline nothing of it is sent any more.
  void send(control::SendOrder Sent);

private:
  void work();
  static control::OrderOutcome carryOut(const control::SendOrder &Sent);

  Callback Done;
  std::mutex Mutex;
  std::condition_variable Wanted;
  std::deque<control::SendOrder> Queue;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace ferry::daemon

#endif

/// \file
/// Sends orders to engines over HTTP, off the control thread.
#ifndef FERRY_FERRYD_ORDERSENDER_H
#define FERRY_FERRYD_ORDERSENDER_H

#include "LibControl/ReconcilerEvents.h"
#include "ferryd/OrderDialect.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::daemon {

/// How long a sender watches an engine for the effect of an order.
inline constexpr Duration OrderWatchLimit = std::chrono::seconds(4);

/// \returns the JSON body of \p Sent.
std::string orderBody(const control::SendOrder &Sent);

/// A few threads that send orders one at a time each. Safe from any thread.
class OrderSender {
public:
  /// Called on a sending thread with the order's end.
  using Callback = std::function<void(control::OrderEnded)>;

  /// \param Dialect of engines that are watched until an order shows its
  /// effect; nothing for the native interface.
  explicit OrderSender(Callback Done,
                       std::optional<OrderDialect> Dialect = std::nullopt,
                       size_t SendingThreads = 4);
  ~OrderSender();
  OrderSender(const OrderSender &) = delete;
  OrderSender &operator=(const OrderSender &) = delete;

  /// Queues \p Sent; after its deadline nothing of it is sent any more.
  void send(control::SendOrder Sent);

private:
  void work();
  static control::OrderOutcome carryOut(const control::SendOrder &Sent);
  control::OrderOutcome carryOutWatched(const control::SendOrder &Sent);
  std::optional<EngineState> askState(const control::SendOrder &Sent,
                                      Timestamp Deadline) const;
  /// \returns the status of the answer to one sending, 0 for none.
  int sendOnce(const control::SendOrder &Sent, uint64_t OrdersBefore) const;
  bool watch(const control::SendOrder &Sent);
  /// Waits for \p Pause. \returns false if this object is to go meanwhile.
  bool pause(Duration Pause);

  Callback Done;
  std::optional<OrderDialect> Dialect;
  std::mutex Mutex;
  std::condition_variable Wanted;
  std::deque<control::SendOrder> Queue;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace ferry::daemon

#endif

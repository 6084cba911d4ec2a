/// \file
/// Sends orders to engines over HTTP, on threads of its own.
#ifndef FERRY_FERRYD_ORDERSENDER_H
#define FERRY_FERRYD_ORDERSENDER_H

#include "LibControl/ReconcilerEvents.h"
#include "LibRouting/TargetSignals.h"
#include "ferryd/OrderDialect.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::daemon {

/// How long a thread watches an engine for the effect of an accepted order.
inline constexpr Duration OrderWatchLimit = std::chrono::seconds(4);

/// \returns the native interface's JSON body of \p Request.
std::string orderBody(const control::SendOrder &Request);

/// A pool of threads, each of which sends one order at a time. Safe to call
/// from any thread.
class OrderSender {
public:
  /// Called on a sending thread once the order has ended.
  using Callback = std::function<void(control::OrderEnded)>;

  /// \param Dialect the calls of engines that are watched until they show the
  /// effect of an order; nothing for the native interface.
  explicit OrderSender(Callback Done,
                       std::optional<OrderDialect> Dialect = std::nullopt,
                       size_t SendingThreads = 4);
  ~OrderSender();
  OrderSender(const OrderSender &) = delete;
  OrderSender &operator=(const OrderSender &) = delete;

  /// Queues \p Request; it is not sent after its deadline.
  void send(control::SendOrder Request);

private:
  void work();
  static control::OrderOutcome deliver(const control::SendOrder &Request);
  /// \param Progress what is seen of the order on its way.
  control::OrderOutcome deliverAndWatch(const control::SendOrder &Request,
                                        control::OrderProgress &Progress);

  /// A call of the dialect.
  struct EngineCall {
    std::string Method;
    std::string Path;
    std::string Body;
  };

  /// Calls the engine, unless it has asked this host for a pause.
  /// \returns the connection with the head of the answer; nullptr if none came.
  std::unique_ptr<traffic::TargetConnection>
  call(const control::SendOrder &Request, const EngineCall &Call,
       Timestamp Deadline);
  bool isPaused(const control::SendOrder &Request);
  void notePause(const control::SendOrder &Request, Timestamp Until);
  std::optional<EngineState> fetchState(const control::SendOrder &Request,
                                        Timestamp Deadline);
  /// Sends the order once.
  /// \returns the HTTP status of the answer, 0 if there was none.
  int sendOnce(const control::SendOrder &Request, uint64_t OrdersBefore);
  /// Watches the engine for up to OrderWatchLimit. \returns whether it has
  /// shown the effect of the order.
  bool watch(const control::SendOrder &Request,
             control::OrderProgress &Progress);
  /// Waits for \p Pause. \returns false if this object is being destroyed.
  bool pause(Duration Pause);

  Callback Done;
  std::optional<OrderDialect> Dialect;
  std::mutex Mutex;
  routing::TargetSignals Signals;
  std::condition_variable Wakeup;
  std::deque<control::SendOrder> Queue;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace ferry::daemon

#endif

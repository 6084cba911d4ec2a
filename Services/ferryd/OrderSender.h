/// \file
/// Sends orders to engines over HTTP, on threads of its own.
#ifndef FERRY_FERRYD_ORDERSENDER_H
#define FERRY_FERRYD_ORDERSENDER_H

#include "LibControl/ReconcilerEvents.h"
#include "LibRouting/TargetSignals.h"
#include "ferryd/DueQueue.h"
#include "ferryd/OrderDialect.h"
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::daemon {

/// How long an engine is watched for the effect of an accepted order.
inline constexpr Duration OrderWatchLimit = std::chrono::seconds(4);

/// \returns the native interface's JSON body of \p Request.
std::string orderBody(const control::SendOrder &Request);

/// Sends orders on a pool of threads. A thread makes one call to an engine at a
/// time; between two calls an order waits in a queue, so that the number of
/// threads doesn't limit the number of orders under way. Safe to call from any
/// thread.
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
  /// An order on its way.
  struct Delivery {
    control::SendOrder Request;
    control::OrderProgress Progress = {};
    bool MayHaveArrived = false;
    /// The engine carried out an order when its state was read last.
    bool Busy = false;
    /// Until when the engine is watched; nothing before it has accepted.
    std::optional<Timestamp> WatchUntil = std::nullopt;
  };
  /// How an order has ended, or when its next step is due.
  using StepResult = std::variant<control::OrderOutcome, Timestamp>;

  void work();
  void runStep(Delivery Item);
  static control::OrderOutcome deliver(const control::SendOrder &Request);
  /// Reads the engine's state and sends the order once if it needs it.
  StepResult tryOrder(Delivery &Item);
  /// Looks once whether the engine shows the effect of the accepted order.
  StepResult watch(Delivery &Item);

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

  Callback Done;
  std::optional<OrderDialect> Dialect;
  /// Held while an engine's state is parsed.
  std::mutex ReadingMutex;
  std::mutex Mutex;
  /// Guarded by Mutex.
  routing::TargetSignals Signals;
  DueQueue<Delivery> Queue;
  std::vector<std::thread> Threads;
};

} // namespace ferry::daemon

#endif

/// \file
/// Gives request threads the decisions of the Scheduler.
#ifndef FERRY_LIBTRAFFIC_DISPATCHER_H
#define FERRY_LIBTRAFFIC_DISPATCHER_H

#include "LibCore/Result.h"
#include "LibRouting/Scheduler.h"
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace ferry::traffic {

/// Where a request goes, or why it goes nowhere.
using Placement = Result<routing::Dispatch, routing::Refusal>;

/// Asked while a request waits: whether its caller has gone away.
using CallerGone = std::function<bool()>;

/// Owns the Scheduler behind a mutex. All functions are safe from any thread.
class Dispatcher {
public:
  explicit Dispatcher(routing::Scheduler Owned);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Submits a request and waits for its placement until its deadline. Ids of
  /// requests in hand must differ.
  Placement submit(routing::SubmitRequest Request, const CallerGone &Gone);
  Placement submit(routing::SubmitCall Call, const CallerGone &Gone);

  /// Reports the first byte of an answer.
  void firstByte(const RequestId &Id, uint64_t CachedTokens);

  /// Reports a try that needs no other one: it succeeded or was cancelled.
  void finished(const RequestId &Id, routing::TryOutcome Outcome);

  /// Reports a try that failed and waits for the next placement.
  Placement retry(const RequestId &Id, routing::TryOutcome Outcome,
                  Timestamp Deadline, const CallerGone &Gone);

  /// Passes on a batch of cache events.
  void cacheEvents(cache::CacheEventBatch Batch);

  /// Takes a new snapshot from the control thread. The Scheduler is not shown a
  /// drain: the servers refuse new work once the entries have expired.
  void setView(routing::RoutingViewPtr View);

  /// \returns the newest snapshot; never nullptr.
  routing::RoutingViewPtr view() const;

  /// \returns the number of requests that wait for a placement.
  size_t waiting() const;

  /// \returns the Scheduler's figures.
  routing::SchedulerStatus status() const;

private:
  /// A request thread that waits; lives on that thread's stack.
  struct Waiter {
    std::condition_variable Decided;
    std::optional<Placement> Answer;
  };

  Placement await(routing::SchedulerEvent Event, const RequestId &Id,
                  Timestamp Deadline, const CallerGone &Gone);
  void step(routing::SchedulerEvent Event);
  void deliver(const RequestId &Id, Placement Answer,
               std::vector<RequestId> &Orphans);
  void tickUntilStopped();

  mutable std::mutex Mutex;
  routing::Scheduler Owned;
  std::unordered_map<RequestId, Waiter *> Waiters;
  std::condition_variable TickWanted;
  bool Stopping = false;
  mutable std::mutex ViewMutex;
  routing::RoutingViewPtr View;
  std::thread Ticker;
};

} // namespace ferry::traffic

#endif

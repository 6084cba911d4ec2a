/// \file
/// Lets request threads wait for decisions of the Scheduler.
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

/// The target that a request is sent to, or why it is refused.
using Placement = Result<routing::Dispatch, routing::Refusal>;

/// Checks whether the caller of a waiting request has closed its connection.
using CallerGoneCheck = std::function<bool()>;

/// Owns the Scheduler and guards it by a mutex. All functions are thread-safe.
class Dispatcher {
public:
  explicit Dispatcher(routing::Scheduler RequestScheduler);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Submits a request and blocks until its placement or its deadline. Requests
  /// in progress must have different ids.
  Placement submit(routing::SubmitRequest Request,
                   const CallerGoneCheck &IsGone);
  Placement submit(routing::SubmitCall Call, const CallerGoneCheck &IsGone);

  /// Reports the first byte of an answer.
  void firstByte(const RequestId &Id, uint64_t CachedTokens);

  /// Reports how the last attempt of a request ended.
  void finished(const RequestId &Id, routing::TryOutcome Outcome);

  /// Reports a failed attempt and blocks until the next placement.
  Placement retry(const RequestId &Id, routing::TryOutcome Outcome,
                  Timestamp Deadline, const CallerGoneCheck &IsGone);

  /// Passes a batch of cache events to the Scheduler.
  void cacheEvents(cache::CacheEventBatch Batch);

  /// Sets a new snapshot from the control thread. The Scheduler never sees this
  /// host as draining, because the servers themselves refuse new requests once
  /// the entries have expired.
  void setView(routing::RoutingViewPtr View);

  /// \returns the newest snapshot; never nullptr.
  routing::RoutingViewPtr view() const;

  /// \returns the number of requests that wait for a placement.
  size_t waiting() const;

  /// \returns the Scheduler's status.
  routing::SchedulerStatus status() const;

private:
  /// A waiting request thread. Lives on that thread's stack.
  struct Waiter {
    std::condition_variable Decided;
    std::optional<Placement> Answer;
  };

  Placement await(routing::SchedulerEvent Event, const RequestId &Id,
                  Timestamp Deadline, const CallerGoneCheck &IsGone);
  void step(routing::SchedulerEvent Event);
  void deliver(const RequestId &Id, Placement Answer,
               std::vector<RequestId> &Orphans);
  void tickUntilStopped();

  mutable std::mutex Mutex;
  routing::Scheduler RequestScheduler;
  struct WaiterGuard;
  std::unordered_map<RequestId, Waiter *> Waiters;
  std::condition_variable TickNeeded;
  bool Stopping = false;
  mutable std::mutex ViewMutex;
  routing::RoutingViewPtr View;
  std::thread Ticker;
};

} // namespace ferry::traffic

#endif

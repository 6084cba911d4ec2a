/// \file
/// Blocks a traffic thread until the control thread replies.
#ifndef FERRY_LIBTRAFFIC_AWAITREPLY_H
#define FERRY_LIBTRAFFIC_AWAITREPLY_H

#include "LibCore/Time.h"
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace ferry::traffic {

/// Calls \p Request with a callback and blocks until the callback has run or
/// \p Deadline has passed. A callback that runs later has no effect.
/// \returns the value that the callback received, or nothing at the deadline.
template <typename ValueType, typename RequestType>
std::optional<ValueType> awaitReply(Timestamp Deadline, RequestType &&Request) {
  struct SharedState {
    std::mutex Mutex;
    std::condition_variable Arrived;
    std::optional<ValueType> Value;
  };
  auto State = std::make_shared<SharedState>();
  Request([State](ValueType Value) {
    std::lock_guard Lock(State->Mutex);
    State->Value.emplace(std::move(Value));
    State->Arrived.notify_all();
  });
  std::unique_lock Lock(State->Mutex);
  State->Arrived.wait_until(Lock, Deadline,
                            [&] { return State->Value.has_value(); });
  return std::move(State->Value);
}

} // namespace ferry::traffic

#endif

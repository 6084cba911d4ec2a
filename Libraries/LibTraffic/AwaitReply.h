/// \file
/// Waits on a traffic thread for an answer of the control thread.
#ifndef FERRY_LIBTRAFFIC_AWAITREPLY_H
#define FERRY_LIBTRAFFIC_AWAITREPLY_H

#include "LibCore/Time.h"
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace ferry::traffic {

/// Calls \p Ask with a callback and waits until it ran or \p Deadline passed.
/// The callback may still run later; what it brings is then dropped.
/// \returns the value given to the callback, or nothing at the deadline.
template <typename ValueType, typename AskType>
std::optional<ValueType> awaitReply(Timestamp Deadline, AskType &&Ask) {
  struct Shared {
    std::mutex Mutex;
    std::condition_variable Arrived;
    std::optional<ValueType> Value;
  };
  auto State = std::make_shared<Shared>();
  Ask([State](ValueType Value) {
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

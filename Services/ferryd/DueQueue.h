/// \file
/// A queue of work that threads take when it is due.
#ifndef FERRY_FERRYD_DUEQUEUE_H
#define FERRY_FERRYD_DUEQUEUE_H

#include "LibCore/Time.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace ferry::daemon {

/// Items with the times at which they are due. Safe to call from any thread.
template <typename ItemType> class DueQueue {
public:
  /// Adds \p Item, which is taken at \p DueAt or later.
  void add(Timestamp DueAt, ItemType Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Added = Items.emplace(DueAt, std::move(Item));
    if (Added != Items.begin())
      return;
    if (HasTimedWaiter)
      TimedWaiter.notify_one();
    else
      OtherWaiters.notify_one();
  }

  /// Waits for the next item that is due.
  /// \returns nothing once stop() was called.
  std::optional<ItemType> take() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (!Stopped) {
      Timestamp Now = steadyNow();
      if (!Items.empty() && Items.begin()->first <= Now)
        return takeFirst();
      // One thread waits for the time of the first item, so that the others
      // don't wake up for it.
      if (Items.empty() || HasTimedWaiter) {
        OtherWaiters.wait(Lock);
        continue;
      }
      HasTimedWaiter = true;
      TimedWaiter.wait_for(Lock, Items.begin()->first - Now);
      HasTimedWaiter = false;
    }
    return std::nullopt;
  }

  /// Ends all calls of take().
  void stop() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopped = true;
    TimedWaiter.notify_all();
    OtherWaiters.notify_all();
  }

private:
  ItemType takeFirst() {
    ItemType First = std::move(Items.begin()->second);
    Items.erase(Items.begin());
    if (!Items.empty() && !HasTimedWaiter)
      OtherWaiters.notify_one();
    return First;
  }

  std::mutex Mutex;
  std::condition_variable TimedWaiter;
  std::condition_variable OtherWaiters;
  bool HasTimedWaiter = false;
  bool Stopped = false;
  std::multimap<Timestamp, ItemType> Items;
};

} // namespace ferry::daemon

#endif

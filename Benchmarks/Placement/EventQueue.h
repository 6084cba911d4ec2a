/// \file
/// A virtual clock that runs actions in the order of their times.
#ifndef FERRY_BENCHMARKS_PLACEMENT_EVENTQUEUE_H
#define FERRY_BENCHMARKS_PLACEMENT_EVENTQUEUE_H

#include "LibCore/Time.h"
#include <functional>
#include <queue>
#include <vector>

namespace ferry::bench {

class EventQueue {
public:
  using Action = std::function<void()>;

  Timestamp now() const { return Now; }

  /// Runs \p Work at \p When, or now if that has passed, after the actions that
  /// were queued earlier for the same time.
  void at(Timestamp When, Action Work) {
    Items.push({std::max(When, Now), NextOrder++, std::move(Work)});
  }

  /// Runs \p Work after \p Delay.
  void after(Duration Delay, Action Work) { at(Now + Delay, std::move(Work)); }

  /// Runs all actions up to \p End and sets the clock to it.
  void runUntil(Timestamp End) {
    while (!Items.empty() && Items.top().When <= End) {
      Action Work = std::move(const_cast<Item &>(Items.top()).Work);
      Now = Items.top().When;
      Items.pop();
      Work();
    }
    Now = End;
  }

private:
  struct Item {
    Timestamp When;
    uint64_t Order;
    Action Work;
    bool operator<(const Item &Other) const {
      return When != Other.When ? When > Other.When : Order > Other.Order;
    }
  };

  Timestamp Now{std::chrono::seconds(1000)};
  uint64_t NextOrder = 0;
  std::priority_queue<Item> Items;
};

} // namespace ferry::bench

#endif

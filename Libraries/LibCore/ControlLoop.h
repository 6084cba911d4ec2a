/// \file
/// The event loop of the control thread: tasks, timers and socket readiness.
#ifndef FERRY_LIBCORE_CONTROLLOOP_H
#define FERRY_LIBCORE_CONTROLLOOP_H

#include "LibCore/Time.h"
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

namespace ferry {

/// The readiness of a descriptor that a watch waits for.
enum class Readiness : uint8_t { Read, ReadWrite };

/// Runs posted tasks, timers and descriptor callbacks on the thread that calls
/// run(). Only post() and stop() may be called from other threads.
class ControlLoop {
public:
  using Task = std::function<void()>;
  using TimerId = std::pair<Timestamp, uint64_t>;

  /// Called on the loop's thread with the reason for which a task ended early.
  using FailureHook = std::function<void(std::string_view Reason)>;

  /// A task that throws ends early; the loop goes on with the next one, since
  /// an exception that left run() would end the process.
  explicit ControlLoop(FailureHook OnTaskFailed = [](std::string_view) {});
  ~ControlLoop();
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;

  /// Queues \p Work; safe to call from any thread.
  void post(Task Work);

  /// Runs \p Work once at \p Deadline. \returns an id for cancel().
  TimerId at(Timestamp Deadline, Task Work);

  /// Cancels a timer; does nothing if it has run.
  void cancel(TimerId Timer);

  /// Calls \p Ready whenever \p Descriptor is ready; replaces an earlier watch
  /// on it.
  void watch(int Descriptor, Readiness Interest, Task Ready);

  /// Ends the watch on \p Descriptor.
  void unwatch(int Descriptor);

  /// Runs until stop().
  void run();

  /// Makes the current run(), or else the next one, return after the current
  /// task; safe to call from any thread.
  void stop();

private:
  struct Watch {
    Readiness Interest;
    std::shared_ptr<Task> Ready;
  };

  void runTask(const Task &Work);
  void runPosted();
  void runTimers();
  void pollDescriptors();
  int pollTimeoutMillis();

  FailureHook OnTaskFailed;
  int WakeDescriptor;
  std::mutex Mutex;
  std::vector<Task> Posted;
  bool Stopping = false;
  std::map<TimerId, Task> Timers;
  uint64_t NextTimer = 0;
  std::map<int, Watch> Watches;
};

} // namespace ferry

#endif

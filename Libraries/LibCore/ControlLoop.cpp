#include "LibCore/ControlLoop.h"
#include <algorithm>
#include <cassert>
#include <cerrno>
#include <exception>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace ferry {

/// Longest wait when no timer is set.
static constexpr int IdlePollMillis = 1000;

ControlLoop::ControlLoop(FailureHook OnTaskFailed)
    : OnTaskFailed(std::move(OnTaskFailed)),
      WakeDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  assert(WakeDescriptor >= 0 && "the process must have a free descriptor");
}

ControlLoop::~ControlLoop() { close(WakeDescriptor); }

void ControlLoop::post(Task Work) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Posted.push_back(std::move(Work));
  }
  eventfd_write(WakeDescriptor, 1);
}

ControlLoop::TimerId ControlLoop::at(Timestamp Deadline, Task Work) {
  TimerId Timer{Deadline, NextTimer++};
  Timers.emplace(Timer, std::move(Work));
  return Timer;
}

void ControlLoop::cancel(TimerId Timer) { Timers.erase(Timer); }

void ControlLoop::watch(int Descriptor, Readiness Interest, Task Ready) {
  Watches[Descriptor] = {Interest, std::make_shared<Task>(std::move(Ready))};
}

void ControlLoop::unwatch(int Descriptor) { Watches.erase(Descriptor); }

void ControlLoop::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  eventfd_write(WakeDescriptor, 1);
}

void ControlLoop::run() {
  while (true) {
    runPosted();
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (std::exchange(Stopping, false))
        return;
    }
    runTimers();
    pollDescriptors();
  }
}

void ControlLoop::runTask(const Task &Work) {
  try {
    Work();
  } catch (const std::exception &Failure) {
    OnTaskFailed(Failure.what());
  }
}

void ControlLoop::runPosted() {
  std::vector<Task> Tasks;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Tasks.swap(Posted);
  }
  for (const Task &Work : Tasks)
    runTask(Work);
}

void ControlLoop::runTimers() {
  Timestamp Now = steadyNow();
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    auto Expired = Timers.extract(Timers.begin());
    runTask(Expired.mapped());
  }
}

int ControlLoop::pollTimeoutMillis() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!Posted.empty() || Stopping)
      return 0;
  }
  if (Timers.empty())
    return IdlePollMillis;
  int64_t Wait = millisUntil(Timers.begin()->first.first, steadyNow());
  // Rounded up, so that the loop does not spin through the last millisecond.
  return static_cast<int>(std::min<int64_t>(Wait + 1, IdlePollMillis));
}

void ControlLoop::pollDescriptors() {
  std::vector<pollfd> Polled;
  Polled.push_back({WakeDescriptor, POLLIN, 0});
  for (const auto &[Descriptor, Entry] : Watches) {
    short Events = POLLIN;
    if (Entry.Interest == Readiness::ReadWrite)
      Events |= POLLOUT;
    Polled.push_back({Descriptor, Events, 0});
  }
  int Count = poll(Polled.data(), Polled.size(), pollTimeoutMillis());
  if (Count <= 0)
    return;
  eventfd_t Wakes;
  if (Polled.front().revents != 0)
    eventfd_read(WakeDescriptor, &Wakes);
  for (size_t Index = 1; Index < Polled.size(); ++Index) {
    if (Polled[Index].revents == 0)
      continue;
    // An earlier callback of this round may have ended the watch.
    auto Position = Watches.find(Polled[Index].fd);
    if (Position == Watches.end())
      continue;
    std::shared_ptr<Task> Ready = Position->second.Ready;
    runTask(*Ready);
  }
}

} // namespace ferry

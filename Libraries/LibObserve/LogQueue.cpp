#include "LibObserve/LogQueue.h"
#include <algorithm>
#include <utility>

namespace ferry::observe {

LogQueue::LogQueue(Writer Write, Limits Chosen)
    : Write(std::move(Write)), Chosen(Chosen), Tokens(Chosen.Burst),
      Thread([this] { writeUntilStopped(); }) {}

LogQueue::~LogQueue() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wanted.notify_all();
  Thread.join();
}

bool LogQueue::mayPass(Timestamp Now) {
  if (Now > FilledAt) {
    double Seconds = double((Now - FilledAt).count()) / 1e6;
    Tokens = std::min(Chosen.Burst, Tokens + Seconds * Chosen.LinesPerSecond);
  }
  FilledAt = std::max(FilledAt, Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void LogQueue::push(std::string Line, LineWeight Weight, Timestamp Now) {
  {
    std::lock_guard Lock(Mutex);
    bool Passes = Weight == LineWeight::Important || mayPass(Now);
    if (!Passes || Waiting.size() >= Chosen.MaxWaiting) {
      ++LeftOut;
      ++LeftOutSinceLine;
      return;
    }
    if (LeftOutSinceLine > 0)
      Line += " lines_left_out=" +
              std::to_string(std::exchange(LeftOutSinceLine, 0));
    Waiting.push_back(std::move(Line));
  }
  Wanted.notify_one();
}

void LogQueue::writeUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (true) {
    Wanted.wait(Lock, [this] { return Stopping || !Waiting.empty(); });
    if (Waiting.empty())
      return;
    std::deque<std::string> Batch = std::exchange(Waiting, {});
    Writing = true;
    Lock.unlock();
    for (const std::string &Line : Batch)
      Write(Line);
    Lock.lock();
    Writing = false;
    Written.notify_all();
  }
}

void LogQueue::flush(Timestamp Deadline) {
  std::unique_lock Lock(Mutex);
  Written.wait_until(Lock, Deadline,
                     [this] { return Waiting.empty() && !Writing; });
}

uint64_t LogQueue::leftOut() const {
  std::lock_guard Lock(Mutex);
  return LeftOut;
}

} // namespace ferry::observe

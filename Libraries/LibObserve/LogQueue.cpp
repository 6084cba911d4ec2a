#include "LibObserve/LogQueue.h"
#include <algorithm>
#include <utility>

namespace ferry::observe {

LogQueue::LogQueue(Writer Write, Limits QueueLimits)
    : Write(std::move(Write)), QueueLimits(QueueLimits),
      AvailableTokens(QueueLimits.Burst),
      Thread([this] { writeUntilStopped(); }) {}

LogQueue::~LogQueue() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  WorkAvailable.notify_all();
  Thread.join();
}

bool LogQueue::tryTakeToken(Timestamp Now) {
  if (Now > LastRefill) {
    double Seconds = double((Now - LastRefill).count()) / 1e6;
    AvailableTokens =
        std::min(QueueLimits.Burst,
                 AvailableTokens + Seconds * QueueLimits.LinesPerSecond);
  }
  LastRefill = std::max(LastRefill, Now);
  if (AvailableTokens < 1)
    return false;
  AvailableTokens -= 1;
  return true;
}

void LogQueue::push(std::string Line, LinePriority Priority, Timestamp Now) {
  {
    std::lock_guard Lock(Mutex);
    bool IsAdmitted = Priority == LinePriority::Important || tryTakeToken(Now);
    if (!IsAdmitted || PendingLines.size() >= QueueLimits.MaxPendingLines) {
      ++DroppedLines;
      ++DroppedSinceLastLine;
      return;
    }
    if (DroppedSinceLastLine > 0)
      Line += " lines_left_out=" +
              std::to_string(std::exchange(DroppedSinceLastLine, 0));
    PendingLines.push_back(std::move(Line));
  }
  WorkAvailable.notify_one();
}

void LogQueue::writeUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (true) {
    WorkAvailable.wait(Lock,
                       [this] { return Stopping || !PendingLines.empty(); });
    if (PendingLines.empty())
      return;
    std::deque<std::string> Batch = std::exchange(PendingLines, {});
    Writing = true;
    Lock.unlock();
    for (const std::string &Line : Batch)
      Write(Line);
    Lock.lock();
    Writing = false;
    BatchWritten.notify_all();
  }
}

void LogQueue::flush(Timestamp Deadline) {
  std::unique_lock Lock(Mutex);
  BatchWritten.wait_until(Lock, Deadline,
                          [this] { return PendingLines.empty() && !Writing; });
}

uint64_t LogQueue::droppedLines() const {
  std::lock_guard Lock(Mutex);
  return DroppedLines;
}

} // namespace ferry::observe

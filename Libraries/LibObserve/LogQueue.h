/// \file
/// The queue of log lines between the threads that log and the writer.
#ifndef FERRY_LIBOBSERVE_LOGQUEUE_H
#define FERRY_LIBOBSERVE_LOGQUEUE_H

#include "LibCore/Time.h"
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace ferry::observe {

/// Whether a line counts against the rate limit (Ordinary) or only against the
/// length of the queue (Important).
enum class LinePriority : uint8_t { Ordinary, Important };

/// Limits the volume of the log and writes it on a separate thread, so that a
/// stalled reader of the log blocks no thread that logs. Safe from any thread.
class LogQueue {
public:
  using Writer = std::function<void(const std::string &Line)>;

  struct Limits {
    /// Maximum number of lines that wait for the writer.
    size_t MaxPendingLines = 4096;
    /// The rate of ordinary lines and the size of a burst. A router at the
    /// maximum planned load of one host writes three lines for each of 45
    /// requests per second; the rest is reserved for failures.
    double LinesPerSecond = 400;
    double Burst = 2000;
  };

  LogQueue(Writer Write, Limits QueueLimits);
  ~LogQueue();
  LogQueue(const LogQueue &) = delete;
  LogQueue &operator=(const LogQueue &) = delete;

  /// Queues a line, or drops and counts it. Never waits for the writer.
  void push(std::string Line, LinePriority Priority, Timestamp Now);

  /// Waits until all queued lines are written, or until \p Deadline.
  void flush(Timestamp Deadline);

  /// \returns the number of lines dropped so far.
  uint64_t droppedLines() const;

private:
  /// Refills the token bucket and takes one token.
  /// \returns false if the bucket is empty.
  bool tryTakeToken(Timestamp Now);
  void writeUntilStopped();

  Writer Write;
  Limits QueueLimits;
  mutable std::mutex Mutex;
  std::condition_variable WorkAvailable;
  std::condition_variable BatchWritten;
  std::deque<std::string> PendingLines;
  bool Writing = false;
  bool Stopping = false;
  double AvailableTokens;
  Timestamp LastRefill;
  uint64_t DroppedLines = 0;
  uint64_t DroppedSinceLastLine = 0;
  std::thread Thread;
};

} // namespace ferry::observe

#endif

/// \file
/// Lines of the log on their way to the standard output.
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

/// Whether a line may be left out under load.
enum class LineWeight : uint8_t { Ordinary, Important };

/// Bounds the volume of the log, and writes it on a thread of its own, so that
/// a reader that stalls holds nobody up. Safe from any thread.
class LogQueue {
public:
  using Writer = std::function<void(const std::string &Line)>;

  struct Limits {
    /// Lines that wait for the writer at the most.
    size_t MaxWaiting = 4096;
    /// Ordinary lines in a second, over a while and at once. A router at the
    /// highest load that one host is planned for writes three lines for each
    /// of 45 requests a second; the rest is room for failures.
    double LinesPerSecond = 400;
    double Burst = 2000;
  };

  LogQueue(Writer Write, Limits Chosen);
  ~LogQueue();
  LogQueue(const LogQueue &) = delete;
  LogQueue &operator=(const LogQueue &) = delete;

  /// Takes a line, or counts it as left out. Never blocks on the writer.
  void push(std::string Line, LineWeight Weight, Timestamp Now);

  /// Waits until all lines taken so far are written, or until \p Deadline.
  void flush(Timestamp Deadline);

  /// \returns the lines left out so far.
  uint64_t leftOut() const;

private:
  bool mayPass(Timestamp Now);
  void writeUntilStopped();

  Writer Write;
  Limits Chosen;
  mutable std::mutex Mutex;
  std::condition_variable Wanted;
  std::condition_variable Written;
  std::deque<std::string> Waiting;
  bool Writing = false;
  bool Stopping = false;
  double Tokens;
  Timestamp FilledAt;
  uint64_t LeftOut = 0;
  uint64_t LeftOutSinceLine = 0;
  std::thread Thread;
};

} // namespace ferry::observe

#endif

#include "ferryd/RecordWriter.h"
#include <utility>

namespace ferry::daemon {

/// Time after which a write that failed is repeated.
static constexpr std::chrono::seconds RetryPause{1};

RecordWriter::RecordWriter(std::filesystem::path Path,
                           FailureCallback OnFailure)
    : Path(std::move(Path)), OnFailure(std::move(OnFailure)),
      Thread([this] { runThread(); }) {}

RecordWriter::~RecordWriter() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_one();
  Thread.join();
}

void RecordWriter::write(std::string Record) {
  {
    std::lock_guard Lock(Mutex);
    Pending = std::move(Record);
  }
  Changed.notify_one();
}

void RecordWriter::runThread() {
  bool Failing = false;
  std::unique_lock Lock(Mutex);
  while (true) {
    Changed.wait(Lock, [this] { return Stopping || Pending; });
    if (!Pending)
      return;
    std::string Next = *std::exchange(Pending, std::nullopt);
    Lock.unlock();
    auto Written = tryReplaceFile(Path, Next);
    if (!Written && !Failing)
      OnFailure(Written.error());
    Failing = !Written;
    Lock.lock();
    if (Written || (Stopping && Pending))
      continue;
    if (Stopping)
      return;
    if (!Pending)
      Pending = std::move(Next);
    Changed.wait_for(Lock, RetryPause, [this] { return Stopping; });
  }
}

} // namespace ferry::daemon

#include "LibConsensus/Storage.h"

namespace ferry::consensus {

Storage::Storage(LogFiles Files, Report Done)
    : Files(std::move(Files)), Done(std::move(Done)),
      Thread([this] { runThread(); }) {}

Storage::~Storage() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Ending = true;
  }
  Changed.notify_all();
  Thread.join();
}

void Storage::write(uint64_t Token, WriteBatch Batch) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue.push_back(std::move(Batch));
    LastToken = Token;
  }
  Changed.notify_all();
}

Result<void, StorageError> Storage::tryStartAnew(const Identity &Self) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Changed.wait(Lock, [this] { return Queue.empty() && !Busy; });
  return Files.tryStartAnew(Self);
}

void Storage::runThread() {
  std::unique_lock<std::mutex> Lock(Mutex);
  bool Failed = false;
  while (true) {
    Changed.wait(Lock, [this] { return Ending || !Queue.empty(); });
    if (Queue.empty())
      return;
    std::vector<WriteBatch> Batches = std::exchange(Queue, {});
    uint64_t Token = LastToken;
    Busy = true;
    Lock.unlock();
    if (!Failed) {
      auto Written = Files.tryWrite(Batches);
      Failed = !Written;
      if (Failed)
        Done(tl::unexpected(Written.error()));
      else
        Done(Token);
    }
    Lock.lock();
    Busy = false;
    Changed.notify_all();
  }
}

} // namespace ferry::consensus

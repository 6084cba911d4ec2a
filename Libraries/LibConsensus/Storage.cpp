#include "LibConsensus/Storage.h"

namespace ferry::consensus {

Storage::Storage(LogFiles Files, SyncCallback OnSynced)
    : Files(std::move(Files)), OnSynced(std::move(OnSynced)),
      Thread([this] { runThread(); }) {}

Storage::~Storage() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  StateChanged.notify_all();
  Thread.join();
}

void Storage::write(uint64_t Token, WriteBatch Batch) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue.push_back(std::move(Batch));
    LastToken = Token;
  }
  StateChanged.notify_all();
}

Result<void, StorageError> Storage::tryInitialise(const Identity &Self) {
  std::unique_lock<std::mutex> Lock(Mutex);
  StateChanged.wait(Lock, [this] { return Queue.empty() && !Writing; });
  return Files.tryInitialise(Self);
}

Result<void, StorageError>
Storage::tryWrite(const std::vector<WriteBatch> &Batches) {
  try {
    return Files.tryWrite(Batches);
  } catch (const std::exception &Failure) {
    return makeTypedError(StorageErrorKind::Io, Failure.what());
  }
}

void Storage::runThread() {
  std::unique_lock<std::mutex> Lock(Mutex);
  bool Failed = false;
  while (true) {
    StateChanged.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Queue.empty())
      return;
    std::vector<WriteBatch> Batches = std::exchange(Queue, {});
    uint64_t Token = LastToken;
    Writing = true;
    Lock.unlock();
    if (!Failed) {
      auto Written = tryWrite(Batches);
      Failed = !Written;
      if (Failed)
        OnSynced(tl::unexpected(Written.error()));
      else
        OnSynced(Token);
    }
    Lock.lock();
    Writing = false;
    StateChanged.notify_all();
  }
}

} // namespace ferry::consensus

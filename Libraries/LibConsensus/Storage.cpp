#include "LibConsensus/Storage.h"
#include <system_error>

namespace ferry::consensus {

Storage::Storage(LogFiles Files, SyncCallback OnSynced, SyncFunction Sync)
    : Files(std::move(Files)), OnSynced(std::move(OnSynced)),
      Sync(std::move(Sync)) {
  Threads.reserve(MaxConcurrentSyncs);
  IdleThreads = 1;
  Threads.emplace_back([this] { runThread(0); });
}

Storage::~Storage() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Queued.notify_all();
  for (std::thread &Each : Threads)
    Each.join();
}

void Storage::write(uint64_t Token, WriteBatch Batch) {
  bool IsIdle = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue.push_back(std::move(Batch));
    LastToken = Token;
    IsIdle = !Writing && RunningSyncs == 0;
  }
  if (IsIdle)
    Queued.notify_one();
}

void Storage::overlapSlowSync() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Queue.empty() || Writing || !isSyncSlow())
      return;
    if (IdleThreads == 0)
      return tryAddThread();
  }
  Queued.notify_one();
}

void Storage::tryAddThread() {
  size_t Slot = Threads.size();
  if (Slot == MaxConcurrentSyncs)
    return;
  try {
    Threads.emplace_back([this, Slot] { runThread(Slot); });
    ++IdleThreads;
  } catch (const std::system_error &) {
    // The process has no thread left; the running ones write what is queued.
  }
}

Result<void, StorageError> Storage::tryInitialise(const Identity &Self) {
  std::unique_lock<std::mutex> Lock(Mutex);
  WorkEnded.wait(
      Lock, [this] { return Queue.empty() && !Writing && RunningSyncs == 0; });
  return Files.tryInitialise(Self);
}

void Storage::runThread(size_t Slot) {
  std::unique_lock<std::mutex> Lock(Mutex);
  while (awaitBatches(Lock)) {
    --IdleThreads;
    writeBatches(Lock, Slot);
    ++IdleThreads;
  }
  // Others may have found the files in use when they were told to stop.
  Queued.notify_all();
}

bool Storage::awaitBatches(std::unique_lock<std::mutex> &Lock) {
  Queued.wait(Lock, [this] {
    bool MayWrite = RunningSyncs == 0 || isSyncSlow() || Stopping;
    return !Writing && (Queue.empty() ? Stopping : MayWrite);
  });
  return !Queue.empty();
}

void Storage::writeBatches(std::unique_lock<std::mutex> &Lock, size_t Slot) {
  std::vector<WriteBatch> Batches = std::exchange(Queue, {});
  uint64_t Token = LastToken;
  if (Failed)
    return WorkEnded.notify_all();
  auto Written = runExclusively(Lock, [&] { return Files.tryAppend(Batches); });
  if (!Written)
    return fail(Lock, Written.error());
  ++RunningSyncs;
  LastSyncAt = steadyNow();
  Lock.unlock();
  auto Synced = Sync(*Written, Slot);
  if (Synced)
    OnSynced(Token);
  Lock.lock();
  --RunningSyncs;
  WorkEnded.notify_all();
  if (!Synced)
    return fail(Lock, Synced.error());
  WorkEnded.wait(Lock, [this] { return !Writing; });
  auto Marked =
      runExclusively(Lock, [&] { return Files.tryMarkSynced(*Written); });
  if (!Marked)
    fail(Lock, Marked.error());
}

template <typename WriteType>
auto Storage::runExclusively(std::unique_lock<std::mutex> &Lock,
                             WriteType Write) -> decltype(Write()) {
  Writing = true;
  Lock.unlock();
  auto Outcome = [&]() -> decltype(Write()) {
    try {
      return Write();
    } catch (const std::exception &Failure) {
      return makeTypedError(StorageErrorKind::Io, Failure.what());
    }
  }();
  Lock.lock();
  Writing = false;
  WorkEnded.notify_all();
  return Outcome;
}

void Storage::fail(std::unique_lock<std::mutex> &Lock,
                   const StorageError &Reason) {
  if (std::exchange(Failed, true))
    return;
  Lock.unlock();
  OnSynced(tl::unexpected(Reason));
  Lock.lock();
}

} // namespace ferry::consensus

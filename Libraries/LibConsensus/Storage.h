/// \file
/// The storage threads of one log.
#ifndef FERRY_LIBCONSENSUS_STORAGE_H
#define FERRY_LIBCONSENSUS_STORAGE_H

#include "LibConsensus/LogFiles.h"
#include "LibCore/Time.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::consensus {

/// Writes batches in the background, in order. Batches that are queued at the
/// same time share one sync. Where a sync takes longer than SyncOverlapDelay,
/// overlapSlowSync() lets the next ones go beside it, on further threads.
class Storage {
public:
  /// Called on a storage thread with the token up to which all batches are
  /// synced, or with an error, after which nothing more is written. Tokens that
  /// are not above an earlier one add nothing.
  using SyncCallback = std::function<void(Result<uint64_t, StorageError>)>;
  static constexpr Duration SyncOverlapDelay = std::chrono::milliseconds(50);
  /// As LogFiles::trySync(); replaced by tests.
  using SyncFunction = std::function<Result<void, StorageError>(
      const WrittenLog &Written, size_t Slot)>;

  Storage(LogFiles Files, SyncCallback OnSynced,
          SyncFunction Sync = LogFiles::trySync);
  /// Writes what is queued, then ends the threads.
  ~Storage();
  Storage(const Storage &) = delete;
  Storage &operator=(const Storage &) = delete;

  /// Queues \p Batch; never blocks on the disk. \p Token rises with each call.
  void write(uint64_t Token, WriteBatch Batch);

  /// If batches wait for a sync that is slow, lets another thread write them.
  /// To be called often while writes are not synced; it costs no wake-up where
  /// syncs are fast.
  void overlapSlowSync();

  /// Waits until the queue is written, then replaces the files by those of an
  /// empty log of \p Self. See LogFiles::tryInitialise().
  Result<void, StorageError> tryInitialise(const Identity &Self);

private:
  /// \param Slot the number of the thread, and of its descriptors.
  void runThread(size_t Slot);
  /// Adds a thread, if there may be one more.
  void tryAddThread();
  bool isSyncSlow() const {
    return RunningSyncs > 0 && steadyNow() >= LastSyncAt + SyncOverlapDelay;
  }
  /// Waits until the queue may be written. \returns whether there is anything
  /// to write; otherwise the thread is to end.
  bool awaitBatches(std::unique_lock<std::mutex> &Lock);
  void writeBatches(std::unique_lock<std::mutex> &Lock, size_t Slot);
  /// Runs \p Write, which changes the files, without the lock and beside no
  /// other such call. An exception counts as a failed system call.
  template <typename WriteType>
  auto runExclusively(std::unique_lock<std::mutex> &Lock, WriteType Write)
      -> decltype(Write());
  void fail(std::unique_lock<std::mutex> &Lock, const StorageError &Reason);

  LogFiles Files;
  SyncCallback OnSynced;
  SyncFunction Sync;
  std::mutex Mutex;
  /// Wakes one thread that is to write the queue. A thread that ends a sync
  /// writes what was queued meanwhile and needs no wake-up.
  std::condition_variable Queued;
  /// A change of the files or a sync has ended.
  std::condition_variable WorkEnded;
  std::vector<WriteBatch> Queue;
  uint64_t LastToken = 0;
  /// Whether a thread is changing the files.
  bool Writing = false;
  size_t RunningSyncs = 0;
  /// When the newest of them began.
  Timestamp LastSyncAt;
  /// Threads that wait for the queue, or are about to.
  size_t IdleThreads = 0;
  bool Failed = false;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace ferry::consensus

#endif

/// \file
/// The storage thread of one log.
#ifndef FERRY_LIBCONSENSUS_STORAGE_H
#define FERRY_LIBCONSENSUS_STORAGE_H

#include "LibConsensus/LogFiles.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::consensus {

/// Writes batches in the background, in order. Batches that are queued at the
/// same time share one sync.
class Storage {
public:
  /// Called on the storage thread with the token up to which all batches are
  /// synced, or with an error, after which nothing more is written.
  using SyncCallback = std::function<void(Result<uint64_t, StorageError>)>;

  Storage(LogFiles Files, SyncCallback OnSynced);
  /// Writes what is queued, then ends the thread.
  ~Storage();
  Storage(const Storage &) = delete;
  Storage &operator=(const Storage &) = delete;

  /// Queues \p Batch; never blocks on the disk. \p Token rises with each call.
  void write(uint64_t Token, WriteBatch Batch);

  /// Waits until the queue is written, then replaces the files by those of an
  /// empty log of \p Self. See LogFiles::tryInitialise().
  Result<void, StorageError> tryInitialise(const Identity &Self);

private:
  void runThread();
  /// Writes to the files; an exception counts as a failed system call.
  Result<void, StorageError> tryWrite(const std::vector<WriteBatch> &Batches);

  LogFiles Files;
  SyncCallback OnSynced;
  std::mutex Mutex;
  std::condition_variable StateChanged;
  std::vector<WriteBatch> Queue;
  uint64_t LastToken = 0;
  bool Writing = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace ferry::consensus

#endif

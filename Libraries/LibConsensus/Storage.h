/// \file
/// The storage thread of one log: writes what is queued with one sync.
#ifndef FERRY_LIBCONSENSUS_STORAGE_H
#define FERRY_LIBCONSENSUS_STORAGE_H

#include "LibConsensus/LogFiles.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::consensus {

/// Writes batches in the background, in order.
class Storage {
public:
  /// Told on the storage thread: all up to the token is synced, or why not.
  /// After an error no more is written.
  using Report = std::function<void(Result<uint64_t, StorageError>)>;

  Storage(LogFiles Files, Report Done);
  /// Writes what is queued, then ends the thread.
  ~Storage();
  Storage(const Storage &) = delete;
  Storage &operator=(const Storage &) = delete;

  /// Queues \p Batch; never blocks on the disk.
  void write(uint64_t Token, WriteBatch Batch);

  /// Waits for what is queued, then begins the files again as \p Self.
  Result<void, StorageError> tryStartAnew(const Identity &Self);

private:
  void runThread();

  LogFiles Files;
  Report Done;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<WriteBatch> Queue;
  uint64_t LastToken = 0;
  bool Busy = false;
  bool Ending = false;
  std::thread Thread;
};

} // namespace ferry::consensus

#endif

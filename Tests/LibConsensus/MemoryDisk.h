/// \file
/// The disk of a simulated host: holds the real file formats in memory.
#ifndef FERRY_TESTS_LIBCONSENSUS_MEMORYDISK_H
#define FERRY_TESTS_LIBCONSENSUS_MEMORYDISK_H

#include "LibConsensus/LogFormat.h"
#include "LibCore/Random.h"

namespace ferry::consensus {

/// One log file and its snapshot. What is in Log is synced.
struct MemoryDisk {
  LogName Name{{"sim"}, {1}};
  std::string Log;
  std::string SnapshotFile;

  bool blank() const { return Log.empty(); }

  void writeSynced(const WriteBatch &Batch) {
    if (Batch.NewSnapshot) {
      SnapshotFile = encodeSnapshot(Name, *Batch.NewSnapshot);
      Log.clear();
    }
    Log += encodeRecord(Name, Log.size(), Batch);
    Log += encodeRecord(Name, Log.size(), {});
  }

  /// A crash in the middle of writing \p Batch leaves some of its bytes, the
  /// last of them perhaps wrong.
  void tear(const WriteBatch &Batch, RandomGenerator &Random) {
    if (Batch.NewSnapshot)
      return;
    std::string Record = encodeRecord(Name, Log.size(), Batch);
    size_t Kept = randomBelow(Random, Record.size());
    Log += Record.substr(0, Kept);
    if (Kept > 0 && Random() % 2 == 0)
      Log.back() = static_cast<char>(Random());
  }

  void damage(RandomGenerator &Random) {
    // The last record is the mark behind the last sync: damage before it.
    size_t Mark = encodeRecord(Name, Log.size(), {}).size();
    size_t Place =
        randomBelow(Random, Log.size() - std::min(Log.size(), 2 * Mark) + 1);
    Log[Place] = static_cast<char>(Log[Place] ^ 0x55);
  }

  Result<DurableState, StorageError> tryRecover() {
    auto Scanned = tryScanLog(Name, Log);
    if (!Scanned)
      return tl::unexpected(Scanned.error());
    Log.resize(Scanned->ValidBytes);
    if (!Scanned->State.LastSnapshot)
      return Scanned->State;
    auto Taken = tryDecodeSnapshot(Name, SnapshotFile);
    if (!Taken)
      return tl::unexpected(Taken.error());
    Scanned->State.LastSnapshot =
        std::make_shared<const Snapshot>(std::move(*Taken));
    return Scanned->State;
  }
};

} // namespace ferry::consensus

#endif

/// \file
/// The disk of a simulated host: the real file formats in memory.
#ifndef FERRY_TESTS_LIBCONSENSUS_MEMORYDISK_H
#define FERRY_TESTS_LIBCONSENSUS_MEMORYDISK_H

#include "LibConsensus/LogFormat.h"
#include "LibCore/Random.h"

namespace ferry::consensus {

/// One log file and its snapshot. All bytes in Log are synced.
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

  /// Simulates a crash while \p Batch is written: some of its bytes stay, and
  /// the last one may be wrong.
  void tear(const WriteBatch &Batch, RandomGenerator &Random) {
    if (Batch.NewSnapshot)
      return;
    std::string Record = encodeRecord(Name, Log.size(), Batch);
    size_t WrittenBytes = randomBelow(Random, Record.size());
    Log += Record.substr(0, WrittenBytes);
    if (WrittenBytes > 0 && Random() % 2 == 0)
      Log.back() = static_cast<char>(Random());
  }

  /// Flips bits of one byte.
  void damage(RandomGenerator &Random) {
    // The last record only marks the last sync, so damage a byte before it.
    size_t SyncMark = encodeRecord(Name, Log.size(), {}).size();
    size_t Offset = randomBelow(
        Random, Log.size() - std::min(Log.size(), 2 * SyncMark) + 1);
    Log[Offset] = static_cast<char>(Log[Offset] ^ 0x55);
  }

  Result<DurableState, StorageError> tryRecover() {
    auto Scanned = tryScanLog(Name, Log);
    if (!Scanned)
      return tl::unexpected(Scanned.error());
    Log.resize(Scanned->ValidBytes);
    if (!Scanned->State.LastSnapshot)
      return Scanned->State;
    auto Decoded = tryDecodeSnapshot(Name, SnapshotFile);
    if (!Decoded)
      return tl::unexpected(Decoded.error());
    Scanned->State.LastSnapshot =
        std::make_shared<const Snapshot>(std::move(*Decoded));
    return Scanned->State;
  }
};

} // namespace ferry::consensus

#endif

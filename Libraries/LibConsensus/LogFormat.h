/// \file
/// The bytes of a log's files: records behind one another, each with its
/// length and checksum; and the snapshot file, which is one such record.
#ifndef FERRY_LIBCONSENSUS_LOGFORMAT_H
#define FERRY_LIBCONSENSUS_LOGFORMAT_H

#include "LibConsensus/Errors.h"
#include "LibConsensus/Types.h"
#include "LibCore/Result.h"
#include <string>
#include <string_view>

namespace ferry::consensus {

/// Which log a file belongs to.
struct LogName {
  ClusterId Cluster;
  GroupId Group;
};

/// \param SyncedBytes the file is known to be synced up to this offset; shows
/// later that damage before it is no torn tail.
/// \returns the record of \p Batch. The snapshot's state is not part of it.
std::string encodeRecord(const LogName &Name, uint64_t SyncedBytes,
                         const WriteBatch &Batch);

/// What a scan of a log file found.
struct ScannedLog {
  /// A snapshot in it has no state yet.
  DurableState State;
  /// Bytes behind these are a torn tail.
  uint64_t ValidBytes = 0;
};

/// Replays a log file.
/// \returns the state, or StorageErrorKind::Damaged if bytes that had been
/// synced are not valid, or StorageErrorKind::Foreign.
Result<ScannedLog, StorageError> tryScanLog(const LogName &Name,
                                            std::string_view Bytes);

/// \returns the bytes of the snapshot file.
std::string encodeSnapshot(const LogName &Name, const Snapshot &Taken);

/// \returns the snapshot, or StorageErrorKind::Damaged or Foreign.
Result<Snapshot, StorageError> tryDecodeSnapshot(const LogName &Name,
                                                 std::string_view Bytes);

} // namespace ferry::consensus

#endif

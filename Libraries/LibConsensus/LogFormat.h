/// \file
/// The format of a log's files. The log file is a sequence of records, each
/// with its length and checksum; the snapshot file is one such record.
#ifndef FERRY_LIBCONSENSUS_LOGFORMAT_H
#define FERRY_LIBCONSENSUS_LOGFORMAT_H

#include "LibConsensus/Errors.h"
#include "LibConsensus/Types.h"
#include "LibCore/Result.h"
#include <string>
#include <string_view>

namespace ferry::consensus {

/// Identifies the log that a file belongs to.
struct LogName {
  ClusterId Cluster;
  GroupId Group;
};

/// \param SyncedBytes the offset up to which the file is synced. A later scan
/// tells by it that damage before this offset is no torn tail.
/// \returns the record of \p Batch, without the state of its snapshot.
std::string encodeRecord(const LogName &Name, uint64_t SyncedBytes,
                         const WriteBatch &Batch);

/// The result of scanning a log file.
struct ScannedLog {
  /// Its snapshot, if any, has no state: that is in the snapshot file.
  DurableState State;
  /// Length of the valid records; what follows is a torn tail.
  uint64_t ValidBytes = 0;
};

/// Replays a log file.
/// \returns the state; or StorageErrorKind::Damaged if bytes that had been
/// synced are invalid, or Foreign if the file belongs to another log.
Result<ScannedLog, StorageError> tryScanLog(const LogName &Name,
                                            std::string_view Bytes);

/// \returns the contents of the snapshot file.
std::string encodeSnapshot(const LogName &Name, const Snapshot &Source);

/// \returns the snapshot, or StorageErrorKind::Damaged or Foreign.
Result<Snapshot, StorageError> tryDecodeSnapshot(const LogName &Name,
                                                 std::string_view Bytes);

} // namespace ferry::consensus

#endif

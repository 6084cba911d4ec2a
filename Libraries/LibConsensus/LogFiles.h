/// \file
/// The files of one log in its folder. All calls block.
#ifndef FERRY_LIBCONSENSUS_LOGFILES_H
#define FERRY_LIBCONSENSUS_LOGFILES_H

#include "LibConsensus/LogFormat.h"
#include <array>
#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace ferry::consensus {

/// A file descriptor that closes itself.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Number) : Number(Number) {}
  ~Descriptor();
  Descriptor(Descriptor &&From) noexcept
      : Number(std::exchange(From.Number, -1)) {}
  Descriptor &operator=(Descriptor &&From) noexcept;
  int number() const { return Number; }
  bool valid() const { return Number >= 0; }

private:
  int Number = -1;
};

/// Syncs of one log file that may run at the same time.
static constexpr size_t MaxConcurrentSyncs = 4;

/// A log file. Each sync has a descriptor of its own, opened before anything is
/// written: the kernel reports a failed write once to each.
struct OpenLog {
  std::filesystem::path Path;
  Descriptor Appending;
  std::array<Descriptor, MaxConcurrentSyncs> Syncing;
};

/// The part of a log file that has been written, not always synced.
struct WrittenLog {
  std::shared_ptr<const OpenLog> Log;
  uint64_t Bytes = 0;
  /// A checkpoint has synced it all.
  bool IsSynced = false;
};

/// Owns the folder of a log. It holds one log file, whose first record is a
/// checkpoint, and the snapshot of that checkpoint, if it has one.
class LogFiles {
public:
  /// Creates \p Folder if it is missing, and locks it against other processes.
  /// \returns the files, or StorageErrorKind::Locked or Io.
  static Result<LogFiles, StorageError> tryOpen(std::filesystem::path Folder,
                                                LogName Name);

  /// Reads the newest log file and its snapshot, and truncates a torn tail.
  /// \returns the state, or nothing for an empty folder; or
  /// StorageErrorKind::Damaged, Foreign or Io.
  Result<std::optional<DurableState>, StorageError> tryRecover();

  /// Moves all files into the subfolder "damaged", whose earlier contents are
  /// deleted, and starts an empty log of the replica \p Self.
  Result<void, StorageError> tryInitialise(const Identity &Self);

  /// Writes \p Batches in order, with one sync for all of them; a checkpoint
  /// replaces the files and syncs them by itself.
  Result<void, StorageError> tryWrite(std::span<const WriteBatch> Batches);

  // The steps of tryWrite().

  /// Writes \p Batches without a sync, except for a checkpoint.
  /// \returns the part of the log that has been written.
  Result<WrittenLog, StorageError>
  tryAppend(std::span<const WriteBatch> Batches);
  /// Syncs \p Written and what was written before. May run beside any other
  /// call but a sync with the same \p Slot, which is below MaxConcurrentSyncs.
  static Result<void, StorageError> trySync(const WrittenLog &Written,
                                            size_t Slot);
  /// Notes in the log that \p Written has been synced.
  Result<void, StorageError> tryMarkSynced(const WrittenLog &Written);

private:
  LogFiles(std::filesystem::path Folder, LogName Name)
      : Folder(std::move(Folder)), Name(std::move(Name)) {}
  Result<void, StorageError> tryAppendBytes(std::string_view Records);
  Result<void, StorageError> tryCheckpoint(const WriteBatch &Batch);
  Result<void, StorageError> tryReplaceFile(const std::filesystem::path &Path,
                                            std::string_view Bytes);
  Result<void, StorageError> trySyncFolder();
  Result<void, StorageError> tryOpenLog();
  std::filesystem::path logPath(uint64_t Number) const;
  std::filesystem::path snapshotPath(uint64_t Number) const;
  void removeAllBut(uint64_t KeptNumber);

  std::filesystem::path Folder;
  LogName Name;
  Descriptor Lock;
  std::shared_ptr<const OpenLog> Log;
  /// Number of the log file; rises with each checkpoint.
  uint64_t Number = 0;
  uint64_t SyncedBytes = 0;
  uint64_t WrittenBytes = 0;
};

} // namespace ferry::consensus

#endif

/// \file
/// The files of one log in its folder. Every call blocks until synced.
#ifndef FERRY_LIBCONSENSUS_LOGFILES_H
#define FERRY_LIBCONSENSUS_LOGFILES_H

#include "LibConsensus/LogFormat.h"
#include <filesystem>
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

/// Owns the folder: at any time one log file, which begins with a checkpoint
/// record, and the snapshot of that checkpoint.
class LogFiles {
public:
  /// Opens \p Folder, made if missing, and locks it against other processes.
  static Result<LogFiles, StorageError> tryOpen(std::filesystem::path Folder,
                                                LogName Name);

  /// Reads what is there and cuts a torn tail.
  /// \returns nothing for an empty folder, or StorageErrorKind::Damaged.
  Result<std::optional<DurableState>, StorageError> tryRecover();

  /// Moves all files into the subfolder "damaged", in place of what is there,
  /// and begins again as \p Self.
  Result<void, StorageError> tryStartAnew(const Identity &Self);

  /// Writes \p Batches in order with one sync for all of them, and one more
  /// set for each batch that is a checkpoint.
  Result<void, StorageError> tryWrite(std::span<const WriteBatch> Batches);

private:
  LogFiles(std::filesystem::path Folder, LogName Name)
      : Folder(std::move(Folder)), Name(std::move(Name)) {}
  Result<void, StorageError> tryAppend(std::string_view Records);
  Result<void, StorageError> tryCheckpoint(const WriteBatch &Batch);
  Result<void, StorageError> tryReplaceFile(const std::filesystem::path &Path,
                                            std::string_view Bytes);
  Result<void, StorageError> trySyncFolder();
  Result<void, StorageError> tryOpenLog();
  std::filesystem::path logPath(uint64_t Number) const;
  std::filesystem::path snapshotPath(uint64_t Number) const;
  void removeAllBut(uint64_t Number);

  std::filesystem::path Folder;
  LogName Name;
  Descriptor Lock;
  Descriptor Log;
  /// Number of the log file; rises with each checkpoint.
  uint64_t Number = 0;
  uint64_t SyncedBytes = 0;
  uint64_t WrittenBytes = 0;
};

} // namespace ferry::consensus

#endif

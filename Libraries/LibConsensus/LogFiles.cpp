#include "LibConsensus/LogFiles.h"
#include "LibCore/ParseNumber.h"
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>

namespace ferry::consensus {

namespace fs = std::filesystem;

static constexpr std::string_view LogPrefix = "log-";
static constexpr std::string_view SnapshotPrefix = "snapshot-";
static constexpr std::string_view TemporarySuffix = ".tmp";
static constexpr const char *LockName = "lock";
static constexpr const char *DamagedName = "damaged";
static constexpr mode_t FileMode = 0600;

Descriptor::~Descriptor() {
  if (valid())
    close(Number);
}

Descriptor &Descriptor::operator=(Descriptor &&From) noexcept {
  std::swap(Number, From.Number);
  return *this;
}

static auto systemError(const fs::path &Path) {
  return makeTypedError(StorageErrorKind::Io,
                        Path.filename().string() + ": " + std::strerror(errno));
}

static auto systemError(const fs::filesystem_error &Failure) {
  return makeTypedError(StorageErrorKind::Io, Failure.code().message());
}

static bool writeAll(int To, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Written = write(To, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return false;
    Bytes.remove_prefix(static_cast<size_t>(Written));
  }
  return true;
}

static Result<std::string, StorageError> tryRead(const fs::path &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::string Bytes((std::istreambuf_iterator<char>(In)),
                    std::istreambuf_iterator<char>());
  if (!In.good() && !In.eof())
    return systemError(Path);
  return Bytes;
}

/// \returns the number in a file name that begins with \p Prefix.
static std::optional<uint64_t> numberOf(const fs::path &Path,
                                        std::string_view Prefix) {
  std::string Name = Path.filename().string();
  if (!Name.starts_with(Prefix))
    return std::nullopt;
  return parseNumber<uint64_t>(std::string_view(Name).substr(Prefix.size()));
}

fs::path LogFiles::logPath(uint64_t Number) const {
  return Folder / (std::string(LogPrefix) + std::to_string(Number));
}

fs::path LogFiles::snapshotPath(uint64_t Number) const {
  return Folder / (std::string(SnapshotPrefix) + std::to_string(Number));
}

Result<LogFiles, StorageError> LogFiles::tryOpen(fs::path Folder,
                                                 LogName Name) {
  std::error_code Error;
  fs::create_directories(Folder, Error);
  if (Error)
    return makeTypedError(StorageErrorKind::Io, Error.message());
  LogFiles Files(std::move(Folder), std::move(Name));
  fs::path LockPath = Files.Folder / LockName;
  Files.Lock = Descriptor(
      open(LockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!Files.Lock.valid())
    return systemError(LockPath);
  if (flock(Files.Lock.number(), LOCK_EX | LOCK_NB) != 0)
    return makeTypedError(StorageErrorKind::Locked,
                          "another process uses the folder");
  return Files;
}

Result<std::optional<DurableState>, StorageError> LogFiles::tryRecover() try {
  std::optional<uint64_t> NewestLog;
  bool HasSnapshot = false;
  for (const fs::directory_entry &File : fs::directory_iterator(Folder)) {
    auto FileNumber = numberOf(File.path(), LogPrefix);
    if (FileNumber)
      NewestLog = std::max(NewestLog.value_or(0), *FileNumber);
    HasSnapshot |= numberOf(File.path(), SnapshotPrefix).has_value();
  }
  // Once a replica has started, there is always a log file, unless a crash
  // came after tryInitialise() had moved the old one and before it wrote the
  // new one.
  if (!NewestLog && (HasSnapshot || fs::exists(Folder / DamagedName)))
    return makeTypedError(StorageErrorKind::Damaged, "log file is missing");
  if (!NewestLog)
    return std::optional<DurableState>();
  Number = *NewestLog;
  auto Bytes = tryRead(logPath(Number));
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  auto Scanned = tryScanLog(Name, *Bytes);
  if (!Scanned)
    return tl::unexpected(Scanned.error());
  DurableState State = std::move(Scanned->State);
  if (State.LastSnapshot) {
    auto StoredSnapshot =
        tryRead(snapshotPath(Number)).and_then([&](auto Contents) {
          return tryDecodeSnapshot(Name, Contents);
        });
    if (!StoredSnapshot)
      return tl::unexpected(StoredSnapshot.error());
    if (StoredSnapshot->Index != State.LastSnapshot->Index)
      return makeTypedError(StorageErrorKind::Damaged,
                            "snapshot index differs from the checkpoint's");
    State.LastSnapshot =
        std::make_shared<const Snapshot>(std::move(*StoredSnapshot));
  }
  fs::resize_file(logPath(Number), Scanned->ValidBytes);
  removeAllBut(Number);
  auto Opened = tryOpenLog();
  if (!Opened)
    return tl::unexpected(Opened.error());
  return State;
} catch (const fs::filesystem_error &Failure) {
  return systemError(Failure);
}

Result<void, StorageError> LogFiles::tryOpenLog() {
  fs::path Path = logPath(Number);
  auto Open = [&Path] {
    return Descriptor(open(Path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  };
  auto Opened = std::make_shared<OpenLog>();
  Opened->Path = Path;
  Opened->Appending = Open();
  for (Descriptor &Each : Opened->Syncing) {
    Each = Open();
    if (!Each.valid())
      return systemError(Path);
  }
  if (!Opened->Appending.valid() || fdatasync(Opened->Appending.number()) != 0)
    return systemError(Path);
  Log = std::move(Opened);
  WrittenBytes = fs::file_size(Path);
  SyncedBytes = WrittenBytes;
  return {};
}

Result<void, StorageError> LogFiles::tryInitialise(const Identity &Self) try {
  fs::path DamagedFolder = Folder / DamagedName;
  std::vector<fs::path> OldFiles;
  for (const fs::directory_entry &File : fs::directory_iterator(Folder))
    if (File.is_regular_file() && File.path().filename() != LockName)
      OldFiles.push_back(File.path());
  if (!OldFiles.empty()) {
    fs::remove_all(DamagedFolder);
    fs::create_directory(DamagedFolder);
  }
  for (const fs::path &Path : OldFiles)
    fs::rename(Path, DamagedFolder / Path.filename());
  WriteBatch FirstBatch;
  FirstBatch.NewIdentity = Self;
  return tryCheckpoint(FirstBatch);
} catch (const fs::filesystem_error &Failure) {
  return systemError(Failure);
}

Result<void, StorageError>
LogFiles::tryWrite(std::span<const WriteBatch> Batches) {
  auto Written = tryAppend(Batches);
  if (!Written)
    return tl::unexpected(Written.error());
  auto Synced = trySync(*Written, 0);
  return Synced ? tryMarkSynced(*Written) : Synced;
}

Result<WrittenLog, StorageError>
LogFiles::tryAppend(std::span<const WriteBatch> Batches) {
  std::string Records;
  for (const WriteBatch &Batch : Batches) {
    if (!Batch.NewSnapshot) {
      Records += encodeRecord(Name, SyncedBytes, Batch);
      continue;
    }
    // The checkpoint includes all batches before it.
    Records.clear();
    if (auto Done = tryCheckpoint(Batch); !Done)
      return tl::unexpected(Done.error());
  }
  auto Appended = tryAppendBytes(Records);
  if (!Appended)
    return tl::unexpected(Appended.error());
  return WrittenLog{Log, WrittenBytes, WrittenBytes == SyncedBytes};
}

Result<void, StorageError> LogFiles::trySync(const WrittenLog &Written,
                                             size_t Slot) {
  if (!Written.IsSynced && fdatasync(Written.Log->Syncing[Slot].number()) != 0)
    return systemError(Written.Log->Path);
  return {};
}

Result<void, StorageError> LogFiles::tryMarkSynced(const WrittenLog &Written) {
  // The log may have been replaced meanwhile, or a later sync have ended first.
  if (Written.Log != Log || Written.Bytes <= SyncedBytes)
    return {};
  SyncedBytes = Written.Bytes;
  // An empty record with the new SyncedBytes: it lets a later scan tell damage
  // from a torn tail. It needs no sync itself.
  return tryAppendBytes(encodeRecord(Name, SyncedBytes, {}));
}

Result<void, StorageError> LogFiles::tryAppendBytes(std::string_view Records) {
  if (!writeAll(Log->Appending.number(), Records))
    return systemError(logPath(Number));
  WrittenBytes += Records.size();
  return {};
}

Result<void, StorageError>
LogFiles::tryCheckpoint(const WriteBatch &Batch) try {
  uint64_t NextNumber = Number + 1;
  if (Batch.NewSnapshot) {
    auto Written = tryReplaceFile(snapshotPath(NextNumber),
                                  encodeSnapshot(Name, *Batch.NewSnapshot));
    if (!Written)
      return Written;
  }
  auto Written =
      tryReplaceFile(logPath(NextNumber), encodeRecord(Name, 0, Batch));
  if (!Written)
    return Written;
  Number = NextNumber;
  removeAllBut(Number);
  return tryOpenLog();
} catch (const fs::filesystem_error &Failure) {
  return systemError(Failure);
}

Result<void, StorageError> LogFiles::tryReplaceFile(const fs::path &Path,
                                                    std::string_view Bytes) {
  fs::path Temporary = Path;
  Temporary += TemporarySuffix;
  Descriptor File(open(Temporary.c_str(),
                       O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
  if (!File.valid() || !writeAll(File.number(), Bytes) ||
      fsync(File.number()) != 0)
    return systemError(Temporary);
  if (rename(Temporary.c_str(), Path.c_str()) != 0)
    return systemError(Path);
  return trySyncFolder();
}

Result<void, StorageError> LogFiles::trySyncFolder() {
  Descriptor Opened(open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Opened.valid() || fsync(Opened.number()) != 0)
    return systemError(Folder);
  return {};
}

void LogFiles::removeAllBut(uint64_t KeptNumber) {
  std::vector<fs::path> Outdated;
  for (const fs::directory_entry &File : fs::directory_iterator(Folder)) {
    const fs::path &Path = File.path();
    auto FileNumber = numberOf(Path, LogPrefix);
    if (!FileNumber)
      FileNumber = numberOf(Path, SnapshotPrefix);
    if (Path.extension() == TemporarySuffix ||
        (FileNumber && *FileNumber != KeptNumber))
      Outdated.push_back(Path);
  }
  std::error_code Ignored;
  // Files that could not be removed are removed at the next start.
  for (const fs::path &Path : Outdated)
    fs::remove(Path, Ignored);
}

} // namespace ferry::consensus

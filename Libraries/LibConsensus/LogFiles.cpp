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
  std::error_code Failure;
  fs::create_directories(Folder, Failure);
  if (Failure)
    return makeTypedError(StorageErrorKind::Io, Failure.message());
  LogFiles Files(std::move(Folder), std::move(Name));
  fs::path LockPath = Files.Folder / LockName;
  Files.Lock = Descriptor(
      open(LockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!Files.Lock.valid())
    return systemError(LockPath);
  if (flock(Files.Lock.number(), LOCK_EX | LOCK_NB) != 0)
    return makeTypedError(StorageErrorKind::Locked, "in use");
  return Files;
}

Result<std::optional<DurableState>, StorageError> LogFiles::tryRecover() try {
  std::optional<uint64_t> Newest;
  bool AnySnapshot = false;
  for (const fs::directory_entry &File : fs::directory_iterator(Folder)) {
    auto Found = numberOf(File.path(), LogPrefix);
    if (Found)
      Newest = std::max(Newest.value_or(0), *Found);
    AnySnapshot |= numberOf(File.path(), SnapshotPrefix).has_value();
  }
  // A log file is always there once a replica has started, unless a crash came
  // between moving a damaged one aside and beginning anew.
  if (!Newest && (AnySnapshot || fs::exists(Folder / DamagedName)))
    return makeTypedError(StorageErrorKind::Damaged, "log file is missing");
  if (!Newest)
    return std::optional<DurableState>();
  Number = *Newest;
  auto Bytes = tryRead(logPath(Number));
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  auto Scanned = tryScanLog(Name, *Bytes);
  if (!Scanned)
    return tl::unexpected(Scanned.error());
  DurableState State = std::move(Scanned->State);
  if (State.LastSnapshot) {
    auto Taken = tryRead(snapshotPath(Number)).and_then([&](auto Read) {
      return tryDecodeSnapshot(Name, Read);
    });
    if (!Taken)
      return tl::unexpected(Taken.error());
    if (Taken->Index != State.LastSnapshot->Index)
      return makeTypedError(StorageErrorKind::Damaged, "snapshot index");
    State.LastSnapshot = std::make_shared<const Snapshot>(std::move(*Taken));
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
  Log = Descriptor(open(Path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  if (!Log.valid() || fdatasync(Log.number()) != 0)
    return systemError(Path);
  WrittenBytes = fs::file_size(Path);
  SyncedBytes = WrittenBytes;
  return {};
}

Result<void, StorageError> LogFiles::tryStartAnew(const Identity &Self) try {
  fs::path Aside = Folder / DamagedName;
  std::vector<fs::path> Moved;
  for (const fs::directory_entry &File : fs::directory_iterator(Folder))
    if (File.is_regular_file() && File.path().filename() != LockName)
      Moved.push_back(File.path());
  if (!Moved.empty()) {
    fs::remove_all(Aside);
    fs::create_directory(Aside);
  }
  for (const fs::path &Path : Moved)
    fs::rename(Path, Aside / Path.filename());
  WriteBatch First;
  First.NewIdentity = Self;
  return tryCheckpoint(First);
} catch (const fs::filesystem_error &Failure) {
  return systemError(Failure);
}

Result<void, StorageError>
LogFiles::tryWrite(std::span<const WriteBatch> Batches) {
  std::string Records;
  for (const WriteBatch &Batch : Batches) {
    if (!Batch.NewSnapshot) {
      Records += encodeRecord(Name, SyncedBytes, Batch);
      continue;
    }
    // The checkpoint holds all that was written before it.
    Records.clear();
    if (auto Done = tryCheckpoint(Batch); !Done)
      return Done;
  }
  return Records.empty() ? Result<void, StorageError>() : tryAppend(Records);
}

Result<void, StorageError> LogFiles::tryAppend(std::string_view Records) {
  if (!writeAll(Log.number(), Records) || fdatasync(Log.number()) != 0)
    return systemError(logPath(Number));
  WrittenBytes += Records.size();
  SyncedBytes = WrittenBytes;
  // Not synced itself: it lets a later scan tell damage from a torn tail.
  std::string Mark = encodeRecord(Name, SyncedBytes, {});
  if (!writeAll(Log.number(), Mark))
    return systemError(logPath(Number));
  WrittenBytes += Mark.size();
  return {};
}

Result<void, StorageError>
LogFiles::tryCheckpoint(const WriteBatch &Batch) try {
  uint64_t Next = Number + 1;
  if (Batch.NewSnapshot) {
    auto Written = tryReplaceFile(snapshotPath(Next),
                                  encodeSnapshot(Name, *Batch.NewSnapshot));
    if (!Written)
      return Written;
  }
  auto Written = tryReplaceFile(logPath(Next), encodeRecord(Name, 0, Batch));
  if (!Written)
    return Written;
  Number = Next;
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

void LogFiles::removeAllBut(uint64_t Kept) {
  std::vector<fs::path> Old;
  for (const fs::directory_entry &File : fs::directory_iterator(Folder)) {
    const fs::path &Path = File.path();
    auto Found = numberOf(Path, LogPrefix);
    if (!Found)
      Found = numberOf(Path, SnapshotPrefix);
    if (Path.extension() == TemporarySuffix || (Found && *Found != Kept))
      Old.push_back(Path);
  }
  std::error_code Ignored;
  // What stays by a failure is removed at the next start.
  for (const fs::path &Path : Old)
    fs::remove(Path, Ignored);
}

} // namespace ferry::consensus

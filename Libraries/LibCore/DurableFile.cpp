#include "LibCore/DurableFile.h"
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace ferry {

static constexpr mode_t NewFileMode = 0600;

/// Closes a descriptor at the end of its scope.
struct DescriptorCloser {
  int Descriptor;
  ~DescriptorCloser() {
    if (Descriptor >= 0)
      close(Descriptor);
  }
};

static auto fileError(FileErrorKind Kind, const std::filesystem::path &Path) {
  return makeTypedError(Kind, Path.string() + ": " + std::strerror(errno));
}

static Result<void, FileError> tryWriteAll(int Descriptor,
                                           std::string_view Bytes,
                                           const std::filesystem::path &Path) {
  while (!Bytes.empty()) {
    ssize_t Written = write(Descriptor, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return fileError(FileErrorKind::CannotWrite, Path);
    Bytes.remove_prefix(Written);
  }
  return {};
}

static Result<void, FileError> tryWriteSynced(const std::filesystem::path &Path,
                                              std::string_view Bytes) {
  DescriptorCloser File{open(
      Path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, NewFileMode)};
  if (File.Descriptor < 0)
    return fileError(FileErrorKind::CannotOpen, Path);
  auto Written = tryWriteAll(File.Descriptor, Bytes, Path);
  if (!Written)
    return Written;
  if (fdatasync(File.Descriptor) != 0)
    return fileError(FileErrorKind::CannotSync, Path);
  return {};
}

Result<void, FileError> trySyncFolder(const std::filesystem::path &Folder) {
  DescriptorCloser Directory{
      open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
  if (Directory.Descriptor < 0)
    return fileError(FileErrorKind::CannotOpen, Folder);
  if (fsync(Directory.Descriptor) != 0)
    return fileError(FileErrorKind::CannotSync, Folder);
  return {};
}

Result<void, FileError> tryReplaceFile(const std::filesystem::path &Path,
                                       std::string_view Bytes) {
  std::filesystem::path TemporaryPath = Path;
  TemporaryPath += ".new";
  auto Written = tryWriteSynced(TemporaryPath, Bytes);
  if (!Written)
    return Written;
  if (rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    return fileError(FileErrorKind::CannotWrite, Path);
  return trySyncFolder(Path.parent_path().empty() ? "." : Path.parent_path());
}

Result<std::optional<std::string>, FileError>
tryReadFile(const std::filesystem::path &Path) {
  std::error_code Ignored;
  if (!std::filesystem::exists(Path, Ignored))
    return std::nullopt;
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return fileError(FileErrorKind::CannotOpen, Path);
  std::ostringstream Bytes;
  Bytes << File.rdbuf();
  if (File.bad() || Bytes.fail())
    return fileError(FileErrorKind::CannotRead, Path);
  return Bytes.str();
}

} // namespace ferry

/// \file
/// Files that are replaced as a whole, atomically and durably.
#ifndef FERRY_LIBCORE_DURABLEFILE_H
#define FERRY_LIBCORE_DURABLEFILE_H

#include "LibCore/Error.h"
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace ferry {

enum class FileErrorKind : uint8_t {
  CannotOpen,
  CannotRead,
  CannotWrite,
  CannotSync
};

template <> struct EnumNames<FileErrorKind> {
  static constexpr EnumName<FileErrorKind> Table[] = {
      {FileErrorKind::CannotOpen, "cannot_open"},
      {FileErrorKind::CannotRead, "cannot_read"},
      {FileErrorKind::CannotWrite, "cannot_write"},
      {FileErrorKind::CannotSync, "cannot_sync"}};
};

using FileError = TypedError<FileErrorKind>;

/// Replaces the file at \p Path by \p Bytes: writes a temporary file, syncs it,
/// renames it, and syncs the folder. After a crash the file holds either all of
/// the old bytes or all of the new ones.
Result<void, FileError> tryReplaceFile(const std::filesystem::path &Path,
                                       std::string_view Bytes);

/// \returns the bytes of the file, or nothing if there is no such file.
Result<std::optional<std::string>, FileError>
tryReadFile(const std::filesystem::path &Path);

/// Syncs \p Folder, so that files created or renamed in it survive a crash.
Result<void, FileError> trySyncFolder(const std::filesystem::path &Folder);

} // namespace ferry

#endif

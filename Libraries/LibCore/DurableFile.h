/// \file
/// Whole files that are replaced atomically and outlast a crash.
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

/// Replaces the file at \p Path by \p Bytes: written aside, synced, renamed,
/// and its folder synced. After a crash the file holds the old or the new
/// bytes, whole.
Result<void, FileError> tryReplaceFile(const std::filesystem::path &Path,
                                       std::string_view Bytes);

/// \returns the bytes of the file, or nothing if there is none.
Result<std::optional<std::string>, FileError>
tryReadFile(const std::filesystem::path &Path);

/// Makes the names in \p Folder outlast a crash.
Result<void, FileError> trySyncFolder(const std::filesystem::path &Folder);

} // namespace ferry

#endif

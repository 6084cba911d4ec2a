/// \file
/// What a host with a disk remembers across restarts, besides the log.
#ifndef FERRY_FERRYD_HOSTSTORE_H
#define FERRY_FERRYD_HOSTSTORE_H

#include "LibCore/DurableFile.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibWire/Generated/Host_types.h"

namespace ferry::daemon {

/// Keeps the host's incarnation and the greatest description it had in force.
/// A host without a disk keeps both in memory only.
class HostStore {
public:
  /// Reads the state, then takes and stores a greater incarnation.
  /// \param Folder the data folder; empty for a host without a disk.
  /// \returns the store; a damaged file counts as none.
  static Result<HostStore, FileError>
  tryOpen(const std::filesystem::path &Folder, UnixMillis Now);

  ferry::Incarnation incarnation() const;
  /// Number 0 and no text before the first description.
  const wire::DescriptionCopy &description() const { return State.Description; }

  /// Stores a description with a greater number; others are ignored.
  Result<void, FileError>
  tryStoreDescription(const wire::DescriptionCopy &Copy);

private:
  explicit HostStore(std::filesystem::path Folder);
  Result<void, FileError> trySave() const;
  std::filesystem::path filePath() const;

  std::filesystem::path Folder;
  wire::HostState State;
};

} // namespace ferry::daemon

#endif

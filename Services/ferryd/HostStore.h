/// \file
/// The state that a host keeps on its disk across restarts, besides the log.
#ifndef FERRY_FERRYD_HOSTSTORE_H
#define FERRY_FERRYD_HOSTSTORE_H

#include "LibCore/DurableFile.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibWire/Generated/Host_types.h"
#include "ferryd/RecordWriter.h"
#include <memory>

namespace ferry::daemon {

/// Stores the host's incarnation and the description with the greatest number
/// that was in force on it. A host without a disk keeps both in memory only.
class HostStore {
public:
  /// Reads the state, then stores a greater incarnation.
  /// \param Folder the data folder; empty for a host without a disk.
  /// \returns the store, or why the folder could not be read or written. A
  /// damaged file counts as missing.
  static Result<HostStore, FileError>
  tryOpen(const std::filesystem::path &Folder, UnixMillis Now);

  ferry::Incarnation incarnation() const;
  /// \returns the stored description; number 0 and no text before the first.
  const wire::DescriptionCopy &description() const { return State.Description; }

  /// From now on another thread writes the descriptions. For hosts that do not
  /// go back without the file: the log keeps the description, too.
  void writeInBackground();
  /// Stores \p Copy if its number is greater than the stored one; ignores it
  /// otherwise.
  Result<void, FileError>
  tryStoreDescription(const wire::DescriptionCopy &Copy);

private:
  explicit HostStore(std::filesystem::path Folder);
  Result<void, FileError> trySave() const;
  std::filesystem::path filePath() const;

  std::filesystem::path Folder;
  wire::HostState State;
  std::unique_ptr<RecordWriter> Writer;
};

} // namespace ferry::daemon

#endif

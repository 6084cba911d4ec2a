#include "ferryd/HostStore.h"
#include "LibWire/Codec.h"
#include <algorithm>
#include <xxhash.h>

namespace ferry::daemon {

static int64_t checksumOf(const std::string &Bytes) {
  return static_cast<int64_t>(XXH3_64bits(Bytes.data(), Bytes.size()));
}

/// \returns the state in \p Bytes, or an empty one if they are damaged: the
/// host then learns the lost state from its peers.
static wire::HostState decodeState(const std::string &Bytes) {
  auto Record = wire::tryDecode<wire::CheckedRecord>(Bytes);
  if (!Record || Record->Checksum != checksumOf(Record->Bytes))
    return {};
  auto State = wire::tryDecode<wire::HostState>(Record->Bytes);
  return State ? *State : wire::HostState();
}

HostStore::HostStore(std::filesystem::path Folder)
    : Folder(std::move(Folder)) {}

std::filesystem::path HostStore::filePath() const {
  return Folder / "host-state";
}

Result<HostStore, FileError>
HostStore::tryOpen(const std::filesystem::path &Folder, UnixMillis Now) {
  HostStore Store(Folder);
  if (!Folder.empty()) {
    std::error_code Failure;
    std::filesystem::create_directories(Folder, Failure);
    if (Failure)
      return makeTypedError(FileErrorKind::CannotWrite, Failure.message());
    auto Bytes = tryReadFile(Store.filePath());
    if (!Bytes)
      return makeError(Bytes.error());
    if (Bytes->has_value())
      Store.State = decodeState(**Bytes);
  }
  // Incarnations rise even if the clock was set back since the last start.
  Store.State.Incarnation = std::max(Store.State.Incarnation + 1, Now.Value);
  auto Saved = Store.trySave();
  if (!Saved)
    return makeError(Saved.error());
  return Store;
}

ferry::Incarnation HostStore::incarnation() const {
  return {static_cast<uint64_t>(State.Incarnation)};
}

Result<void, FileError>
HostStore::tryStoreDescription(const wire::DescriptionCopy &Copy) {
  if (Copy.Number <= State.Description.Number)
    return {};
  State.Description = Copy;
  return trySave();
}

Result<void, FileError> HostStore::trySave() const {
  if (Folder.empty())
    return {};
  wire::CheckedRecord Record;
  Record.Bytes = wire::encode(State);
  Record.Checksum = checksumOf(Record.Bytes);
  return tryReplaceFile(filePath(), wire::encode(Record));
}

} // namespace ferry::daemon

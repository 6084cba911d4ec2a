#include "ferryd/HostStore.h"
#include "LibObserve/Log.h"
#include "ferryd/RecordFile.h"
#include <algorithm>

namespace ferry::daemon {

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
    auto State = tryReadRecord<wire::HostState>(Store.filePath());
    if (!State)
      return makeError(State.error());
    // The host learns from its peers what a damaged file had.
    Store.State = State->value_or(wire::HostState());
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

void HostStore::writeInBackground() {
  if (Folder.empty())
    return;
  Writer =
      std::make_unique<RecordWriter>(filePath(), [](const FileError &Reason) {
        observe::logEvent(observe::Severity::Warning, "control",
                          "description_not_stored",
                          {{"reason", Reason.message()}});
      });
}

Result<void, FileError>
HostStore::tryStoreDescription(const wire::DescriptionCopy &Copy) {
  if (Copy.Number <= State.Description.Number)
    return {};
  State.Description = Copy;
  if (!Writer)
    return trySave();
  Writer->write(sealRecord(wire::encode(State)));
  return {};
}

Result<void, FileError> HostStore::trySave() const {
  if (Folder.empty())
    return {};
  return tryReplaceRecord(filePath(), State);
}

} // namespace ferry::daemon

/// \file
/// Files that hold one message with a checksum.
#ifndef FERRY_FERRYD_RECORDFILE_H
#define FERRY_FERRYD_RECORDFILE_H

#include "LibCore/DurableFile.h"
#include "LibWire/Codec.h"

namespace ferry::daemon {

/// \returns \p Bytes with their checksum.
std::string sealRecord(const std::string &Bytes);

/// \returns the bytes that sealRecord() was given, or nothing if \p Record is
/// damaged.
std::optional<std::string> openRecord(const std::string &Record);

/// Replaces the file at \p Path durably by \p Message.
template <typename MessageType>
Result<void, FileError> tryReplaceRecord(const std::filesystem::path &Path,
                                         const MessageType &Message) {
  return tryReplaceFile(Path, sealRecord(wire::encode(Message)));
}

/// \returns the message in the file at \p Path; nothing if there is no such
/// file or if it is damaged.
template <typename MessageType>
Result<std::optional<MessageType>, FileError>
tryReadRecord(const std::filesystem::path &Path) {
  auto Bytes = tryReadFile(Path);
  if (!Bytes)
    return makeError(Bytes.error());
  std::optional<std::string> Opened;
  if (*Bytes)
    Opened = openRecord(**Bytes);
  if (!Opened)
    return std::optional<MessageType>();
  auto Message = wire::tryDecode<MessageType>(*Opened);
  return Message ? std::optional<MessageType>(std::move(*Message))
                 : std::optional<MessageType>();
}

} // namespace ferry::daemon

#endif

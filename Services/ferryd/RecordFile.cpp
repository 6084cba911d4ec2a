#include "ferryd/RecordFile.h"
#include "LibWire/Generated/Host_types.h"
#include <xxhash.h>

namespace ferry::daemon {

static int64_t checksumOf(const std::string &Bytes) {
  return static_cast<int64_t>(XXH3_64bits(Bytes.data(), Bytes.size()));
}

std::string sealRecord(const std::string &Bytes) {
  wire::CheckedRecord Record;
  Record.Bytes = Bytes;
  Record.Checksum = checksumOf(Bytes);
  return wire::encode(Record);
}

std::optional<std::string> openRecord(const std::string &Record) {
  auto Opened = wire::tryDecode<wire::CheckedRecord>(Record);
  if (!Opened || Opened->Checksum != checksumOf(Opened->Bytes))
    return std::nullopt;
  return std::move(Opened->Bytes);
}

} // namespace ferry::daemon

#include "LibConsensus/LogFormat.h"
#include "LibConsensus/Message.h"
#include "LibWire/Codec.h"
#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace ferry::consensus {

static constexpr size_t LengthBytes = 4;
static constexpr size_t ChecksumBytes = 8;
static constexpr size_t HeaderBytes = LengthBytes + ChecksumBytes;
/// The search for a record behind bad bytes tries every offset; the marks that
/// follow each sync are small, and so it need not try long ones.
static constexpr size_t MaxSoughtBytes = 4096;

static void putNumber(std::string &To, uint64_t Value, size_t Bytes) {
  for (size_t Index = 0; Index < Bytes; ++Index)
    To.push_back(static_cast<char>((Value >> (8 * Index)) & 0xFF));
}

static uint64_t numberAt(std::string_view From, size_t Offset, size_t Bytes) {
  uint64_t Value = 0;
  for (size_t Index = 0; Index < Bytes; ++Index)
    Value |= uint64_t{static_cast<uint8_t>(From[Offset + Index])}
             << (8 * Index);
  return Value;
}

static std::string seal(std::string_view Body) {
  std::string Sealed;
  Sealed.reserve(HeaderBytes + Body.size());
  putNumber(Sealed, Body.size(), LengthBytes);
  putNumber(Sealed, XXH3_64bits(Body.data(), Body.size()), ChecksumBytes);
  Sealed.append(Body);
  return Sealed;
}

/// \returns the body at \p Offset if it is whole and its checksum is right.
static std::optional<std::string_view> bodyAt(std::string_view Bytes,
                                              size_t Offset) {
  if (Bytes.size() - Offset < HeaderBytes)
    return std::nullopt;
  uint64_t Size = numberAt(Bytes, Offset, LengthBytes);
  if (Bytes.size() - Offset - HeaderBytes < Size)
    return std::nullopt;
  std::string_view Body = Bytes.substr(Offset + HeaderBytes, Size);
  uint64_t Checksum = numberAt(Bytes, Offset + LengthBytes, ChecksumBytes);
  if (XXH3_64bits(Body.data(), Body.size()) != Checksum)
    return std::nullopt;
  return Body;
}

std::string encodeRecord(const LogName &Name, uint64_t SyncedBytes,
                         const WriteBatch &Batch) {
  wire::LogRecord Record;
  Record.ClusterId = Name.Cluster.Value;
  Record.GroupId = static_cast<int64_t>(Name.Group.Value);
  Record.SyncedBytes = static_cast<int64_t>(SyncedBytes);
  if (Batch.NewIdentity)
    Record.__set_Identity(toWire(*Batch.NewIdentity));
  if (Batch.NewVote) {
    wire::LogVote Cast;
    Cast.Term = static_cast<int64_t>(Batch.NewVote->Term);
    Cast.VotedFor = static_cast<int64_t>(Batch.NewVote->VotedFor.Value);
    Record.__set_Vote(Cast);
  }
  if (Batch.NewSnapshot)
    Record.__set_Snapshot(toWireMark(*Batch.NewSnapshot));
  if (Batch.TruncateFrom)
    Record.__set_TruncateFrom(static_cast<int64_t>(*Batch.TruncateFrom));
  for (const Entry &Next : Batch.Entries)
    Record.Entries.push_back(toWire(Next));
  return seal(wire::encode(Record));
}

static Snapshot fromMark(const wire::LogSnapshotMark &Mark) {
  Snapshot Taken;
  Taken.Index = static_cast<uint64_t>(Mark.Index);
  Taken.Term = static_cast<uint64_t>(Mark.Term);
  Taken.Members = fromWire(Mark.Configuration);
  return Taken;
}

static WriteBatch fromRecord(const wire::LogRecord &Record) {
  WriteBatch Batch;
  if (Record.__isset.Identity)
    Batch.NewIdentity = fromWire(Record.Identity);
  if (Record.__isset.Vote)
    Batch.NewVote = Vote{static_cast<uint64_t>(Record.Vote.Term),
                         {static_cast<uint64_t>(Record.Vote.VotedFor)}};
  if (Record.__isset.Snapshot)
    Batch.NewSnapshot =
        std::make_shared<const Snapshot>(fromMark(Record.Snapshot));
  if (Record.__isset.TruncateFrom)
    Batch.TruncateFrom = static_cast<uint64_t>(Record.TruncateFrom);
  for (const wire::LogEntry &Next : Record.Entries)
    Batch.Entries.push_back(fromWire(Next));
  return Batch;
}

/// \returns whether a whole record behind \p Offset says that the bytes at
/// \p Offset had been synced.
static bool syncedBeyond(std::string_view Bytes, size_t Offset) {
  for (size_t Start = Offset + 1; Start + HeaderBytes <= Bytes.size();
       ++Start) {
    if (numberAt(Bytes, Start, LengthBytes) > MaxSoughtBytes)
      continue;
    auto Body = bodyAt(Bytes, Start);
    if (!Body)
      continue;
    auto Record = wire::tryDecode<wire::LogRecord>(*Body);
    if (Record && static_cast<uint64_t>(Record->SyncedBytes) > Offset)
      return true;
  }
  return false;
}

/// Entries must follow one another, or the replay would differ from the log.
static bool contiguous(const DurableState &State) {
  uint64_t Next = State.LastSnapshot ? State.LastSnapshot->Index + 1 : 1;
  for (const Entry &Held : State.Entries)
    if (Held.Index != Next++)
      return false;
  return true;
}

Result<ScannedLog, StorageError> tryScanLog(const LogName &Name,
                                            std::string_view Bytes) {
  ScannedLog Scanned;
  while (Scanned.ValidBytes < Bytes.size()) {
    auto Body = bodyAt(Bytes, Scanned.ValidBytes);
    if (!Body)
      break;
    auto Record = wire::tryDecode<wire::LogRecord>(*Body);
    if (!Record)
      return makeTypedError(StorageErrorKind::Damaged, "record");
    if (Record->ClusterId != Name.Cluster.Value ||
        static_cast<uint64_t>(Record->GroupId) != Name.Group.Value)
      return makeTypedError(StorageErrorKind::Foreign, Record->ClusterId);
    if (std::ranges::any_of(Record->Entries, [](const wire::LogEntry &Kept) {
          return !isKnown(Kept.Kind);
        }))
      return makeTypedError(StorageErrorKind::Damaged, "kind of an entry");
    Scanned.State.apply(fromRecord(*Record));
    Scanned.ValidBytes += HeaderBytes + Body->size();
  }
  // The first record is synced before the file gets its name.
  if (Scanned.ValidBytes == 0)
    return makeTypedError(StorageErrorKind::Damaged, "first record");
  if (Scanned.ValidBytes < Bytes.size() &&
      syncedBeyond(Bytes, Scanned.ValidBytes))
    return makeTypedError(StorageErrorKind::Damaged,
                          "offset " + std::to_string(Scanned.ValidBytes));
  if (Scanned.State.Self.Replica.Value == 0 || !contiguous(Scanned.State))
    return makeTypedError(StorageErrorKind::Damaged, "sequence");
  return Scanned;
}

std::string encodeSnapshot(const LogName &Name, const Snapshot &Taken) {
  wire::LogSnapshotFile File;
  File.ClusterId = Name.Cluster.Value;
  File.GroupId = static_cast<int64_t>(Name.Group.Value);
  File.Mark = toWireMark(Taken);
  File.State = Taken.State;
  return seal(wire::encode(File));
}

Result<Snapshot, StorageError> tryDecodeSnapshot(const LogName &Name,
                                                 std::string_view Bytes) {
  auto Body = bodyAt(Bytes, 0);
  if (!Body || HeaderBytes + Body->size() != Bytes.size())
    return makeTypedError(StorageErrorKind::Damaged, "snapshot");
  auto File = wire::tryDecode<wire::LogSnapshotFile>(*Body);
  if (!File)
    return makeTypedError(StorageErrorKind::Damaged, "snapshot");
  if (File->ClusterId != Name.Cluster.Value ||
      static_cast<uint64_t>(File->GroupId) != Name.Group.Value)
    return makeTypedError(StorageErrorKind::Foreign, File->ClusterId);
  Snapshot Taken = fromMark(File->Mark);
  Taken.State = std::move(File->State);
  return Taken;
}

} // namespace ferry::consensus

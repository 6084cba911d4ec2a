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
/// The search for a record after invalid bytes tries every offset. It only has
/// to find one of the small records that follow each sync, and so skips longer
/// ones.
static constexpr size_t MaxSearchedRecordBytes = 4096;

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

/// \returns \p Body with its length and checksum in front.
static std::string frame(std::string_view Body) {
  std::string Framed;
  Framed.reserve(HeaderBytes + Body.size());
  putNumber(Framed, Body.size(), LengthBytes);
  putNumber(Framed, XXH3_64bits(Body.data(), Body.size()), ChecksumBytes);
  Framed.append(Body);
  return Framed;
}

/// \returns the body at \p Offset if it is complete and its checksum matches.
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
    wire::LogVote EncodedVote;
    EncodedVote.Term = static_cast<int64_t>(Batch.NewVote->Term);
    EncodedVote.VotedFor = static_cast<int64_t>(Batch.NewVote->VotedFor.Value);
    Record.__set_Vote(EncodedVote);
  }
  if (Batch.NewSnapshot)
    Record.__set_Snapshot(toWireMark(*Batch.NewSnapshot));
  if (Batch.TruncateFrom)
    Record.__set_TruncateFrom(static_cast<int64_t>(*Batch.TruncateFrom));
  for (const Entry &NewEntry : Batch.Entries)
    Record.Entries.push_back(toWire(NewEntry));
  return frame(wire::encode(Record));
}

static Snapshot fromMark(const wire::LogSnapshotMark &Mark) {
  Snapshot Decoded;
  Decoded.Index = static_cast<uint64_t>(Mark.Index);
  Decoded.Term = static_cast<uint64_t>(Mark.Term);
  Decoded.Members = fromWire(Mark.Configuration);
  return Decoded;
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
  for (const wire::LogEntry &NewEntry : Record.Entries)
    Batch.Entries.push_back(fromWire(NewEntry));
  return Batch;
}

/// \returns whether a valid record after \p Offset states that the bytes at
/// \p Offset had been synced.
static bool syncedBeyond(std::string_view Bytes, size_t Offset) {
  for (size_t Start = Offset + 1; Start + HeaderBytes <= Bytes.size();
       ++Start) {
    if (numberAt(Bytes, Start, LengthBytes) > MaxSearchedRecordBytes)
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

/// \returns whether the indices of the entries have no gap. With one, the
/// replayed log would differ from the one that was written.
static bool contiguous(const DurableState &State) {
  uint64_t Expected = State.LastSnapshot ? State.LastSnapshot->Index + 1 : 1;
  for (const Entry &Stored : State.Entries)
    if (Stored.Index != Expected++)
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
      return makeTypedError(StorageErrorKind::Damaged,
                            "record does not decode");
    if (Record->ClusterId != Name.Cluster.Value ||
        static_cast<uint64_t>(Record->GroupId) != Name.Group.Value)
      return makeTypedError(StorageErrorKind::Foreign, Record->ClusterId);
    if (std::ranges::any_of(Record->Entries, [](const wire::LogEntry &Stored) {
          return !isKnown(Stored.Kind);
        }))
      return makeTypedError(StorageErrorKind::Damaged,
                            "kind of an entry is out of range");
    Scanned.State.apply(fromRecord(*Record));
    Scanned.ValidBytes += HeaderBytes + Body->size();
  }
  // The first record is synced before the file is renamed to its final name.
  if (Scanned.ValidBytes == 0)
    return makeTypedError(StorageErrorKind::Damaged,
                          "first record is torn or corrupt");
  if (Scanned.ValidBytes < Bytes.size() &&
      syncedBeyond(Bytes, Scanned.ValidBytes))
    return makeTypedError(StorageErrorKind::Damaged,
                          "corruption at offset " +
                              std::to_string(Scanned.ValidBytes));
  if (Scanned.State.Self.Replica.Value == 0 || !contiguous(Scanned.State))
    return makeTypedError(StorageErrorKind::Damaged,
                          "sequence has a gap or no identity");
  return Scanned;
}

std::string encodeSnapshot(const LogName &Name, const Snapshot &Source) {
  wire::LogSnapshotFile File;
  File.ClusterId = Name.Cluster.Value;
  File.GroupId = static_cast<int64_t>(Name.Group.Value);
  File.Mark = toWireMark(Source);
  File.State = Source.State;
  return frame(wire::encode(File));
}

Result<Snapshot, StorageError> tryDecodeSnapshot(const LogName &Name,
                                                 std::string_view Bytes) {
  auto Body = bodyAt(Bytes, 0);
  if (!Body || HeaderBytes + Body->size() != Bytes.size())
    return makeTypedError(StorageErrorKind::Damaged,
                          "snapshot is torn or corrupt");
  auto File = wire::tryDecode<wire::LogSnapshotFile>(*Body);
  if (!File)
    return makeTypedError(StorageErrorKind::Damaged,
                          "snapshot does not decode");
  if (File->ClusterId != Name.Cluster.Value ||
      static_cast<uint64_t>(File->GroupId) != Name.Group.Value)
    return makeTypedError(StorageErrorKind::Foreign, File->ClusterId);
  Snapshot Decoded = fromMark(File->Mark);
  Decoded.State = std::move(File->State);
  return Decoded;
}

} // namespace ferry::consensus

// The formats of messages and files. Guards against malformed input that is
// accepted, torn writes that lose synced entries, and damage that goes
// unnoticed.
#include "LibConsensus/LogCluster.h"
#include "LibConsensus/LogFiles.h"
#include "LibConsensus/LogFormat.h"
#include "LibConsensus/Message.h"
#include "LibCore/Random.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::consensus;

static const LogName Name{{"test"}, {3}};

static WriteBatch entryBatch(uint64_t Index) {
  WriteBatch Batch;
  Batch.NewVote = Vote{Index, {7}};
  Batch.Entries.push_back(
      {Index, 1, EntryKind::Command, "command " + std::to_string(Index)});
  return Batch;
}

/// \returns a log file with an identity and three synced entries, each followed
/// by the record that marks its sync.
static std::string sampleLog() {
  WriteBatch First;
  First.NewIdentity =
      Identity{{7}, Standing::Learner, Configuration{{{{7}, {"a"}}}}};
  std::string Log = encodeRecord(Name, 0, First);
  for (uint64_t Index = 1; Index <= 3; ++Index) {
    Log += encodeRecord(Name, Log.size(), entryBatch(Index));
    Log += encodeRecord(Name, Log.size(), {});
  }
  return Log;
}

static Snapshot sampleSnapshot() {
  return {9, 2, Configuration{{{{7}, {"a"}}, {{8}, {"b"}}}}, "the state"};
}

static std::vector<Message> sampleMessages() {
  wire::AppendRequest Append;
  Append.PreviousIndex = 4;
  Append.PreviousTerm = 2;
  Append.Entries = {
      toWire(Entry{5, 2, EntryKind::Command, "x"}),
      toWire(Entry{6, 3, EntryKind::Configuration,
                   encodeConfiguration(sampleSnapshot().Members)})};
  wire::SnapshotChunk Chunk;
  Chunk.Index = 9;
  Chunk.LastTerm = 2;
  Chunk.TotalBytes = 9;
  Chunk.Data = "the";
  wire::ProbeReply Reply;
  Reply.Standing = wire::LogStanding::Voter;
  Reply.__set_Formation(toWire(sampleSnapshot().Members));
  wire::JoinRequest Join;
  Join.Reason = wire::JoinReason::NewReplica;
  std::vector<Message> Samples;
  for (MessageBody Body : std::initializer_list<MessageBody>{
           wire::VoteRequest(), wire::VoteReply(), Append, wire::AppendReply(),
           Chunk, wire::SnapshotReply(), wire::Probe(), Reply, Join,
           wire::Dismissal()})
    Samples.push_back({{7}, {8}, 3, std::move(Body)});
  return Samples;
}

BOOST_AUTO_TEST_CASE(messages_survive_encoding_and_decoding) {
  for (const Message &Sent : sampleMessages()) {
    std::string Bytes = encodeMessage(Name.Cluster, Name.Group, Sent);
    auto Received = tryDecodeMessage(Name.Cluster, Name.Group, Bytes);
    BOOST_REQUIRE(Received.has_value());
    BOOST_TEST((Received->Body == Sent.Body));
    BOOST_TEST((Received->Sender == Sent.Sender));
    for (const LogName &Other :
         {LogName{{"other"}, {3}}, LogName{{"test"}, {4}}}) {
      auto Foreign = tryDecodeMessage(Other.Cluster, Other.Group, Bytes);
      BOOST_REQUIRE(!Foreign.has_value());
      BOOST_TEST((Foreign.error().Kind == wire::WireErrorKind::Untrusted));
    }
  }
}

BOOST_AUTO_TEST_CASE(messages_with_impossible_numbers_are_malformed) {
  auto Refused = [](MessageBody Body) {
    Message Sent{{7}, {8}, 3, std::move(Body)};
    return !tryDecodeMessage(Name.Cluster, Name.Group,
                             encodeMessage(Name.Cluster, Name.Group, Sent));
  };
  auto Samples = sampleMessages();
  auto Append = std::get<wire::AppendRequest>(Samples[2].Body);
  for (auto Change : std::vector<void (*)(wire::AppendRequest &)>{
           [](auto &Sent) { Sent.PreviousIndex = -1; },
           [](auto &Sent) { Sent.Entries[1].Index = 8; },
           [](auto &Sent) { Sent.Entries[1].Term = 4; },
           [](auto &Sent) { Sent.Entries[1].Payload = "x"; },
           [](auto &Sent) {
             Sent.Entries[0].Kind = static_cast<wire::LogEntryKind::type>(4);
           }}) {
    auto Changed = Append;
    Change(Changed);
    BOOST_TEST(Refused(Changed));
  }
  auto Chunk = std::get<wire::SnapshotChunk>(Samples[4].Body);
  Chunk.Offset = 7;
  BOOST_TEST(Refused(Chunk));
  auto Join = std::get<wire::JoinRequest>(Samples[8].Body);
  Join.Reason = static_cast<wire::JoinReason::type>(3);
  BOOST_TEST(Refused(Join));
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_unknown_kind_is_damage) {
  WriteBatch Batch;
  Batch.Entries.push_back({4, 1, static_cast<EntryKind>(7), "x"});
  std::string Log = sampleLog();
  auto Scanned = tryScanLog(Name, Log + encodeRecord(Name, Log.size(), Batch));
  BOOST_REQUIRE(!Scanned.has_value());
  BOOST_TEST((Scanned.error().Kind == StorageErrorKind::Damaged));
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash_the_decoders) {
  RandomGenerator Random(20261203);
  std::vector<std::string> Valid{sampleLog(),
                                 encodeSnapshot(Name, sampleSnapshot())};
  for (const Message &Sent : sampleMessages())
    Valid.push_back(encodeMessage(Name.Cluster, Name.Group, Sent));
  for (int Round = 0; Round < 40'000; ++Round) {
    std::string Bytes = Valid[Random() % Valid.size()];
    for (uint64_t Flips = Random() % 4; Flips > 0; --Flips)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    if (Random() % 4 == 0)
      Bytes.resize(Random() % (Bytes.size() + 1));
    tryDecodeMessage(Name.Cluster, Name.Group, Bytes);
    tryDecodeSnapshot(Name, Bytes);
    if (auto Scanned = tryScanLog(Name, Bytes))
      BOOST_TEST(Scanned->ValidBytes <= Bytes.size());
  }
}

BOOST_AUTO_TEST_CASE(a_torn_tail_is_cut_at_every_byte) {
  std::string Log = sampleLog();
  WriteBatch Unsynced = entryBatch(4);
  std::string Tail = encodeRecord(Name, Log.size(), Unsynced);
  for (size_t Size = 0; Size < Tail.size(); ++Size) {
    auto Scanned = tryScanLog(Name, Log + Tail.substr(0, Size));
    BOOST_REQUIRE(Scanned.has_value());
    BOOST_TEST(Scanned->ValidBytes == Log.size());
    BOOST_TEST(Scanned->State.Entries.size() == 3u);
    BOOST_TEST(Scanned->State.LastVote.Term == 3u);
  }
  // The blocks of one sync reach the disk in any order: an earlier record may
  // be torn although a later one is complete.
  std::string Torn = Tail;
  Torn[Torn.size() / 2] ^= 1;
  auto Scanned = tryScanLog(
      Name, Log + Torn + encodeRecord(Name, Log.size(), entryBatch(5)));
  BOOST_REQUIRE(Scanned.has_value());
  BOOST_TEST(Scanned->ValidBytes == Log.size());
}

BOOST_AUTO_TEST_CASE(a_flipped_bit_in_synced_bytes_is_damage) {
  std::string Log = sampleLog();
  size_t Synced = Log.size() - encodeRecord(Name, Log.size(), {}).size();
  for (size_t Offset = 0; Offset < Synced; ++Offset) {
    std::string Damaged = Log;
    Damaged[Offset] ^= 1;
    auto Scanned = tryScanLog(Name, Damaged);
    BOOST_REQUIRE(!Scanned.has_value());
    BOOST_TEST((Scanned.error().Kind == StorageErrorKind::Damaged));
  }
}

// The search for a later valid record skips long ones. It must still find the
// small record that follows each sync.
BOOST_AUTO_TEST_CASE(damage_before_long_records_is_found) {
  RandomGenerator Random(7);
  std::string Log = sampleLog();
  size_t Offset = Log.size() + 100;
  for (uint64_t Index = 4; Index < 14; ++Index) {
    WriteBatch Batch = entryBatch(Index);
    for (int Byte = 0; Byte < 100'000; ++Byte)
      Batch.Entries[0].Payload.push_back(static_cast<char>(Random()));
    Log += encodeRecord(Name, Log.size(), Batch);
    Log += encodeRecord(Name, Log.size(), {});
  }
  BOOST_TEST(tryScanLog(Name, Log)->State.Entries.size() == 13u);
  Log[Offset] ^= 1;
  auto Scanned = tryScanLog(Name, Log);
  BOOST_REQUIRE(!Scanned.has_value());
  BOOST_TEST((Scanned.error().Kind == StorageErrorKind::Damaged));
}

BOOST_AUTO_TEST_CASE(a_flipped_bit_in_a_snapshot_is_damage) {
  std::string File = encodeSnapshot(Name, sampleSnapshot());
  BOOST_TEST((*tryDecodeSnapshot(Name, File) == sampleSnapshot()));
  for (char &Byte : File) {
    Byte ^= 1;
    auto Decoded = tryDecodeSnapshot(Name, File);
    BOOST_REQUIRE(!Decoded.has_value());
    BOOST_TEST((Decoded.error().Kind == StorageErrorKind::Damaged));
    Byte ^= 1;
  }
}

BOOST_AUTO_TEST_CASE(files_recover_writes_before_and_after_a_checkpoint) {
  TemporaryFolder Folder;
  auto Open = [&] {
    auto Files = LogFiles::tryOpen(Folder.Path, Name);
    BOOST_REQUIRE(Files.has_value());
    return std::move(*Files);
  };
  {
    LogFiles Files = Open();
    BOOST_TEST(!Files.tryRecover()->has_value());
    BOOST_REQUIRE(Files.tryInitialise({{7}, Standing::Blank, {}}).has_value());
    std::vector<WriteBatch> Group{entryBatch(1), entryBatch(2), entryBatch(3)};
    Group[2].TruncateFrom = 3;
    BOOST_REQUIRE(Files.tryWrite(Group).has_value());
  }
  WriteBatch Checkpoint;
  Checkpoint.NewIdentity = Identity{{7}, Standing::Learner, {}};
  Checkpoint.NewVote = Vote{5, {8}};
  Checkpoint.NewSnapshot = std::make_shared<const Snapshot>(sampleSnapshot());
  Checkpoint.Entries = entryBatch(10).Entries;
  {
    LogFiles Files = Open();
    auto Recovered = Files.tryRecover();
    BOOST_REQUIRE(Recovered.has_value());
    BOOST_TEST((*Recovered)->Entries.size() == 3u);
    // One group with batches before and after a checkpoint.
    std::vector<WriteBatch> Group{entryBatch(4), Checkpoint, entryBatch(11)};
    BOOST_REQUIRE(Files.tryWrite(Group).has_value());
  }
  LogFiles Files = Open();
  auto Recovered = Files.tryRecover();
  BOOST_REQUIRE(Recovered.has_value());
  BOOST_TEST((*(*Recovered)->LastSnapshot == sampleSnapshot()));
  BOOST_TEST((*Recovered)->Entries.size() == 2u);
  BOOST_TEST((*Recovered)->LastVote.Term == 11u);
  // A second process cannot lock the folder, and a log whose snapshot is
  // truncated is damaged.
  BOOST_TEST((LogFiles::tryOpen(Folder.Path, Name).error().Kind ==
              StorageErrorKind::Locked));
  for (const auto &File : std::filesystem::directory_iterator(Folder.Path))
    if (File.path().filename().string().starts_with("snapshot-"))
      std::filesystem::resize_file(File.path(), 5);
  BOOST_TEST((Files.tryRecover().error().Kind == StorageErrorKind::Damaged));
}

// A crash may come after a damaged log is moved aside and before a new one is
// written. A replica that starts as blank then could help to form a second log.
BOOST_AUTO_TEST_CASE(a_folder_whose_log_was_moved_aside_is_not_blank) {
  TemporaryFolder Folder;
  std::filesystem::create_directory(Folder.Path / "damaged");
  auto Files = LogFiles::tryOpen(Folder.Path, Name);
  BOOST_REQUIRE(Files.has_value());
  BOOST_TEST((Files->tryRecover().error().Kind == StorageErrorKind::Damaged));
}

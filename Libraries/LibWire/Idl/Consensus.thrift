// Messages between the replicas of a log, and the records of a log on disk.
namespace cpp ferry.wire

enum LogEntryKind {
  // Opens a leader's term.
  Noop = 1,
  Command = 2,
  // The payload is an encoded LogConfiguration.
  Configuration = 3
}

struct LogEntry {
  1: i64 Index
  2: i64 Term
  3: LogEntryKind Kind
  4: binary Payload
}

struct LogMember {
  1: i64 ReplicaId
  2: string HostId
}

struct LogConfiguration {
  1: list<LogMember> Voters
}

enum ConsensusKind {
  VoteRequest = 1,
  VoteReply = 2,
  AppendRequest = 3,
  AppendReply = 4,
  SnapshotChunk = 5,
  SnapshotReply = 6,
  Probe = 7,
  ProbeReply = 8,
  JoinRequest = 9,
  Dismissal = 10
}

// Frame of every message; the body's type follows from the kind.
struct ConsensusMessage {
  1: string ClusterId
  2: i64 GroupId
  // Replica ids; a receiver of 0 means whatever replica the host has.
  3: i64 Sender
  4: i64 Receiver
  5: i64 Term
  6: ConsensusKind Kind
  7: binary Body
}

struct VoteRequest {
  // A preliminary vote changes no term and promises nothing.
  1: bool Preliminary
  2: i64 LastIndex
  3: i64 LastTerm
}

struct VoteReply {
  1: bool Preliminary
  2: bool Granted
}

struct AppendRequest {
  1: i64 PreviousIndex
  2: i64 PreviousTerm
  3: i64 CommitIndex
  // Echoed by the reply; confirms that the sender still led in this round.
  4: i64 Round
  5: list<LogEntry> Entries
}

struct AppendReply {
  1: bool Matched
  // Matched: the last index that is synced and equal to the leader's.
  // Otherwise: the greatest previous index worth trying.
  2: i64 Index
  3: i64 Round
}

struct SnapshotChunk {
  1: i64 Index
  2: i64 LastTerm
  3: LogConfiguration Configuration
  4: i64 Offset
  5: i64 TotalBytes
  6: binary Data
  7: i64 Round
}

struct SnapshotReply {
  1: i64 Index
  2: i64 NextOffset
  3: i64 Round
}

enum LogStanding {
  Blank = 1,
  Learner = 2,
  Voter = 3,
  Refusing = 4
}

// A blank replica asks what its peers are.
struct Probe {
  1: i64 Nonce
}

struct ProbeReply {
  1: i64 Nonce
  2: LogStanding Standing
  // Set if the asker is a member of the configuration that formed the cluster.
  3: optional LogConfiguration Formation
}

enum JoinReason {
  // The sender has no log and wants to be taken in.
  NewReplica = 1,
  // The sender was a voter, hears no leader and asks whether it still is one.
  LeaderSilent = 2
}

struct JoinRequest {
  1: JoinReason Reason
  2: i64 Nonce
}

// The receiver is in no configuration any more, confirmed by a quorum after
// the join request with this nonce.
struct Dismissal {
  1: i64 Nonce
}

struct LogIdentity {
  1: i64 ReplicaId
  // Blank may help to form a cluster, Refusing may only join one, Learner and
  // Voter both mean a replica that has promised or stored something.
  2: LogStanding Standing
  // The configuration that formed the cluster, if this replica helped.
  3: optional LogConfiguration Formation
}

struct LogVote {
  1: i64 Term
  // The replica voted for in this term, 0 for none.
  2: i64 VotedFor
}

struct LogSnapshotMark {
  1: i64 Index
  2: i64 Term
  3: LogConfiguration Configuration
}

// One write to the log file; every field is applied in this order.
struct LogRecord {
  1: string ClusterId
  2: i64 GroupId
  // All bytes of the file before this offset were synced when it was written.
  3: i64 SyncedBytes
  4: optional LogIdentity Identity
  5: optional LogVote Vote
  6: optional LogSnapshotMark Snapshot
  7: optional i64 TruncateFrom
  8: list<LogEntry> Entries
}

// The snapshot file.
struct LogSnapshotFile {
  1: string ClusterId
  2: i64 GroupId
  3: LogSnapshotMark Mark
  4: binary State
}

// Commands of the replicated state machine, its replies and its snapshot, and
// the messages by which hosts reach it.
namespace cpp ferry.wire

struct ClaimKeyFields {
  1: string Workspace
  2: string Service
  3: string Key
}

struct ClaimAttemptFields {
  1: string Host
  2: i64 Incarnation
  3: i64 Number
}

struct AnswerFields {
  1: i32 Status
  2: string ContentType
  3: binary Body
}

struct ChangeCommand {
  1: i64 Base
  2: string Operation
  3: binary Text
}

// Which workspaces of a description share a cache, as digests of their ids.
struct CacheSharingFields {
  1: list<i64> Sharing
  2: list<i64> Isolated
  3: bool OpenToAll
}

// Puts a description in force whose number its author chose.
struct ReplaceCommand {
  1: i64 Number
  2: binary Text
  // Absent in commands of older hosts.
  3: optional CacheSharingFields Sharing
}

// Names the weights that the engines of a model are to have.
struct NameWeightsCommand {
  1: string Model
  2: i64 Weights
  // The leader's wall clock in milliseconds since the Unix epoch; 0 if unknown.
  3: i64 NamedAtMillis
}

// Records that a target and its earlier incarnations have left.
struct RecordLeaveCommand {
  1: string Target
  2: i64 Incarnation
  // The leader's wall clock in milliseconds since the Unix epoch.
  3: i64 LeftAtMillis
}

struct ClaimCommand {
  1: ClaimKeyFields Key
  2: ClaimAttemptFields Attempt
  3: i64 BodyDigest
  // The asker's wall clock in milliseconds since the Unix epoch.
  4: i64 AskedAtMillis
}

struct CompleteCommand {
  1: ClaimKeyFields Key
  2: ClaimAttemptFields Attempt
  3: AnswerFields Answer
}

struct ReleaseCommand {
  1: ClaimKeyFields Key
  2: ClaimAttemptFields Attempt
}

struct MarkUnknownCommand {
  1: ClaimKeyFields Key
  // The attempt that is marked, not the one that asks.
  2: ClaimAttemptFields Holder
}

struct AdvanceLowWaterCommand {
  1: i64 MarkMillis
}

struct AcquireLeaseCommand {
  1: string Name
  2: string Host
  3: i64 Incarnation
  // The lease as the candidate last saw it.
  4: i64 SeenFencing
  5: i64 SeenRenewals
}

struct RenewLeaseCommand {
  1: string Name
  2: string Host
  3: i64 Incarnation
  4: i64 Fencing
  5: i64 Renewals
}

struct ReleaseLeaseCommand {
  1: string Name
  2: string Host
  3: i64 Incarnation
  4: i64 Fencing
}

struct LoadSlotFields {
  1: string Target
  2: i64 Incarnation
  3: i64 Weights
  // Fencing number of the order lease, and the giver's count under it.
  4: i64 Fencing
  5: i64 Sequence
  // In snapshots: renewals of later terms of the order lease.
  6: optional i64 LaterRenewals
}

struct BeginLoadCommand {
  1: LoadSlotFields Slot
  2: i32 MaxLoads
}

struct EndLoadCommand {
  1: LoadSlotFields Slot
}

// Exactly one field is set.
struct RegistryCommand {
  1: optional ChangeCommand Change
  2: optional ClaimCommand Claim
  3: optional CompleteCommand Complete
  4: optional ReleaseCommand Release
  5: optional MarkUnknownCommand MarkUnknown
  6: optional AdvanceLowWaterCommand AdvanceLowWater
  7: optional AcquireLeaseCommand AcquireLease
  8: optional RenewLeaseCommand RenewLease
  9: optional ReleaseLeaseCommand ReleaseLease
  10: optional BeginLoadCommand BeginLoad
  11: optional EndLoadCommand EndLoad
  12: optional ReplaceCommand Replace
  13: optional NameWeightsCommand NameWeights
  14: optional RecordLeaveCommand RecordLeave
}

enum ClaimStatus {
  Granted = 1,
  Held = 2,
  Completed = 3,
  Unknown = 4,
  Mismatch = 5,
  Expired = 6,
  LedgerFull = 7,
  Released = 8,
  StampAhead = 9
}

struct ClaimReply {
  1: ClaimStatus Status
  2: optional ClaimAttemptFields Holder
  3: optional AnswerFields Answer
}

enum ChangeStatus {
  Accepted = 1,
  Conflict = 2,
  OperationReused = 3
}

struct DescriptionFields {
  1: i64 Number
  2: string Operation
  3: binary Text
  // Number of the description with which the cache that workspaces share began.
  4: optional i64 SharedCacheSince
}

struct ChangeReply {
  1: ChangeStatus Status
  2: i64 Number
  3: optional DescriptionFields Current
}

struct LeaseFields {
  1: string Name
  // Empty once it was released.
  2: string Host
  3: i64 Incarnation
  4: i64 Fencing
  5: i64 Renewals
}

struct LeaseReply {
  1: bool Granted
  2: LeaseFields Lease
}

enum LoadStatus {
  Granted = 1,
  Refused = 2,
  Stale = 3,
  Ended = 4
}

struct LoadReply {
  1: LoadStatus Status
  2: list<LoadSlotFields> Active
}

struct LowWaterReply {
  1: i64 MarkMillis
}

enum InvalidReason {
  Malformed = 1,
  TooLarge = 2
}

struct NamedWeightsFields {
  1: string Model
  2: i64 Weights
  // As in NameWeightsCommand; used in snapshots only.
  3: i64 NamedAtMillis
}

// A leave in the ledger of a snapshot, and the reply to RecordLeaveCommand.
struct LeaveFields {
  1: string Target
  2: i64 Incarnation
  3: i64 Number
}

// Exactly one field is set.
struct RegistryAnswer {
  1: optional ChangeReply Change
  2: optional ClaimReply Claim
  3: optional LeaseReply Lease
  4: optional LoadReply Load
  5: optional LowWaterReply LowWater
  6: optional DescriptionFields Description
  7: optional InvalidReason Invalid
  8: optional NamedWeightsFields NamedWeights
  9: optional LeaveFields Leave
}

enum RequestKind {
  Propose = 1,
  ReadDescription = 2
}

struct RegistryRequest {
  // Chosen by the client, unique over all of its incarnations.
  1: i64 RequestNumber
  2: RequestKind Kind
  3: binary Command
}

enum ReplyStatus {
  Answered = 1,
  // This host does not lead, or lost the lead before the command committed.
  NotLeader = 2,
  Busy = 3
}

struct RegistryReply {
  1: i64 RequestNumber
  2: ReplyStatus Status
  // The leader's host as far as known; else empty.
  3: string LeaderHint
  // A RegistryAnswer, encoded.
  4: binary Answer
}

struct OperationFields {
  1: i64 DigestHigh
  2: i64 DigestLow
  3: i64 TextDigest
  // 0 for an operation that was refused.
  4: i64 Number
}

struct ClaimEntryFields {
  1: i64 DigestHigh
  2: i64 DigestLow
  3: i32 State
  4: i64 BodyDigest
  5: ClaimAttemptFields Holder
  6: list<ClaimAttemptFields> Ended
  7: AnswerFields Answer
  8: i64 StampMillis
  9: i64 Order
}

struct TombstoneBucketFields {
  // First bucket of stamps; -1 for keys without a stamp.
  1: i64 Bucket
  // 16 bytes each.
  2: binary Digests
}

struct HostIncarnationFields {
  1: string Host
  2: i64 Incarnation
}

// The cache that workspaces share, and the digests of those that may have used it.
struct SharedCacheFields {
  1: i64 Since
  2: list<i64> Users
  3: bool UsedByAnyone
}

struct RegistrySnapshot {
  1: i32 FormatVersion
  2: i64 AppliedIndex
  3: DescriptionFields Description
  4: list<OperationFields> Operations
  5: list<ClaimEntryFields> Claims
  6: list<TombstoneBucketFields> Tombstones
  7: i64 LowWaterMillis
  8: i64 NextOrder
  9: list<HostIncarnationFields> ClaimingHosts
  10: list<LeaseFields> Leases
  11: list<LoadSlotFields> Loads
  12: i64 LoadFencing
  13: i64 LoadSequence
  // The versions of a model are in rising order.
  14: list<NamedWeightsFields> NamedWeights
  // In the order of their numbers.
  15: list<LeaveFields> Leaves
  // Absent if it is not recorded.
  16: optional SharedCacheFields SharedCache
}

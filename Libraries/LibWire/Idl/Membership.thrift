// Messages of the membership exchange and of the confirmation of the
// description's number.
namespace cpp ferry.wire

struct TargetDetails {
  1: string Address
  2: string DataCentre
  3: i32 Kind
  4: string Service
  5: string Model
  6: string Adapter
  7: i64 Weights
  8: i32 Fencing
  9: i32 Phase
  10: string Build
}

struct LoadFields {
  1: i32 Running
  2: i32 Queued
  3: i64 QueuedPrefillTokens
  4: i32 MaxConcurrent
}

// One change in an origin's list of targets.
struct TargetChange {
  1: string Id
  2: i64 Incarnation
  // The origin's version with this change.
  3: i64 Version
  4: i64 Sequence
  // Absent if the target has gone, or if only its load has changed.
  5: optional TargetDetails Details
  6: optional LoadFields Load
  7: optional bool Gone
  // It misses announcements: its trust is no longer extended.
  8: optional bool Late
}

// Liveness of one origin, as the sender knows it.
struct OriginHeartbeat {
  // Hash of the host's id.
  1: i32 Tag
  2: i64 Incarnation
  3: i32 Standing
  // Number of the description in force there.
  4: i64 Number
  5: i32 AgeMillis
  // Age of the oldest announcement among its listed targets.
  6: i32 TargetsAgeMillis
  7: i64 Version
  // Version of the last change other than of load figures.
  8: i64 Structure
}

struct OriginWant {
  1: i32 Tag
  2: i64 Incarnation
  3: i64 HaveVersion
}

struct OriginDelta {
  1: i32 Tag
  2: i64 Incarnation
  // 0: the changes replace the whole list.
  3: i64 BaseVersion
  // The list is known up to this version after the changes.
  4: i64 Version
  5: list<TargetChange> Changes
}

struct LeaveMark {
  1: string Target
  2: i64 Incarnation
}

// A leave that is recorded in the log.
struct RecordedLeaveFields {
  1: string Target
  2: i64 Incarnation
  // Position in the ledger of leaves.
  3: i64 Number
}

// A host as it introduces itself, or as others pass that on.
struct HostFields {
  1: string Id
  2: string DataCentre
  3: i32 Role
  // "IP:port" for callers; empty on a host that serves none.
  4: string CallerAddress
}

struct MembershipAsk {
  1: i64 AskNumber
  2: list<OriginWant> Wants
  // The asker, where hosts find each other by seeds.
  3: optional HostFields Asker
  // Tags in earlier replies that stand for hosts unknown to the asker.
  4: optional list<i32> UnknownTags
  // The asker's life, where hosts find each other by seeds.
  5: optional i64 AskerIncarnation
  // Number of the newest recorded leave that the asker knows.
  6: optional i64 LeavesAfter
}

struct MembershipReply {
  1: i64 AskNumber
  2: list<OriginHeartbeat> Heartbeats
  3: list<OriginDelta> Deltas
  // A quorum of control hosts had no number above this one at that age.
  4: optional i64 ConfirmedNumber
  5: optional i32 ConfirmedAgeMillis
  // The hosts behind the unknown tags of the question.
  6: optional list<HostFields> Introduced
  // The next recorded leaves, the oldest first, and the number of the newest one that
  // the sender knows.
  7: optional list<RecordedLeaveFields> RecordedLeaves
  8: optional i64 NewestLeave
}

struct MembershipMessage {
  1: optional MembershipAsk Ask
  2: optional MembershipReply Reply
  3: optional list<LeaveMark> Leaves
  // Number of the description in force at the sender.
  4: optional i64 Number
}

struct ConfirmationQuery {
  1: i64 QueryNumber
}

struct ConfirmationAnswer {
  1: i64 QueryNumber
  // Greatest number in the host's log, committed or not.
  2: i64 GreatestNumber
  3: bool Voter
  // Voters of the log's newest configuration; absent from older hosts.
  4: optional i32 VoterCount
  // Whether the host knows of a leader of the log; absent from older hosts.
  5: optional bool KnowsLeader
}

// Exactly one field is set.
struct ConfirmationMessage {
  1: optional ConfirmationQuery Query
  2: optional ConfirmationAnswer Answer
}

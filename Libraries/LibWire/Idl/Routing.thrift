// What routers tell each other about the targets' work, and what the giver of
// orders tells them about engines.
namespace cpp ferry.wire

// Work that one router has sent to a target and not yet seen begun or ended.
struct TargetWork {
  1: string Target
  // Time that the target will read long prompts for it, and short ones.
  2: i32 LongPromptMillis
  3: i32 Running
  4: i32 ShortPromptMillis
}

// A part of a prompt that a target was seen to have.
struct PartPlace {
  1: string Target
  2: i64 Part
  3: i32 Tokens
  // Whether it was read, or a request is under way that reads it.
  4: bool Read
}

// Whose work a digest adds up: that of its sender, that of the routers whose relay
// sends it, or that of all routers but the receiver.
enum DigestScope {
  Router = 0
  Group = 1
  Fleet = 2
}

// Replaces the sender's earlier work; the parts are those of the newest
// requests.
struct WorkDigest {
  1: list<TargetWork> Work
  2: list<PartPlace> Parts
  3: DigestScope Scope = DigestScope.Router
}

// What the giver of orders knows of an engine ahead of its announcements.
struct EngineChange {
  1: string Target
  2: i64 Incarnation
  3: i64 Weights
  // Weights are being loaded: requests would be refused.
  4: bool Loading
}

// Weights that an operator has named.
struct NamedWeights {
  1: string Model
  2: i64 Weights
  // Time since the naming.
  3: i32 AgeMillis
}

struct EngineChanges {
  1: list<EngineChange> Changes
  2: list<NamedWeights> Named
  // The receiver passes the message on to PassOnTo or, if that is absent, to
  // the other routers of its group.
  3: bool PassOn = false
  // Ids of routers.
  4: optional list<string> PassOnTo
}

// A stream that a target of that build began.
struct StreamBuild {
  // Hash of the workspace and the request that brought the first event.
  1: i64 Key
  2: string Build
  // Time for which the stream may be taken up.
  3: i32 LifetimeMillis
}

// Asks for the build of a stream that a caller takes up.
struct StreamQuestion {
  1: i64 Number
  2: i64 Key
}

struct StreamReply {
  1: i64 Number
  // Absent if the stream is unknown.
  2: optional string Build
}

// Exactly one field is set.
struct StreamMessage {
  1: optional StreamBuild Begun
  2: optional StreamQuestion Question
  3: optional StreamReply Reply
}

// A request whose answer was broken off when a target ended.
struct CrashSuspect {
  1: list<i64> Parts
  // Whether the answer had begun; else the request may have waited.
  2: bool Begun
  3: i32 AgeMillis
}

// Whether answers to prompts with a part of the suspects were served.
struct PartServed {
  1: i64 Part
  2: bool ServedBefore
  3: bool ServedAfter
}

// The end of an incarnation of a target.
struct CrashReport {
  // Hash of the target and its incarnation.
  1: i64 Crash
  // Since the last answer was broken off.
  2: i32 AgeMillis
  3: list<CrashSuspect> Suspects
  4: list<PartServed> Served
}

// Parts of which one crashes targets.
struct QuarantinedParts {
  1: list<i64> Parts
  2: i32 Epoch
  3: bool Ended
  4: i32 Trials
  // Time until the next trial, and since a request last had the parts.
  5: i32 TrialInMillis
  6: i32 WantedAgeMillis
}

// What a control host keeps on its disk for routers that all restart.
struct KeptQuarantines {
  // In milliseconds since the Unix epoch. The times of the sets count from then.
  1: i64 WrittenAt
  2: list<QuarantinedParts> Quarantined
}

// What a target's answer said of its limit.
struct TargetLimit {
  1: string Target
  2: i64 Incarnation
  // Requests a second from all routers; absent if the limit has ended.
  3: optional double PerSecond
  4: i32 AgeMillis
  // Rejections a second that a brittle target survives; absent if it is not
  // brittle.
  5: optional double RejectionsPerSecond
}

// What a router says of itself to one that reaches no target.
struct RouterReach {
  1: bool ReachesTargets
  // Shows that a request was passed on by a router.
  2: string PassKey
}

// Asks the owner of a workspace with a cap for units. Sent again unchanged until it
// is answered. Routers send many of these: a field that is 0 is left out.
struct CapQuestion {
  1: string Workspace
  // Tells questions of all routers and of their runs apart.
  2: i64 Number
  // Units for requests that wait, and for requests that are expected.
  3: optional double Needed
  4: optional double Wanted
  // Unused units of expired grants.
  5: optional double Returned
}

// Sent to the router that asked. A field that is 0 is left out.
struct CapReply {
  1: string Workspace
  2: i64 Number
  3: optional double Granted
  // How long the grant may be used, from the sending of the question on.
  4: optional i32 LifetimeMillis
  // When the needed units can be granted. If nothing is granted and this is 0, the
  // sender is not the owner.
  5: optional i32 RetryInMillis
}

// Asks a router for one of its slots of a brittle target, for one request.
struct SlotQuestion {
  1: i64 Number
  2: string Target
  3: i64 Incarnation
  // Time until the request has ended at the latest.
  4: i32 LifetimeMillis
}

struct SlotReply {
  1: i64 Number
  2: bool Lent
}

// What a router has learnt that the others need.
struct BeliefMessage {
  1: list<CrashReport> Crashes
  2: list<QuarantinedParts> Quarantined
  // The sender has started and wants to know all.
  3: bool Asks = false
  // Answers such a question.
  4: bool Answers = false
  5: list<TargetLimit> Limits
  // The sender reaches no target and wants to know who does; it tells nothing
  // else.
  6: bool AsksReach = false
  // Answers such a question, with nothing else.
  7: optional RouterReach Reach
  // Sent alone, to the owner of the workspaces only, and to the router that asked.
  8: optional list<CapQuestion> CapQuestions
  9: optional list<CapReply> CapReplies
  // Each of these is sent alone, to a router that has slots of a target and to the one
  // that asked. Older routers do not answer.
  10: optional SlotQuestion SlotAsked
  11: optional SlotReply SlotAnswered
  // Number of a loan that has ended.
  12: optional i64 SlotReturned
}

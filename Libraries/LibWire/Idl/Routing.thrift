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

// Replaces the sender's earlier work; the parts are those of its newest
// requests.
struct WorkDigest {
  1: list<TargetWork> Work
  2: list<PartPlace> Parts
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
  // Since the sender learnt of them.
  3: i32 AgeMillis
}

struct EngineChanges {
  1: list<EngineChange> Changes
  2: list<NamedWeights> Named
}

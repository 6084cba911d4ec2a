#include "LibConsensus/Replica.h"
#include <algorithm>

namespace ferry::consensus {

bool Replica::acceptLeader(const ReceiveEvent &Input) {
  if (Input.Received.Term < LastVote.Term) {
    // Tells a leader of an earlier term of the new one. A blank replica has no
    // term to tell.
    wire::AppendReply Reply;
    Reply.Matched = false;
    if (mayVote())
      sendAfter(hardStateToken(), Input.From,
                message(Input.Received.Sender, Reply));
    return false;
  }
  // A term has one leader, so this message is damaged or of no replica. It must
  // not end the process.
  if (isLeader())
    return false;
  becomeFollower(LastVote.Term, Input.From);
  restartElectionTimer();
  LeaderActiveUntil = Now + Options.Timing.ElectionTimeout;
  if (!mayVote()) {
    Self.StoredStanding = Standing::Learner;
    recordIdentity();
  }
  return true;
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::AppendRequest &Request) {
  if (!acceptLeader(Input))
    return;
  auto Previous = static_cast<uint64_t>(Request.PreviousIndex);
  auto PreviousTerm = Log.termAt(Previous);
  bool Compacted = Previous < Log.baseIndex();
  bool TermMatches = PreviousTerm && *PreviousTerm == static_cast<uint64_t>(
                                                          Request.PreviousTerm);
  if (!Compacted && !TermMatches)
    return rejectAppend(Input, Request);
  if (contradictsCommitted(Request))
    return;
  uint64_t LastIndex = storeEntries(Request);
  uint64_t NewCommit =
      std::min(static_cast<uint64_t>(Request.CommitIndex), LastIndex);
  if (NewCommit > CommitIndex)
    commitTo(NewCommit);
  if (Request.Entries.empty())
    // A heartbeat does not wait for the disk: its reply names only what is
    // synced already.
    return replyMatched(Input, std::min(LastIndex, DurableIndex),
                        Request.Round);
  wire::AppendReply Reply;
  Reply.Matched = true;
  Reply.Index = static_cast<int64_t>(LastIndex);
  Reply.Round = Request.Round;
  uint64_t Token =
      LastIndex <= DurableIndex ? hardStateToken() : pendingToken();
  sendAfter(Token, Input.From, message(Input.Received.Sender, Reply));
}

void Replica::replyMatched(const ReceiveEvent &Input, uint64_t Index,
                           int64_t Round) {
  wire::AppendReply Reply;
  Reply.Matched = true;
  Reply.Index = static_cast<int64_t>(Index);
  Reply.Round = Round;
  sendAfter(hardStateToken(), Input.From,
            message(Input.Received.Sender, Reply));
}

void Replica::rejectAppend(const ReceiveEvent &Input,
                           const wire::AppendRequest &Request) {
  uint64_t Hint = std::min<uint64_t>(Request.PreviousIndex, Log.lastIndex());
  if (auto Term = Log.termAt(Hint);
      Term && Hint == static_cast<uint64_t>(Request.PreviousIndex))
    // The terms differ, and so may all entries of that term: skip them.
    while (Hint > CommitIndex && Log.termAt(Hint) == Term)
      --Hint;
  wire::AppendReply Reply;
  Reply.Matched = false;
  Reply.Index = static_cast<int64_t>(std::max(Hint, CommitIndex));
  Reply.Round = Request.Round;
  sendAfter(hardStateToken(), Input.From,
            message(Input.Received.Sender, Reply));
}

bool Replica::contradictsCommitted(const wire::AppendRequest &Request) const {
  return std::any_of(Request.Entries.begin(), Request.Entries.end(),
                     [this](const wire::LogEntry &NewEntry) {
                       auto Index = static_cast<uint64_t>(NewEntry.Index);
                       return Index > Log.baseIndex() && Index <= CommitIndex &&
                              Log.termAt(Index) !=
                                  static_cast<uint64_t>(NewEntry.Term);
                     });
}

uint64_t Replica::storeEntries(const wire::AppendRequest &Request) {
  auto LastIndex = static_cast<uint64_t>(Request.PreviousIndex);
  for (const wire::LogEntry &NewEntry : Request.Entries) {
    LastIndex = static_cast<uint64_t>(NewEntry.Index);
    if (LastIndex <= Log.baseIndex())
      continue;
    auto ExistingTerm = Log.termAt(LastIndex);
    if (ExistingTerm == static_cast<uint64_t>(NewEntry.Term))
      continue;
    if (ExistingTerm)
      truncateFrom(LastIndex);
    appendEntry(fromWire(NewEntry));
  }
  return LastIndex;
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::SnapshotChunk &Chunk) {
  if (!acceptLeader(Input))
    return;
  auto Index = static_cast<uint64_t>(Chunk.Index);
  auto Term = static_cast<uint64_t>(Chunk.LastTerm);
  if (Index > CommitIndex && Log.termAt(Index) == Term)
    commitTo(Index);
  if (Index <= CommitIndex)
    return replyMatched(Input, std::min(Index, DurableIndex), Chunk.Round);
  if (static_cast<uint64_t>(Chunk.TotalBytes) > Options.Limits.MaxSnapshotBytes)
    return;
  bool IsNew = !IncomingSnapshot || IncomingSnapshot->Index != Index ||
               IncomingSnapshot->Term != Term;
  if (IsNew)
    IncomingSnapshot = Snapshot{Index, Term, fromWire(Chunk.Configuration), {}};
  std::string &State = IncomingSnapshot->State;
  if (static_cast<uint64_t>(Chunk.Offset) == State.size())
    State.append(Chunk.Data);
  if (State.size() == static_cast<uint64_t>(Chunk.TotalBytes)) {
    installSnapshot();
    wire::AppendReply Reply;
    Reply.Matched = true;
    Reply.Index = Chunk.Index;
    Reply.Round = Chunk.Round;
    sendAfter(pendingToken(), Input.From,
              message(Input.Received.Sender, Reply));
    return;
  }
  wire::SnapshotReply Reply;
  Reply.Index = Chunk.Index;
  Reply.NextOffset = static_cast<int64_t>(State.size());
  Reply.Round = Chunk.Round;
  sendAfter(hardStateToken(), Input.From,
            message(Input.Received.Sender, Reply));
}

void Replica::installSnapshot() {
  // Entries up to the commit index stay equal; later ones are discarded and no
  // longer count as durable.
  DurableIndex = std::min(DurableIndex, CommitIndex);
  for (PendingWrite &Write : PendingWrites)
    Write.LastIndex = std::min(Write.LastIndex, CommitIndex);
  LastSnapshot = std::make_shared<Snapshot>(std::move(*IncomingSnapshot));
  IncomingSnapshot.reset();
  SnapshotRequested = false;
  Log.reset(LastSnapshot->Index, LastSnapshot->Term, LastSnapshot->Members);
  CommitIndex = LastSnapshot->Index;
  recordCheckpoint();
  emit(RestoreEffect{LastSnapshot});
}

} // namespace ferry::consensus

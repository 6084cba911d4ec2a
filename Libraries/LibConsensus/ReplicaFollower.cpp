#include "LibConsensus/Replica.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

bool Replica::acceptLeader(const ReceiveEvent &From) {
  if (From.Received.Term < LastVote.Term) {
    // Lets a leader of an earlier term find out; a blank has nothing to say.
    wire::AppendReply Reply;
    Reply.Matched = false;
    if (mayVote())
      sendAfter(promiseToken(), From.From,
                message(From.Received.Sender, Reply));
    return false;
  }
  assert(!isLeader() && "one leader a term");
  becomeFollower(LastVote.Term, From.From);
  ElectionAt = electionDeadline();
  LeaderPresumedUntil = Now + Options.Timing.ElectionTimeout;
  if (!mayVote()) {
    Self.Kept = Standing::Learner;
    recordIdentity();
  }
  return true;
}

void Replica::receive(const ReceiveEvent &From,
                      const wire::AppendRequest &Sent) {
  if (!acceptLeader(From))
    return;
  auto Previous = static_cast<uint64_t>(Sent.PreviousIndex);
  auto PreviousTerm = Log.termAt(Previous);
  bool Covered = Previous < Log.baseIndex();
  bool Equal =
      PreviousTerm && *PreviousTerm == static_cast<uint64_t>(Sent.PreviousTerm);
  if (!Covered && !Equal)
    return rejectAppend(From, Sent);
  uint64_t Last = storeEntries(Sent);
  uint64_t Known = std::min(static_cast<uint64_t>(Sent.CommitIndex), Last);
  if (Known > Commit)
    commitTo(Known);
  if (Sent.Entries.empty())
    // Synced so far, at once: a heartbeat does not wait for the disk.
    return replyMatched(From, std::min(Last, DurableIndex), Sent.Round);
  wire::AppendReply Reply;
  Reply.Matched = true;
  Reply.Index = static_cast<int64_t>(Last);
  Reply.Round = Sent.Round;
  uint64_t Token = Last <= DurableIndex ? promiseToken() : pendingToken();
  sendAfter(Token, From.From, message(From.Received.Sender, Reply));
}

void Replica::replyMatched(const ReceiveEvent &From, uint64_t Index,
                           int64_t Round) {
  wire::AppendReply Reply;
  Reply.Matched = true;
  Reply.Index = static_cast<int64_t>(Index);
  Reply.Round = Round;
  sendAfter(promiseToken(), From.From, message(From.Received.Sender, Reply));
}

void Replica::rejectAppend(const ReceiveEvent &From,
                           const wire::AppendRequest &Sent) {
  uint64_t Hint = std::min<uint64_t>(Sent.PreviousIndex, Log.lastIndex());
  if (auto Term = Log.termAt(Hint);
      Term && Hint == static_cast<uint64_t>(Sent.PreviousIndex))
    // The whole term is in doubt: step over it.
    while (Hint > Commit && Log.termAt(Hint) == Term)
      --Hint;
  wire::AppendReply Reply;
  Reply.Matched = false;
  Reply.Index = static_cast<int64_t>(std::max(Hint, Commit));
  Reply.Round = Sent.Round;
  sendAfter(promiseToken(), From.From, message(From.Received.Sender, Reply));
}

uint64_t Replica::storeEntries(const wire::AppendRequest &Sent) {
  auto Last = static_cast<uint64_t>(Sent.PreviousIndex);
  for (const wire::LogEntry &Next : Sent.Entries) {
    Last = static_cast<uint64_t>(Next.Index);
    if (Last <= Log.baseIndex())
      continue;
    auto Held = Log.termAt(Last);
    if (Held == static_cast<uint64_t>(Next.Term))
      continue;
    if (Held)
      truncateFrom(Last);
    appendEntry(fromWire(Next));
  }
  return Last;
}

void Replica::receive(const ReceiveEvent &From,
                      const wire::SnapshotChunk &Chunk) {
  if (!acceptLeader(From))
    return;
  auto Index = static_cast<uint64_t>(Chunk.Index);
  auto Term = static_cast<uint64_t>(Chunk.LastTerm);
  if (Index > Commit && Log.termAt(Index) == Term)
    commitTo(Index);
  if (Index <= Commit)
    return replyMatched(From, std::min(Index, DurableIndex), Chunk.Round);
  if (static_cast<uint64_t>(Chunk.TotalBytes) > Options.Limits.MaxSnapshotBytes)
    return;
  bool Fresh = !Incoming || Incoming->Index != Index || Incoming->Term != Term;
  if (Fresh)
    Incoming = Snapshot{Index, Term, fromWire(Chunk.Configuration), {}};
  std::string &State = Incoming->State;
  if (static_cast<uint64_t>(Chunk.Offset) == State.size())
    State.append(Chunk.Data);
  if (State.size() == static_cast<uint64_t>(Chunk.TotalBytes)) {
    installSnapshot();
    wire::AppendReply Reply;
    Reply.Matched = true;
    Reply.Index = Chunk.Index;
    Reply.Round = Chunk.Round;
    sendAfter(pendingToken(), From.From, message(From.Received.Sender, Reply));
    return;
  }
  wire::SnapshotReply Reply;
  Reply.Index = Chunk.Index;
  Reply.NextOffset = static_cast<int64_t>(State.size());
  Reply.Round = Chunk.Round;
  sendAfter(promiseToken(), From.From, message(From.Received.Sender, Reply));
}

void Replica::installSnapshot() {
  // Entries before are committed and equal; what differs is given up.
  DurableIndex = std::min(DurableIndex, Commit);
  for (auto &[Token, LastIndex] : Writes)
    LastIndex = std::min(LastIndex, Commit);
  LastSnapshot = std::make_shared<Snapshot>(std::move(*Incoming));
  Incoming.reset();
  SnapshotAsked = false;
  Log.reset(LastSnapshot->Index, LastSnapshot->Term, LastSnapshot->Members);
  Commit = LastSnapshot->Index;
  recordCheckpoint();
  emit(RestoreEffect{LastSnapshot});
}

} // namespace ferry::consensus

#include "LibConsensus/Replica.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

void Replica::becomeLeader() {
  Leading Lead;
  Lead.TermStart = Log.lastIndex() + 1;
  Lead.HeartbeatAt = Now;
  Lead.QuorumCheckAt = Now + Options.Timing.ElectionTimeout;
  // Before the own entry: peers are likely to match here.
  Role = std::move(Lead);
  syncProgress();
  // The first entry of a log carries its members to replicas that join later.
  bool First = Log.lastIndex() == 0;
  Entry Opening{Log.lastIndex() + 1, LastVote.Term, EntryKind::Noop, {}};
  if (First) {
    Opening.Kind = EntryKind::Configuration;
    Opening.Payload = encodeConfiguration(Log.members());
  }
  appendEntry(std::move(Opening));
  replicateAll();
  heartbeat();
}

void Replica::syncProgress() {
  auto &Lead = std::get<Leading>(Role);
  std::map<ReplicaId, Progress> Voters;
  for (const Member &Voter : Log.members().Voters) {
    if (Voter.Replica == Self.Replica)
      continue;
    Progress *Known = progressOf(Voter.Replica);
    Progress Kept = Known != nullptr ? std::move(*Known) : Progress{};
    if (Known == nullptr) {
      Kept.Next = Log.lastIndex() + 1;
      Kept.HeardAt = Now;
    }
    Kept.Host = Voter.Host;
    Voters.emplace(Voter.Replica, std::move(Kept));
  }
  for (const auto &[Replica, Known] : Voters)
    Lead.Learners.erase(Replica);
  Lead.Voters = std::move(Voters);
}

Replica::Progress *Replica::progressOf(ReplicaId Peer) {
  auto &Lead = std::get<Leading>(Role);
  if (auto Found = Lead.Voters.find(Peer); Found != Lead.Voters.end())
    return &Found->second;
  if (auto Found = Lead.Learners.find(Peer); Found != Lead.Learners.end())
    return &Found->second;
  return nullptr;
}

void Replica::heartbeat() {
  auto &Lead = std::get<Leading>(Role);
  Lead.HeartbeatAt = Now + Options.Timing.HeartbeatInterval;
  for (auto *Peers : {&Lead.Voters, &Lead.Learners})
    for (auto &[Peer, To] : *Peers) {
      if (To.Sending)
        sendChunk(Peer, To, ChunkContent::Nothing);
      else if (To.Next > Log.baseIndex())
        sendAppend(Peer, To, AppendContent::Nothing);
    }
}

void Replica::checkQuorum() {
  auto &Lead = std::get<Leading>(Role);
  Lead.QuorumCheckAt = Now + Options.Timing.ElectionTimeout;
  size_t Heard = 1;
  for (auto &[Peer, Known] : Lead.Voters)
    Heard += std::exchange(Known.Heard, false) ? 1 : 0;
  for (auto Next = Lead.Learners.begin(); Next != Lead.Learners.end();) {
    bool Silent = !std::exchange(Next->second.Heard, false);
    Next = Silent ? Lead.Learners.erase(Next) : std::next(Next);
  }
  if (Heard < Log.members().quorum())
    return becomeFollower(LastVote.Term, std::nullopt);
  if (Options.Members == MemberSource::Discovered)
    changeMembers();
}

void Replica::replicateAll() {
  auto &Lead = std::get<Leading>(Role);
  for (auto *Peers : {&Lead.Voters, &Lead.Learners})
    for (auto &[Peer, To] : *Peers)
      replicate(Peer, To);
}

void Replica::replicate(ReplicaId Peer, Progress &To) {
  if (To.Sending)
    return;
  if (To.Next <= Log.baseIndex()) {
    To.Sending = LastSnapshot;
    To.SentBytes = 0;
    To.Stalled = false;
    sendChunk(Peer, To, ChunkContent::Data);
    return;
  }
  if (!To.Pipelined) {
    if (!std::exchange(To.Waiting, true))
      sendAppend(Peer, To, AppendContent::Entries);
    return;
  }
  while (To.Next <= Log.lastIndex() &&
         To.Inflight.size() < Options.Limits.MaxInflightAppends)
    sendAppend(Peer, To, AppendContent::Entries);
}

void Replica::sendAppend(ReplicaId Peer, Progress &To, AppendContent Content) {
  wire::AppendRequest Sent;
  uint64_t Previous = To.Next - 1;
  Sent.PreviousIndex = static_cast<int64_t>(Previous);
  Sent.PreviousTerm = static_cast<int64_t>(*Log.termAt(Previous));
  Sent.CommitIndex = static_cast<int64_t>(Commit);
  Sent.Round = static_cast<int64_t>(std::get<Leading>(Role).Round);
  if (Content == AppendContent::Entries)
    for (const Entry &Next : Log.slice(To.Next, Options.Limits.MaxAppendBytes))
      Sent.Entries.push_back(toWire(Next));
  if (To.Pipelined && !Sent.Entries.empty()) {
    To.Next += Sent.Entries.size();
    To.Inflight.push_back(To.Next - 1);
  }
  send(To.Host, Peer, std::move(Sent));
}

void Replica::sendChunk(ReplicaId Peer, Progress &To, ChunkContent Content) {
  const Snapshot &Source = *To.Sending;
  wire::SnapshotChunk Chunk;
  Chunk.Index = static_cast<int64_t>(Source.Index);
  Chunk.LastTerm = static_cast<int64_t>(Source.Term);
  Chunk.Configuration = toWire(Source.Members);
  Chunk.Offset = static_cast<int64_t>(To.SentBytes);
  Chunk.TotalBytes = static_cast<int64_t>(Source.State.size());
  Chunk.Round = static_cast<int64_t>(std::get<Leading>(Role).Round);
  if (Content == ChunkContent::Data)
    Chunk.Data =
        Source.State.substr(To.SentBytes, Options.Limits.SnapshotChunkBytes);
  else
    // The reply to a heartbeat sends the chunk again if none has arrived
    // since the heartbeat before.
    To.Stalled =
        std::exchange(To.BytesAtHeartbeat, To.SentBytes) == To.SentBytes;
  send(To.Host, Peer, std::move(Chunk));
}

Replica::Progress *Replica::heardReply(const ReceiveEvent &From,
                                       int64_t Round) {
  if (!isLeader() || From.Received.Term != LastVote.Term)
    return nullptr;
  Progress *Peer = progressOf(From.Received.Sender);
  if (Peer == nullptr)
    return nullptr;
  Peer->Heard = true;
  Peer->HeardAt = Now;
  Peer->AckedRound = std::max(Peer->AckedRound, static_cast<uint64_t>(Round));
  return Peer;
}

void Replica::receive(const ReceiveEvent &From,
                      const wire::AppendReply &Reply) {
  Progress *Peer = heardReply(From, Reply.Round);
  if (Peer == nullptr)
    return;
  auto Index = static_cast<uint64_t>(Reply.Index);
  if (Reply.Matched) {
    acknowledged(*Peer, std::min(Index, Log.lastIndex()));
  } else if (!Peer->Sending) {
    Peer->Next = std::max(Peer->Match + 1, std::min(Peer->Next, Index + 1));
    Peer->Pipelined = false;
    Peer->Waiting = false;
    Peer->Inflight.clear();
  }
  finishRounds();
}

void Replica::acknowledged(Progress &From, uint64_t Index) {
  From.Match = std::max(From.Match, Index);
  if (From.Sending && From.Match < From.Sending->Index)
    return;
  From.Sending.reset();
  From.Next = std::max(From.Next, From.Match + 1);
  if (!From.Pipelined) {
    From.Pipelined = true;
    From.Waiting = false;
    From.Next = From.Match + 1;
  }
  while (!From.Inflight.empty() && From.Inflight.front() <= From.Match)
    From.Inflight.pop_front();
  advanceCommit();
  changeMembers();
}

void Replica::receive(const ReceiveEvent &From,
                      const wire::SnapshotReply &Reply) {
  Progress *Peer = heardReply(From, Reply.Round);
  if (Peer == nullptr)
    return;
  finishRounds();
  if (!Peer->Sending ||
      Peer->Sending->Index != static_cast<uint64_t>(Reply.Index))
    return;
  uint64_t Arrived =
      std::min<uint64_t>(Reply.NextOffset, Peer->Sending->State.size());
  if (Arrived == Peer->SentBytes && !Peer->Stalled)
    return;
  Peer->SentBytes = Arrived;
  Peer->Stalled = false;
  sendChunk(From.Received.Sender, *Peer, ChunkContent::Data);
}

void Replica::advanceCommit() {
  auto &Lead = std::get<Leading>(Role);
  std::vector<uint64_t> Matches;
  for (const Member &Voter : Log.members().Voters) {
    bool Own = Voter.Replica == Self.Replica;
    Matches.push_back(Own ? DurableIndex : Lead.Voters.at(Voter.Replica).Match);
  }
  std::sort(Matches.rbegin(), Matches.rend());
  uint64_t Agreed = Matches[Log.members().quorum() - 1];
  // Entries of earlier terms commit with the first one of this term.
  if (Agreed <= Commit || Log.termAt(Agreed) != LastVote.Term)
    return;
  commitTo(Agreed);
  changeMembers();
  finishRounds();
}

void Replica::startRound() {
  ++std::get<Leading>(Role).Round;
  heartbeat();
  finishRounds();
}

void Replica::finishRounds() {
  auto &Lead = std::get<Leading>(Role);
  if (Lead.Reads.empty() && Lead.Dismissals.empty())
    return;
  std::vector<uint64_t> Rounds;
  for (const Member &Voter : Log.members().Voters) {
    bool Own = Voter.Replica == Self.Replica;
    Rounds.push_back(Own ? Lead.Round
                         : Lead.Voters.at(Voter.Replica).AckedRound);
  }
  std::sort(Rounds.rbegin(), Rounds.rend());
  uint64_t Confirmed = Rounds[Log.members().quorum() - 1];
  // Until then the commit point of earlier terms is not known.
  if (Commit < Lead.TermStart)
    return;
  std::erase_if(Lead.Reads, [&](const WaitingRead &Read) {
    if (Read.Round > Confirmed)
      return false;
    emit(ReadDone{Read.Request, {}});
    return true;
  });
  std::erase_if(Lead.Dismissals, [&](const WaitingDismissal &Asked) {
    if (Asked.Round > Confirmed)
      return false;
    dismiss(Asked);
    return true;
  });
  bool More = !Lead.Reads.empty() || !Lead.Dismissals.empty();
  if (More && Confirmed >= Lead.Round)
    startRound();
}

void Replica::finishProposals(uint64_t Index) {
  auto &Lead = std::get<Leading>(Role);
  auto Found = Lead.Proposals.find(Index);
  if (Found == Lead.Proposals.end())
    return;
  Lead.UncommittedBytes -= Log.at(Index).Payload.size();
  emit(ProposalDone{Found->second, Index});
  Lead.Proposals.erase(Found);
}

void Replica::abandonRequests() {
  auto &Lead = std::get<Leading>(Role);
  for (const auto &[Index, Request] : Lead.Proposals)
    emit(ProposalDone{Request, makeError(ProposeError{
                                   ProposeErrorKind::LeadershipLost, {}})});
  for (const WaitingRead &Read : Lead.Reads)
    emit(ReadDone{Read.Request,
                  makeError(ReadError{ReadErrorKind::LeadershipLost, {}})});
}

} // namespace ferry::consensus

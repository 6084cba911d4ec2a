#include "LibConsensus/Replica.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

void Replica::becomeLeader() {
  LeaderState Lead;
  Lead.TermStart = Log.lastIndex() + 1;
  Lead.HeartbeatAt = Now;
  Lead.QuorumCheckAt = Now + Options.Timing.ElectionTimeout;
  // The first entry of the term is appended after this, because the peers are
  // likely to match up to here.
  Role = std::move(Lead);
  syncProgress();
  // The first entry of a log carries its members to replicas that join later.
  bool IsFirst = Log.lastIndex() == 0;
  Entry FirstOfTerm{Log.lastIndex() + 1, LastVote.Term, EntryKind::Noop, {}};
  if (IsFirst) {
    FirstOfTerm.Kind = EntryKind::Configuration;
    FirstOfTerm.Payload = encodeConfiguration(Log.members());
  }
  appendEntry(std::move(FirstOfTerm));
  replicateAll();
  heartbeat();
}

void Replica::syncProgress() {
  auto &Lead = std::get<LeaderState>(Role);
  std::map<ReplicaId, Progress> Voters;
  for (const Member &Voter : Log.members().Voters) {
    if (Voter.Replica == Self.Replica)
      continue;
    Progress *Existing = progressOf(Voter.Replica);
    Progress Peer = Existing != nullptr ? std::move(*Existing) : Progress{};
    if (Existing == nullptr) {
      Peer.NextIndex = Log.lastIndex() + 1;
      Peer.LastContact = Now;
    }
    Peer.Host = Voter.Host;
    Voters.emplace(Voter.Replica, std::move(Peer));
  }
  for (const auto &[Replica, Peer] : Voters)
    Lead.Learners.erase(Replica);
  Lead.Voters = std::move(Voters);
}

Replica::Progress *Replica::progressOf(ReplicaId Peer) {
  auto &Lead = std::get<LeaderState>(Role);
  if (auto Voter = Lead.Voters.find(Peer); Voter != Lead.Voters.end())
    return &Voter->second;
  if (auto Learner = Lead.Learners.find(Peer); Learner != Lead.Learners.end())
    return &Learner->second;
  return nullptr;
}

void Replica::heartbeat() {
  auto &Lead = std::get<LeaderState>(Role);
  Lead.HeartbeatAt = Now + Options.Timing.HeartbeatInterval;
  for (auto *Peers : {&Lead.Voters, &Lead.Learners})
    for (auto &[Peer, To] : *Peers) {
      if (To.SendingSnapshot)
        sendChunk(Peer, To, ChunkContent::Nothing);
      else if (To.NextIndex > Log.baseIndex())
        sendAppend(Peer, To, AppendContent::Nothing);
    }
}

void Replica::checkQuorum() {
  auto &Lead = std::get<LeaderState>(Role);
  Lead.QuorumCheckAt = Now + Options.Timing.ElectionTimeout;
  size_t ActiveVoters = 1;
  for (auto &[Peer, Voter] : Lead.Voters)
    ActiveVoters += std::exchange(Voter.RecentlyActive, false) ? 1 : 0;
  for (auto Learner = Lead.Learners.begin(); Learner != Lead.Learners.end();) {
    bool Silent = !std::exchange(Learner->second.RecentlyActive, false);
    Learner = Silent ? Lead.Learners.erase(Learner) : std::next(Learner);
  }
  if (ActiveVoters < Log.members().quorum())
    return becomeFollower(LastVote.Term, std::nullopt);
  if (Options.Members == MemberSource::Discovered)
    changeMembers();
}

void Replica::replicateAll() {
  auto &Lead = std::get<LeaderState>(Role);
  for (auto *Peers : {&Lead.Voters, &Lead.Learners})
    for (auto &[Peer, To] : *Peers)
      replicate(Peer, To);
}

void Replica::replicate(ReplicaId Peer, Progress &To) {
  if (To.SendingSnapshot)
    return;
  if (To.NextIndex <= Log.baseIndex()) {
    To.SendingSnapshot = LastSnapshot;
    To.SnapshotOffset = 0;
    To.SnapshotStalled = false;
    sendChunk(Peer, To, ChunkContent::Data);
    return;
  }
  if (!To.Pipelined) {
    if (!std::exchange(To.AwaitingReply, true))
      sendAppend(Peer, To, AppendContent::Entries);
    return;
  }
  while (To.NextIndex <= Log.lastIndex() &&
         To.Inflight.size() < Options.Limits.MaxInflightAppends)
    sendAppend(Peer, To, AppendContent::Entries);
}

void Replica::sendAppend(ReplicaId Peer, Progress &To, AppendContent Content) {
  wire::AppendRequest Request;
  uint64_t Previous = To.NextIndex - 1;
  Request.PreviousIndex = static_cast<int64_t>(Previous);
  Request.PreviousTerm = static_cast<int64_t>(*Log.termAt(Previous));
  Request.CommitIndex = static_cast<int64_t>(CommitIndex);
  Request.Round = static_cast<int64_t>(std::get<LeaderState>(Role).Round);
  if (Content == AppendContent::Entries)
    for (const Entry &NewEntry :
         Log.slice(To.NextIndex, Options.Limits.MaxAppendBytes))
      Request.Entries.push_back(toWire(NewEntry));
  if (To.Pipelined && !Request.Entries.empty()) {
    To.NextIndex += Request.Entries.size();
    To.Inflight.push_back(To.NextIndex - 1);
  }
  send(To.Host, Peer, std::move(Request));
}

void Replica::sendChunk(ReplicaId Peer, Progress &To, ChunkContent Content) {
  const Snapshot &Source = *To.SendingSnapshot;
  wire::SnapshotChunk Chunk;
  Chunk.Index = static_cast<int64_t>(Source.Index);
  Chunk.LastTerm = static_cast<int64_t>(Source.Term);
  Chunk.Configuration = toWire(Source.Members);
  Chunk.Offset = static_cast<int64_t>(To.SnapshotOffset);
  Chunk.TotalBytes = static_cast<int64_t>(Source.State.size());
  Chunk.Round = static_cast<int64_t>(std::get<LeaderState>(Role).Round);
  if (Content == ChunkContent::Data)
    Chunk.Data = Source.State.substr(To.SnapshotOffset,
                                     Options.Limits.SnapshotChunkBytes);
  else
    // If the peer has received no chunk since the previous heartbeat, the
    // reply to this one makes the leader resend the chunk.
    To.SnapshotStalled = std::exchange(To.OffsetAtHeartbeat,
                                       To.SnapshotOffset) == To.SnapshotOffset;
  send(To.Host, Peer, std::move(Chunk));
}

Replica::Progress *Replica::recordReply(const ReceiveEvent &Input,
                                        int64_t Round) {
  if (!isLeader() || Input.Received.Term != LastVote.Term)
    return nullptr;
  Progress *Peer = progressOf(Input.Received.Sender);
  if (Peer == nullptr)
    return nullptr;
  Peer->RecentlyActive = true;
  Peer->LastContact = Now;
  Peer->AckedRound = std::max(Peer->AckedRound, static_cast<uint64_t>(Round));
  return Peer;
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::AppendReply &Reply) {
  Progress *Peer = recordReply(Input, Reply.Round);
  if (Peer == nullptr)
    return;
  auto Index = static_cast<uint64_t>(Reply.Index);
  if (Reply.Matched) {
    recordMatch(*Peer, std::min(Index, Log.lastIndex()));
  } else if (!Peer->SendingSnapshot) {
    Peer->NextIndex =
        std::max(Peer->MatchIndex + 1, std::min(Peer->NextIndex, Index + 1));
    Peer->Pipelined = false;
    Peer->AwaitingReply = false;
    Peer->Inflight.clear();
  }
  finishRounds();
}

void Replica::recordMatch(Progress &Peer, uint64_t Index) {
  Peer.MatchIndex = std::max(Peer.MatchIndex, Index);
  if (Peer.SendingSnapshot && Peer.MatchIndex < Peer.SendingSnapshot->Index)
    return;
  Peer.SendingSnapshot.reset();
  Peer.NextIndex = std::max(Peer.NextIndex, Peer.MatchIndex + 1);
  if (!Peer.Pipelined) {
    Peer.Pipelined = true;
    Peer.AwaitingReply = false;
    Peer.NextIndex = Peer.MatchIndex + 1;
  }
  while (!Peer.Inflight.empty() && Peer.Inflight.front() <= Peer.MatchIndex)
    Peer.Inflight.pop_front();
  advanceCommit();
  changeMembers();
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::SnapshotReply &Reply) {
  Progress *Peer = recordReply(Input, Reply.Round);
  if (Peer == nullptr)
    return;
  finishRounds();
  if (!Peer->SendingSnapshot ||
      Peer->SendingSnapshot->Index != static_cast<uint64_t>(Reply.Index))
    return;
  uint64_t ReceivedBytes =
      std::min<uint64_t>(Reply.NextOffset, Peer->SendingSnapshot->State.size());
  if (ReceivedBytes == Peer->SnapshotOffset && !Peer->SnapshotStalled)
    return;
  Peer->SnapshotOffset = ReceivedBytes;
  Peer->SnapshotStalled = false;
  sendChunk(Input.Received.Sender, *Peer, ChunkContent::Data);
}

void Replica::advanceCommit() {
  auto &Lead = std::get<LeaderState>(Role);
  std::vector<uint64_t> Matches;
  for (const Member &Voter : Log.members().Voters) {
    bool IsSelf = Voter.Replica == Self.Replica;
    Matches.push_back(IsSelf ? DurableIndex
                             : Lead.Voters.at(Voter.Replica).MatchIndex);
  }
  std::sort(Matches.rbegin(), Matches.rend());
  uint64_t QuorumMatch = Matches[Log.members().quorum() - 1];
  // Entries of earlier terms commit only together with one of this term.
  if (QuorumMatch <= CommitIndex || Log.termAt(QuorumMatch) != LastVote.Term)
    return;
  commitTo(QuorumMatch);
  changeMembers();
  finishRounds();
}

void Replica::startRound() {
  ++std::get<LeaderState>(Role).Round;
  heartbeat();
  finishRounds();
}

void Replica::finishRounds() {
  auto &Lead = std::get<LeaderState>(Role);
  if (Lead.Reads.empty() && Lead.MembershipChecks.empty())
    return;
  std::vector<uint64_t> Rounds;
  for (const Member &Voter : Log.members().Voters) {
    bool IsSelf = Voter.Replica == Self.Replica;
    Rounds.push_back(IsSelf ? Lead.Round
                            : Lead.Voters.at(Voter.Replica).AckedRound);
  }
  std::sort(Rounds.rbegin(), Rounds.rend());
  uint64_t ConfirmedRound = Rounds[Log.members().quorum() - 1];
  // Before an entry of this term is committed, the leader does not know which
  // entries of earlier terms are.
  if (CommitIndex < Lead.TermStart)
    return;
  std::erase_if(Lead.Reads, [&](const PendingRead &Read) {
    if (Read.Round > ConfirmedRound)
      return false;
    emit(ReadDone{Read.Request, {}});
    return true;
  });
  std::erase_if(Lead.MembershipChecks, [&](const MembershipCheck &Check) {
    if (Check.Round > ConfirmedRound)
      return false;
    dismiss(Check);
    return true;
  });
  bool RequestsWaiting = !Lead.Reads.empty() || !Lead.MembershipChecks.empty();
  if (RequestsWaiting && ConfirmedRound >= Lead.Round)
    startRound();
}

void Replica::finishProposals(uint64_t Index) {
  auto &Lead = std::get<LeaderState>(Role);
  auto Proposal = Lead.Proposals.find(Index);
  if (Proposal == Lead.Proposals.end())
    return;
  Lead.UncommittedBytes -= Log.at(Index).Payload.size();
  emit(ProposalDone{Proposal->second, Index});
  Lead.Proposals.erase(Proposal);
}

void Replica::abandonRequests() {
  auto &Lead = std::get<LeaderState>(Role);
  for (const auto &[Index, Request] : Lead.Proposals)
    emit(ProposalDone{Request, makeError(ProposeError{
                                   ProposeErrorKind::LeadershipLost, {}})});
  for (const PendingRead &Read : Lead.Reads)
    emit(ReadDone{Read.Request,
                  makeError(ReadError{ReadErrorKind::LeadershipLost, {}})});
}

} // namespace ferry::consensus

#include "LibConsensus/Replica.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

void Replica::beginPreVote() {
  CandidateState Next;
  if (auto *Current = std::get_if<CandidateState>(&Role))
    Next.Votes = std::move(Current->Votes);
  Next.PreVotes.emplace();
  Role = std::move(Next);
  sendVoteRequests(/*PreVote=*/true);
}

void Replica::beginElection() {
  LastVote = {LastVote.Term + 1, Self.Replica};
  recordVote();
  CandidateState Next;
  Next.Votes.emplace();
  Role = std::move(Next);
  sendVoteRequests(/*PreVote=*/false);
}

void Replica::sendVoteRequests(bool PreVote) {
  ++ElectionsBegun;
  restartElectionTimer();
  wire::VoteRequest Request;
  Request.Preliminary = PreVote;
  Request.LastIndex = static_cast<int64_t>(Log.lastIndex());
  Request.LastTerm = static_cast<int64_t>(Log.lastTerm());
  for (const Member &Voter : Log.members().Voters) {
    if (Voter.Replica == Self.Replica)
      continue;
    Message Content = message(Voter.Replica, Request);
    if (PreVote)
      Content.Term = LastVote.Term + 1;
    sendAfter(hardStateToken(), Voter.Host, std::move(Content));
  }
  countVotes();
}

void Replica::countVotes() {
  auto &Campaign = std::get<CandidateState>(Role);
  // The replica's own vote counts once it is synced, as the peers' votes do.
  if (hardStateToken() <= PersistedToken)
    for (auto *Granted : {&Campaign.PreVotes, &Campaign.Votes})
      if (*Granted)
        (*Granted)->insert(Self.Replica);
  if (Campaign.Votes && isQuorum(*Campaign.Votes))
    becomeLeader();
  else if (Campaign.PreVotes && isQuorum(*Campaign.PreVotes))
    beginElection();
}

bool Replica::isQuorum(const std::set<ReplicaId> &Replicas) const {
  size_t Count = 0;
  for (const Member &Voter : Log.members().Voters)
    Count += Replicas.count(Voter.Replica);
  return Count >= Log.members().quorum();
}

bool Replica::upToDate(const wire::VoteRequest &Request) const {
  auto CandidateTerm = static_cast<uint64_t>(Request.LastTerm);
  if (CandidateTerm != Log.lastTerm())
    return CandidateTerm > Log.lastTerm();
  return static_cast<uint64_t>(Request.LastIndex) >= Log.lastIndex();
}

bool Replica::hasActiveLeader() const {
  return isLeader() || Now < LeaderActiveUntil;
}

void Replica::receivePreVote(const ReceiveEvent &Input,
                             const wire::VoteRequest &Request) {
  wire::VoteReply Reply;
  Reply.Preliminary = true;
  Reply.Granted = mayVote() && !hasActiveLeader() && upToDate(Request) &&
                  Input.Received.Term > LastVote.Term;
  Message Content = message(Input.Received.Sender, Reply);
  if (Reply.Granted) {
    Content.Term = Input.Received.Term;
    // Leaves the candidate the time to sync its vote. A candidate that nobody
    // answers must not hold the others up again and again.
    if (Input.Received.Term > PreVoteGrantedTerm)
      restartElectionTimer();
    PreVoteGrantedTerm = std::max(PreVoteGrantedTerm, Input.Received.Term);
  }
  sendAfter(hardStateToken(), Input.From, std::move(Content));
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::VoteRequest &Request) {
  if (Request.Preliminary) {
    if (mayVote())
      receivePreVote(Input, Request);
    return;
  }
  wire::VoteReply Reply;
  Reply.Preliminary = false;
  ReplicaId Candidate = Input.Received.Sender;
  bool VoteAvailable =
      LastVote.VotedFor.Value == 0 || LastVote.VotedFor == Candidate;
  Reply.Granted = Input.Received.Term == LastVote.Term && VoteAvailable &&
                  std::holds_alternative<FollowerState>(Role) &&
                  upToDate(Request);
  if (Reply.Granted && LastVote.VotedFor != Candidate) {
    LastVote.VotedFor = Candidate;
    recordVote();
  }
  if (Reply.Granted)
    restartElectionTimer();
  sendAfter(hardStateToken(), Input.From, message(Candidate, Reply));
}

void Replica::receive(const ReceiveEvent &Input, const wire::VoteReply &Reply) {
  auto *Campaign = std::get_if<CandidateState>(&Role);
  if (Campaign == nullptr || !Reply.Granted)
    return;
  auto &Granted = Reply.Preliminary ? Campaign->PreVotes : Campaign->Votes;
  uint64_t Expected = LastVote.Term + (Reply.Preliminary ? 1 : 0);
  if (!Granted || Input.Received.Term != Expected)
    return;
  Granted->insert(Input.Received.Sender);
  countVotes();
}

} // namespace ferry::consensus

#include "LibConsensus/Replica.h"
#include <cassert>

namespace ferry::consensus {

void Replica::campaign(bool PreVote) {
  ++ElectionsBegun;
  ElectionAt = electionDeadline();
  if (!PreVote) {
    LastVote = {LastVote.Term + 1, Self.Replica};
    recordVote();
  }
  Role = CandidateState{PreVote, {}};
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
    Campaign.GrantedBy.insert(Self.Replica);
  size_t Count = 0;
  for (const Member &Voter : Log.members().Voters)
    Count += Campaign.GrantedBy.count(Voter.Replica);
  if (Count < Log.members().quorum())
    return;
  if (Campaign.PreVote)
    campaign(/*PreVote=*/false);
  else
    becomeLeader();
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
  if (Reply.Granted)
    Content.Term = Input.Received.Term;
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
    ElectionAt = electionDeadline();
  sendAfter(hardStateToken(), Input.From, message(Candidate, Reply));
}

void Replica::receive(const ReceiveEvent &Input, const wire::VoteReply &Reply) {
  auto *Campaign = std::get_if<CandidateState>(&Role);
  if (Campaign == nullptr || Campaign->PreVote != Reply.Preliminary)
    return;
  uint64_t Expected = LastVote.Term + (Reply.Preliminary ? 1 : 0);
  if (!Reply.Granted || Input.Received.Term != Expected)
    return;
  Campaign->GrantedBy.insert(Input.Received.Sender);
  countVotes();
}

} // namespace ferry::consensus

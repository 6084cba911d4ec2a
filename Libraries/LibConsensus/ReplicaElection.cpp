#include "LibConsensus/Replica.h"
#include <cassert>

namespace ferry::consensus {

void Replica::campaign(bool Preliminary) {
  ElectionAt = electionDeadline();
  if (!Preliminary) {
    LastVote = {LastVote.Term + 1, Self.Replica};
    recordVote();
  }
  Role = Campaigning{Preliminary, {}};
  wire::VoteRequest Asked;
  Asked.Preliminary = Preliminary;
  Asked.LastIndex = static_cast<int64_t>(Log.lastIndex());
  Asked.LastTerm = static_cast<int64_t>(Log.lastTerm());
  for (const Member &Voter : Log.members().Voters) {
    if (Voter.Replica == Self.Replica)
      continue;
    Message Sent = message(Voter.Replica, Asked);
    if (Preliminary)
      Sent.Term = LastVote.Term + 1;
    sendAfter(promiseToken(), Voter.Host, std::move(Sent));
  }
  countVotes();
}

void Replica::countVotes() {
  auto &Campaign = std::get<Campaigning>(Role);
  // The own vote counts once it is synced, like every other.
  if (promiseToken() <= PersistedToken)
    Campaign.Granted.insert(Self.Replica);
  size_t Count = 0;
  for (const Member &Voter : Log.members().Voters)
    Count += Campaign.Granted.count(Voter.Replica);
  if (Count < Log.members().quorum())
    return;
  if (Campaign.Preliminary)
    campaign(/*Preliminary=*/false);
  else
    becomeLeader();
}

bool Replica::upToDate(const wire::VoteRequest &Asked) const {
  auto AskedTerm = static_cast<uint64_t>(Asked.LastTerm);
  if (AskedTerm != Log.lastTerm())
    return AskedTerm > Log.lastTerm();
  return static_cast<uint64_t>(Asked.LastIndex) >= Log.lastIndex();
}

bool Replica::leaderPresumed() const {
  return isLeader() || Now < LeaderPresumedUntil;
}

void Replica::receivePreliminary(const ReceiveEvent &From,
                                 const wire::VoteRequest &Asked) {
  wire::VoteReply Reply;
  Reply.Preliminary = true;
  Reply.Granted = mayVote() && !leaderPresumed() && upToDate(Asked) &&
                  From.Received.Term > LastVote.Term;
  Message Sent = message(From.Received.Sender, Reply);
  if (Reply.Granted)
    Sent.Term = From.Received.Term;
  sendAfter(promiseToken(), From.From, std::move(Sent));
}

void Replica::receive(const ReceiveEvent &From,
                      const wire::VoteRequest &Asked) {
  if (Asked.Preliminary) {
    if (mayVote())
      receivePreliminary(From, Asked);
    return;
  }
  wire::VoteReply Reply;
  Reply.Preliminary = false;
  ReplicaId Candidate = From.Received.Sender;
  bool Free = LastVote.VotedFor.Value == 0 || LastVote.VotedFor == Candidate;
  Reply.Granted = From.Received.Term == LastVote.Term && Free &&
                  std::holds_alternative<Following>(Role) && upToDate(Asked);
  if (Reply.Granted && LastVote.VotedFor != Candidate) {
    LastVote.VotedFor = Candidate;
    recordVote();
  }
  if (Reply.Granted)
    ElectionAt = electionDeadline();
  sendAfter(promiseToken(), From.From, message(Candidate, Reply));
}

void Replica::receive(const ReceiveEvent &From, const wire::VoteReply &Reply) {
  auto *Campaign = std::get_if<Campaigning>(&Role);
  if (Campaign == nullptr || Campaign->Preliminary != Reply.Preliminary)
    return;
  uint64_t Expected = LastVote.Term + (Reply.Preliminary ? 1 : 0);
  if (!Reply.Granted || From.Received.Term != Expected)
    return;
  Campaign->Granted.insert(From.Received.Sender);
  countVotes();
}

} // namespace ferry::consensus

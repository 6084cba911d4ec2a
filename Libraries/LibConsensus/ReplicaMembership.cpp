#include "LibConsensus/Replica.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

/// More voters cost more messages and survive no more likely faults.
static constexpr size_t MaxVoters = 7;

/// \returns a number that is never 0 and fits the wire's signed integers.
static int64_t drawNumber(RandomGenerator &Random) {
  return static_cast<int64_t>(Random() >> 1) | 1;
}

void Replica::probe() {
  ProbeAt = Now + Options.Timing.ProbeInterval;
  Nonce = drawNumber(Random);
  switch (standing()) {
  case Standing::Voter:
    if (!leaderPresumed() && !leader())
      join(wire::JoinReason::LeaderSilent);
    return;
  case Standing::Learner:
  case Standing::Refusing:
    return join(wire::JoinReason::NewReplica);
  case Standing::Blank:
    break;
  }
  if (PeersNotBlank)
    join(wire::JoinReason::NewReplica);
  Answers.clear();
  FormationAllowed = Options.MayForm;
  wire::Probe Asked;
  Asked.Nonce = Nonce;
  for (const HostId &Host : knownHosts())
    if (Host != Options.Self)
      send(Host, {}, Asked);
  tryForm();
}

void Replica::receive(const ReceiveEvent &From, const wire::Probe &Asked) {
  wire::ProbeReply Reply;
  Reply.Nonce = Asked.Nonce;
  Reply.Standing = toWire(standing());
  ReplicaId Asker = From.Received.Sender;
  if (Self.Formation && Self.Formation->contains(Asker))
    Reply.__set_Formation(toWire(*Self.Formation));
  // Whoever forms a cluster on the strength of this answer must not find this
  // replica in a formation that was proposed before.
  if (Self.Kept == Standing::Blank && From.From == formingHost())
    FormationAllowed = false;
  sendAfter(promiseToken(), From.From, message(Asker, Reply));
}

void Replica::receive(const ReceiveEvent &From, const wire::ProbeReply &Reply) {
  if (Self.Kept != Standing::Blank || Reply.Nonce != Nonce)
    return;
  if (Reply.__isset.Formation) {
    Configuration Members = fromWire(Reply.Formation);
    if (FormationAllowed && Members.contains(Self.Replica))
      return adoptFormation(std::move(Members));
  }
  Standing Answered = fromWire(Reply.Standing);
  if (Answered != Standing::Blank)
    PeersNotBlank = true;
  Answers[From.From] = {From.Received.Sender, Answered};
  tryForm();
}

const HostId &Replica::formingHost() const {
  return *std::min_element(Options.Hosts.begin(), Options.Hosts.end());
}

void Replica::tryForm() {
  if (!Options.MayForm || Options.Self != formingHost())
    return;
  Configuration Members{{{Self.Replica, Options.Self}}};
  for (const HostId &Host : Options.Hosts) {
    if (Host == Options.Self)
      continue;
    auto Found = Answers.find(Host);
    if (Found == Answers.end() || Found->second.Answered != Standing::Blank)
      return;
    Members.Voters.push_back({Found->second.Replica, Host});
  }
  adoptFormation(std::move(Members));
}

void Replica::adoptFormation(Configuration Members) {
  assert(Log.lastIndex() == 0 && "a blank replica has no log");
  Log.reset(0, 0, Members);
  Self.Formation = std::move(Members);
  Self.Kept = Standing::Learner;
  recordIdentity();
  ElectionAt =
      Now +
      Duration(randomBelow(Random, Options.Timing.ElectionTimeout.count()));
}

void Replica::join(wire::JoinReason::type Reason) {
  wire::JoinRequest Asked;
  Asked.Reason = Reason;
  Asked.Nonce = Nonce;
  for (const HostId &Host : knownHosts())
    if (Host != Options.Self)
      send(Host, {}, Asked);
}

void Replica::receive(const ReceiveEvent &From,
                      const wire::JoinRequest &Asked) {
  auto *Lead = std::get_if<Leading>(&Role);
  const auto &Hosts = Options.Hosts;
  bool Listed = Options.Members == MemberSource::Discovered ||
                std::find(Hosts.begin(), Hosts.end(), From.From) != Hosts.end();
  ReplicaId Asker = From.Received.Sender;
  if (Lead == nullptr || !Listed || Log.members().contains(Asker))
    return;
  if (Asked.Reason == wire::JoinReason::NewReplica)
    return takeLearner(From);
  bool RoundUnderWay = !Lead->Reads.empty() || !Lead->Dismissals.empty();
  std::erase_if(Lead->Dismissals, [&](const WaitingDismissal &Earlier) {
    return Earlier.Replica == Asker;
  });
  Lead->Dismissals.push_back({Asker, From.From, Asked.Nonce, Lead->Round + 1});
  if (!RoundUnderWay)
    startRound();
}

void Replica::takeLearner(const ReceiveEvent &From) {
  auto &Lead = std::get<Leading>(Role);
  ReplicaId Asker = From.Received.Sender;
  if (Lead.Dismissed.count(Asker) != 0 || From.From == Options.Self)
    return;
  if (auto Known = Lead.Learners.find(Asker); Known != Lead.Learners.end()) {
    Known->second.Heard = true;
    Known->second.HeardAt = Now;
    return;
  }
  std::erase_if(Lead.Learners, [&](const auto &Learner) {
    return Learner.second.Host == From.From;
  });
  Progress Started;
  Started.Host = From.From;
  Started.Next = Log.lastIndex() + 1;
  Started.HeardAt = Now;
  Lead.Learners.emplace(Asker, std::move(Started));
}

void Replica::changeMembers() {
  auto &Lead = std::get<Leading>(Role);
  // One change at a time, and none before an entry of this term has shown
  // that no other leader's change can still win.
  if (Commit < Lead.TermStart || Log.membersIndex() > Commit)
    return;
  for (const auto &[Replica, Learner] : Lead.Learners) {
    if (!Learner.Heard || Learner.Match < Commit)
      continue;
    // The lost voter goes before its successor comes, and only once that is
    // ready: one that was lost in its turn as it was added would leave two dead
    // among one voter more, and so no quorum. Between the two changes a quorum
    // needs no disk that it did not need before.
    if (removeOldIdentity(Learner) || removeSilentVoter())
      return;
    if (!mayAddVoter())
      continue;
    Configuration Members = Log.members();
    Members.Voters.push_back({Replica, Learner.Host});
    return proposeMembers(std::move(Members));
  }
}

bool Replica::isReplaceable(const Progress &Voter) const {
  return Now - Voter.HeardAt >= Options.Timing.ReplaceSilentAfter;
}

bool Replica::mayAddVoter() const {
  size_t Voters = Log.members().Voters.size();
  if (Options.Members == MemberSource::Listed)
    return Voters < MaxVoters;
  return Voters < std::min(MaxVoters, Options.WantedVoters);
}

bool Replica::removeSilentVoter() {
  const auto &Lead = std::get<Leading>(Role);
  Configuration Members = Log.members();
  bool Wanted = Options.Members == MemberSource::Discovered &&
                Members.Voters.size() >= Options.WantedVoters;
  if (!Wanted)
    return false;
  for (const auto &[Replica, Voter] : Lead.Voters) {
    if (!isReplaceable(Voter))
      continue;
    std::erase_if(Members.Voters, [&Id = Replica](const Member &Known) {
      return Known.Replica == Id;
    });
    proposeMembers(std::move(Members));
    return true;
  }
  return false;
}

std::vector<HostId> Replica::knownHosts() const {
  std::vector<HostId> Hosts = Options.Hosts;
  auto Add = [&Hosts](const HostId &Host) {
    if (std::find(Hosts.begin(), Hosts.end(), Host) == Hosts.end())
      Hosts.push_back(Host);
  };
  for (const HostId &Host : Discovered)
    Add(Host);
  for (const Member &Voter : Log.members().Voters)
    Add(Voter.Host);
  return Hosts;
}

bool Replica::removeOldIdentity(const Progress &Learner) {
  Configuration Members = Log.members();
  auto Old = Members.onHost(Learner.Host);
  if (!Old)
    return false;
  assert(Old->Host != Options.Self && "the leader replaces no leader");
  std::erase(Members.Voters, *Old);
  proposeMembers(std::move(Members));
  return true;
}

void Replica::proposeMembers(Configuration Members) {
  appendEntry({Log.lastIndex() + 1, LastVote.Term, EntryKind::Configuration,
               encodeConfiguration(Members)});
  syncProgress();
}

void Replica::dismiss(const WaitingDismissal &Asked) {
  auto &Lead = std::get<Leading>(Role);
  bool Member = Log.members().contains(Asked.Replica) ||
                Log.membersAt(Commit).contains(Asked.Replica);
  if (Member)
    return;
  Lead.Learners.erase(Asked.Replica);
  Lead.Dismissed.insert(Asked.Replica);
  wire::Dismissal Sent;
  Sent.Nonce = Asked.Nonce;
  send(Asked.Host, Asked.Replica, Sent);
}

void Replica::receive(const ReceiveEvent &, const wire::Dismissal &Sent) {
  bool Asked = standing() == Standing::Voter && !leaderPresumed();
  if (Asked && Sent.Nonce == Nonce)
    emit(DismissedEffect{});
}

} // namespace ferry::consensus

#include "LibConsensus/Replica.h"
#include <algorithm>
#include <cassert>

namespace ferry::consensus {

/// 7 voters survive the loss of any 3. More would cost more messages, and guard
/// only against losses that are unlikely to coincide.
static constexpr size_t MaxVoters = 7;

/// \returns a random number that is not 0 and fits a signed 64-bit field.
static int64_t drawNonce(RandomGenerator &Random) {
  return static_cast<int64_t>(Random() >> 1) | 1;
}

void Replica::probe() {
  ProbeAt = Now + Options.Timing.ProbeInterval;
  Nonce = drawNonce(Random);
  switch (standing()) {
  case Standing::Voter:
    if (!hasActiveLeader() && !leader())
      sendJoinRequests(wire::JoinReason::LeaderSilent);
    return;
  case Standing::Learner:
  case Standing::Refusing:
    return sendJoinRequests(wire::JoinReason::NewReplica);
  case Standing::Blank:
    break;
  }
  if (SawNonBlankPeer)
    sendJoinRequests(wire::JoinReason::NewReplica);
  ProbeAnswers.clear();
  MayAdoptFormation = Options.MayForm;
  wire::Probe Request;
  Request.Nonce = Nonce;
  for (const HostId &Host : knownHosts())
    if (Host != Options.Self)
      send(Host, {}, Request);
  formIfAllBlank();
}

void Replica::receive(const ReceiveEvent &Input, const wire::Probe &Request) {
  wire::ProbeReply Reply;
  Reply.Nonce = Request.Nonce;
  Reply.Standing = toWire(standing());
  ReplicaId Requester = Input.Received.Sender;
  if (Self.Formation && Self.Formation->contains(Requester))
    Reply.__set_Formation(toWire(*Self.Formation));
  // The reply may make the sender form a cluster that includes this replica,
  // which must then no longer adopt a configuration that was formed earlier.
  if (Self.StoredStanding == Standing::Blank && Input.From == formingHost())
    MayAdoptFormation = false;
  sendAfter(hardStateToken(), Input.From, message(Requester, Reply));
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::ProbeReply &Reply) {
  if (Self.StoredStanding != Standing::Blank || Reply.Nonce != Nonce)
    return;
  if (Reply.__isset.Formation) {
    Configuration Members = fromWire(Reply.Formation);
    if (MayAdoptFormation && Members.contains(Self.Replica))
      return adoptFormation(std::move(Members));
  }
  Standing ReportedStanding = fromWire(Reply.Standing);
  if (ReportedStanding != Standing::Blank)
    SawNonBlankPeer = true;
  ProbeAnswers[Input.From] = {Input.Received.Sender, ReportedStanding};
  formIfAllBlank();
}

const HostId &Replica::formingHost() const {
  return *std::min_element(Options.Hosts.begin(), Options.Hosts.end());
}

void Replica::formIfAllBlank() {
  if (!Options.MayForm || Options.Self != formingHost())
    return;
  Configuration Members{{{Self.Replica, Options.Self}}};
  for (const HostId &Host : Options.Hosts) {
    if (Host == Options.Self)
      continue;
    auto Answer = ProbeAnswers.find(Host);
    if (Answer == ProbeAnswers.end() ||
        Answer->second.ReportedStanding != Standing::Blank)
      return;
    Members.Voters.push_back({Answer->second.Replica, Host});
  }
  adoptFormation(std::move(Members));
}

void Replica::adoptFormation(Configuration Members) {
  assert(Log.lastIndex() == 0 && "a blank replica has no log");
  Log.reset(0, 0, Members);
  Self.Formation = std::move(Members);
  Self.StoredStanding = Standing::Learner;
  recordIdentity();
  ElectionTimerStartedAt = Now;
  ElectionAt =
      Now +
      Duration(randomBelow(Random, Options.Timing.ElectionTimeout.count()));
}

void Replica::sendJoinRequests(wire::JoinReason::type Reason) {
  wire::JoinRequest Request;
  Request.Reason = Reason;
  Request.Nonce = Nonce;
  for (const HostId &Host : knownHosts())
    if (Host != Options.Self)
      send(Host, {}, Request);
}

void Replica::receive(const ReceiveEvent &Input,
                      const wire::JoinRequest &Request) {
  auto *Lead = std::get_if<LeaderState>(&Role);
  const auto &Hosts = Options.Hosts;
  bool MayJoin =
      Options.Members == MemberSource::Discovered ||
      std::find(Hosts.begin(), Hosts.end(), Input.From) != Hosts.end();
  ReplicaId Requester = Input.Received.Sender;
  if (Lead == nullptr || !MayJoin || Log.members().contains(Requester))
    return;
  if (Request.Reason == wire::JoinReason::NewReplica)
    return addLearner(Input);
  bool RoundUnderWay = !Lead->Reads.empty() || !Lead->MembershipChecks.empty();
  std::erase_if(Lead->MembershipChecks, [&](const MembershipCheck &Earlier) {
    return Earlier.Replica == Requester;
  });
  Lead->MembershipChecks.push_back(
      {Requester, Input.From, Request.Nonce, Lead->Round + 1});
  if (!RoundUnderWay)
    startRound();
}

void Replica::addLearner(const ReceiveEvent &Input) {
  auto &Lead = std::get<LeaderState>(Role);
  ReplicaId Requester = Input.Received.Sender;
  if (Lead.Dismissed.count(Requester) != 0 || Input.From == Options.Self)
    return;
  if (auto Existing = Lead.Learners.find(Requester);
      Existing != Lead.Learners.end()) {
    Existing->second.RecentlyActive = true;
    Existing->second.LastContact = Now;
    return;
  }
  std::erase_if(Lead.Learners, [&](const auto &Learner) {
    return Learner.second.Host == Input.From;
  });
  Progress NewLearner;
  NewLearner.Host = Input.From;
  NewLearner.NextIndex = Log.lastIndex() + 1;
  NewLearner.LastContact = Now;
  Lead.Learners.emplace(Requester, std::move(NewLearner));
}

void Replica::changeMembers() {
  auto &Lead = std::get<LeaderState>(Role);
  // Membership changes one voter at a time. The first change of a leader waits
  // until an entry of its term is committed, because before that an uncommitted
  // change of an earlier leader may still take effect.
  if (CommitIndex < Lead.TermStart || Log.membersIndex() > CommitIndex)
    return;
  for (const auto &[Replica, Learner] : Lead.Learners) {
    if (!Learner.RecentlyActive || Learner.MatchIndex < CommitIndex)
      continue;
    // A lost voter is removed before its replacement is added, and only once
    // the replacement has caught up. In the other order, losing the replacement
    // while it is added would leave two dead voters in a configuration that is
    // larger by one, and so no quorum. Between the two changes, a quorum needs
    // no disk that it did not need before.
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
  return Now - Voter.LastContact >= Options.Timing.ReplaceSilentAfter;
}

bool Replica::mayAddVoter() const {
  size_t Voters = Log.members().Voters.size();
  if (Options.Members == MemberSource::Listed)
    return Voters < MaxVoters;
  return Voters < std::min(MaxVoters, Options.WantedVoters);
}

bool Replica::removeSilentVoter() {
  const auto &Lead = std::get<LeaderState>(Role);
  Configuration Members = Log.members();
  bool EnoughVoters = Options.Members == MemberSource::Discovered &&
                      Members.Voters.size() >= Options.WantedVoters;
  if (!EnoughVoters)
    return false;
  for (const auto &[Replica, Voter] : Lead.Voters) {
    if (!isReplaceable(Voter))
      continue;
    std::erase_if(Members.Voters, [&Id = Replica](const Member &Candidate) {
      return Candidate.Replica == Id;
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
  auto Previous = Members.onHost(Learner.Host);
  if (!Previous)
    return false;
  assert(Previous->Host != Options.Self &&
         "a leader does not replace the leader");
  std::erase(Members.Voters, *Previous);
  proposeMembers(std::move(Members));
  return true;
}

void Replica::proposeMembers(Configuration Members) {
  appendEntry({Log.lastIndex() + 1, LastVote.Term, EntryKind::Configuration,
               encodeConfiguration(Members)});
  syncProgress();
}

void Replica::dismiss(const MembershipCheck &Check) {
  auto &Lead = std::get<LeaderState>(Role);
  bool IsMember = Log.members().contains(Check.Replica) ||
                  Log.membersAt(CommitIndex).contains(Check.Replica);
  if (IsMember)
    return;
  Lead.Learners.erase(Check.Replica);
  Lead.Dismissed.insert(Check.Replica);
  wire::Dismissal Notice;
  Notice.Nonce = Check.Nonce;
  send(Check.Host, Check.Replica, Notice);
}

void Replica::receive(const ReceiveEvent &, const wire::Dismissal &Notice) {
  bool CheckPending = standing() == Standing::Voter && !hasActiveLeader();
  if (CheckPending && Notice.Nonce == Nonce)
    emit(DismissedEffect{});
}

} // namespace ferry::consensus

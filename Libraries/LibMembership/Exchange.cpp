#include "LibMembership/Membership.h"
#include <algorithm>
#include <utility>

namespace ferry::membership {

/// Queries older than this are dropped, and replies to them are ignored.
static constexpr Duration QueryTimeout = std::chrono::seconds(2);
/// One in this many queries goes to a far host, if there are any. Far hosts are
/// those of other data centres in a large deployment.
static constexpr uint64_t QueriesPerFarQuery = 8;
/// Limits on the heartbeats in one reply: of near hosts and of far hosts in a
/// reply to a near host, and of each of the two in a reply to a far host.
static constexpr size_t MaxNearHeartbeats = 40;
static constexpr size_t MaxFarHeartbeats = 2;
static constexpr size_t MaxFarReplyHeartbeats = 24;

/// No further delta is added to a reply that has more changes than this.
static constexpr size_t MaxChanges = 64;

/// Maximum number of recorded leaves in one reply.
static constexpr size_t MaxLeavesInReply = 256;

static int32_t wholeMillis(Duration Age) {
  static constexpr int64_t MaxMillis = 1'000'000'000;
  // Rounded up, because an age must never be understated.
  int64_t Millis = (Age.count() + 999) / 1000;
  return static_cast<int32_t>(std::clamp<int64_t>(Millis, 0, MaxMillis));
}

void Membership::sendQuery(const HostId &To,
                           std::vector<wire::OriginWant> Wants, Timestamp Now,
                           Effects &Out) {
  std::erase_if(PendingQueries, [&](const PendingQuery &Query) {
    return Query.SentAt + QueryTimeout <= Now;
  });
  PendingQueries.push_back({NextQueryNumber++, To, Now});
  wire::MembershipAsk Ask;
  Ask.AskNumber = PendingQueries.back().Number;
  Ask.Wants = std::move(Wants);
  Ask.__set_LeavesAfter(static_cast<int64_t>(Recorded.newestNumber()));
  if (Settings.Source == HostSource::Discovered) {
    const Origin &Own = Origins.at(OwnTag);
    Ask.__set_Asker(introductionOf(Own));
    Ask.__set_AskerIncarnation(static_cast<int64_t>(Own.Incarnation.Value));
    if (!UnknownTags.empty())
      Ask.__set_UnknownTags(std::exchange(UnknownTags, {}));
  }
  wire::MembershipMessage Message;
  Message.__set_Ask(std::move(Ask));
  Out.emplace_back(MembershipSend{To, std::move(Message)});
}

std::optional<HostId> Membership::choosePeer() {
  bool Far =
      !FarTags.empty() &&
      (NearTags.empty() || randomBelow(Generator, QueriesPerFarQuery) == 0);
  const std::vector<int32_t> &Tags = Far ? FarTags : NearTags;
  if (Tags.empty())
    return std::nullopt;
  return Origins.at(Tags[randomBelow(Generator, Tags.size())]).Host.Id;
}

void Membership::queryPeers(Timestamp Now, Effects &Out) {
  // Randomised, so that hosts that started together do not query in step.
  auto Interval = static_cast<uint64_t>(Settings.GossipInterval.count());
  auto Delay = Interval * 3 / 4 + randomBelow(Generator, Interval / 2 + 1);
  NextQueryAt = Now + Duration(static_cast<int64_t>(Delay));
  std::vector<HostId> Chosen;
  for (size_t Count = 0; Count < Settings.Fanout; ++Count) {
    auto To = choosePeer();
    if (!To || std::find(Chosen.begin(), Chosen.end(), *To) != Chosen.end())
      continue;
    Chosen.push_back(*To);
    sendQuery(*To, {}, Now, Out);
  }
}

void Membership::handleMessage(const MembershipReceived &Received,
                               Timestamp Now, Effects &Out) {
  const wire::MembershipMessage &Message = Received.Message;
  if (Message.__isset.Leaves)
    handleLeaveMarks(Received.From, Message.Leaves, Out);
  if (Message.__isset.Reply)
    handleReply(Received, Now, Out);
  if (Message.__isset.Ask)
    sendReply(Received, Now, Out);
}

void Membership::handleLeaveMarks(const HostId &From,
                                  const std::vector<wire::LeaveMark> &Leaves,
                                  Effects &Out) {
  auto Sender = Origins.find(tagOf(From));
  bool FromRouter =
      Sender != Origins.end() && Sender->second.Host.Duty == HostDuty::Router;
  for (const wire::LeaveMark &Mark : Leaves) {
    TargetId Target{Mark.Target};
    Incarnation Left{static_cast<uint64_t>(Mark.Incarnation)};
    bool IsNew = recordLeave(Target, Left);
    // A router tells only one control host of a leave that it noticed.
    if (!IsNew || !FromRouter || Settings.Duty != HostDuty::Control)
      continue;
    Out.emplace_back(NoticedLeaveReceived{Target, Left});
    for (int32_t Tag : NearTags)
      if (Origins.at(Tag).Host.Id != From)
        sendLeaveMark(Target, Left, Origins.at(Tag).Host.Id, Out);
  }
}

void Membership::handleReply(const MembershipReceived &Received, Timestamp Now,
                             Effects &Out) {
  const wire::MembershipReply &Reply = Received.Message.Reply;
  auto Query = std::find_if(PendingQueries.begin(), PendingQueries.end(),
                            [&](const PendingQuery &Pending) {
                              return Pending.Number == Reply.AskNumber &&
                                     Pending.Peer == Received.From;
                            });
  if (Query == PendingQueries.end())
    return;
  Timestamp QuerySentAt = Query->SentAt;
  // Only the first copy of a reply counts; duplicates contain nothing new.
  PendingQueries.erase(Query);
  if (Reply.__isset.Introduced)
    for (const wire::HostFields &Fields : Reply.Introduced)
      handleIntroduction(Fields, Now);
  bool MoreLeaves = applyLeaves(Reply);
  for (const wire::OriginDelta &Delta : Reply.Deltas)
    applyDelta(Delta, Now);
  DescriptionNumber NewestNumber = Origins.at(OwnTag).Number;
  std::vector<wire::OriginWant> Wants;
  for (const wire::OriginHeartbeat &Heartbeat : Reply.Heartbeats) {
    if (Heartbeat.Tag == OwnTag)
      raiseIncarnation({static_cast<uint64_t>(Heartbeat.Incarnation)}, Out);
    bool Unknown = Origins.count(Heartbeat.Tag) == 0;
    if (Unknown && Settings.Source == HostSource::Discovered)
      UnknownTags.push_back(Heartbeat.Tag);
    applyHeartbeat(Heartbeat, QuerySentAt);
    if (auto Want = deltaRequestFor(Heartbeat, Now))
      Wants.push_back(*Want);
    DescriptionNumber Number{static_cast<uint64_t>(Heartbeat.Number)};
    auto It = Origins.find(Heartbeat.Tag);
    if (Number > NewestNumber && It != Origins.end()) {
      NewestNumber = Number;
      Out.emplace_back(NewerDescriptionSeen{Number, It->second.Host.Id});
    }
  }
  if (Reply.__isset.ConfirmedNumber && Reply.__isset.ConfirmedAgeMillis)
    Out.emplace_back(ConfirmationReceived{
        {static_cast<uint64_t>(Reply.ConfirmedNumber)},
        QuerySentAt -
            std::chrono::milliseconds(std::max(Reply.ConfirmedAgeMillis, 0)),
        Received.From});
  if (!Wants.empty() || !UnknownTags.empty() || MoreLeaves)
    sendQuery(Received.From, std::move(Wants), Now, Out);
}

bool Membership::applyLeaves(const wire::MembershipReply &Reply) {
  uint64_t NumberBefore = Recorded.newestNumber();
  std::vector<RecordedLeave> Leaves;
  for (const wire::RecordedLeaveFields &Fields : Reply.RecordedLeaves)
    Leaves.push_back({{Fields.Target},
                      {static_cast<uint64_t>(Fields.Incarnation)},
                      static_cast<uint64_t>(Fields.Number)});
  addRecordedLeaves(Leaves);
  // A reply without new leaves ends the transfer, whatever it says of more.
  return Recorded.newestNumber() > NumberBefore &&
         Recorded.newestNumber() < static_cast<uint64_t>(Reply.NewestLeave);
}

void Membership::addLeaves(uint64_t After, wire::MembershipReply &Reply) const {
  for (const RecordedLeave &Leave : Recorded.after(After, MaxLeavesInReply)) {
    wire::RecordedLeaveFields Fields;
    Fields.Target = Leave.Target.Value;
    Fields.Incarnation = static_cast<int64_t>(Leave.Incarnation.Value);
    Fields.Number = static_cast<int64_t>(Leave.Number);
    Reply.RecordedLeaves.push_back(std::move(Fields));
  }
  Reply.__isset.RecordedLeaves = !Reply.RecordedLeaves.empty();
  if (Reply.__isset.RecordedLeaves)
    Reply.__set_NewestLeave(static_cast<int64_t>(Recorded.newestNumber()));
}

void Membership::startIncarnation(Origin &Remote, Incarnation NewIncarnation) {
  Remote.Incarnation = NewIncarnation;
  Remote.HeartbeatAt = DistantPast;
  Remote.OldestAnnouncementAt = DistantPast;
  Remote.NextDeltaRequestAt = DistantPast;
  Remote.HeartbeatVersion = 0;
  Remote.List = {};
  HostsDirty = true;
  TargetsDirty = true;
}

void Membership::applyDelta(const wire::OriginDelta &Delta, Timestamp Now) {
  auto It = Origins.find(Delta.Tag);
  if (It == Origins.end() || Delta.Tag == OwnTag)
    return;
  Origin &Remote = It->second;
  Incarnation DeltaIncarnation{static_cast<uint64_t>(Delta.Incarnation)};
  if (DeltaIncarnation < Remote.Incarnation)
    return;
  if (Remote.Incarnation < DeltaIncarnation)
    startIncarnation(Remote, DeltaIncarnation);
  if (!Remote.List.apply(Delta, Remote.OldestAnnouncementAt +
                                    Settings.Targets.TrustDuration))
    return;
  TargetsDirty = true;
  // Further changes may be requested at once.
  Remote.NextDeltaRequestAt = DistantPast;
  for (const wire::TargetChange &Change : Delta.Changes)
    if (!Change.Gone)
      recordSeen({Change.Id}, {static_cast<uint64_t>(Change.Incarnation)}, Now);
}

void Membership::applyHeartbeat(const wire::OriginHeartbeat &Heartbeat,
                                Timestamp QuerySentAt) {
  auto It = Origins.find(Heartbeat.Tag);
  if (It == Origins.end() || Heartbeat.Tag == OwnTag)
    return;
  Origin &Remote = It->second;
  Incarnation HeartbeatIncarnation{
      static_cast<uint64_t>(Heartbeat.Incarnation)};
  if (HeartbeatIncarnation < Remote.Incarnation)
    return;
  if (Remote.Incarnation < HeartbeatIncarnation)
    startIncarnation(Remote, HeartbeatIncarnation);
  Timestamp HeartbeatAt =
      QuerySentAt - std::chrono::milliseconds(std::max(Heartbeat.AgeMillis, 0));
  Remote.HeartbeatAt = std::max(Remote.HeartbeatAt, HeartbeatAt);
  if (Remote.ForgetAt != NeverExpires)
    Remote.ForgetAt = std::max(Remote.ForgetAt, HeartbeatAt + ForgetAfter);
  updateStanding(Remote, Heartbeat);
  if (isNear(Remote.Host))
    updateTrust(Remote, Heartbeat, QuerySentAt);
}

void Membership::updateStanding(Origin &Remote,
                                const wire::OriginHeartbeat &Heartbeat) {
  DescriptionNumber Number{static_cast<uint64_t>(Heartbeat.Number)};
  HostsDirty |= Remote.Number < Number;
  Remote.Number = std::max(Remote.Number, Number);
  auto Version = static_cast<uint64_t>(Heartbeat.Version);
  bool InRange =
      Heartbeat.Standing >= 0 &&
      Heartbeat.Standing <= static_cast<int32_t>(Standing::Unconfirmed);
  // Times derived from ages are only lower bounds and can't order two
  // heartbeats; versions can.
  if (Version < Remote.HeartbeatVersion || !InRange)
    return;
  auto NewStanding = static_cast<membership::Standing>(Heartbeat.Standing);
  HostsDirty |= NewStanding != Remote.Standing;
  Remote.Standing = NewStanding;
  Remote.HeartbeatVersion = Version;
}

void Membership::updateTrust(Origin &Remote,
                             const wire::OriginHeartbeat &Heartbeat,
                             Timestamp QuerySentAt) {
  auto StructureVersion = static_cast<uint64_t>(Heartbeat.Structure);
  Remote.List.updateStructureVersion(static_cast<uint64_t>(Heartbeat.Version),
                                     StructureVersion);
  // The trust is extended only if the copy has every target that was added,
  // removed or marked late.
  if (Remote.List.version() < StructureVersion)
    return;
  Timestamp OldestAnnouncementAt =
      QuerySentAt -
      std::chrono::milliseconds(std::max(Heartbeat.TargetsAgeMillis, 0));
  TargetsDirty |= Remote.OldestAnnouncementAt < OldestAnnouncementAt;
  Remote.OldestAnnouncementAt =
      std::max(Remote.OldestAnnouncementAt, OldestAnnouncementAt);
}

std::optional<wire::OriginWant>
Membership::deltaRequestFor(const wire::OriginHeartbeat &Heartbeat,
                            Timestamp Now) {
  auto It = Origins.find(Heartbeat.Tag);
  if (It == Origins.end() || Heartbeat.Tag == OwnTag)
    return std::nullopt;
  Origin &Remote = It->second;
  bool SameIncarnation =
      static_cast<int64_t>(Remote.Incarnation.Value) == Heartbeat.Incarnation;
  bool Behind =
      Remote.List.version() < static_cast<uint64_t>(Heartbeat.Version);
  if (!isNear(Remote.Host) || !SameIncarnation || !Behind ||
      Remote.NextDeltaRequestAt > Now)
    return std::nullopt;
  Remote.NextDeltaRequestAt = Now + Settings.GossipInterval / 2;
  wire::OriginWant Want;
  Want.Tag = Heartbeat.Tag;
  Want.Incarnation = Heartbeat.Incarnation;
  Want.HaveVersion = static_cast<int64_t>(Remote.List.version());
  return Want;
}

wire::OriginHeartbeat Membership::heartbeatOf(int32_t Tag,
                                              const Origin &Subject,
                                              Timestamp Now) const {
  Timestamp HeartbeatAt = Subject.HeartbeatAt;
  Timestamp OldestAnnouncementAt = Subject.OldestAnnouncementAt;
  if (Tag == OwnTag) {
    HeartbeatAt = Now;
    OldestAnnouncementAt = Now;
    for (const auto &[Id, Listed] : Subject.List.targets())
      if (!Listed.Late && !Listed.Gone)
        OldestAnnouncementAt =
            std::min(OldestAnnouncementAt, Listed.Record.UsableUntil -
                                               Settings.Targets.TrustDuration);
  }
  wire::OriginHeartbeat Heartbeat;
  Heartbeat.Tag = Tag;
  Heartbeat.Incarnation = static_cast<int64_t>(Subject.Incarnation.Value);
  Heartbeat.Standing = static_cast<int32_t>(Subject.Standing);
  Heartbeat.Number = static_cast<int64_t>(Subject.Number.Value);
  Heartbeat.AgeMillis = wholeMillis(Now - HeartbeatAt);
  Heartbeat.TargetsAgeMillis = wholeMillis(Now - OldestAnnouncementAt);
  Heartbeat.Version = static_cast<int64_t>(Subject.List.version());
  Heartbeat.Structure = static_cast<int64_t>(Subject.List.structureVersion());
  return Heartbeat;
}

void Membership::addHeartbeats(const HostId &Asker, Timestamp Now,
                               std::vector<wire::OriginHeartbeat> &Out) {
  Out.push_back(heartbeatOf(OwnTag, Origins.at(OwnTag), Now));
  auto AddSome = [&](const std::vector<int32_t> &Tags, size_t MaxCount) {
    size_t Start = randomBelow(Generator, Tags.size());
    size_t Added = 0;
    for (size_t Step = 0; Step < Tags.size() && Added < MaxCount; ++Step) {
      int32_t Tag = Tags[(Start + Step) % Tags.size()];
      const Origin &Candidate = Origins.at(Tag);
      if (silentAt(Candidate) <= Now || Candidate.Host.Id == Asker)
        continue;
      Out.push_back(heartbeatOf(Tag, Candidate, Now));
      ++Added;
    }
  };
  auto AskerOrigin = Origins.find(tagOf(Asker));
  bool Near = AskerOrigin != Origins.end() && isNear(AskerOrigin->second.Host);
  AddSome(NearTags, Near ? MaxNearHeartbeats : MaxFarReplyHeartbeats);
  AddSome(FarTags, Near ? MaxFarHeartbeats : MaxFarReplyHeartbeats);
}

void Membership::sendReply(const MembershipReceived &Received, Timestamp Now,
                           Effects &Out) {
  const wire::MembershipAsk &Ask = Received.Message.Ask;
  if (Ask.__isset.Asker && Ask.Asker.Id == Received.From.Value)
    handleIntroduction(Ask.Asker, Now);
  wire::MembershipReply Reply;
  if (Ask.__isset.UnknownTags)
    for (int32_t Tag : Ask.UnknownTags)
      if (auto It = Origins.find(Tag); It != Origins.end())
        Reply.Introduced.push_back(introductionOf(It->second));
  Reply.__isset.Introduced = !Reply.Introduced.empty();
  Reply.AskNumber = Ask.AskNumber;
  if (Ask.Wants.empty())
    addHeartbeats(Received.From, Now, Reply.Heartbeats);
  // A host that knows a later incarnation of the asker ignores the asker's
  // heartbeats. Send that incarnation back, so that the asker raises its own.
  auto Asker = Origins.find(tagOf(Received.From));
  if (Ask.__isset.AskerIncarnation && Asker != Origins.end() &&
      static_cast<int64_t>(Asker->second.Incarnation.Value) >
          Ask.AskerIncarnation)
    Reply.Heartbeats.push_back(heartbeatOf(Asker->first, Asker->second, Now));
  if (Ask.Wants.empty() && Confirmed) {
    Reply.__set_ConfirmedNumber(static_cast<int64_t>(Confirmed->Number.Value));
    Reply.__set_ConfirmedAgeMillis(wholeMillis(Now - Confirmed->AsOf));
  }
  size_t Changes = 0;
  for (const wire::OriginWant &Want : Ask.Wants) {
    // The asker requests the remaining lists again.
    if (Changes > MaxChanges)
      break;
    auto It = Origins.find(Want.Tag);
    if (It == Origins.end())
      continue;
    const Origin &Requested = It->second;
    auto ListIncarnation = static_cast<int64_t>(Requested.Incarnation.Value);
    if (ListIncarnation < Want.Incarnation)
      continue;
    // An asker that knows an earlier incarnation has nothing of this list.
    bool SameIncarnation = ListIncarnation == Want.Incarnation;
    uint64_t HaveVersion =
        SameIncarnation ? static_cast<uint64_t>(Want.HaveVersion) : 0;
    wire::OriginDelta Delta = Requested.List.deltaSince(HaveVersion);
    Delta.Tag = Want.Tag;
    Delta.Incarnation = ListIncarnation;
    Changes += Delta.Changes.size();
    Reply.Deltas.push_back(std::move(Delta));
    Reply.Heartbeats.push_back(heartbeatOf(Want.Tag, Requested, Now));
  }
  if (Ask.__isset.LeavesAfter)
    addLeaves(static_cast<uint64_t>(Ask.LeavesAfter), Reply);
  wire::MembershipMessage Message;
  Message.__set_Reply(std::move(Reply));
  Out.emplace_back(MembershipSend{Received.From, std::move(Message)});
}

} // namespace ferry::membership

#include "LibMembership/Membership.h"
#include <algorithm>
#include <utility>

namespace ferry::membership {

/// A reply to a question older than this is of no use.
static constexpr Duration QuestionTimeout = std::chrono::seconds(2);
/// One in this many questions goes to another data centre, if hosts there are
/// known by occasional exchange only.
static constexpr uint64_t FarQuestionEvery = 8;
/// Heartbeats of the nearer and of the farther hosts in one reply.
static constexpr size_t MaxNearHeartbeats = 40;
static constexpr size_t MaxFarHeartbeats = 2;
static constexpr size_t MaxFarReplyHeartbeats = 24;

/// No further list goes into a reply that has more changes than this.
static constexpr size_t MaxChanges = 64;

static int32_t wholeMillis(Duration Age) {
  static constexpr int64_t MaxMillis = 1'000'000'000;
  // Rounded up: an age must never come out too young.
  int64_t Millis = (Age.count() + 999) / 1000;
  return static_cast<int32_t>(std::clamp<int64_t>(Millis, 0, MaxMillis));
}

void Membership::ask(const HostId &To, std::vector<wire::OriginWant> Wants,
                     Timestamp Now, Effects &Out) {
  std::erase_if(Questions, [&](const Asked &Question) {
    return Question.At + QuestionTimeout <= Now;
  });
  Questions.push_back({NextQuestion++, To, Now});
  wire::MembershipAsk Ask;
  Ask.AskNumber = Questions.back().Number;
  Ask.Wants = std::move(Wants);
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
      (NearTags.empty() || randomBelow(Generator, FarQuestionEvery) == 0);
  const std::vector<int32_t> &Tags = Far ? FarTags : NearTags;
  if (Tags.empty())
    return std::nullopt;
  return Origins.at(Tags[randomBelow(Generator, Tags.size())]).Host.Id;
}

void Membership::askPeers(Timestamp Now, Effects &Out) {
  // Spread over the interval, so that hosts that started together part.
  auto Interval = static_cast<uint64_t>(Settings.AskInterval.count());
  auto Wait = Interval * 3 / 4 + randomBelow(Generator, Interval / 2 + 1);
  AskAt = Now + Duration(static_cast<int64_t>(Wait));
  std::vector<HostId> Chosen;
  for (size_t Count = 0; Count < Settings.Fanout; ++Count) {
    auto To = choosePeer();
    if (!To || std::find(Chosen.begin(), Chosen.end(), *To) != Chosen.end())
      continue;
    Chosen.push_back(*To);
    ask(*To, {}, Now, Out);
  }
}

void Membership::receive(const MembershipReceived &Received, Timestamp Now,
                         Effects &Out) {
  const wire::MembershipMessage &Message = Received.Message;
  if (Message.__isset.Leaves)
    takeLeaves(Message.Leaves);
  if (Message.__isset.Reply)
    takeReply(Received, Now, Out);
  if (Message.__isset.Ask)
    answer(Received, Now, Out);
}

void Membership::takeLeaves(const std::vector<wire::LeaveMark> &Leaves) {
  OriginList &Own = Origins.at(OwnTag).List;
  for (const wire::LeaveMark &Mark : Leaves) {
    TargetId Target{Mark.Target};
    Incarnation Life{static_cast<uint64_t>(Mark.Incarnation)};
    TargetsMoved |= Memory.noteLeft(Target, Life);
    auto Listed = Own.targets().find(Target);
    if (Listed != Own.targets().end() &&
        Listed->second.Record.Incarnation <= Life)
      Own.remove(Target);
  }
}

void Membership::takeReply(const MembershipReceived &Received, Timestamp Now,
                           Effects &Out) {
  const wire::MembershipReply &Reply = Received.Message.Reply;
  auto Question =
      std::find_if(Questions.begin(), Questions.end(), [&](const Asked &Known) {
        return Known.Number == Reply.AskNumber && Known.Peer == Received.From;
      });
  if (Question == Questions.end())
    return;
  Timestamp AskedAt = Question->At;
  // A reply is taken once; its duplicates would tell nothing new.
  Questions.erase(Question);
  if (Reply.__isset.Introduced)
    for (const wire::HostFields &Fields : Reply.Introduced)
      introduce(Fields, Now);
  for (const wire::OriginDelta &Delta : Reply.Deltas)
    takeDelta(Delta);
  DescriptionNumber Before = Origins.at(OwnTag).Number;
  std::vector<wire::OriginWant> Wants;
  for (const wire::OriginHeartbeat &Heartbeat : Reply.Heartbeats) {
    if (Heartbeat.Tag == OwnTag)
      outlive({static_cast<uint64_t>(Heartbeat.Incarnation)}, Out);
    bool Unknown = Origins.count(Heartbeat.Tag) == 0;
    if (Unknown && Settings.Source == HostSource::Discovered)
      UnknownTags.push_back(Heartbeat.Tag);
    takeHeartbeat(Heartbeat, AskedAt);
    if (auto Want = wantOf(Heartbeat, Now))
      Wants.push_back(*Want);
    DescriptionNumber Number{static_cast<uint64_t>(Heartbeat.Number)};
    auto Known = Origins.find(Heartbeat.Tag);
    if (Number > Before && Known != Origins.end()) {
      Before = Number;
      Out.emplace_back(NewerDescriptionSeen{Number, Known->second.Host.Id});
    }
  }
  if (Reply.__isset.ConfirmedNumber && Reply.__isset.ConfirmedAgeMillis)
    Out.emplace_back(ConfirmationHeard{
        {static_cast<uint64_t>(Reply.ConfirmedNumber)},
        AskedAt -
            std::chrono::milliseconds(std::max(Reply.ConfirmedAgeMillis, 0)),
        Received.From});
  if (!Wants.empty() || !UnknownTags.empty())
    ask(Received.From, std::move(Wants), Now, Out);
}

void Membership::startLife(Origin &Known, Incarnation Life) {
  Known.Incarnation = Life;
  Known.HeardAt = NeverHeard;
  Known.TargetsHeardAt = NeverHeard;
  Known.WantAt = NeverHeard;
  Known.HeardVersion = 0;
  Known.List = {};
  HostsMoved = true;
  TargetsMoved = true;
}

void Membership::takeDelta(const wire::OriginDelta &Delta) {
  auto Found = Origins.find(Delta.Tag);
  if (Found == Origins.end() || Delta.Tag == OwnTag)
    return;
  Origin &Known = Found->second;
  Incarnation Life{static_cast<uint64_t>(Delta.Incarnation)};
  if (Life < Known.Incarnation)
    return;
  if (Known.Incarnation < Life)
    startLife(Known, Life);
  if (!Known.List.apply(Delta, Known.TargetsHeardAt + Settings.Targets.Trust))
    return;
  TargetsMoved = true;
  // More of it may follow at once.
  Known.WantAt = NeverHeard;
  for (const wire::TargetChange &Change : Delta.Changes)
    if (!Change.Gone)
      Memory.noteSeen({Change.Id}, {static_cast<uint64_t>(Change.Incarnation)});
}

void Membership::takeHeartbeat(const wire::OriginHeartbeat &Heartbeat,
                               Timestamp AskedAt) {
  auto Found = Origins.find(Heartbeat.Tag);
  if (Found == Origins.end() || Heartbeat.Tag == OwnTag)
    return;
  Origin &Known = Found->second;
  Incarnation Life{static_cast<uint64_t>(Heartbeat.Incarnation)};
  if (Life < Known.Incarnation)
    return;
  if (Known.Incarnation < Life)
    startLife(Known, Life);
  Timestamp HeardAt =
      AskedAt - std::chrono::milliseconds(std::max(Heartbeat.AgeMillis, 0));
  Known.HeardAt = std::max(Known.HeardAt, HeardAt);
  if (Known.ForgetAt != NeverExpires)
    Known.ForgetAt = std::max(Known.ForgetAt, HeardAt + ForgetAfter);
  takeStanding(Known, Heartbeat);
  if (isNear(Known.Host.DataCentre))
    takeTrust(Known, Heartbeat, AskedAt);
}

void Membership::takeStanding(Origin &Known,
                              const wire::OriginHeartbeat &Heartbeat) {
  DescriptionNumber Number{static_cast<uint64_t>(Heartbeat.Number)};
  HostsMoved |= Known.Number < Number;
  Known.Number = std::max(Known.Number, Number);
  auto Version = static_cast<uint64_t>(Heartbeat.Version);
  bool InRange =
      Heartbeat.Standing >= 0 &&
      Heartbeat.Standing <= static_cast<int32_t>(Standing::Unconfirmed);
  // Ages are lower bounds and can't order two heartbeats; versions can.
  if (Version < Known.HeardVersion || !InRange)
    return;
  auto Told = static_cast<membership::Standing>(Heartbeat.Standing);
  HostsMoved |= Told != Known.Standing;
  Known.Standing = Told;
  Known.HeardVersion = Version;
}

void Membership::takeTrust(Origin &Known,
                           const wire::OriginHeartbeat &Heartbeat,
                           Timestamp AskedAt) {
  auto Structure = static_cast<uint64_t>(Heartbeat.Structure);
  Known.List.learnStructure(static_cast<uint64_t>(Heartbeat.Version),
                            Structure);
  // Trust is for those that have every target that came, went or is late.
  if (Known.List.version() < Structure)
    return;
  Timestamp HeardAt = AskedAt - std::chrono::milliseconds(
                                    std::max(Heartbeat.TargetsAgeMillis, 0));
  TargetsMoved |= Known.TargetsHeardAt < HeardAt;
  Known.TargetsHeardAt = std::max(Known.TargetsHeardAt, HeardAt);
}

std::optional<wire::OriginWant>
Membership::wantOf(const wire::OriginHeartbeat &Heartbeat, Timestamp Now) {
  auto Found = Origins.find(Heartbeat.Tag);
  if (Found == Origins.end() || Heartbeat.Tag == OwnTag)
    return std::nullopt;
  Origin &Known = Found->second;
  bool SameLife =
      static_cast<int64_t>(Known.Incarnation.Value) == Heartbeat.Incarnation;
  bool Behind = Known.List.version() < static_cast<uint64_t>(Heartbeat.Version);
  if (!isNear(Known.Host.DataCentre) || !SameLife || !Behind ||
      Known.WantAt > Now)
    return std::nullopt;
  Known.WantAt = Now + Settings.AskInterval / 2;
  wire::OriginWant Want;
  Want.Tag = Heartbeat.Tag;
  Want.Incarnation = Heartbeat.Incarnation;
  Want.HaveVersion = static_cast<int64_t>(Known.List.version());
  return Want;
}

wire::OriginHeartbeat Membership::heartbeatOf(int32_t Tag, const Origin &Known,
                                              Timestamp Now) const {
  Timestamp HeardAt = Known.HeardAt;
  Timestamp TargetsHeardAt = Known.TargetsHeardAt;
  if (Tag == OwnTag) {
    HeardAt = Now;
    TargetsHeardAt = Now;
    for (const auto &[Id, Listed] : Known.List.targets())
      if (!Listed.Late && !Listed.Gone)
        TargetsHeardAt = std::min(TargetsHeardAt, Listed.Record.UsableUntil -
                                                      Settings.Targets.Trust);
  }
  wire::OriginHeartbeat Heartbeat;
  Heartbeat.Tag = Tag;
  Heartbeat.Incarnation = static_cast<int64_t>(Known.Incarnation.Value);
  Heartbeat.Standing = static_cast<int32_t>(Known.Standing);
  Heartbeat.Number = static_cast<int64_t>(Known.Number.Value);
  Heartbeat.AgeMillis = wholeMillis(Now - HeardAt);
  Heartbeat.TargetsAgeMillis = wholeMillis(Now - TargetsHeardAt);
  Heartbeat.Version = static_cast<int64_t>(Known.List.version());
  Heartbeat.Structure = static_cast<int64_t>(Known.List.structure());
  return Heartbeat;
}

void Membership::addHeartbeats(const HostId &Asker, Timestamp Now,
                               std::vector<wire::OriginHeartbeat> &Out) {
  Out.push_back(heartbeatOf(OwnTag, Origins.at(OwnTag), Now));
  auto AddSome = [&](const std::vector<int32_t> &Tags, size_t Most) {
    size_t Start = randomBelow(Generator, Tags.size());
    size_t Added = 0;
    for (size_t Step = 0; Step < Tags.size() && Added < Most; ++Step) {
      int32_t Tag = Tags[(Start + Step) % Tags.size()];
      const Origin &Known = Origins.at(Tag);
      if (silentAt(Known) <= Now || Known.Host.Id == Asker)
        continue;
      Out.push_back(heartbeatOf(Tag, Known, Now));
      ++Added;
    }
  };
  auto From = Origins.find(tagOf(Asker));
  bool Near = From != Origins.end() && isNear(From->second.Host.DataCentre);
  AddSome(NearTags, Near ? MaxNearHeartbeats : MaxFarReplyHeartbeats);
  AddSome(FarTags, Near ? MaxFarHeartbeats : MaxFarReplyHeartbeats);
}

void Membership::answer(const MembershipReceived &Received, Timestamp Now,
                        Effects &Out) {
  const wire::MembershipAsk &Ask = Received.Message.Ask;
  if (Ask.__isset.Asker && Ask.Asker.Id == Received.From.Value)
    introduce(Ask.Asker, Now);
  wire::MembershipReply Reply;
  if (Ask.__isset.UnknownTags)
    for (int32_t Tag : Ask.UnknownTags)
      if (auto Met = Origins.find(Tag); Met != Origins.end())
        Reply.Introduced.push_back(introductionOf(Met->second));
  Reply.__isset.Introduced = !Reply.Introduced.empty();
  Reply.AskNumber = Ask.AskNumber;
  if (Ask.Wants.empty())
    addHeartbeats(Received.From, Now, Reply.Heartbeats);
  // Known by a later life, the asker would not be heard: it is told so.
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
    // The rest is asked for again.
    if (Changes > MaxChanges)
      break;
    auto Found = Origins.find(Want.Tag);
    if (Found == Origins.end())
      continue;
    const Origin &Known = Found->second;
    auto Life = static_cast<int64_t>(Known.Incarnation.Value);
    if (Life < Want.Incarnation)
      continue;
    // Of a later life than it knew the asker has none of the list.
    bool SameLife = Life == Want.Incarnation;
    uint64_t Have = SameLife ? static_cast<uint64_t>(Want.HaveVersion) : 0;
    wire::OriginDelta Delta = Known.List.deltaSince(Have);
    Delta.Tag = Want.Tag;
    Delta.Incarnation = Life;
    Changes += Delta.Changes.size();
    Reply.Deltas.push_back(std::move(Delta));
    Reply.Heartbeats.push_back(heartbeatOf(Want.Tag, Known, Now));
  }
  wire::MembershipMessage Message;
  Message.__set_Reply(std::move(Reply));
  Out.emplace_back(MembershipSend{Received.From, std::move(Message)});
}

} // namespace ferry::membership

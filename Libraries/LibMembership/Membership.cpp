#include "LibMembership/Membership.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::membership {

int32_t tagOf(const HostId &Host) {
  // FNV-1a with 32 bits.
  uint32_t Hash = 2166136261;
  for (char Byte : Host.Value) {
    Hash ^= static_cast<uint8_t>(Byte);
    Hash *= 16777619;
  }
  return static_cast<int32_t>(Hash);
}

Membership::Options Membership::Options::forSize(size_t Hosts) {
  Options Result;
  if (Hosts <= Result.MaxFullExchangeHosts)
    return Result;
  Result.GossipInterval = std::chrono::milliseconds(400);
  Result.LoadInterval = std::chrono::seconds(10);
  return Result;
}

Membership::Membership(Options Settings)
    : Settings(std::move(Settings)), Generator(this->Settings.Seed),
      OwnTag(tagOf(this->Settings.Self)) {
  const Options &Opts = this->Settings;
  Origin &Own = Origins[OwnTag];
  Own.Host = {Opts.Self, Opts.DataCentre, Opts.Duty, Opts.CallerAddress};
  Own.Incarnation = Opts.Incarnation;
  Own.Standing = Standing::Unconfirmed;
  for (const Peer &Other : Opts.Peers)
    if (tagOf(Other.Id) != OwnTag)
      addPeer(Other, DistantPast);
  NextQueryNumber =
      static_cast<int64_t>(randomBelow(Generator, uint64_t{1} << 62));
}

std::vector<MembershipEffect> Membership::step(const MembershipEvent &Event,
                                               Timestamp Now) {
  Effects Out;
  detectStall(Now);
  Origin &Own = Origins.at(OwnTag);
  match(
      Event,
      [&](const TargetAnnounced &E) { handleAnnouncement(E.Record, Now, Out); },
      [&](const TargetLeaveNoticed &E) { handleNoticedLeave(E, Out); },
      [&](const LeavesRecorded &E) { addRecordedLeaves(E.Leaves); },
      [&](const MembershipReceived &E) { handleMessage(E, Now, Out); },
      [&](const LocalStanding &E) {
        if (Own.Standing == E.Standing)
          return;
        Own.Standing = E.Standing;
        Own.List.bumpVersion();
        HostsDirty = true;
      },
      [&](const DescriptionApplied &E) {
        HostsDirty |= Own.Number < E.Number;
        Own.Number = std::max(Own.Number, E.Number);
      },
      [&](const LocalConfirmed &E) { Confirmed = E; },
      [&](const MembershipTick &) { tick(Now, Out); },
      [&](const SeedAdded &E) {
        if (Origins.count(tagOf(E.Id)) == 0)
          addPeer({E.Id, {}, HostDuty::Control, {}}, Now).ForgetAt =
              NeverExpires;
      });
  reportChanges(Out);
  return Out;
}

void Membership::detectStall(Timestamp Now) {
  if (LastStep && Now - *LastStep >= StallThreshold) {
    // A stall before BackdateUntil extends the one before.
    if (BackdateUntil <= *LastStep)
      StalledSince = *LastStep;
    BackdateUntil = Now + Settings.Targets.AnnounceInterval;
  }
  LastStep = Now;
}

void Membership::handleAnnouncement(const TargetRecord &Record, Timestamp Now,
                                    Effects &Out) {
  if (Record.Phase == TargetPhase::Leaving) {
    handleLeavingTarget(Record, Now, Out);
    return;
  }
  if (hasEnded(Record.Id, Record.Incarnation)) {
    Out.emplace_back(
        AnnouncementRefused{Record.Id, newestIncarnation(Record.Id)});
    return;
  }
  recordSeen(Record.Id, Record.Incarnation, Now);
  OriginList &List = Origins.at(OwnTag).List;
  auto Listed = List.targets().find(Record.Id);
  // Announcements of one incarnation may arrive out of order.
  if (Listed != List.targets().end() && !Listed->second.Gone &&
      Listed->second.Record.Incarnation == Record.Incarnation &&
      Listed->second.Record.Sequence >= Record.Sequence)
    return;
  TargetRecord NewRecord = Record;
  Timestamp CountsFrom = Now < BackdateUntil ? StalledSince : Now;
  NewRecord.UsableUntil = CountsFrom + Settings.Targets.TrustDuration;
  if (Listed != List.targets().end() && !Listed->second.Gone &&
      Listed->second.Record.Incarnation == Record.Incarnation)
    NewRecord.UsableUntil =
        std::max(NewRecord.UsableUntil, Listed->second.Record.UsableUntil);
  if (NewRecord.UsableUntil <= Now)
    return;
  Timestamp &LoadPublished = LoadPublishedAt[Record.Id];
  bool PublishLoad = Now - LoadPublished >= Settings.LoadInterval;
  OriginList::Change Published =
      List.announce(NewRecord, PublishLoad ? OriginList::Change::Load
                                           : OriginList::Change::None);
  if (Published != OriginList::Change::None)
    LoadPublished = Now;
  TargetsDirty = true;
}

void Membership::handleLeavingTarget(const TargetRecord &Record, Timestamp Now,
                                     Effects &Out) {
  auto Leaving = leavingIncarnation(Record, Now);
  if (!Leaving || !recordLeave(Record.Id, *Leaving))
    return;
  for (int32_t Tag : NearTags)
    sendLeaveMark(Record.Id, *Leaving, Origins.at(Tag).Host.Id, Out);
}

std::optional<Incarnation>
Membership::leavingIncarnation(const TargetRecord &Record,
                               Timestamp Now) const {
  if (Record.Incarnation.Value != 0)
    return Record.Incarnation;
  // A target may leave without stating its incarnation.
  ferry::Incarnation Newest = newestIncarnation(Record.Id);
  bool MayMeanEarlier = Memory.hasFollowed(Record.Id, Now - LeaveDelay) &&
                        !Recorded.hasLeft(Record.Id, Newest);
  if (Newest.Value == 0 || MayMeanEarlier)
    return std::nullopt;
  return Newest;
}

void Membership::recordSeen(const TargetId &Target, ferry::Incarnation Seen,
                            Timestamp Now) {
  // A host that restarted knows of the incarnation before by its leave only.
  ferry::Incarnation Left = Recorded.left(Target);
  if (Left.Value != 0 && Left < Seen)
    Memory.recordSeen(Target, Left, Now);
  Memory.recordSeen(Target, Seen, Now);
}

void Membership::addRecordedLeaves(const std::vector<RecordedLeave> &Leaves) {
  for (const RecordedLeave &Leave : Leaves)
    if (Recorded.add(Leave))
      recordLeave(Leave.Target, Leave.Incarnation);
}

void Membership::handleNoticedLeave(const TargetLeaveNoticed &Noticed,
                                    Effects &Out) {
  if (!recordLeave(Noticed.Target, Noticed.Incarnation))
    return;
  // All routers that use the target notice it at about the same time. One
  // control host hears it from each and tells the others once.
  std::vector<HostId> ControlHosts;
  for (const auto &[Tag, Remote] : Origins)
    if (Tag != OwnTag && Remote.Host.Duty == HostDuty::Control &&
        Remote.Standing != membership::Standing::Silent)
      ControlHosts.push_back(Remote.Host.Id);
  if (!ControlHosts.empty())
    sendLeaveMark(Noticed.Target, Noticed.Incarnation,
                  ControlHosts[randomBelow(Generator, ControlHosts.size())],
                  Out);
}

bool Membership::recordLeave(const TargetId &Target, ferry::Incarnation Left) {
  bool IsNew = Memory.recordLeft(Target, Left);
  TargetsDirty |= IsNew;
  OriginList &Own = Origins.at(OwnTag).List;
  auto Listed = Own.targets().find(Target);
  if (Listed != Own.targets().end() &&
      Listed->second.Record.Incarnation <= Left)
    Own.remove(Target);
  return IsNew;
}

void Membership::sendLeaveMark(const TargetId &Target, ferry::Incarnation Left,
                               const HostId &To, Effects &Out) const {
  wire::LeaveMark Mark;
  Mark.Target = Target.Value;
  Mark.Incarnation = static_cast<int64_t>(Left.Value);
  wire::MembershipMessage Message;
  Message.__set_Leaves({Mark});
  Out.emplace_back(MembershipSend{To, Message});
}

void Membership::tick(Timestamp Now, Effects &Out) {
  ageOwnTargets(Now);
  ageHosts(Now);
  forgetHosts(Now);
  if (NextQueryAt <= Now)
    queryPeers(Now, Out);
}

void Membership::ageOwnTargets(Timestamp Now) {
  OriginList &List = Origins.at(OwnTag).List;
  std::vector<TargetId> Late;
  std::vector<TargetId> Gone;
  for (const auto &[Id, Listed] : List.targets()) {
    if (Listed.Gone)
      continue;
    Timestamp Until = Listed.Record.UsableUntil;
    if (Until <= Now)
      Gone.push_back(Id);
    else if (!Listed.Late && Until - Settings.Targets.TrustDuration +
                                     Settings.Targets.LateAfter <=
                                 Now)
      Late.push_back(Id);
  }
  for (const TargetId &Id : Late)
    List.markLate(Id);
  for (const TargetId &Id : Gone) {
    List.remove(Id);
    LoadPublishedAt.erase(Id);
  }
  TargetsDirty |= !Late.empty() || !Gone.empty();
}

void Membership::ageHosts(Timestamp Now) {
  for (auto &[Tag, Each] : Origins) {
    bool Silent = silentAt(Each) <= Now;
    HostsDirty |= Silent != Each.WasSilent;
    Each.WasSilent = Silent;
  }
}

void Membership::reportChanges(Effects &Out) {
  if (HostsDirty)
    Out.emplace_back(HostsChanged{});
  if (TargetsDirty)
    Out.emplace_back(TargetsChanged{});
  HostsDirty = false;
  TargetsDirty = false;
}

bool Membership::isNear(const Peer &Other) const {
  size_t Hosts = Settings.Source == HostSource::Listed ? Settings.Peers.size()
                                                       : Origins.size();
  if (Hosts <= Settings.MaxFullExchangeHosts ||
      Other.DataCentre == Settings.DataCentre)
    return true;
  // Targets announce themselves to discovered control hosts only, in any data
  // centre, and all hosts need their lists.
  return Settings.Source == HostSource::Discovered &&
         Other.Duty == HostDuty::Control;
}

Timestamp Membership::silentAt(const Origin &Subject) const {
  if (Subject.Host.Id == Settings.Self)
    return NeverExpires;
  return Subject.HeartbeatAt +
         (isNear(Subject.Host) ? SilentAfter : FarSilentAfter);
}

Timestamp Membership::trustedUntil(const Origin &From,
                                   const ListedTarget &Listed) const {
  bool Own = From.Host.Id == Settings.Self;
  if (Own || Listed.Late)
    return Listed.Record.UsableUntil;
  return From.OldestAnnouncementAt + Settings.Targets.TrustDuration;
}

std::vector<TargetRecord> Membership::targets(Timestamp Now) const {
  std::map<TargetId, TargetRecord> Usable;
  for (const auto &[Tag, From] : Origins) {
    for (const auto &[Id, Listed] : From.List.targets()) {
      Timestamp Until = trustedUntil(From, Listed);
      if (Listed.Gone || Until <= Now ||
          hasEnded(Id, Listed.Record.Incarnation))
        continue;
      TargetRecord &Best = Usable[Id];
      // Several hosts may list one incarnation: its newest record and its
      // longest trust count.
      Timestamp Longest = std::max(Best.UsableUntil, Until);
      if (Best.Id.empty() || Best.Sequence < Listed.Record.Sequence)
        Best = Listed.Record;
      Best.UsableUntil = Longest;
    }
  }
  std::vector<TargetRecord> Records;
  Records.reserve(Usable.size());
  for (auto &[Id, Record] : Usable)
    Records.push_back(std::move(Record));
  return Records;
}

std::vector<HostState> Membership::hosts(Timestamp Now) const {
  std::vector<HostState> States;
  States.reserve(Origins.size());
  for (const auto &[Tag, Each] : Origins) {
    HostState State{
        Each.Host.Id,           Each.Host.DataCentre, Each.Incarnation,
        Each.Standing,          Each.Number,          Each.Host.Duty,
        Each.Host.CallerAddress};
    if (silentAt(Each) <= Now)
      State.Standing = Standing::Silent;
    States.push_back(std::move(State));
  }
  std::stable_partition(
      States.begin(), States.end(),
      [&](const HostState &State) { return State.Id == Settings.Self; });
  return States;
}

size_t Membership::hostsInForce(DescriptionNumber Number) const {
  return std::count_if(Origins.begin(), Origins.end(), [&](const auto &Entry) {
    return Entry.second.Number >= Number;
  });
}

} // namespace ferry::membership

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
  Options Suited;
  if (Hosts <= Suited.WholeTableHosts)
    return Suited;
  Suited.AskInterval = std::chrono::milliseconds(400);
  Suited.LoadInterval = std::chrono::seconds(10);
  return Suited;
}

Membership::Membership(Options Settings)
    : Settings(std::move(Settings)), Generator(this->Settings.Seed),
      OwnTag(tagOf(this->Settings.Self)) {
  const Options &Given = this->Settings;
  Origin &Own = Origins[OwnTag];
  Own.Host = {Given.Self, Given.DataCentre, Given.Duty, Given.CallerAddress};
  Own.Incarnation = Given.Incarnation;
  Own.Standing = Standing::Unconfirmed;
  for (const Peer &Other : Given.Peers)
    if (tagOf(Other.Id) != OwnTag)
      addPeer(Other, NeverHeard);
  NextQuestion =
      static_cast<int64_t>(randomBelow(Generator, uint64_t{1} << 62));
}

std::vector<MembershipEffect> Membership::step(const MembershipEvent &Event,
                                               Timestamp Now) {
  Effects Out;
  notePassage(Now);
  Origin &Own = Origins.at(OwnTag);
  match(
      Event, [&](const TargetAnnounced &E) { announce(E.Record, Now, Out); },
      [&](const MembershipReceived &E) { receive(E, Now, Out); },
      [&](const LocalStanding &E) {
        if (Own.Standing == E.Standing)
          return;
        Own.Standing = E.Standing;
        Own.List.advance();
        HostsMoved = true;
      },
      [&](const DescriptionApplied &E) {
        HostsMoved |= Own.Number < E.Number;
        Own.Number = std::max(Own.Number, E.Number);
      },
      [&](const LocalConfirmed &E) { Confirmed = E; },
      [&](const MembershipTick &) { tick(Now, Out); },
      [&](const SeedGiven &E) {
        if (Origins.count(tagOf(E.Id)) == 0)
          addPeer({E.Id, {}, HostDuty::Control, {}}, Now).ForgetAt =
              NeverExpires;
      });
  reportChanges(Out);
  return Out;
}

void Membership::notePassage(Timestamp Now) {
  if (LastStep && Now - *LastStep >= StallAfter) {
    // A stall within the time of distrust adds to the one before.
    if (DistrustUntil <= *LastStep)
      StalledSince = *LastStep;
    DistrustUntil = Now + Settings.Targets.AnnounceInterval;
  }
  LastStep = Now;
}

void Membership::announce(const TargetRecord &Record, Timestamp Now,
                          Effects &Out) {
  bool Nameless =
      Record.Incarnation.Value == 0 && Record.Phase == TargetPhase::Leaving;
  if (!Nameless && Memory.hasEnded(Record.Id, Record.Incarnation)) {
    Out.emplace_back(
        AnnouncementRefused{Record.Id, Memory.greatest(Record.Id)});
    return;
  }
  if (Record.Phase == TargetPhase::Leaving) {
    leave(Record, Out);
    return;
  }
  Memory.noteSeen(Record.Id, Record.Incarnation);
  OriginList &List = Origins.at(OwnTag).List;
  auto Known = List.targets().find(Record.Id);
  // Announcements of one life may cross on the way.
  if (Known != List.targets().end() && !Known->second.Gone &&
      Known->second.Record.Incarnation == Record.Incarnation &&
      Known->second.Record.Sequence >= Record.Sequence)
    return;
  TargetRecord Heard = Record;
  Timestamp HeardAt = Now < DistrustUntil ? StalledSince : Now;
  Heard.UsableUntil = HeardAt + Settings.Targets.Trust;
  if (Known != List.targets().end() && !Known->second.Gone &&
      Known->second.Record.Incarnation == Record.Incarnation)
    Heard.UsableUntil =
        std::max(Heard.UsableUntil, Known->second.Record.UsableUntil);
  if (Heard.UsableUntil <= Now)
    return;
  Timestamp &LoadPublished = LoadPublishedAt[Record.Id];
  bool PublishLoad = Now - LoadPublished >= Settings.LoadInterval;
  OriginList::Change Made = List.announce(
      Heard, PublishLoad ? OriginList::Change::Load : OriginList::Change::None);
  if (Made != OriginList::Change::None)
    LoadPublished = Now;
  TargetsMoved = true;
}

void Membership::leave(const TargetRecord &Record, Effects &Out) {
  ferry::Incarnation Life = Record.Incarnation;
  // Some leave without naming their life: the newest one known is meant.
  if (Life.Value == 0)
    Life = Memory.greatest(Record.Id);
  Memory.noteLeft(Record.Id, Life);
  Origins.at(OwnTag).List.remove(Record.Id);
  TargetsMoved = true;
  wire::LeaveMark Mark;
  Mark.Target = Record.Id.Value;
  Mark.Incarnation = static_cast<int64_t>(Life.Value);
  wire::MembershipMessage Message;
  Message.__set_Leaves({Mark});
  for (int32_t Tag : NearTags)
    Out.emplace_back(MembershipSend{Origins.at(Tag).Host.Id, Message});
}

void Membership::tick(Timestamp Now, Effects &Out) {
  ageOwnTargets(Now);
  ageHosts(Now);
  forgetHosts(Now);
  if (AskAt <= Now)
    askPeers(Now, Out);
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
    else if (!Listed.Late &&
             Until - Settings.Targets.Trust + Settings.Targets.LateAfter <= Now)
      Late.push_back(Id);
  }
  for (const TargetId &Id : Late)
    List.markLate(Id);
  for (const TargetId &Id : Gone) {
    List.remove(Id);
    LoadPublishedAt.erase(Id);
  }
  TargetsMoved |= !Late.empty() || !Gone.empty();
}

void Membership::ageHosts(Timestamp Now) {
  for (auto &[Tag, Known] : Origins) {
    bool Silent = silentAt(Known) <= Now;
    HostsMoved |= Silent != Known.KnownSilent;
    Known.KnownSilent = Silent;
  }
}

void Membership::reportChanges(Effects &Out) {
  if (HostsMoved)
    Out.emplace_back(HostsChanged{});
  if (TargetsMoved)
    Out.emplace_back(TargetsChanged{});
  HostsMoved = false;
  TargetsMoved = false;
}

bool Membership::isNear(const DataCentreId &DataCentre) const {
  size_t Hosts = Settings.Source == HostSource::Listed ? Settings.Peers.size()
                                                       : Origins.size();
  return Hosts <= Settings.WholeTableHosts || DataCentre == Settings.DataCentre;
}

Timestamp Membership::silentAt(const Origin &Known) const {
  if (Known.Host.Id == Settings.Self)
    return NeverExpires;
  return Known.HeardAt +
         (isNear(Known.Host.DataCentre) ? SilentAfter : FarSilentAfter);
}

Timestamp Membership::trustOf(const Origin &From,
                              const ListedTarget &Listed) const {
  bool Own = From.Host.Id == Settings.Self;
  if (Own || Listed.Late)
    return Listed.Record.UsableUntil;
  return From.TargetsHeardAt + Settings.Targets.Trust;
}

std::vector<TargetRecord> Membership::targets(Timestamp Now) const {
  std::map<TargetId, TargetRecord> Usable;
  for (const auto &[Tag, From] : Origins) {
    for (const auto &[Id, Listed] : From.List.targets()) {
      Timestamp Until = trustOf(From, Listed);
      if (Listed.Gone || Until <= Now ||
          Memory.hasEnded(Id, Listed.Record.Incarnation))
        continue;
      TargetRecord &Best = Usable[Id];
      // Of one life, the newest record and the longest trust count.
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
  for (const auto &[Tag, Known] : Origins) {
    HostState State{
        Known.Host.Id,           Known.Host.DataCentre, Known.Incarnation,
        Known.Standing,          Known.Number,          Known.Host.Duty,
        Known.Host.CallerAddress};
    if (silentAt(Known) <= Now)
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

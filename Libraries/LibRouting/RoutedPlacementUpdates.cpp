// Updates from other hosts: digests of the other routers, loads of weights
// reported by the holder of the order lease, and weights named by operators.
#include "LibCore/NamingHistory.h"
#include "LibRouting/RoutedPlacement.h"
#include "LibRouting/RoutedPlacementConstants.h"
#include "LibRouting/WorkExchange.h"
#include <algorithm>
#include <utility>

namespace ferry::routing {

/// Weights that the holder of the order lease reports for an engine are valid
/// for this long: by then the engine's announcements show them or newer ones.
static constexpr Duration ReportedWeightsLifetime = std::chrono::seconds(5);
/// A load of weights is taken to be over after this, if the report of its end
/// was lost.
static constexpr Duration MaxLoadingTime = std::chrono::seconds(4);
/// A router that has had names for this long has those of all weights that were
/// named: a control host that has just begun to lead may still be reading its
/// log.
static constexpr Duration CompleteNamesAfter = std::chrono::seconds(3);
/// Corrections of a naming's age that are worth a line in the log.
static constexpr Duration LoggedCorrection = std::chrono::seconds(1);

void RoutedPlacement::addPeerWork(const std::vector<TargetWork> &Work,
                                  double Sign) {
  for (const TargetWork &Each : Work) {
    auto Entry = Targets.find(Each.Target);
    if (Entry == Targets.end())
      continue;
    RoutedTarget &Target = Entry->second;
    Target.PeerBacklog.Long = std::max(
        0.0, Target.PeerBacklog.Long + Sign * secondsOf(Each.LongPrompts));
    Target.PeerBacklog.Short = std::max(
        0.0, Target.PeerBacklog.Short + Sign * secondsOf(Each.ShortPrompts));
    Target.PeerRunning =
        std::max(0.0, Target.PeerRunning + Sign * Each.Running);
  }
}

void RoutedPlacement::expirePeerDigests(Timestamp Now) {
  for (auto Entry = PeerDigests.begin(); Entry != PeerDigests.end();) {
    if (Entry->second.ExpiresAt > Now) {
      ++Entry;
      continue;
    }
    addPeerWork(Entry->second.Work, -1);
    Entry = PeerDigests.erase(Entry);
  }
}

void RoutedPlacement::applyDigest(const HostId &From, const WorkDigest &Digest,
                                  Timestamp Now) {
  PeerDigest &Latest = PeerDigests[From];
  addPeerWork(Latest.Work, -1);
  Latest = {Digest.Work, Now + WorkExchange::DigestLifetime};
  addPeerWork(Latest.Work, 1);
  expirePeerDigests(Now);
  for (const PartPlace &Part : Digest.Parts) {
    if (auto Target = Targets.find(Part.Target); Target != Targets.end())
      Target->second.Parts.use(Part.Key, Part.Tokens, Part.State);
    else
      for (auto &[Service, Store] : Stores)
        if (Store.Id == Part.Target)
          Store.Parts.use(Part.Key, Part.Tokens, Part.State);
  }
}

WorkDigest RoutedPlacement::makeDigest() {
  WorkDigest Digest;
  for (const auto &[Id, Target] : Targets)
    if (Target.Running > 0)
      Digest.Work.push_back({Id, durationOf(Target.OwnBacklog.Long),
                             durationOf(Target.OwnBacklog.Short),
                             Target.Running});
  Digest.Parts = std::exchange(UnsentParts, {});
  return Digest;
}

void RoutedPlacement::applyEngineChange(const EngineChange &Change,
                                        Timestamp Now) {
  auto Entry = Targets.find(Change.Target);
  if (Entry == Targets.end() ||
      Entry->second.Record.Incarnation != Change.Incarnation)
    return;
  RoutedTarget &Target = Entry->second;
  Target.LoadingUntil = Change.Loading ? Now + MaxLoadingTime : Now;
  if (Change.Loading || Change.Weights <= weightsOf(Target, Now))
    return;
  Target.ReportedWeights = Change.Weights;
  Target.ReportedWeightsUntil = Now + ReportedWeightsLifetime;
  Target.Parts.clear();
}

void RoutedPlacement::endStall(Timestamp Now) {
  Duration Stall = stallUntil(Now);
  if (Stall == Duration::zero())
    return;
  StalledSinceSign += Stall;
  StallBeganAt = Now - Stall;
  StallEndedAt = Now;
}

Duration RoutedPlacement::noteRunning(Timestamp Now, Timestamp AsOf) {
  endStall(Now);
  LastRunningAt = Now;
  return noteControlHosts(AsOf);
}

Duration RoutedPlacement::noteControlHosts(Timestamp AsOf) {
  if (AsOf <= ControlHostsAsOf.value_or(Timestamp()))
    return Duration::zero();
  // A sign from before the last stall does not end it.
  Duration StalledAfter =
      AsOf <= StallBeganAt ? StallEndedAt - StallBeganAt : Duration::zero();
  StalledSinceSign -= StalledAfter;
  Duration Gap = controlGap(AsOf);
  ControlHostsAsOf = AsOf;
  if (AsOf >= StallEndedAt || AsOf <= StallBeganAt)
    StalledSinceSign = StalledAfter;
  for (auto &[Model, Versions] : NamedVersions)
    for (Naming &Known : Versions)
      Known.Suspended += Gap;
  return Gap;
}

Timestamp RoutedPlacement::namedNotBefore() const {
  if (!LastNamesAt || *LastNamesAt - NamesSince < CompleteNamesAfter)
    return Timestamp::min();
  // That message may have waited on its way, too.
  return *LastNamesAt - MaxControlGap;
}

NamingsOutcome
RoutedPlacement::applyNamings(const std::vector<NamedWeights> &Named,
                              Timestamp Now) {
  endStall(Now);
  if (LastRunningAt)
    LastRunningAt = Now;
  // The first names after the start move no deadline: it ran while this router
  // was down, so their age counts in full.
  NamingsOutcome Outcome;
  Outcome.Suspended = noteControlHosts(Now);
  Timestamp NotBefore = namedNotBefore();
  // After a gap, messages may have waited in this process or in a relay. They
  // don't show that a naming is newer than they are.
  if (!LastNamesAt || Now - *LastNamesAt > MaxControlGap)
    NamesSince = Now;
  LastNamesAt = Now;
  for (const NamedWeights &Each : Named)
    if (applyNaming(Each, NotBefore))
      Outcome.News.push_back(Each);
  return Outcome;
}

bool RoutedPlacement::applyNaming(const NamedWeights &Named,
                                  Timestamp NotBefore) {
  std::vector<Naming> &Versions = NamedVersions[Named.Model];
  if (Versions.empty() || Named.Weights > Versions.back().Weights) {
    Versions.push_back(
        {Named.Weights, std::max(Named.Since, NotBefore), NotBefore});
    limitNamings(Versions, [](const Naming &Earlier, const Naming &Later) {
      return Later.NamedAt + Later.Suspended - Earlier.NamedAt -
             Earlier.Suspended;
    });
    return true;
  }
  // The first message may have waited on its way, and the clock of the control
  // host that sent it may have been behind.
  for (Naming &Known : Versions) {
    Timestamp NamedAt = std::max(Named.Since, Known.NotBefore);
    if (Known.Weights != Named.Weights || NamedAt >= Known.NamedAt)
      continue;
    bool IsNews = Known.NamedAt - NamedAt >= LoggedCorrection;
    Known.NamedAt = NamedAt;
    return IsNews;
  }
  return false;
}

bool RoutedPlacement::applyNamedWeights(const NamedWeights &Version,
                                        Timestamp Now) {
  return !applyNamings({Version}, Now).News.empty();
}

} // namespace ferry::routing

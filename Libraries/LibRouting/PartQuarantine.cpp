#include "LibRouting/PartQuarantine.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace ferry::routing {

/// Number of changes that wait for the log.
static constexpr size_t MaxChanges = 64;
/// Largest number of sets that are quarantined at a time.
static constexpr int MaxDecisions = 8;

static uint64_t hashOf(const PartSet &Parts) {
  uint64_t Hash = 0;
  for (uint64_t Part : Parts)
    Hash = rendezvousWeight(Hash, Part);
  return Hash;
}

void PartQuarantine::setRouters(const HostId &Self,
                                const std::vector<HostId> &Serving) {
  SelfHash = hashIdentifier(Self.Value);
  OtherHashes.clear();
  for (const HostId &Router : Serving)
    if (Router != Self)
      OtherHashes.push_back(hashIdentifier(Router.Value));
}

bool PartQuarantine::isTrialRouter(const PartSet &Parts) const {
  uint64_t Key = hashOf(Parts);
  uint64_t Own = rendezvousWeight(SelfHash, Key);
  return std::none_of(
      OtherHashes.begin(), OtherHashes.end(),
      [&](uint64_t Other) { return rendezvousWeight(Other, Key) > Own; });
}

void PartQuarantine::recordChange(QuarantineChange::Kind What,
                                  const QuarantinedParts &Set) {
  if (Changes.size() < MaxChanges)
    Changes.push_back({What, Set.Parts, Set.Trials});
}

std::vector<PartSet> PartQuarantine::setsInForce() const {
  std::vector<PartSet> InForce;
  for (const auto &[Parts, Set] : Quarantined)
    if (!Set.Ended)
      InForce.push_back(Parts);
  return InForce;
}

size_t PartQuarantine::quarantinedSets() const { return setsInForce().size(); }

PartAdmission PartQuarantine::check(const PartSet &Parts, Timestamp Now) {
  if (Parts.empty())
    return PartAdmission::Admitted;
  if (DecideAt <= Now)
    decide(Now);
  PartAdmission Result = PartAdmission::Admitted;
  for (auto &[Subset, Set] : Quarantined) {
    if (Set.Ended || !includesAll(Parts, Subset))
      continue;
    Set.WantedAt = Now;
    judgeRequests(Subset, IdleLimit, Now);
    bool TrialDue =
        Set.Trials < MaxTrials && Now >= Set.TrialFrom && isTrialRouter(Subset);
    if (!TrialDue)
      return PartAdmission::Refused;
    Result = PartAdmission::Trial;
  }
  return Result;
}

void PartQuarantine::beginTrial(const PartSet &Parts, Timestamp Now) {
  for (auto &[Subset, Set] : Quarantined) {
    if (Set.Ended || !includesAll(Parts, Subset))
      continue;
    ++Set.Trials;
    Set.TrialFrom = Now + NextTrialPause;
    ChangedSets.insert(Subset);
    recordChange(QuarantineChange::Kind::Trial, Set);
  }
}

void PartQuarantine::noteBroken(const TargetId &Target, Incarnation Ended,
                                const CrashSuspect &Suspect, Timestamp Now) {
  CrashId Id = crashIdOf(Target, Ended);
  judgeRequests(Suspect.Parts, CrashEvidence::Lifetime, Now);
  if (!Evidence.noteSuspect(Id, Suspect, Now))
    return;
  ChangedCrashes.insert(Id);
  decideSoon(Now);
}

void PartQuarantine::noteReplaced(const TargetId &Target, Incarnation Ended,
                                  CrashSuspect Suspect, Timestamp Now) {
  CrashId Id = crashIdOf(Target, Ended);
  judgeRequests(Suspect.Parts, CrashEvidence::Lifetime, Now);
  const CrashReport *Known = Evidence.find(Id);
  // Other requests may have been broken off as the target ended.
  Suspect.SeenAt = Known == nullptr ? Now : Known->SeenAt;
  if (!Evidence.noteReplaced(Id, Suspect, Now))
    return;
  ChangedCrashes.insert(Id);
  decideSoon(Now);
}

void PartQuarantine::noteAnswered(const TargetId &Target, Incarnation Answering,
                                  Timestamp SentAt) {
  Evidence.noteAnswered(crashIdOf(Target, Answering), SentAt);
}

void PartQuarantine::noteServed(const PartSet &Parts, Timestamp Now) {
  for (CrashId Changed : Evidence.noteServed(Parts, Now))
    ChangedCrashes.insert(Changed);
  for (auto &[Subset, Set] : Quarantined)
    if (!Set.Ended && includesAll(Parts, Subset)) {
      end(Set, QuarantineChange::Kind::Served);
      ChangedSets.insert(Subset);
    }
}

bool PartQuarantine::mayRepeat(const PartSet &Parts, Timestamp Now) const {
  bool IsQuarantined = std::any_of(
      Quarantined.begin(), Quarantined.end(), [&](const auto &Entry) {
        return !Entry.second.Ended && includesAll(Parts, Entry.first);
      });
  return !IsQuarantined && Evidence.mayRepeat(Parts, Now);
}

void PartQuarantine::judgeRequests(const PartSet &Parts, Duration Span,
                                   Timestamp Now) {
  if (namesRequest(Parts))
    JudgedUntil = std::max(JudgedUntil, Now + Span);
}

Timestamp PartQuarantine::firstTrialOf(const PartSet &Parts,
                                       Timestamp Now) const {
  if (!namesRequest(Parts))
    return Now + FirstTrialPause;
  Timestamp From = Now + FirstRequestTrialPause;
  for (const auto &[Other, Set] : Quarantined)
    if (!Set.Ended && Set.Trials == 0 && Other != Parts && namesRequest(Other))
      From = std::max(From, Set.TrialFrom + RequestTrialSpacing);
  return From;
}

void PartQuarantine::decideSoon(Timestamp Now) {
  DecideAt = std::min(DecideAt, Now + DecisionInterval);
  DecideUntil =
      Now + CrashEvidence::DecisionDelayOfServed + 2 * DecisionInterval;
}

void PartQuarantine::decide(Timestamp Now) {
  DecideAt = Now < DecideUntil ? Now + DecisionInterval : NeverExpires;
  for (int Count = 0; Count < MaxDecisions; ++Count) {
    auto Found = Evidence.findCause(setsInForce(), Now);
    if (!Found)
      return;
    quarantine(*Found, Now);
  }
}

void PartQuarantine::quarantine(const PartSet &Parts, Timestamp Now) {
  auto [Found, IsNew] = Quarantined.try_emplace(Parts);
  QuarantinedParts &Set = Found->second;
  if (!IsNew)
    ++Set.Epoch;
  Set = {
      Parts, Set.Epoch, /*Ended=*/false, /*Trials=*/0, firstTrialOf(Parts, Now),
      Now};
  judgeRequests(Parts, IdleLimit, Now);
  ChangedSets.insert(Parts);
  recordChange(QuarantineChange::Kind::Begun, Set);
  // The smaller set refuses all that larger ones with the same parts did.
  for (auto &[Other, Larger] : Quarantined)
    if (!Larger.Ended && Other != Parts && includesAll(Other, Parts)) {
      end(Larger, QuarantineChange::Kind::Covered);
      ChangedSets.insert(Other);
    }
  expire(Now);
}

void PartQuarantine::end(QuarantinedParts &Set, QuarantineChange::Kind Reason) {
  Set.Ended = true;
  recordChange(Reason, Set);
}

void PartQuarantine::expire(Timestamp Now) {
  for (auto &[Parts, Set] : Quarantined)
    if (!Set.Ended && Set.WantedAt + IdleLimit <= Now)
      recordChange(QuarantineChange::Kind::Unwanted, Set);
  std::erase_if(Quarantined, [Now](const auto &Entry) {
    return Entry.second.WantedAt + IdleLimit <= Now;
  });
  while (Quarantined.size() > MaxSets)
    Quarantined.erase(std::min_element(
        Quarantined.begin(), Quarantined.end(),
        [](const auto &Left, const auto &Right) {
          return std::tuple(!Left.second.Ended, Left.second.WantedAt) <
                 std::tuple(!Right.second.Ended, Right.second.WantedAt);
        }));
}

bool PartQuarantine::merge(const QuarantinedParts &Told, Timestamp Now) {
  if (Told.Parts.empty() || Told.Parts.size() > CrashEvidence::MaxIds ||
      Told.WantedAt + IdleLimit <= Now)
    return false;
  auto [Found, IsNew] = Quarantined.try_emplace(Told.Parts, Told);
  QuarantinedParts &Known = Found->second;
  bool WasInForce = !IsNew && !Known.Ended;
  Timestamp WantedAt = std::max(Known.WantedAt, Told.WantedAt);
  bool IsNews = IsNew || std::tuple(Told.Epoch, Told.Ended, Told.Trials) >
                             std::tuple(Known.Epoch, Known.Ended, Known.Trials);
  if (IsNews)
    Known = Told;
  Known.WantedAt = std::min(WantedAt, Now);
  if (WasInForce && Known.Ended)
    recordChange(QuarantineChange::Kind::ToldEnded, Known);
  if (!WasInForce && !Known.Ended)
    recordChange(QuarantineChange::Kind::Told, Known);
  return IsNews;
}

void PartQuarantine::apply(const CrashNews &News, bool PassOn, Timestamp Now) {
  for (const CrashReport &Report : News.Crashes) {
    for (const CrashSuspect &Suspect : Report.Suspects)
      judgeRequests(Suspect.Parts, CrashEvidence::Lifetime, Now);
    if (!Evidence.merge(Report, Now))
      continue;
    decideSoon(Now);
    // What this router adds by itself, such as that it had served a part, is
    // news also where the others hear of the crash from its reporter.
    const CrashReport *Merged = Evidence.find(Report.Id);
    bool KnewMore = std::any_of(Merged->Marks.begin(), Merged->Marks.end(),
                                [&Report](const auto &Entry) {
                                  auto Told = Report.Marks.find(Entry.first);
                                  bool WasTold = Told != Report.Marks.end() &&
                                                 Told->second.ServedBefore;
                                  return Entry.second.ServedBefore && !WasTold;
                                });
    if (PassOn || KnewMore)
      ChangedCrashes.insert(Report.Id);
  }
  for (const QuarantinedParts &Told : News.Quarantined)
    judgeRequests(Told.Parts, IdleLimit, Now);
  for (const QuarantinedParts &Told : News.Quarantined)
    if (merge(Told, Now) && PassOn)
      ChangedSets.insert(Told.Parts);
  expire(Now);
}

CrashNews PartQuarantine::takeNews(Timestamp Now) {
  if (DecideAt <= Now)
    decide(Now);
  CrashNews News;
  for (CrashId Changed : std::exchange(ChangedCrashes, {}))
    if (const CrashReport *Report = Evidence.find(Changed))
      News.Crashes.push_back(*Report);
  for (const PartSet &Changed : std::exchange(ChangedSets, {}))
    if (auto Found = Quarantined.find(Changed); Found != Quarantined.end())
      News.Quarantined.push_back(Found->second);
  return News;
}

CrashNews PartQuarantine::everything(Timestamp Now) {
  expire(Now);
  CrashNews All;
  All.Crashes = Evidence.reports(Now);
  for (const auto &[Parts, Set] : Quarantined)
    All.Quarantined.push_back(Set);
  return All;
}

std::vector<QuarantineChange> PartQuarantine::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace ferry::routing

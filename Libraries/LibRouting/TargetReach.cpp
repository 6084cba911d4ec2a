#include "LibRouting/TargetReach.h"
#include <algorithm>

namespace ferry::routing {

void TargetReach::setKnownTargets(size_t Count) {
  KnownTargets = Count;
  if (KnownTargets >= MinFailing)
    return;
  Failures.clear();
  CutSince.reset();
}

void TargetReach::noteFailure(const TargetId &Target, bool Connected,
                              Timestamp Now) {
  if (KnownTargets < MinFailing || isCutOff())
    return;
  std::erase_if(Failures, [Now](const auto &Entry) {
    return Entry.second.At + FailureLifetime <= Now;
  });
  Failures[Target] = {Now, Connected};
  if (uncontradictedFailures(Now) <
      std::clamp(KnownTargets / 2, MinFailing, MaxFailing))
    return;
  CutSince = Now;
  bool IsRelapse = LastCutEndedAt && Now < *LastCutEndedAt + RelapseSpan;
  ProbesNeeded = IsRelapse ? std::min(2 * ProbesNeeded, MaxProbesToReturn)
                           : ProbesToReturn;
  ProbesReached = 0;
  Failures.clear();
}

size_t TargetReach::uncontradictedFailures(Timestamp Now) const {
  auto IsRecent = [Now](const std::optional<Timestamp> &Sign) {
    return Sign && Now < *Sign + QuietSpan;
  };
  bool Connects = IsRecent(LastConnectedAt);
  bool Answers = IsRecent(LastAnsweredAt);
  return static_cast<size_t>(
      std::count_if(Failures.begin(), Failures.end(), [&](const auto &Entry) {
        return Entry.second.Connected ? !Answers : !Connects;
      }));
}

void TargetReach::noteUnreachable(const TargetId &Target, Timestamp Now) {
  noteFailure(Target, /*Connected=*/false, Now);
}

void TargetReach::noteBroken(const TargetId &Target, Timestamp Now) {
  noteFailure(Target, /*Connected=*/true, Now);
}

void TargetReach::noteConnected(Timestamp Now) {
  LastConnectedAt = Now;
  std::erase_if(Failures, [Now](const auto &Entry) {
    return !Entry.second.Connected && Entry.second.At <= Now;
  });
}

void TargetReach::noteAnswered(Timestamp ConnectedAt, Timestamp Now) {
  LastAnsweredAt = Now;
  std::erase_if(Failures, [ConnectedAt](const auto &Entry) {
    return Entry.second.At <= ConnectedAt;
  });
}

void TargetReach::noteProbe(bool Reached, Timestamp Now) {
  ProbesReached = Reached ? ProbesReached + 1 : 0;
  size_t Needed = hasHelper(Now) ? ProbesNeeded : 1;
  if (!CutSince || ProbesReached < Needed)
    return;
  CutSince.reset();
  LastCutEndedAt = Now;
}

bool TargetReach::hasHelper(Timestamp Now) const {
  return std::any_of(Helpers.begin(), Helpers.end(), [Now](const auto &Entry) {
    return Entry.second.Until > Now;
  });
}

void TargetReach::noteHelper(const HostId &Router, const RouterReach &Reach,
                             Timestamp Now) {
  std::erase_if(Helpers,
                [Now](const auto &Entry) { return Entry.second.Until <= Now; });
  if (Reach.ReachesTargets && !Reach.PassKey.empty())
    Helpers[Router] = {Reach.PassKey, Now + HelperLifetime};
  else
    Helpers.erase(Router);
}

std::optional<Helper>
TargetReach::chooseHelper(const std::vector<HostId> &Tried, Timestamp Now) {
  std::vector<Helper> Usable;
  for (const auto &[Id, Known] : Helpers)
    if (Known.Until > Now &&
        std::find(Tried.begin(), Tried.end(), Id) == Tried.end())
      Usable.push_back({Id, Known.PassKey});
  if (Usable.empty())
    return std::nullopt;
  return Usable[randomBelow(Random, Usable.size())];
}

bool TargetReach::awaitsHelpers(Timestamp Now) const {
  return CutSince && Now < *CutSince + FirstAnswers;
}

} // namespace ferry::routing

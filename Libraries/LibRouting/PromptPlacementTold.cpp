// What other routers, the giver of orders and operators told.
#include "LibRouting/PromptPlacement.h"
#include "LibRouting/PromptPlacementTimes.h"
#include <algorithm>
#include <utility>

namespace ferry::routing {

/// A digest of another router holds this long without the next one.
static constexpr Duration DigestHolds = std::chrono::milliseconds(1000);
/// What the giver of orders told of an engine's weights holds until its
/// announcements had the time to show them, or a later change.
static constexpr Duration ToldHolds = std::chrono::seconds(5);
/// A load that was not told to have ended is over then.
static constexpr Duration LoadingHolds = std::chrono::seconds(4);

void PromptPlacement::addOthers(const std::vector<TargetWork> &Work,
                                double Sign) {
  for (const TargetWork &Told : Work) {
    auto Found = Targets.find(Told.Target);
    if (Found == Targets.end())
      continue;
    Target &Known = Found->second;
    Known.Others.Long =
        std::max(0.0, Known.Others.Long + Sign * secondsOf(Told.LongPrompts));
    Known.Others.Short =
        std::max(0.0, Known.Others.Short + Sign * secondsOf(Told.ShortPrompts));
    Known.OthersRunning =
        std::max(0.0, Known.OthersRunning + Sign * Told.Running);
  }
}

void PromptPlacement::dropSilent(Timestamp Now) {
  for (auto Next = Others.begin(); Next != Others.end();) {
    if (Next->second.Until > Now) {
      ++Next;
      continue;
    }
    addOthers(Next->second.Work, -1);
    Next = Others.erase(Next);
  }
}

void PromptPlacement::takeDigest(const HostId &From, const WorkDigest &Digest,
                                 Timestamp Now) {
  Told &Known = Others[From];
  addOthers(Known.Work, -1);
  Known = {Digest.Work, Now + DigestHolds};
  addOthers(Known.Work, 1);
  dropSilent(Now);
  for (const PartPlace &Part : Digest.Parts) {
    Used.use(Part.Key, Part.Tokens, Part.State);
    if (Part.Target == StoreId && CacheStore)
      CacheStore->Parts.use(Part.Key, Part.Tokens, Part.State);
    else if (auto Found = Targets.find(Part.Target); Found != Targets.end())
      Found->second.Parts.use(Part.Key, Part.Tokens, Part.State);
  }
}

WorkDigest PromptPlacement::makeDigest() {
  WorkDigest Digest;
  for (const auto &[Id, Known] : Targets)
    if (Known.Running > 0)
      Digest.Work.push_back({Id, durationOf(Known.Own.Long),
                             durationOf(Known.Own.Short), Known.Running});
  Digest.Parts = std::exchange(NewParts, {});
  return Digest;
}

void PromptPlacement::engineChanged(const EngineChange &Change, Timestamp Now) {
  auto Found = Targets.find(Change.Target);
  if (Found == Targets.end() ||
      Found->second.Record.Incarnation != Change.Incarnation)
    return;
  Target &Known = Found->second;
  Known.LoadingUntil = Change.Loading ? Now + LoadingHolds : Now;
  if (Change.Loading || Change.Weights <= weightsOf(Known, Now))
    return;
  Known.ToldWeights = Change.Weights;
  Known.ToldUntil = Now + ToldHolds;
  Known.Parts.clear();
}

void PromptPlacement::weightsNamed(const NamedWeights &Told, Timestamp Now) {
  // A router that has just started takes the age as told: the time went on
  // while it was away.
  if (NamesHeardAt && Now > *NamesHeardAt + NamesGap)
    NamesHeardSince = Now;
  NamesHeardAt = Now;
  std::vector<NamedWeights> &Known = Named[Told.Model];
  if (!Known.empty() && Told.Weights <= Known.back().Weights)
    return;
  Known.push_back(Told);
  if (Known.size() > MaxNamedWeights)
    Known.erase(Known.begin());
}

} // namespace ferry::routing

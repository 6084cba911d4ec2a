// First bytes and ends of requests, and what the router learns from them.
#include "LibRouting/RoutedPlacement.h"
#include "LibRouting/RoutedPlacementConstants.h"
#include "LibRouting/WorkExchange.h"
#include <algorithm>

namespace ferry::routing {

/// Weight of the newest request in the moving average of failures.
static constexpr double FailureWeight = 0.1;
/// Weight of the newest request in the moving average of service times.
static constexpr double ServiceTimeWeight = 0.1;
/// Maximum number of parts in one digest.
static constexpr size_t MaxDigestParts = 64;
/// A store whose fetch saved no time is not used for this long.
static constexpr Duration StorePause = std::chrono::seconds(2);
/// First pause after a target has refused a request: other targets become free
/// sooner than this.
static constexpr Duration RefusalPause = std::chrono::milliseconds(200);
/// Longest pause before a request tries a failing target again.
static constexpr Duration MaxPause = std::chrono::seconds(4);

void RoutedPlacement::recordParts(const RoutedCall &Call, RoutedTarget &Target,
                                  PartState State) {
  // A part is of use to other routers only with all parts before it, so that
  // small ones are reported too if the whole prefix is large.
  bool PrefixIsLarge = sharedTokens(Call) >= MinReportedTokens;
  // The last part belongs to this request. It only shows what the engine evicts
  // for it, and in a large fleet such parts would fill the digests.
  bool ReportsLast = Routers <= WorkExchange::MaxDirectRouters;
  for (size_t Index = 0; Index < Call.Parts.size(); ++Index) {
    const PromptPart &Part = Call.Parts[Index];
    uint64_t Key = CachedParts::keyOf(Call.CacheScope, Part.Id);
    bool IsNews = Target.Parts.use(Key, Part.Tokens, State);
    bool IsLast = Index + 1 == Call.Parts.size();
    bool IsReported = IsLast ? ReportsLast && Part.Tokens >= MinReportedTokens
                             : PrefixIsLarge;
    if (IsNews && IsReported && UnsentParts.size() < MaxDigestParts)
      UnsentParts.push_back({Target.Record.Id, Key, Part.Tokens, State});
  }
}

void RoutedPlacement::recordStoredParts(const RoutedCall &Call, uint64_t Scope,
                                        StoreState &Store, PartState State) {
  // The last part belongs to this request alone and is not stored.
  for (size_t Index = 0; Index + 1 < Call.Parts.size(); ++Index) {
    const PromptPart &Part = Call.Parts[Index];
    uint64_t Key = CachedParts::keyOf(Scope, Part.Id);
    if (Store.Parts.use(Key, Part.Tokens, State) &&
        UnsentParts.size() < MaxDigestParts)
      UnsentParts.push_back({Store.Id, Key, Part.Tokens, State});
  }
}

void RoutedPlacement::checkStoreFetch(const SentCall &Sent, double Excess,
                                      Timestamp Now) {
  // The time that the fetch should have saved was spent nevertheless: the store
  // did not have the parts, or did not answer.
  StoreState *Store = storeOf(Sent.Call);
  if (Store == nullptr || Sent.ExpectedSavingSeconds == 0 ||
      Excess < Sent.ExpectedSavingSeconds / 2)
    return;
  Store->UnusableUntil = Now + StorePause;
}

void RoutedPlacement::noteFirstByte(uint64_t PlacementId, Timestamp Now) {
  auto Entry = SentCalls.find(PlacementId);
  if (Entry == SentCalls.end() || Entry->second.FirstByteSeen)
    return;
  SentCall &Sent = Entry->second;
  Sent.FirstByteSeen = true;
  RoutedTarget *Target = findTarget(Sent);
  if (Target == nullptr)
    return;
  double &Backlog = Target->OwnBacklog.of(Sent.Call);
  Backlog = std::max(0.0, Backlog - Sent.PromptSeconds);
  if (Sent.TokensAtIdleEngine > 0 && !Sent.Call.Parts.empty())
    Rates[Sent.Call.Service].observe(Sent.TokensAtIdleEngine,
                                     secondsOf(Now - Sent.SentAt));
  recordParts(Sent.Call, *Target, PartState::Read);
  double Excess = secondsOf(Now - Sent.SentAt) - Sent.ExpectedSeconds;
  checkStoreFetch(Sent, Excess, Now);
  StoreState *Store = Sent.SavesToStore ? storeOf(Sent.Call) : nullptr;
  if (Store != nullptr)
    recordStoredParts(Sent.Call, storeScope(Sent.Call, *Target, Now), *Store,
                      PartState::Read);
  double NewSeconds = std::max(0.0, Excess);
  Target->CongestionSeconds = (congestionOf(*Target, Now) + NewSeconds) / 2;
  Target->CongestionAt = Now;
}

void RoutedPlacement::pauseTarget(RoutedTarget &Target, Duration FirstPause,
                                  Timestamp Now) {
  uint32_t Doublings = std::min(Target.FailuresInARow, uint32_t{4});
  ++Target.FailuresInARow;
  Duration Pause = std::min(FirstPause * (1 << Doublings), MaxPause);
  Target.UnusableUntil = std::max(Target.UnusableUntil, Now + Pause);
}

void RoutedPlacement::endCall(uint64_t PlacementId, CallEnd End,
                              Timestamp Now) {
  auto Entry = SentCalls.find(PlacementId);
  if (Entry == SentCalls.end())
    return;
  SentCall Sent = std::move(Entry->second);
  SentCalls.erase(Entry);
  RoutedTarget *Target = findTarget(Sent);
  if (Target == nullptr)
    return;
  Target->Running -= std::min(Target->Running, 1U);
  if (Sent.Call.Loan)
    Target->OnLoan -= std::min(Target->OnLoan, 1U);
  if (End == CallEnd::Served)
    Target->ServiceSeconds +=
        ServiceTimeWeight *
        (secondsOf(Now - Sent.SentAt) - Target->ServiceSeconds);
  if (!Sent.FirstByteSeen) {
    double &Backlog = Target->OwnBacklog.of(Sent.Call);
    Backlog = std::max(0.0, Backlog - Sent.PromptSeconds);
    for (const PromptPart &Part : Sent.Call.Parts)
      Target->Parts.removeAwaited(
          CachedParts::keyOf(Sent.Call.CacheScope, Part.Id));
  }
  bool CountsAsSample = End != CallEnd::NotRun && End != CallEnd::Abandoned;
  double FailureSample = End == CallEnd::Served ? 0 : 1;
  if (CountsAsSample) {
    double Share = failureShareOf(*Target, Now);
    Target->FailureShare = Share + FailureWeight * (FailureSample - Share);
    Target->FailureShareAt = Now;
  }
  // A target that asked for a pause is left alone for exactly that time.
  if (Signals.isPaused(Sent.Target, Sent.Incarnation, Now))
    return;
  switch (End) {
  case CallEnd::Served:
    Target->FailuresInARow = 0;
    break;
  case CallEnd::NotRun:
  case CallEnd::Replaced:
    // The target may refuse for as long as it loads weights, or for ever if
    // another incarnation has replaced it and is not known yet.
    pauseTarget(*Target, RefusalPause, Now);
    break;
  case CallEnd::Broken:
    // The target is paused only after the second broken answer in a row.
    if (Target->FailuresInARow++ == 0)
      break;
    --Target->FailuresInARow;
    [[fallthrough]];
  case CallEnd::Unreachable:
    pauseTarget(*Target, FailurePause, Now);
    break;
  case CallEnd::Failed:
  case CallEnd::Abandoned:
    break;
  }
}

} // namespace ferry::routing

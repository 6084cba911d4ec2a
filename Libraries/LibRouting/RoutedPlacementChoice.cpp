// The choice of a target for a request, and its refusal.
#include "LibRouting/Rendezvous.h"
#include "LibRouting/RoutedPlacement.h"
#include "LibRouting/RoutedPlacementConstants.h"
#include "LibRouting/StaleLoadSpread.h"
#include "LibRouting/WorkExchange.h"
#include <algorithm>
#include <iterator>
#include <limits>

namespace ferry::routing {

/// A request that would begin later than this multiple of the time left until
/// its first byte is due is refused at once: a late answer is worth little, and
/// the request would make those behind it late too.
static constexpr double MaxFirstByteShare = 1.25;
/// Bounds on the wait that is allowed regardless of the prompt's length, as
/// shares of the time left until the first byte is due: a long prompt cannot
/// begin in time, but must not starve.
static constexpr double MinWaitShare = 0.25;
static constexpr double MaxWaitShare = 0.75;
/// Time that each running request adds to the first token of the next one: it
/// makes the batch steps longer, and a few steps pass before the first token.
static constexpr double SecondsPerRunningRequest = 0.0005;
/// A failed request costs about the time of another try.
static constexpr double FailureCostSeconds = 0.5;
/// Superseded weights add no cost for this long, which is the time that one
/// load takes.
static constexpr Duration SupersededGrace = std::chrono::milliseconds(1500);
/// Cost of superseded weights for a request that prefers newer ones: it goes to
/// superseded ones only if they are sooner by more than this.
static constexpr double SupersededCostSeconds = 0.25;
/// Engines with newer weights get up to this multiple of their share of the
/// requests: more would fill the first few of them. The routers of a large
/// fleet hear of each other's requests later.
static constexpr double MaxNewerWeightsLoad = 3;
static constexpr double MaxNewerWeightsLoadInLargeFleet = 1.5;
/// Cost of a fetched copy: it evicts another part, which may have to be read
/// again. A target that already holds the part is preferred by this much.
static constexpr double CopyCostSeconds = 0.05;
/// Cost of a target that prompts of the other length prefer. A long prompt
/// delays all short ones there.
static constexpr double LongIntrusionSeconds = 0.4;
static constexpr double ShortIntrusionSeconds = 0.25;
/// Candidates whose costs differ by less than this count as equal; rendezvous
/// hashing chooses among them.
static constexpr double TieSeconds = 0.002;
/// Longest delay for Retry-After, which also applies if no target is known: a
/// new target announces itself twice in this time.
static constexpr Duration NoTargetRetryDelay = std::chrono::seconds(1);
/// Longest delay for callers whose requests the targets' limits forbid.
static constexpr Duration MaxLimitedDelay = std::chrono::seconds(10);
static constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
/// The delay of Retry-After varies by up to this part of it, so that callers
/// that were refused together do not return together.
static constexpr uint64_t RetryDelaySpreadDivisor = 2;
/// A request placed this long before the weights' deadline begins in time at an
/// idle engine. The time to read its prompt is added, and at a busy engine the
/// estimated wait, both several times over: the estimates do not include what
/// other routers send at the same moment.
static constexpr Duration BeginMargin = std::chrono::milliseconds(1000);
static constexpr double BeginMarginReads = 2;
static constexpr double BeginMarginWaits = 3;
/// Added where other engines are left: a queue that other routers have filled
/// lasts for seconds under load.
static constexpr Duration ExtraBeginMargin = std::chrono::milliseconds(2000);
/// Shortly before the weights' deadline engines read prompts without a fetch: a
/// slow link between engines would delay the begin by seconds.
static constexpr Duration FetchMargin = std::chrono::milliseconds(3000);

double RoutedPlacement::waitSeconds(const RoutedCall &Call,
                                    const RoutedTarget &Target) const {
  double Long = Target.OwnBacklog.Long + Target.PeerBacklog.Long;
  double Short = Target.OwnBacklog.Short + Target.PeerBacklog.Short;
  if (Call.PromptTokens >= LongPromptTokens)
    return Long + Short;
  // Engines read a short prompt before the long ones that wait, but do not
  // interrupt the one they are reading: on average half of it is left.
  return Short + std::min(Long, rateOf(Call.Service).longSeconds()) / 2;
}

double RoutedPlacement::slotWaitSeconds(const RoutedTarget &Target) {
  double Slots = Target.Record.Load.MaxConcurrent;
  double Ahead = Target.Running + Target.PeerRunning + 1 - Slots;
  if (Slots == 0 || Ahead <= 0)
    return 0;
  return Ahead / Slots * Target.ServiceSeconds;
}

std::vector<RoutedPlacement::RoutedTarget *>
RoutedPlacement::candidatesOf(const RoutedCall &Call, Timestamp Now) {
  std::vector<RoutedTarget *> Offered;
  std::vector<RoutedTarget *> Usable;
  size_t Loading = 0;
  for (auto &[Id, Target] : Targets) {
    bool IsOtherBuild =
        !Call.Build.empty() && Target.Record.Build != Call.Build;
    bool HasNoSlot =
        Call.Loan ? Id != Call.Loan->Target ||
                        Target.Record.Incarnation != Call.Loan->Incarnation
                  : mayOverflow(Target, Now);
    if (IsOtherBuild || !isOffered(Target, Call.Service, Now) ||
        Signals.openFrom(Id, Target.Record.Incarnation, Now) > Now ||
        Limits.openFrom(Id, Target.Record.Incarnation, Now) > Now || HasNoSlot)
      continue;
    Offered.push_back(&Target);
    // A load by order is no sign that this router is cut off.
    Loading += Target.LoadingUntil > Now;
    if (isUsable(Target, Now))
      Usable.push_back(&Target);
  }
  bool UseAll =
      Usable.empty() || seemsCutOff(Usable.size(), Offered.size() - Loading);
  std::vector<RoutedTarget *> &Candidates = UseAll ? Offered : Usable;
  if (UseAll && !Usable.empty())
    std::stable_partition(
        Offered.begin(), Offered.end(),
        [Now](RoutedTarget *Target) { return Target->UnusableUntil <= Now; });
  auto MayBeginLate = [&](const RoutedTarget *Target, Duration ExtraMargin) {
    Duration Margin =
        BeginMargin + ExtraMargin +
        durationOf(BeginMarginReads * readSeconds(Call, /*Cached=*/0) +
                   BeginMarginWaits * (waitSeconds(Call, *Target) +
                                       congestionOf(*Target, Now)));
    return Now + Margin >= weightsDeadline(*Target, Now);
  };
  std::erase_if(Candidates, [&](const RoutedTarget *Target) {
    return MayBeginLate(Target, Duration::zero()) ||
           std::find(Call.Tried.begin(), Call.Tried.end(), Target->Record.Id) !=
               Call.Tried.end();
  });
  // An engine's queue may be longer than this router knows, so that one close
  // to the deadline is used only if no other is left.
  if (std::any_of(Candidates.begin(), Candidates.end(),
                  [&](const RoutedTarget *Target) {
                    return !MayBeginLate(Target, ExtraBeginMargin);
                  }))
    std::erase_if(Candidates, [&](const RoutedTarget *Target) {
      return MayBeginLate(Target, ExtraBeginMargin);
    });
  eraseOlderUntilNamed(Candidates, Now);
  return std::move(Candidates);
}

void RoutedPlacement::eraseOlderUntilNamed(
    std::vector<RoutedTarget *> &Candidates, Timestamp Now) const {
  if (Now >= NamesAwaitedUntil)
    return;
  std::map<ModelId, WeightsVersion> NewestByModel;
  for (const RoutedTarget *Target : Candidates) {
    WeightsVersion &Newest = NewestByModel[Target->Record.Model];
    Newest = std::max(Newest, weightsOf(*Target, Now));
  }
  std::erase_if(Candidates, [&](const RoutedTarget *Target) {
    const ModelId &Model = Target->Record.Model;
    return NamedVersions.count(Model) == 0 &&
           weightsOf(*Target, Now) < NewestByModel[Model];
  });
}

double RoutedPlacement::readSeconds(const RoutedCall &Call,
                                    uint32_t Cached) const {
  double Missing = std::max(0.0, double(Call.PromptTokens) - Cached);
  return rateOf(Call.Service).readSeconds(Missing);
}

RoutedPlacement::Candidate
RoutedPlacement::estimate(const RoutedCall &Call, RoutedTarget &Target,
                          const std::vector<const RoutedTarget *> &Holders,
                          const HomesByWeights &AllHomes, StoreState *Store,
                          bool PrefersNewer, Timestamp Now) const {
  Candidate Result;
  Result.Target = &Target;
  Result.Store = Store;
  uint32_t OwnTokens = Target.Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                                 PartState::Awaited);
  Result.CachedTokens = OwnTokens;
  Result.PromptSeconds = readSeconds(Call, OwnTokens);
  considerHolders(Call, Holders, Now, Result);
  considerStore(Call, OwnTokens, Now, Result);
  if (auto Found = AllHomes.find(weightsOf(Target, Now));
      Found != AllHomes.end())
    considerHome(Call, Found->second, OwnTokens, Result);
  Result.WaitSeconds =
      waitSeconds(Call, Target) + congestionOf(Target, Now) +
      SecondsPerRunningRequest * (Target.Running + Target.PeerRunning);
  Result.FirstByteSeconds = Result.PromptSeconds + Result.WaitSeconds;
  if (!Call.Parts.empty())
    Result.FirstByteSeconds += rateOf(Call.Service).baseSeconds();
  Result.Cost = Result.FirstByteSeconds +
                FailureCostSeconds * failureShareOf(Target, Now);
  if (Splits.count(Call.Service) != 0)
    Result.Cost += slotWaitSeconds(Target);
  if (Result.IsCopy)
    Result.Cost += CopyCostSeconds;
  if (!isPreferred(Call, Target))
    Result.Cost += Call.PromptTokens >= LongPromptTokens
                       ? LongIntrusionSeconds
                       : ShortIntrusionSeconds;
  if (Target.UnusableUntil > Now)
    Result.Cost += secondsOf(Target.UnusableUntil - Now);
  if (!isFresh(Target, Now))
    Result.Cost += secondsOf(FailurePause);
  if (PrefersNewer && isSuperseded(Target, Now))
    Result.Cost += SupersededCostSeconds;
  return Result;
}

bool RoutedPlacement::isSuperseded(const RoutedTarget &Target,
                                   Timestamp Now) const {
  Timestamp Since = supersededSince(Target, Now);
  return Since != NeverExpires && Now >= Since + SupersededGrace;
}

bool RoutedPlacement::drawPreference(
    const std::vector<RoutedTarget *> &Eligible, Timestamp Now) {
  static constexpr uint64_t DrawSteps = 1 << 20;
  auto Superseded = static_cast<double>(std::count_if(
      Eligible.begin(), Eligible.end(),
      [&](const RoutedTarget *Target) { return isSuperseded(*Target, Now); }));
  double NewerShare = 1 - Superseded / double(Eligible.size());
  double MaxLoad = Routers > WorkExchange::MaxDirectRouters
                       ? MaxNewerWeightsLoadInLargeFleet
                       : MaxNewerWeightsLoad;
  return double(randomBelow(Random, DrawSteps)) <
         MaxLoad * NewerShare * DrawSteps;
}

void RoutedPlacement::keepSpread(const RoutedCall &Call,
                                 std::vector<Candidate> &Candidates,
                                 Timestamp Now) {
  // No request is refused because a loaded target was drawn.
  auto MayWait = [&](const Candidate &Each) {
    return Each.WaitSeconds <= allowedWait(Call, Each, Now);
  };
  if (!std::any_of(Candidates.begin(), Candidates.end(), MayWait))
    return;
  std::erase_if(Candidates,
                [&](const Candidate &Each) { return !MayWait(Each); });
  // Targets that prompts of the other length prefer are drawn only if they are
  // better than the others.
  auto Best = std::min_element(Candidates.begin(), Candidates.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left.Cost < Right.Cost;
                               });
  if (isPreferred(Call, *Best->Target))
    std::erase_if(Candidates, [&](const Candidate &Each) {
      return !isPreferred(Call, *Each.Target);
    });
  std::vector<double> Costs;
  Costs.reserve(Candidates.size());
  for (const Candidate &Each : Candidates)
    Costs.push_back(Each.Cost);
  const RoutedTarget *Drawn =
      Candidates[StaleLoadSpread::draw(Costs, Random)].Target;
  // Holders of the shared parts and their home stay, so that prompts keep
  // meeting their cached prefixes.
  bool IsShared = sharedTokens(Call) >= MinSharedTokens;
  std::erase_if(Candidates, [&](const Candidate &Each) {
    return Each.Target != Drawn && (!IsShared || Each.IsCopy);
  });
}

RoutedPlacement::Candidate
RoutedPlacement::choose(const RoutedCall &Call,
                        const std::vector<RoutedTarget *> &Eligible,
                        Timestamp Now) {
  uint64_t Key = Call.Parts.empty()
                     ? Random()
                     : CachedParts::keyOf(Call.CacheScope, Call.Parts[0].Id);
  auto Rank = [Key](const RoutedTarget *Target) {
    return rendezvousWeight(Target->IdHash, Key);
  };
  std::vector<const RoutedTarget *> Holders = holdersOf(Call, Now);
  HomesByWeights AllHomes = homesOf(Call, Now);
  StoreState *Store = storeOf(Call);
  if (Store != nullptr && Store->UnusableUntil > Now)
    Store = nullptr;
  // Most requests go to the targets that their prompts prefer, so that the
  // share of these which have newer weights counts.
  std::vector<RoutedTarget *> Preferred;
  std::copy_if(
      Eligible.begin(), Eligible.end(), std::back_inserter(Preferred),
      [&](const RoutedTarget *Target) { return isPreferred(Call, *Target); });
  bool PrefersNewer =
      drawPreference(Preferred.empty() ? Eligible : Preferred, Now);
  std::vector<Candidate> Candidates;
  for (RoutedTarget *Target : Eligible)
    Candidates.push_back(
        estimate(Call, *Target, Holders, AllHomes, Store, PrefersNewer, Now));
  if (Splits.count(Call.Service) != 0 &&
      Routers > WorkExchange::MaxDirectRouters)
    keepSpread(Call, Candidates, Now);
  double LeastCost = std::min_element(Candidates.begin(), Candidates.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.Cost < Right.Cost;
                                      })
                         ->Cost;
  std::erase_if(Candidates, [LeastCost](const Candidate &Each) {
    return Each.Cost > LeastCost + TieSeconds;
  });
  // All routers break ties in favour of the same target, so that requests with
  // the same leading part meet in one cache.
  return *std::max_element(Candidates.begin(), Candidates.end(),
                           [&](const Candidate &Left, const Candidate &Right) {
                             return Rank(Left.Target) < Rank(Right.Target);
                           });
}

std::variant<PlacedCall, RefusedCall>
RoutedPlacement::place(const RoutedCall &Call, Timestamp Now) {
  updateBrittleServices();
  std::vector<RoutedTarget *> Eligible = candidatesOf(Call, Now);
  if (Eligible.empty())
    return refuse(Call, CallRefusalReason::NoTarget, Now);
  Candidate Best = choose(Call, Eligible, Now);
  Timestamp BeginsAt = Now + durationOf(Best.FirstByteSeconds);
  if (BeginsAt >= Call.Deadline)
    return refuse(Call, CallRefusalReason::DeadlineTooNear, Now,
                  Best.FirstByteSeconds);
  if (Best.WaitSeconds > allowedWait(Call, Best, Now))
    return refuse(Call, CallRefusalReason::Full, Now, Best.FirstByteSeconds);
  return dispatch(Call, Best, Now);
}

PlacedCall RoutedPlacement::dispatch(const RoutedCall &Call,
                                     const Candidate &Best, Timestamp Now) {
  RoutedTarget &Target = *Best.Target;
  ++Target.Running;
  Target.OnLoan += Call.Loan ? 1 : 0;
  Signals.noteSent(Target.Record.Id, Target.Record.Incarnation, Now);
  bool Idle = isIdle(Target, Now) && !Best.FetchFromStore &&
              Best.FetchSource == nullptr;
  Target.OwnBacklog.of(Call) += Best.PromptSeconds;
  auto Split = Splits.find(Call.Service);
  if (Split != Splits.end() && !Call.Parts.empty())
    Split->second.noteSent(Call.PromptTokens >= LongPromptTokens,
                           Best.PromptSeconds, Now);
  PlacedCall Placed;
  Placed.CountedAgainstLimit =
      Limits.isLimited(Target.Record.Id, Target.Record.Incarnation);
  Limits.noteSent(Target.Record.Id, Target.Record.Incarnation, Now);
  Placed.PlacementId = NextPlacementId++;
  Placed.OnLoan = Call.Loan.has_value();
  Placed.Target = Target.Record.Id;
  Placed.Incarnation = Target.Record.Incarnation;
  Placed.Address = Target.Record.Address;
  Placed.Weights = weightsOf(Target, Now);
  Placed.Build = Target.Record.Build;
  if (Best.FetchSource != nullptr)
    Placed.FetchFrom = Best.FetchSource->Record.Address;
  // An engine that has evicted the prefix, which nobody tells, asks the store;
  // one that has it does not.
  bool MayAskStore = Best.FetchSource == nullptr && Best.Store != nullptr &&
                     isStored(Call, Best, PartState::Read, Now);
  if (Best.FetchFromStore || MayAskStore)
    Placed.FetchFrom = Best.Store->Address;
  Placed.WeightsDeadline = weightsDeadline(Target, Now);
  if (Now + FetchMargin >= Placed.WeightsDeadline)
    Placed.FetchFrom.clear();
  bool Save = shouldSave(Call, Best, Now);
  if (Save) {
    Placed.SaveTo = Best.Store->Address;
    recordStoredParts(Call, storeScope(Call, Target, Now), *Best.Store,
                      PartState::Awaited);
  }
  recordParts(Call, Target, PartState::Awaited);
  Placed.Estimate = durationOf(Best.FirstByteSeconds);
  Placed.CachedTokens = Best.CachedTokens;
  SentCalls[Placed.PlacementId] = {
      Placed.Target, Placed.Incarnation, Call,
      Now,           Best.PromptSeconds, Best.FirstByteSeconds};
  SentCalls[Placed.PlacementId].SavesToStore = Save;
  if (Idle)
    SentCalls[Placed.PlacementId].TokensAtIdleEngine =
        std::max(1.0, double(Call.PromptTokens) - Best.CachedTokens);
  if (Best.FetchFromStore)
    SentCalls[Placed.PlacementId].ExpectedSavingSeconds =
        rateOf(Call.Service).readSeconds(Best.CachedTokens);
  return Placed;
}

double RoutedPlacement::allowedWait(const RoutedCall &Call,
                                    const Candidate &Best, Timestamp Now) {
  if (Call.FirstByteDueAt == NeverExpires)
    return std::numeric_limits<double>::infinity();
  double SecondsUntilDue = std::max(0.0, secondsOf(Call.FirstByteDueAt - Now));
  double PromptSeconds = Best.FirstByteSeconds - Best.WaitSeconds;
  return std::clamp(MaxFirstByteShare * SecondsUntilDue - PromptSeconds,
                    MinWaitShare * SecondsUntilDue,
                    MaxWaitShare * SecondsUntilDue);
}

std::optional<Timestamp>
RoutedPlacement::returnUnderLimits(const RoutedCall &Call, Timestamp Now) {
  double PerSecond = 0;
  bool AnyLimit = false;
  for (const auto &[Id, Target] : Targets) {
    bool IsOtherBuild =
        !Call.Build.empty() && Target.Record.Build != Call.Build;
    if (IsOtherBuild || !isOffered(Target, Call.Service, Now))
      continue;
    auto Limit = Limits.perSecond(Id, Target.Record.Incarnation);
    if (!Limit)
      return std::nullopt;
    AnyLimit = true;
    PerSecond += *Limit;
  }
  if (!AnyLimit)
    return std::nullopt;
  // Callers come back at this router's share of the rate, in the order in which
  // they were refused. Those beyond the longest delay have to try again.
  double Share = PerSecond / double(Routers);
  Duration Spacing =
      Share > 0 ? durationOf(std::min(secondsOf(MaxLimitedDelay), 1 / Share))
                : MaxLimitedDelay;
  Timestamp &Reserved = ReturnsReservedUntil[Call.Service];
  Reserved = std::min(std::max(Reserved, Now) + Spacing, Now + MaxLimitedDelay);
  return Reserved;
}

RefusedCall RoutedPlacement::refuse(const RoutedCall &Call,
                                    CallRefusalReason Reason, Timestamp Now,
                                    double FirstByteSeconds) {
  if (Reason == CallRefusalReason::NoTarget)
    if (auto RetryAt = returnUnderLimits(Call, Now))
      return {CallRefusalReason::Limited, *RetryAt, {}};
  Timestamp LatestRetryAt = Now + NoTargetRetryDelay;
  Timestamp RetryAt = NeverExpires;
  bool HasTargets = false;
  bool HasBuild = false;
  for (const auto &[Id, Target] : Targets) {
    if (Target.Record.Service != Call.Service)
      continue;
    HasTargets = true;
    HasBuild = HasBuild || Call.Build.empty() ||
               (Target.Record.Build == Call.Build &&
                isOffered(Target, Call.Service, Now));
    ferry::Incarnation Current = Target.Record.Incarnation;
    if (Signals.isLeaving(Id, Current))
      continue;
    Timestamp FreeAt = std::max(
        std::max(Target.UnusableUntil, Target.LoadingUntil),
        Now + durationOf(Target.OwnBacklog.all() + Target.PeerBacklog.all() +
                         congestionOf(Target, Now)));
    // The ends of pauses and limits are certain; other times are estimates.
    Timestamp OpenFrom = std::max(Signals.openFrom(Id, Current, Now),
                                  Limits.openFrom(Id, Current, Now));
    RetryAt =
        std::min(RetryAt, std::max(OpenFrom, std::min(FreeAt, LatestRetryAt)));
  }
  if (RetryAt == NeverExpires)
    RetryAt = LatestRetryAt;
  if (HasTargets && Reason == CallRefusalReason::NoTarget) {
    bool MayBorrow =
        std::any_of(Targets.begin(), Targets.end(), [&](const auto &Entry) {
          return isLendable(Call, Entry.second, Now);
        });
    Reason = MayBorrow && !Call.Loan ? CallRefusalReason::SlotsTaken
             : HasBuild              ? CallRefusalReason::NoneUsable
                                     : CallRefusalReason::BuildGone;
  }
  RetryAt = std::max(RetryAt, Now + MinRetryDelay);
  auto Spread =
      static_cast<uint64_t>((RetryAt - Now).count()) / RetryDelaySpreadDivisor;
  return {Reason, RetryAt + Duration(randomBelow(Random, Spread)),
          durationOf(FirstByteSeconds)};
}

} // namespace ferry::routing

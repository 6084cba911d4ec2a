// Where the cached parts of a prompt come from: the engine itself, another one,
// or the cache store.
#include "LibRouting/Rendezvous.h"
#include "LibRouting/RoutedPlacement.h"
#include "LibRouting/RoutedPlacementConstants.h"
#include <algorithm>

namespace ferry::routing {

/// Time to set up a fetch, and the factor on its transfer time if it crosses
/// data centres.
static constexpr double FetchSetupSeconds = 0.002;
static constexpr double FarFetchFactor = 2;
/// Engines that are considered as the source of a fetch. They are those with
/// the most cached tokens, so that further ones could hardly save more.
static constexpr size_t MaxHolders = 8;

std::vector<const RoutedPlacement::RoutedTarget *>
RoutedPlacement::holdersOf(const RoutedCall &Call, Timestamp Now) const {
  std::vector<const RoutedTarget *> Holders;
  if (Call.Parts.empty())
    return Holders;
  for (const auto &[Id, Target] : Targets)
    if (Target.Record.Service == Call.Service && isUsable(Target, Now) &&
        Target.Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                  PartState::Read) >= MinSharedTokens)
      Holders.push_back(&Target);
  if (Holders.size() > MaxHolders) {
    auto CachedAt = [&](const RoutedTarget *Holder) {
      return Holder->Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                        PartState::Read);
    };
    std::partial_sort(Holders.begin(), Holders.begin() + MaxHolders,
                      Holders.end(), [&](const auto *Left, const auto *Right) {
                        return CachedAt(Left) > CachedAt(Right);
                      });
    Holders.resize(MaxHolders);
  }
  return Holders;
}

double RoutedPlacement::transferSeconds(uint32_t Tokens, double BitsPerSecond,
                                        bool Far) const {
  static constexpr double BitsPerByte = 8;
  double Bits = double(Tokens) * double(BytesPerToken) * BitsPerByte;
  // A link of unknown speed is taken to be as slow as reading the tokens.
  if (BitsPerSecond <= 0)
    return PromptRate().readSeconds(Tokens);
  return FetchSetupSeconds + Bits / BitsPerSecond * (Far ? FarFetchFactor : 1);
}

void RoutedPlacement::considerHolders(
    const RoutedCall &Call, const std::vector<const RoutedTarget *> &Holders,
    Timestamp Now, Candidate &Result) const {
  RoutedTarget &Target = *Result.Target;
  uint32_t OwnTokens = Result.CachedTokens;
  for (const RoutedTarget *Holder : Holders) {
    if (Holder == &Target || weightsOf(*Holder, Now) != weightsOf(Target, Now))
      continue;
    uint32_t HeldTokens = Holder->Parts.cachedTokens(
        Call.CacheScope, Call.Parts, PartState::Read);
    if (HeldTokens < OwnTokens + MinSharedTokens)
      continue;
    bool Far = Holder->Record.DataCentre != Target.Record.DataCentre;
    double Seconds =
        readSeconds(Call, HeldTokens) +
        transferSeconds(HeldTokens - OwnTokens, EngineLinkBits, Far);
    if (Seconds >= Result.PromptSeconds)
      continue;
    Result.PromptSeconds = Seconds;
    Result.CachedTokens = HeldTokens;
    Result.FetchSource = Holder;
    Result.IsCopy = true;
  }
}

StoreState *RoutedPlacement::storeOf(const RoutedCall &Call) {
  if (sharedTokens(Call) < MinReportedTokens)
    return nullptr;
  uint64_t Key =
      CachedParts::keyOf(Call.CacheScope, Call.Parts[Call.Parts.size() - 2].Id);
  auto Best = std::max_element(
      Stores.begin(), Stores.end(), [Key](const auto &Left, const auto &Right) {
        return rendezvousWeight(Left.second.IdHash, Key) <
               rendezvousWeight(Right.second.IdHash, Key);
      });
  return Best == Stores.end() ? nullptr : &Best->second;
}

void RoutedPlacement::considerStore(const RoutedCall &Call, uint32_t OwnTokens,
                                    Timestamp Now, Candidate &Result) const {
  if (Result.Store == nullptr)
    return;
  const StoreState &Store = *Result.Store;
  const RoutedTarget &Target = *Result.Target;
  uint32_t StoredTokens = Store.Parts.cachedTokens(
      storeScope(Call, Target, Now), Call.Parts, PartState::Read);
  if (StoredTokens < OwnTokens + MinSharedTokens)
    return;
  bool Far = Store.DataCentre != Target.Record.DataCentre;
  double Seconds =
      readSeconds(Call, StoredTokens) +
      transferSeconds(StoredTokens - OwnTokens, Store.BitsPerSecond, Far);
  if (Seconds >= Result.PromptSeconds)
    return;
  Result.PromptSeconds = Seconds;
  Result.CachedTokens = StoredTokens;
  Result.FetchSource = nullptr;
  Result.FetchFromStore = true;
  Result.IsCopy = true;
}

uint32_t RoutedPlacement::sharedTokens(const RoutedCall &Call) {
  uint32_t Tokens = 0;
  for (size_t Index = 0; Index + 1 < Call.Parts.size(); ++Index)
    Tokens += Call.Parts[Index].Tokens;
  return Tokens;
}

RoutedPlacement::HomesByWeights RoutedPlacement::homesOf(const RoutedCall &Call,
                                                         Timestamp Now) const {
  HomesByWeights Result;
  if (sharedTokens(Call) < MinSharedTokens)
    return Result;
  uint64_t LeadKey = CachedParts::keyOf(Call.CacheScope, Call.Parts.front().Id);
  uint64_t DeepKey =
      CachedParts::keyOf(Call.CacheScope, Call.Parts[Call.Parts.size() - 2].Id);
  std::vector<const RoutedTarget *> Offered;
  size_t Usable = 0;
  for (const auto &[Id, Target] : Targets) {
    // A target that takes few requests is no home for a prompt, nor is one that
    // prompts of another length prefer.
    if (!isOffered(Target, Call.Service, Now) || !isPreferred(Call, Target) ||
        Limits.isLimited(Id, Target.Record.Incarnation))
      continue;
    Offered.push_back(&Target);
    Usable += isUsable(Target, Now);
  }
  bool UseAll = seemsCutOff(Usable, Offered.size());
  for (const RoutedTarget *Each : Offered) {
    const RoutedTarget &Target = *Each;
    if (!UseAll && !isUsable(Target, Now))
      continue;
    Homes &Found = Result[weightsOf(Target, Now)];
    uint64_t LeadRank = rendezvousWeight(Target.IdHash, LeadKey);
    uint64_t DeepRank = rendezvousWeight(Target.IdHash, DeepKey);
    if (Found.OfLead == nullptr || LeadRank > Found.LeadRank) {
      Found.OfLead = Each;
      Found.LeadRank = LeadRank;
    }
    if (Found.OfAll == nullptr || DeepRank > Found.DeepRank) {
      Found.OfAll = Each;
      Found.DeepRank = DeepRank;
    }
  }
  return Result;
}

void RoutedPlacement::considerHome(const RoutedCall &Call, const Homes &Found,
                                   uint32_t OwnTokens,
                                   Candidate &Result) const {
  uint32_t Shared = sharedTokens(Call);
  if (Shared < OwnTokens + MinSharedTokens)
    return;
  bool IsHome = Found.OfAll == Result.Target;
  // The parts belong at the home, so they are no further copy there.
  Result.IsCopy = !IsHome;
  if (Result.CachedTokens >= Shared)
    return;
  // Whether the other engine has the parts is not known, so the estimate stays.
  // A fetch that finds nothing takes a millisecond.
  bool Fetches = Result.FetchSource != nullptr || Result.FetchFromStore;
  if (!IsHome) {
    Result.FetchSource = Found.OfAll;
    Result.FetchFromStore = false;
  } else if (!Fetches && OwnTokens < Call.Parts.front().Tokens &&
             Found.OfLead != Result.Target) {
    Result.FetchSource = Found.OfLead;
  }
}

uint64_t RoutedPlacement::storeScope(const RoutedCall &Call,
                                     const RoutedTarget &Target,
                                     Timestamp Now) const {
  // The store keeps parts of several weights at once: they need separate keys.
  return rendezvousWeight(Call.CacheScope, weightsOf(Target, Now).Value + 1);
}

bool RoutedPlacement::isStored(const RoutedCall &Call, const Candidate &Best,
                               PartState State, Timestamp Now) const {
  return Best.Store->Parts.cachedTokens(storeScope(Call, *Best.Target, Now),
                                        Call.Parts,
                                        State) >= sharedTokens(Call);
}

bool RoutedPlacement::shouldSave(const RoutedCall &Call, const Candidate &Best,
                                 Timestamp Now) const {
  // The engine that reads the prefix first saves it: under load it may evict
  // the prefix before the second request.
  return Best.Store != nullptr && Best.CachedTokens < sharedTokens(Call) &&
         !isStored(Call, Best, PartState::Awaited, Now);
}

} // namespace ferry::routing

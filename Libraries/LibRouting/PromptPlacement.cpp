#include "LibRouting/PromptPlacement.h"
#include "LibRouting/PromptPlacementTimes.h"
#include <algorithm>
#include <cmath>

namespace ferry::routing {

/// An engine with less than this to read counts as idle.
static constexpr double IdleSeconds = 0.01;
/// A wait for another router's work is forgotten by halves: a prompt of the
/// usual size is read in about that time.
static constexpr double CongestionHalfLifeSeconds = 0.3;
/// Kept from the deadline for the wait before a request begins.
static constexpr Duration BeginMargin = std::chrono::milliseconds(1000);
/// Tokens of parts that are remembered as used, where a store has no capacity
/// of its own to tell.
static constexpr uint64_t UsedTokens = 4'000'000;

PromptPlacement::PromptPlacement(Options Chosen)
    : Chosen(Chosen), Random(Chosen.Seed), Used(UsedTokens) {}

void PromptPlacement::applyView(RoutingViewPtr Newer, Timestamp Now) {
  View = std::move(Newer);
  Routers = std::max<size_t>(
      1, std::count_if(View->Hosts.begin(), View->Hosts.end(),
                       [](const HostView &Host) {
                         return Host.Standing == HostStanding::Serving &&
                                !Host.CallerAddress.empty();
                       }));
  std::map<TargetId, Target> Kept;
  for (const TargetRecord &Record : View->Targets) {
    auto Known = Targets.find(Record.Id);
    bool SameLife = Known != Targets.end() &&
                    Known->second.Record.Incarnation == Record.Incarnation &&
                    Known->second.Record.Address == Record.Address;
    Target &Entry = Kept[Record.Id];
    if (SameLife)
      Entry = std::move(Known->second);
    else
      Entry.CongestionAt = Now;
    WeightsVersion Before = weightsOf(Entry, Now);
    Entry.Record = Record;
    // New weights come with an empty cache.
    if (weightsOf(Entry, Now) != Before)
      Entry.Parts.clear();
    const config::RoutedService *Service =
        View->Routes ? View->Routes->findService(Record.Service) : nullptr;
    if (Service && Service->Engine) {
      Entry.Parts.setCapacity(Service->Engine->CacheTokens);
      BytesPerToken = Service->Engine->BytesPerToken;
      EngineLinkBits = Mega * double(Service->Engine->LinkMegabitsPerSecond);
    }
  }
  Targets = std::move(Kept);
  for (auto &[Id, Entry] : Targets) {
    Entry.Others = {};
    Entry.OthersRunning = 0;
  }
  for (const auto &[Host, Known] : Others)
    addOthers(Known.Work, 1);
  takeStore();
}

void PromptPlacement::takeStore() {
  const config::CacheStorePlace *Place = nullptr;
  if (View->Routes)
    for (const config::RoutedService &Service : View->Routes->services())
      if (Service.Store)
        Place = &*Service.Store;
  if (Place == nullptr) {
    CacheStore.reset();
    return;
  }
  if (!CacheStore || CacheStore->Address != Place->Address)
    CacheStore.emplace();
  CacheStore->Address = Place->Address;
  CacheStore->DataCentre = Place->DataCentre;
  CacheStore->BitsPerSecond = Mega * double(Place->LinkMegabitsPerSecond);
  CacheStore->Parts.setCapacity(Place->CapacityTokens);
}

WeightsVersion PromptPlacement::weightsOf(const Target &Known,
                                          Timestamp Now) const {
  if (Now < Known.ToldUntil)
    return std::max(Known.ToldWeights, Known.Record.Weights);
  return Known.Record.Weights;
}

Timestamp PromptPlacement::overtakenSince(const Target &Known,
                                          Timestamp Now) const {
  auto Found = Named.find(Known.Record.Model);
  if (Found == Named.end())
    return NeverExpires;
  WeightsVersion Weights = weightsOf(Known, Now);
  for (const NamedWeights &Told : Found->second)
    if (Told.Weights > Weights)
      return Told.Since;
  return NeverExpires;
}

bool PromptPlacement::isPastDeadline(const Target &Known, Timestamp Now) const {
  Timestamp Since = overtakenSince(Known, Now);
  if (Since == NeverExpires || !NamesHeardAt || Now > *NamesHeardAt + NamesGap)
    return false;
  return Now >= std::max(Since, NamesHeardSince) + Chosen.WeightsDeadline -
                    BeginMargin;
}

bool PromptPlacement::isUsable(const Target &Known, Timestamp Now) const {
  return isFresh(Known, Now) && Known.UnusableUntil <= Now &&
         Known.LoadingUntil <= Now;
}

bool PromptPlacement::isFresh(const Target &Known, Timestamp Now) const {
  return Known.Record.UsableUntil - Chosen.Trust + Chosen.FreshFor > Now;
}

const PromptRate &PromptPlacement::rateOf(const ServiceId &Service) const {
  static const PromptRate Unmeasured;
  auto Found = Rates.find(Service);
  return Found == Rates.end() ? Unmeasured : Found->second;
}

bool PromptPlacement::isIdle(const Target &Known, Timestamp Now) const {
  return Known.Own.all() + Known.Others.all() + congestionOf(Known, Now) <
         IdleSeconds;
}

double PromptPlacement::congestionOf(const Target &Known, Timestamp Now) const {
  double Age = secondsOf(Now - Known.CongestionAt);
  return Known.CongestionSeconds *
         std::exp2(-std::max(0.0, Age) / CongestionHalfLifeSeconds);
}

PromptPlacement::Target *PromptPlacement::find(const Ticketed &Sent) {
  auto Found = Targets.find(Sent.Target);
  if (Found == Targets.end() ||
      Found->second.Record.Incarnation != Sent.Incarnation)
    return nullptr;
  return &Found->second;
}

PromptPlacement::Status PromptPlacement::status(Timestamp Now) const {
  Status Result;
  Result.Targets = Targets.size();
  for (const auto &[Id, Entry] : Targets) {
    Result.Usable += isUsable(Entry, Now);
    Result.Running += Entry.Running;
    Result.PartsKnown += Entry.Parts.size();
  }
  return Result;
}

} // namespace ferry::routing

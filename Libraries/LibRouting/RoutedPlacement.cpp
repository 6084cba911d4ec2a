#include "LibRouting/RoutedPlacement.h"
#include "LibRouting/Rendezvous.h"
#include "LibRouting/RoutedPlacementConstants.h"
#include <algorithm>
#include <cmath>

namespace ferry::routing {

/// An engine with less than this time of reading ahead counts as idle.
static constexpr double IdleSeconds = 0.01;
/// Half-life of the congestion measured at a target, which is mostly due to the
/// work of other routers: a prompt of the usual size is read in about this
/// time.
static constexpr double CongestionHalfLifeSeconds = 0.3;
/// Half-life of the share of failed requests. Without it, a target that was
/// unreachable for a second got no request while others were idle, and so never
/// a sample that lowers the share.
static constexpr double FailureHalfLifeSeconds = 2;

RoutedPlacement::RoutedPlacement(Options Opts)
    : Opts(Opts), Random(Opts.Seed) {}

void RoutedPlacement::applyView(RoutingViewPtr Newer, Timestamp Now) {
  if (!View)
    NamesAwaitedUntil = Now + Opts.WeightsDeadline;
  View = std::move(Newer);
  std::vector<HostId> Serving = View->servingRouters();
  Routers = std::max<size_t>(1, Serving.size());
  Limits.setRouters(View->Self, Serving, Now);
  std::map<TargetId, RoutedTarget> NewTargets;
  for (const TargetRecord &Record : View->Targets) {
    auto Previous = Targets.find(Record.Id);
    bool SameIncarnation =
        Previous != Targets.end() &&
        Previous->second.Record.Incarnation == Record.Incarnation &&
        Previous->second.Record.Address == Record.Address;
    RoutedTarget &Target = NewTargets[Record.Id];
    if (SameIncarnation)
      Target = std::move(Previous->second);
    else
      Target.CongestionAt = Now;
    WeightsVersion WeightsBefore = weightsOf(Target, Now);
    Target.Record = Record;
    Target.IdHash = hashIdentifier(Record.Id.Value);
    // A load of weights empties the cache.
    if (weightsOf(Target, Now) != WeightsBefore)
      Target.Parts.clear();
    const config::RoutedService *Service =
        View->Routes ? View->Routes->findService(Record.Service) : nullptr;
    if (Service && Service->Engine) {
      Target.Parts.setCapacity(Service->Engine->CacheTokens);
      BytesPerToken = Service->Engine->BytesPerToken;
      EngineLinkBits = Mega * double(Service->Engine->LinkMegabitsPerSecond);
    }
  }
  Targets = std::move(NewTargets);
  BrittleRevision.reset();
  updateSplits();
  for (auto &[Id, Target] : Targets) {
    Target.PeerBacklog = {};
    Target.PeerRunning = 0;
  }
  for (const auto &[Host, Digest] : PeerDigests)
    addPeerWork(Digest.Work, 1);
  updateStores();
}

void RoutedPlacement::updateSplits() {
  std::map<ServiceId, PromptSplit> Newer;
  if (View->Routes)
    for (const config::RoutedService &Service : View->Routes->services())
      if (Service.Engine && PromptSplit::isCalledFor(*View->Routes, Service.Id))
        Newer[Service.Id] = Splits[Service.Id];
  Splits = std::move(Newer);
  for (const auto &[Service, Split] : Splits) {
    std::vector<RoutedTarget *> Ordered;
    for (auto &[Id, Target] : Targets)
      if (Target.Record.Service == Service)
        Ordered.push_back(&Target);
    std::sort(Ordered.begin(), Ordered.end(),
              [](const RoutedTarget *Left, const RoutedTarget *Right) {
                return Left->IdHash < Right->IdHash;
              });
    for (size_t Index = 0; Index < Ordered.size(); ++Index)
      Ordered[Index]->Position = double(Index) / double(Ordered.size());
  }
}

bool RoutedPlacement::isPreferred(const RoutedCall &Call,
                                  const RoutedTarget &Target) const {
  auto Split = Splits.find(Call.Service);
  if (Split == Splits.end() || Call.Parts.empty())
    return true;
  bool IsLong = Call.PromptTokens >= LongPromptTokens;
  return IsLong == (Target.Position < Split->second.longShare());
}

void RoutedPlacement::updateStores() {
  std::map<ServiceId, StoreState> Newer;
  if (View->Routes)
    for (const config::RoutedService &Service : View->Routes->services()) {
      if (!Service.Store)
        continue;
      StoreState &Store = Newer[Service.Id];
      auto Known = Stores.find(Service.Id);
      if (Known != Stores.end() &&
          Known->second.Address == Service.Store->Address)
        Store = std::move(Known->second);
      Store.Id = {StoreIdPrefix + Service.Id.Value};
      Store.IdHash = hashIdentifier(Store.Id.Value);
      Store.Address = Service.Store->Address;
      Store.DataCentre = Service.Store->DataCentre;
      Store.BitsPerSecond = Mega * double(Service.Store->LinkMegabitsPerSecond);
      Store.Parts.setCapacity(Service.Store->CapacityTokens);
    }
  Stores = std::move(Newer);
}

WeightsVersion RoutedPlacement::weightsOf(const RoutedTarget &Target,
                                          Timestamp Now) const {
  if (Now < Target.ReportedWeightsUntil)
    return std::max(Target.ReportedWeights, Target.Record.Weights);
  return Target.Record.Weights;
}

Timestamp RoutedPlacement::supersededSince(const RoutedTarget &Target,
                                           Timestamp Now) const {
  auto Versions = NamedVersions.find(Target.Record.Model);
  if (Versions == NamedVersions.end())
    return NeverExpires;
  WeightsVersion Weights = weightsOf(Target, Now);
  for (const Naming &Version : Versions->second)
    if (Version.Weights > Weights)
      return Version.NamedAt + Version.Suspended;
  return NeverExpires;
}

Timestamp RoutedPlacement::weightsDeadline(const RoutedTarget &Target,
                                           Timestamp Now) const {
  Timestamp Since = supersededSince(Target, Now);
  if (Since == NeverExpires)
    return NeverExpires;
  return Since + Opts.WeightsDeadline + controlGap(Now);
}

Duration RoutedPlacement::controlGap(Timestamp Now) const {
  if (!ControlHostsAsOf)
    return Duration::zero();
  Duration Gap = Now - *ControlHostsAsOf - StalledSinceSign - stallUntil(Now);
  return Gap > MaxControlGap ? Gap : Duration::zero();
}

Duration RoutedPlacement::stallUntil(Timestamp Now) const {
  if (!LastRunningAt || Now <= *LastRunningAt + MaxRunningGap)
    return Duration::zero();
  return Now - *LastRunningAt;
}

bool RoutedPlacement::noteLeaving(const TargetId &Target, Incarnation Leaving) {
  return Signals.noteLeaving(Target, Leaving);
}

bool RoutedPlacement::notePause(const TargetId &Target, Incarnation Asking,
                                Timestamp Until, Timestamp Now) {
  return Signals.notePause(Target, Asking, Until, Now);
}

void RoutedPlacement::noteLimit(const PlacedCall &Placed,
                                std::optional<double> PerSecond,
                                std::optional<double> RejectionsPerSecond,
                                Timestamp Now) {
  auto Sent = SentCalls.find(Placed.PlacementId);
  if (Sent == SentCalls.end())
    return;
  Limits.noteAnswer(Placed.Target, Placed.Incarnation, PerSecond,
                    Sent->second.SentAt, Now, RejectionsPerSecond);
  if (RoutedTarget *Target = findTarget(Sent->second))
    Target->SaysNotBrittle = !RejectionsPerSecond;
}

bool RoutedPlacement::maySend(const PlacedCall &Placed, Timestamp Now) {
  if (Signals.isLeaving(Placed.Target, Placed.Incarnation) ||
      Signals.isPaused(Placed.Target, Placed.Incarnation, Now))
    return false;
  auto Target = Targets.find(Placed.Target);
  if (!Placed.OnLoan && Target != Targets.end() &&
      Target->second.Record.Incarnation == Placed.Incarnation &&
      isBrittle(Target->second) &&
      Limits.exceedsSlots(Placed.Target, roomOf(Target->second, Now)))
    return false;
  if (Placed.CountedAgainstLimit)
    return true;
  if (Limits.openFrom(Placed.Target, Placed.Incarnation, Now) > Now)
    return false;
  Limits.noteSent(Placed.Target, Placed.Incarnation, Now);
  return true;
}

std::optional<BuildId>
RoutedPlacement::onlyBuild(const ServiceId &Service) const {
  std::optional<BuildId> Only;
  for (const auto &[Id, Target] : Targets) {
    if (Target.Record.Service != Service)
      continue;
    if (Only && *Only != Target.Record.Build)
      return std::nullopt;
    Only = Target.Record.Build;
  }
  return Only;
}

bool RoutedPlacement::isOffered(const RoutedTarget &Target,
                                const ServiceId &Service, Timestamp Now) const {
  return Target.Record.Service == Service &&
         Target.Record.Phase != TargetPhase::Leaving &&
         Now < Target.Record.UsableUntil &&
         !Signals.isLeaving(Target.Record.Id, Target.Record.Incarnation);
}

bool RoutedPlacement::seemsCutOff(size_t Usable, size_t Offered) {
  return Usable * 2 < Offered;
}

bool RoutedPlacement::isUsable(const RoutedTarget &Target,
                               Timestamp Now) const {
  return isFresh(Target, Now) && Target.UnusableUntil <= Now &&
         Target.LoadingUntil <= Now;
}

TargetRoom RoutedPlacement::roomOf(const RoutedTarget &Target,
                                   Timestamp Now) const {
  const TargetRecord &Record = Target.Record;
  uint32_t Own = Target.Running - std::min(Target.Running, Target.OnLoan);
  return {Own + Loans.lent(Record.Id, Record.Incarnation, Now),
          Record.Load.MaxConcurrent};
}

void RoutedPlacement::updateBrittleServices() {
  if (BrittleRevision == Limits.revision())
    return;
  BrittleRevision = Limits.revision();
  BrittleServices.clear();
  for (const auto &[Id, Target] : Targets)
    if (Limits.isBrittle(Id, Target.Record.Incarnation))
      BrittleServices.insert(Target.Record.Service);
}

bool RoutedPlacement::isBrittle(const RoutedTarget &Target) const {
  if (Limits.isBrittle(Target.Record.Id, Target.Record.Incarnation))
    return true;
  return !Target.SaysNotBrittle &&
         BrittleServices.count(Target.Record.Service) != 0;
}

bool RoutedPlacement::mayOverflow(const RoutedTarget &Target,
                                  Timestamp Now) const {
  if (!isBrittle(Target))
    return false;
  // A brittle target that has rejected a request is paused even if few others
  // are left.
  return Target.UnusableUntil > Now ||
         Limits.freeSlots(Target.Record.Id, roomOf(Target, Now)) == 0;
}

bool RoutedPlacement::isLendable(const RoutedCall &Call,
                                 const RoutedTarget &Target,
                                 Timestamp Now) const {
  ferry::Incarnation Current = Target.Record.Incarnation;
  bool IsOtherBuild = !Call.Build.empty() && Target.Record.Build != Call.Build;
  bool WasTried = std::find(Call.Tried.begin(), Call.Tried.end(),
                            Target.Record.Id) != Call.Tried.end();
  return !IsOtherBuild && !WasTried && isBrittle(Target) &&
         isOffered(Target, Call.Service, Now) && isUsable(Target, Now) &&
         Signals.openFrom(Target.Record.Id, Current, Now) <= Now &&
         Limits.openFrom(Target.Record.Id, Current, Now) <= Now;
}

std::optional<SlotLoan> RoutedPlacement::chooseLoan(const RoutedCall &Call,
                                                    Timestamp Now) {
  updateBrittleServices();
  std::vector<const RoutedTarget *> Lendable;
  std::vector<const RoutedTarget *> WithRoom;
  for (const auto &[Id, Target] : Targets) {
    if (!isLendable(Call, Target, Now))
      continue;
    Lendable.push_back(&Target);
    if (Target.Running + Target.PeerRunning <
        double(Target.Record.Load.MaxConcurrent))
      WithRoom.push_back(&Target);
  }
  const auto &Choices = WithRoom.empty() ? Lendable : WithRoom;
  if (Choices.empty())
    return std::nullopt;
  const TargetRecord &Chosen =
      Choices[randomBelow(Random, Choices.size())]->Record;
  std::vector<HostId> Holders =
      Limits.otherHolders(Chosen.Id, Chosen.Load.MaxConcurrent);
  if (Holders.empty())
    return std::nullopt;
  return SlotLoan{Chosen.Id, Chosen.Incarnation,
                  Holders[randomBelow(Random, Holders.size())]};
}

bool RoutedPlacement::tryLend(const SlotQuestion &Question, Timestamp Now) {
  updateBrittleServices();
  auto Found = Targets.find(Question.Target);
  if (Found == Targets.end() ||
      Found->second.Record.Incarnation != Question.Incarnation)
    return false;
  const RoutedTarget &Target = Found->second;
  TargetRoom Room = roomOf(Target, Now);
  if (!isBrittle(Target) || Room.Slots == 0 || Target.UnusableUntil > Now)
    return false;
  // freeSlots() leaves out the slots that are lent already.
  uint32_t Lent = Loans.lent(Question.Target, Question.Incarnation, Now);
  return Loans.tryLend(Question, Lent + Limits.freeSlots(Question.Target, Room),
                       Now);
}

bool RoutedPlacement::isFresh(const RoutedTarget &Target, Timestamp Now) const {
  return Target.Record.UsableUntil - Opts.RecordLifetime + Opts.MaxRecordAge >
         Now;
}

const PromptRate &RoutedPlacement::rateOf(const ServiceId &Service) const {
  static const PromptRate Unmeasured;
  auto Rate = Rates.find(Service);
  return Rate == Rates.end() ? Unmeasured : Rate->second;
}

bool RoutedPlacement::isIdle(const RoutedTarget &Target, Timestamp Now) const {
  return Target.OwnBacklog.all() + Target.PeerBacklog.all() +
             congestionOf(Target, Now) <
         IdleSeconds;
}

double RoutedPlacement::congestionOf(const RoutedTarget &Target,
                                     Timestamp Now) const {
  double Age = secondsOf(Now - Target.CongestionAt);
  return Target.CongestionSeconds *
         std::exp2(-std::max(0.0, Age) / CongestionHalfLifeSeconds);
}

double RoutedPlacement::failureShareOf(const RoutedTarget &Target,
                                       Timestamp Now) const {
  double Age = secondsOf(Now - Target.FailureShareAt);
  return Target.FailureShare *
         std::exp2(-std::max(0.0, Age) / FailureHalfLifeSeconds);
}

RoutedPlacement::RoutedTarget *
RoutedPlacement::findTarget(const SentCall &Sent) {
  auto Target = Targets.find(Sent.Target);
  if (Target == Targets.end() ||
      Target->second.Record.Incarnation != Sent.Incarnation)
    return nullptr;
  return &Target->second;
}

RoutedPlacement::Status RoutedPlacement::status(Timestamp Now) const {
  Status Result;
  Result.Targets = Targets.size();
  for (const auto &[Id, Target] : Targets) {
    Result.Usable += isUsable(Target, Now);
    Result.Running += Target.Running;
    Result.PartsKnown += Target.Parts.size();
  }
  return Result;
}

} // namespace ferry::routing

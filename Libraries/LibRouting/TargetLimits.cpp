#include "LibRouting/TargetLimits.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace ferry::routing {

/// Number of changes that wait for the log.
static constexpr size_t MaxChanges = 64;

static Duration spacingOf(double PerSecond) {
  static constexpr double MicrosInSecond = 1e6;
  double Longest = double(TargetLimits::LongestSpacing.count());
  double Micros =
      PerSecond > 0 ? std::min(Longest, MicrosInSecond / PerSecond) : Longest;
  return Duration(static_cast<int64_t>(Micros));
}

const TargetLimits::Entry *TargetLimits::find(const TargetId &Target,
                                              Incarnation Current) const {
  auto Found = Entries.find({Target, Current});
  return Found == Entries.end() ? nullptr : &Found->second;
}

void TargetLimits::setRouters(const HostId &Self,
                              const std::vector<HostId> &Serving,
                              Timestamp Now) {
  uint64_t NewSelf = hashIdentifier(Self.Value);
  std::vector<uint64_t> NewHashes;
  std::vector<HostId> NewOthers;
  for (const HostId &Router : Serving)
    if (Router != Self) {
      NewHashes.push_back(hashIdentifier(Router.Value));
      NewOthers.push_back(Router);
    }
  if (NewSelf == SelfHash && NewHashes == OtherHashes)
    return;
  SelfHash = NewSelf;
  OtherHashes = std::move(NewHashes);
  Others = std::move(NewOthers);
  for (auto &[Id, Subject] : Entries)
    if (Subject.Limit.PerSecond)
      updateShare(Subject, Now);
}

size_t TargetLimits::rankFor(uint64_t Key) const {
  uint64_t Own = rendezvousWeight(SelfHash, Key);
  return static_cast<size_t>(std::count_if(
      OtherHashes.begin(), OtherHashes.end(),
      [&](uint64_t Other) { return rendezvousWeight(Other, Key) > Own; }));
}

void TargetLimits::updateShare(Entry &Subject, Timestamp Now) {
  double Limit = Subject.Limit.PerSecond.value_or(0);
  size_t Routers = OtherHashes.size() + 1;
  size_t Senders = std::clamp<size_t>(
      static_cast<size_t>(std::min(Limit / RequestsPerSender, double(Routers))),
      1, Routers);
  size_t Rank = rankFor(hashIdentifier(Subject.Limit.Target.Value));
  bool WasSender = Subject.Share > 0;
  Duration Spacing = spacingOf(Limit / double(Senders));
  Subject.Share =
      Rank < Senders ? 1e6 / std::max(1.0, double(Spacing.count())) : 0;
  // Routers that begin to send do so one after the other.
  if (Subject.Share > 0 && !WasSender)
    Subject.NextAt =
        std::max(Subject.NextAt, Now + Spacing * static_cast<int64_t>(Rank) /
                                           static_cast<int64_t>(Senders));
}

void TargetLimits::set(Entry &Subject, std::optional<double> PerSecond,
                       std::optional<double> RejectionsPerSecond, bool WasTold,
                       Timestamp Now) {
  bool WasNamed = Subject.Limit.named();
  Subject.Limit.PerSecond = PerSecond;
  Subject.Limit.RejectionsPerSecond = RejectionsPerSecond;
  if (!PerSecond)
    Subject.Share = 0;
  else
    updateShare(Subject, Now);
  bool IsNamed = Subject.Limit.named();
  ++Revision;
  if (!IsNamed && !WasNamed)
    return;
  using Kind = LimitChange::Kind;
  if (Changes.size() < MaxChanges)
    Changes.push_back({!IsNamed  ? Kind::Ended
                       : WasTold ? Kind::Told
                                 : Kind::Named,
                       Subject.Limit});
}

/// Whether two limits differ so much that other routers have to know.
static bool differ(const std::optional<double> &Left,
                   const std::optional<double> &Right) {
  if (!Left || !Right)
    return Left.has_value() != Right.has_value();
  return std::abs(*Left - *Right) >
         TargetLimits::ToldChange * std::max(*Left, *Right);
}

void TargetLimits::noteAnswer(const TargetId &Target, Incarnation Current,
                              std::optional<double> PerSecond, Timestamp SentAt,
                              Timestamp Now,
                              std::optional<double> RejectionsPerSecond) {
  bool NamesAny = PerSecond || RejectionsPerSecond;
  Key Id{Target, Current};
  auto Found = Entries.find(Id);
  if (Found == Entries.end()) {
    if (!NamesAny)
      return;
    expire(Now);
    Found = Entries.try_emplace(Id).first;
    Found->second.Limit = {Target, Current, std::nullopt, Now};
  }
  Entry &Subject = Found->second;
  // The head of an answer to an earlier request may be older than the limit.
  bool IsOlder = !NamesAny && SentAt <= Subject.Limit.ObservedAt;
  if (IsOlder)
    return;
  Subject.Limit.ObservedAt = Now;
  if (!differ(PerSecond, Subject.Limit.PerSecond) &&
      !differ(RejectionsPerSecond, Subject.Limit.RejectionsPerSecond))
    return;
  set(Subject, PerSecond, RejectionsPerSecond, /*WasTold=*/false, Now);
  Changed.insert(Id);
}

/// Whether a rate that another router tells may be one.
static bool isSane(const std::optional<double> &Rate) {
  return !Rate || (std::isfinite(*Rate) && *Rate >= 0);
}

void TargetLimits::apply(const TargetLimit &Told, bool PassOn, Timestamp Now) {
  if (!isSane(Told.PerSecond) || !isSane(Told.RejectionsPerSecond) ||
      Told.ObservedAt + (Told.named() ? Lifetime : EndLifetime) <= Now)
    return;
  Key Id{Told.Target, Told.Incarnation};
  auto [Found, IsNew] = Entries.try_emplace(Id);
  Entry &Subject = Found->second;
  if (IsNew)
    Subject.Limit = {Told.Target, Told.Incarnation, std::nullopt,
                     Told.ObservedAt};
  else if (Told.ObservedAt <= Subject.Limit.ObservedAt + OrderSlack)
    return;
  Subject.Limit.ObservedAt = std::min(Told.ObservedAt, Now);
  if (!differ(Told.PerSecond, Subject.Limit.PerSecond) &&
      !differ(Told.RejectionsPerSecond, Subject.Limit.RejectionsPerSecond))
    return;
  set(Subject, Told.PerSecond, Told.RejectionsPerSecond, /*WasTold=*/true, Now);
  if (PassOn)
    Changed.insert(Id);
  expire(Now);
}

bool TargetLimits::isLimited(const TargetId &Target,
                             Incarnation Current) const {
  return perSecond(Target, Current).has_value();
}

std::optional<double> TargetLimits::perSecond(const TargetId &Target,
                                              Incarnation Current) const {
  const Entry *Found = find(Target, Current);
  return Found ? Found->Limit.PerSecond : std::nullopt;
}

Timestamp TargetLimits::openFrom(const TargetId &Target, Incarnation Current,
                                 Timestamp Now) const {
  const Entry *Found = find(Target, Current);
  if (Found == nullptr || !Found->Limit.PerSecond)
    return Now;
  return Found->Share > 0 ? Found->NextAt : NeverExpires;
}

void TargetLimits::noteSent(const TargetId &Target, Incarnation Current,
                            Timestamp Now) {
  auto Found = Entries.find({Target, Current});
  if (Found == Entries.end() || Found->second.Share <= 0)
    return;
  Entry &Subject = Found->second;
  Duration Spacing = spacingOf(Subject.Share);
  Subject.NextAt = std::max(Subject.NextAt + Spacing, Now);
}

bool TargetLimits::isBrittle(const TargetId &Target,
                             Incarnation Current) const {
  const Entry *Found = find(Target, Current);
  return Found != nullptr && Found->Limit.RejectionsPerSecond;
}

uint32_t TargetLimits::slotsOf(const TargetId &Target,
                               const TargetRoom &Room) const {
  auto Routers = static_cast<uint32_t>(OtherHashes.size() + 1);
  bool HasOneMore =
      rankFor(hashIdentifier(Target.Value)) < Room.Slots % Routers;
  return Room.Slots / Routers + (HasOneMore ? 1 : 0);
}

uint32_t TargetLimits::freeSlots(const TargetId &Target,
                                 const TargetRoom &Room) const {
  if (Room.Slots == 0)
    return std::numeric_limits<uint32_t>::max();
  uint32_t Own = slotsOf(Target, Room);
  return Own - std::min(Own, Room.Running);
}

bool TargetLimits::exceedsSlots(const TargetId &Target,
                                const TargetRoom &Room) const {
  return Room.Slots != 0 && Room.Running > slotsOf(Target, Room);
}

std::vector<HostId> TargetLimits::otherHolders(const TargetId &Target,
                                               uint32_t Slots) const {
  if (Slots > Others.size())
    return Others;
  uint64_t Key = hashIdentifier(Target.Value);
  std::vector<std::pair<uint64_t, size_t>> Ranked;
  for (size_t Index = 0; Index < Others.size(); ++Index)
    Ranked.push_back({rendezvousWeight(OtherHashes[Index], Key), Index});
  bool IsHolder = rankFor(Key) < Slots;
  size_t Count = Slots - (IsHolder ? 1 : 0);
  auto End = Ranked.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Ranked.begin(), End, Ranked.end(), std::greater<>());
  std::vector<HostId> Holders;
  for (auto Each = Ranked.begin(); Each != End; ++Each)
    Holders.push_back(Others[Each->second]);
  return Holders;
}

std::vector<TargetLimit> TargetLimits::takeNews() {
  std::vector<TargetLimit> News;
  for (const Key &Id : std::exchange(Changed, {}))
    if (const Entry *Found = find(Id.first, Id.second))
      News.push_back(Found->Limit);
  return News;
}

std::vector<TargetLimit> TargetLimits::everything(Timestamp Now) {
  expire(Now);
  std::vector<TargetLimit> All;
  for (const auto &[Id, Subject] : Entries)
    All.push_back(Subject.Limit);
  return All;
}

std::vector<LimitChange> TargetLimits::takeChanges() {
  return std::exchange(Changes, {});
}

size_t TargetLimits::limitedTargets() const {
  return static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &Entry) {
        return Entry.second.Limit.named();
      }));
}

void TargetLimits::expire(Timestamp Now) {
  size_t Before = Entries.size();
  std::erase_if(Entries, [Now](const auto &Entry) {
    const TargetLimit &Limit = Entry.second.Limit;
    return Limit.ObservedAt + (Limit.named() ? Lifetime : EndLifetime) <= Now;
  });
  if (Entries.size() != Before)
    ++Revision;
  while (Entries.size() >= MaxTargets)
    Entries.erase(std::min_element(Entries.begin(), Entries.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.Limit.ObservedAt <
                                            Right.second.Limit.ObservedAt;
                                   }));
}

} // namespace ferry::routing

#include "LibRouting/PromptPlacement.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cmath>

namespace ferry::routing {

/// Prompt tokens that an engine reads in a second, where nothing is measured.
static constexpr double PromptTokensPerSecond = 54'600;
/// What one more request that runs adds to the first token of the next: a
/// larger batch step, a few of which pass before the first token.
static constexpr double RunningSeconds = 0.0005;
/// A wait for another router's work is forgotten by halves: a prompt of the
/// usual size is read in about that time.
static constexpr double CongestionHalfLifeSeconds = 0.3;
/// Weight of the newest request in the moving share of failures.
static constexpr double FailureWeight = 0.1;
/// A failed request costs about a second try.
static constexpr double FailureSeconds = 0.5;
/// Older weights are used only if the others are this far behind.
static constexpr double OldWeightsSeconds = 0.25;
/// Candidates whose costs lie this close are equal: ties are drawn.
static constexpr double TieSeconds = 0.002;
/// First pause after a refusal: other places are free sooner than that.
static constexpr Duration RefusalPause = std::chrono::milliseconds(200);
/// First pause after a failure to connect or a broken answer; a restart takes
/// about a second.
static constexpr Duration FailurePause = std::chrono::milliseconds(500);
/// Longest pause: then one request tries the target again.
static constexpr Duration MaxPause = std::chrono::seconds(4);
/// Retry-After where no target is known: two announcements of a new one.
static constexpr Duration NoTargetPause = std::chrono::seconds(1);
static constexpr Duration LeastPause = std::chrono::milliseconds(100);

static double secondsOf(Duration Span) { return double(Span.count()) / 1e6; }

static Duration durationOf(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

PromptPlacement::PromptPlacement(Options Chosen)
    : Chosen(Chosen), Random(Chosen.Seed) {}

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
    // New weights come with an empty cache.
    if (Entry.Record.Weights != Record.Weights)
      Entry.Parts.clear();
    Entry.Record = Record;
    const config::RoutedService *Service =
        View->Routes ? View->Routes->findService(Record.Service) : nullptr;
    if (Service && Service->Engine)
      Entry.Parts.setCapacity(Service->Engine->CacheTokens);
  }
  Targets = std::move(Kept);
}

bool PromptPlacement::isFresh(const Target &Known, Timestamp Now) const {
  return Known.Record.UsableUntil - Chosen.Trust + Chosen.FreshFor > Now;
}

double PromptPlacement::congestionOf(const Target &Known, Timestamp Now) const {
  double Age = secondsOf(Now - Known.CongestionAt);
  return Known.CongestionSeconds *
         std::exp2(-std::max(0.0, Age) / CongestionHalfLifeSeconds);
}

std::vector<PromptPlacement::Target *>
PromptPlacement::candidatesOf(const PromptCall &Call, Timestamp Now) {
  std::vector<Target *> Known;
  std::vector<Target *> Usable;
  for (auto &[Id, Entry] : Targets) {
    bool Offered = Entry.Record.Service == Call.Service &&
                   Entry.Record.Phase != TargetPhase::Leaving &&
                   Now < Entry.Record.UsableUntil;
    if (!Offered)
      continue;
    Known.push_back(&Entry);
    if (isFresh(Entry, Now) && Entry.UnusableUntil <= Now)
      Usable.push_back(&Entry);
  }
  // Where most targets seem lost at once, the fault is likelier this side of
  // them: all count again.
  bool Doubtful = Usable.size() * 2 < Known.size();
  std::vector<Target *> &Chosen = Doubtful ? Known : Usable;
  if (Doubtful && !Usable.empty())
    std::stable_partition(Known.begin(), Known.end(), [Now](Target *Entry) {
      return Entry->UnusableUntil <= Now;
    });
  std::erase_if(Chosen, [&](Target *Entry) {
    return std::find(Call.Tried.begin(), Call.Tried.end(), Entry->Record.Id) !=
           Call.Tried.end();
  });
  return std::move(Chosen);
}

PromptPlacement::Candidate
PromptPlacement::estimate(const PromptCall &Call, Target &Where, bool IsHome,
                          Timestamp Now) const {
  Candidate Result;
  Result.Where = &Where;
  Result.CachedTokens = Where.Parts.cachedTokens(Call.CacheScope, Call.Parts);
  if (IsHome && Result.CachedTokens == 0 && !Call.Parts.empty())
    Result.CachedTokens = Call.Parts.front().Tokens;
  double Missing =
      std::max(0.0, double(Call.PromptTokens) - Result.CachedTokens);
  Result.PromptSeconds = Missing / PromptTokensPerSecond;
  Result.Seconds = Result.PromptSeconds + Where.BacklogSeconds +
                   congestionOf(Where, Now) + RunningSeconds * Where.Running;
  Result.Cost = Result.Seconds + FailureSeconds * Where.FailureShare;
  if (Where.UnusableUntil > Now)
    Result.Cost += secondsOf(Where.UnusableUntil - Now);
  if (!isFresh(Where, Now))
    Result.Cost += secondsOf(FailurePause);
  return Result;
}

std::variant<PlacedCall, TurnedAway>
PromptPlacement::place(const PromptCall &Call, Timestamp Now) {
  std::vector<Target *> Offered = candidatesOf(Call, Now);
  if (Offered.empty())
    return turnAway(Call, TurnAwayReason::NoTarget, Now);
  uint64_t Key = Call.Parts.empty()
                     ? Random()
                     : rendezvousWeight(Call.CacheScope, Call.Parts[0].Id);
  auto Rank = [Key](const Target *Entry) {
    return rendezvousWeight(hashIdentifier(Entry->Record.Id.Value), Key);
  };
  Target *Home = *std::max_element(
      Offered.begin(), Offered.end(),
      [&](Target *Left, Target *Right) { return Rank(Left) < Rank(Right); });
  WeightsVersion Newest;
  for (Target *Entry : Offered)
    Newest = std::max(Newest, Entry->Record.Weights);
  std::vector<Candidate> Candidates;
  for (Target *Entry : Offered) {
    Candidates.push_back(estimate(Call, *Entry, Entry == Home, Now));
    if (Entry->Record.Weights < Newest)
      Candidates.back().Cost += OldWeightsSeconds;
  }
  double Least = std::min_element(Candidates.begin(), Candidates.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.Cost < Right.Cost;
                                  })
                     ->Cost;
  std::erase_if(Candidates, [Least](const Candidate &Entry) {
    return Entry.Cost > Least + TieSeconds;
  });
  // Ties go to the same target at every router, and so to its cache.
  const Candidate &Best = *std::max_element(
      Candidates.begin(), Candidates.end(),
      [&](const Candidate &Left, const Candidate &Right) {
        return Rank(Left.Where) < Rank(Right.Where);
      });
  if (Now + durationOf(Best.Seconds) >= Call.Deadline)
    return turnAway(Call, TurnAwayReason::DeadlineTooNear, Now);
  Target &Where = *Best.Where;
  ++Where.Running;
  Where.BacklogSeconds += Best.PromptSeconds;
  PlacedCall Placed;
  Placed.Ticket = NextTicket++;
  Placed.Target = Where.Record.Id;
  Placed.Incarnation = Where.Record.Incarnation;
  Placed.Address = Where.Record.Address;
  Placed.Weights = Where.Record.Weights;
  Placed.Estimate = durationOf(Best.Seconds);
  Placed.CachedTokens = Best.CachedTokens;
  Tickets[Placed.Ticket] = {Placed.Target, Placed.Incarnation, Call,  Now,
                            Best.PromptSeconds, Best.Seconds,  false};
  return Placed;
}

TurnedAway PromptPlacement::turnAway(const PromptCall &Call,
                                     TurnAwayReason Reason,
                                     Timestamp Now) const {
  Timestamp RetryAt = Now + NoTargetPause;
  bool Any = false;
  for (const auto &[Id, Entry] : Targets) {
    if (Entry.Record.Service != Call.Service)
      continue;
    Any = true;
    Timestamp FreeAt = std::max(
        Entry.UnusableUntil, Now + durationOf(Entry.BacklogSeconds +
                                              congestionOf(Entry, Now)));
    RetryAt = std::min(RetryAt, FreeAt);
  }
  if (Any && Reason == TurnAwayReason::NoTarget)
    Reason = TurnAwayReason::NoneUsable;
  return {Reason, std::max(RetryAt, Now + LeastPause)};
}

PromptPlacement::Target *PromptPlacement::find(const Ticketed &Sent) {
  auto Found = Targets.find(Sent.Target);
  if (Found == Targets.end() ||
      Found->second.Record.Incarnation != Sent.Incarnation)
    return nullptr;
  return &Found->second;
}

void PromptPlacement::firstByte(uint64_t Ticket, Timestamp Now) {
  auto Found = Tickets.find(Ticket);
  if (Found == Tickets.end() || Found->second.Begun)
    return;
  Ticketed &Sent = Found->second;
  Sent.Begun = true;
  Target *Where = find(Sent);
  if (Where == nullptr)
    return;
  Where->BacklogSeconds =
      std::max(0.0, Where->BacklogSeconds - Sent.PromptSeconds);
  for (const PromptPart &Part : Sent.Call.Parts)
    Where->Parts.use(Sent.Call.CacheScope, Part);
  double Excess = secondsOf(Now - Sent.SentAt) - Sent.ExpectedSeconds;
  double Newest = std::max(0.0, Excess);
  Where->CongestionSeconds = (congestionOf(*Where, Now) + Newest) / 2;
  Where->CongestionAt = Now;
}

void PromptPlacement::setAside(Target &Known, Duration First, Timestamp Now) {
  uint32_t Doublings = std::min(Known.FailuresInARow, uint32_t{4});
  ++Known.FailuresInARow;
  Duration Pause = std::min(First * (1 << Doublings), MaxPause);
  Known.UnusableUntil = std::max(Known.UnusableUntil, Now + Pause);
}

void PromptPlacement::ended(uint64_t Ticket, CallEnd End, Timestamp Now) {
  auto Found = Tickets.find(Ticket);
  if (Found == Tickets.end())
    return;
  Ticketed Sent = std::move(Found->second);
  Tickets.erase(Found);
  Target *Where = find(Sent);
  if (Where == nullptr)
    return;
  Where->Running -= std::min(Where->Running, 1U);
  if (!Sent.Begun)
    Where->BacklogSeconds =
        std::max(0.0, Where->BacklogSeconds - Sent.PromptSeconds);
  bool Judged = End != CallEnd::NotRun && End != CallEnd::Abandoned;
  double Failed = End == CallEnd::Served ? 0 : 1;
  if (Judged)
    Where->FailureShare += FailureWeight * (Failed - Where->FailureShare);
  switch (End) {
  case CallEnd::Served:
    Where->FailuresInARow = 0;
    break;
  case CallEnd::NotRun:
    Where->UnusableUntil = std::max(Where->UnusableUntil, Now + RefusalPause);
    break;
  case CallEnd::Replaced:
    // Its announcement, if it has a successor, will show another life.
    Where->UnusableUntil = std::max(Where->UnusableUntil, Now + MaxPause);
    break;
  case CallEnd::Broken:
    // One lost answer is no reason; a second in a row is.
    if (Where->FailuresInARow++ == 0)
      break;
    --Where->FailuresInARow;
    [[fallthrough]];
  case CallEnd::Unreachable:
    setAside(*Where, FailurePause, Now);
    break;
  case CallEnd::Failed:
  case CallEnd::Abandoned:
    break;
  }
}

PromptPlacement::Status PromptPlacement::status(Timestamp Now) const {
  Status Result;
  Result.Targets = Targets.size();
  for (const auto &[Id, Entry] : Targets) {
    Result.Usable += isFresh(Entry, Now) && Entry.UnusableUntil <= Now;
    Result.Running += Entry.Running;
    Result.PartsKnown += Entry.Parts.size();
  }
  return Result;
}

} // namespace ferry::routing

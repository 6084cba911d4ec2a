// The choice of a target, or of none.
#include "LibRouting/PromptPlacement.h"
#include "LibRouting/PromptPlacementTimes.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <limits>

namespace ferry::routing {

/// A request that would begin later than this part of its target latency is
/// turned away while it is young: it would be worth little, and would make
/// those behind it late too.
static constexpr double LatestShare = 1.25;
/// Whatever its own length, it may wait for the first part and not for more
/// than the second: a long prompt cannot begin in time, but must not starve.
static constexpr double LeastWaitShare = 0.25;
static constexpr double MostWaitShare = 0.75;
/// What one more request that runs adds to the first token of the next: a
/// larger batch step, a few of which pass before the first token.
static constexpr double RunningSeconds = 0.0005;
/// A failed request costs about a second try.
static constexpr double FailureSeconds = 0.5;
/// Overtaken weights cost nothing for as long as one load takes.
static constexpr Duration OvertakenGrace = std::chrono::milliseconds(1500);
/// Older weights are used only if the others are this far behind.
static constexpr double OldWeightsSeconds = 0.25;
/// A fetch takes this beside the transfer, and twice the transfer where it
/// crosses data centres.
static constexpr double FetchSetupSeconds = 0.002;
static constexpr double FarFetchFactor = 2;
/// A copy of a part takes the place of another one, which may have to be read
/// again: a target that has the part is preferred by as much.
static constexpr double CopySeconds = 0.05;
/// Candidates whose costs lie this close are equal: ties are drawn.
static constexpr double TieSeconds = 0.002;
/// Retry-After where no target is known: two announcements of a new one.
static constexpr Duration NoTargetPause = std::chrono::seconds(1);
static constexpr Duration LeastPause = std::chrono::milliseconds(100);

double PromptPlacement::waitSeconds(const PromptCall &Call,
                                    const Target &Where) const {
  double Long = Where.Own.Long + Where.Others.Long;
  double Short = Where.Own.Short + Where.Others.Short;
  if (Call.PromptTokens >= LongPromptTokens)
    return Long + Short;
  // A short prompt is read before the long ones that wait, but not within the
  // one that is being read: on average half of it is left.
  return Short + std::min(Long, rateOf(Call.Service).longSeconds()) / 2;
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
    if (isUsable(Entry, Now))
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
    if (isPastDeadline(*Entry, Now))
      return true;
    return std::find(Call.Tried.begin(), Call.Tried.end(), Entry->Record.Id) !=
           Call.Tried.end();
  });
  return std::move(Chosen);
}

std::vector<const PromptPlacement::Target *>
PromptPlacement::holdersOf(const PromptCall &Call, Timestamp Now) const {
  std::vector<const Target *> Holders;
  if (Call.Parts.empty())
    return Holders;
  for (const auto &[Id, Known] : Targets)
    if (Known.Record.Service == Call.Service && isUsable(Known, Now) &&
        Known.Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                 PartState::Read) >= LeastSharedTokens)
      Holders.push_back(&Known);
  return Holders;
}

double PromptPlacement::transferSeconds(uint32_t Tokens, double BitsPerSecond,
                                        bool Far) const {
  static constexpr double BitsPerByte = 8;
  double Bits = double(Tokens) * double(BytesPerToken) * BitsPerByte;
  // An unknown link is held to be as slow as reading the tokens.
  if (BitsPerSecond <= 0)
    return PromptRate().readSeconds(Tokens);
  return FetchSetupSeconds + Bits / BitsPerSecond * (Far ? FarFetchFactor : 1);
}

void PromptPlacement::considerHolders(
    const PromptCall &Call, const std::vector<const Target *> &Holders,
    Timestamp Now, Candidate &Result) const {
  Target &Where = *Result.Where;
  uint32_t Own = Result.CachedTokens;
  for (const Target *Holder : Holders) {
    if (Holder == &Where || weightsOf(*Holder, Now) != weightsOf(Where, Now))
      continue;
    uint32_t Held = Holder->Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                               PartState::Read);
    if (Held < Own + LeastSharedTokens)
      continue;
    bool Far = Holder->Record.DataCentre != Where.Record.DataCentre;
    double Seconds = readSeconds(Call, Held) +
                     transferSeconds(Held - Own, EngineLinkBits, Far);
    if (Seconds >= Result.PromptSeconds)
      continue;
    Result.PromptSeconds = Seconds;
    Result.CachedTokens = Held;
    Result.Source = Holder;
  }
}

void PromptPlacement::considerStore(const PromptCall &Call, uint32_t Own,
                                    Timestamp Now, Candidate &Result) const {
  if (!CacheStore || CacheStore->UnusableUntil > Now)
    return;
  const Target &Where = *Result.Where;
  uint32_t Stored = CacheStore->Parts.cachedTokens(storeScope(Call, Where, Now),
                                                   Call.Parts, PartState::Read);
  if (Stored < Own + LeastSharedTokens)
    return;
  bool Far = CacheStore->DataCentre != Where.Record.DataCentre;
  double Seconds =
      readSeconds(Call, Stored) +
      transferSeconds(Stored - Own, CacheStore->BitsPerSecond, Far);
  if (Seconds >= Result.PromptSeconds)
    return;
  Result.PromptSeconds = Seconds;
  Result.CachedTokens = Stored;
  Result.Source = nullptr;
  Result.FromStore = true;
}

double PromptPlacement::readSeconds(const PromptCall &Call,
                                    uint32_t Cached) const {
  double Missing = std::max(0.0, double(Call.PromptTokens) - Cached);
  return rateOf(Call.Service).readSeconds(Missing);
}

PromptPlacement::Candidate
PromptPlacement::estimate(const PromptCall &Call, Target &Where,
                          const std::vector<const Target *> &Holders,
                          Timestamp Now) const {
  Candidate Result;
  Result.Where = &Where;
  uint32_t Own =
      Where.Parts.cachedTokens(Call.CacheScope, Call.Parts, PartState::Awaited);
  Result.CachedTokens = Own;
  Result.PromptSeconds = readSeconds(Call, Own);
  considerHolders(Call, Holders, Now, Result);
  considerStore(Call, Own, Now, Result);
  Result.WaitSeconds = waitSeconds(Call, Where) + congestionOf(Where, Now) +
                       RunningSeconds * (Where.Running + Where.OthersRunning);
  Result.Seconds = Result.PromptSeconds + Result.WaitSeconds;
  if (!Call.Parts.empty())
    Result.Seconds += rateOf(Call.Service).baseSeconds();
  Result.Cost = Result.Seconds + FailureSeconds * Where.FailureShare;
  if (Result.Source != nullptr || Result.FromStore)
    Result.Cost += CopySeconds;
  if (Where.UnusableUntil > Now)
    Result.Cost += secondsOf(Where.UnusableUntil - Now);
  if (!isFresh(Where, Now))
    Result.Cost += secondsOf(FailurePause);
  Timestamp Since = overtakenSince(Where, Now);
  if (Since != NeverExpires && Now >= Since + OvertakenGrace)
    Result.Cost += OldWeightsSeconds;
  return Result;
}

PromptPlacement::Candidate
PromptPlacement::choose(const PromptCall &Call,
                        const std::vector<Target *> &Offered, Timestamp Now) {
  uint64_t Key = Call.Parts.empty()
                     ? Random()
                     : PartMemory::keyOf(Call.CacheScope, Call.Parts[0].Id);
  auto Rank = [Key](const Target *Entry) {
    return rendezvousWeight(hashIdentifier(Entry->Record.Id.Value), Key);
  };
  std::vector<const Target *> Holders = holdersOf(Call, Now);
  std::vector<Candidate> Candidates;
  for (Target *Entry : Offered)
    Candidates.push_back(estimate(Call, *Entry, Holders, Now));
  double Least = std::min_element(Candidates.begin(), Candidates.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.Cost < Right.Cost;
                                  })
                     ->Cost;
  std::erase_if(Candidates, [Least](const Candidate &Entry) {
    return Entry.Cost > Least + TieSeconds;
  });
  // Ties go to the same target at every router, and so to its cache.
  return *std::max_element(Candidates.begin(), Candidates.end(),
                           [&](const Candidate &Left, const Candidate &Right) {
                             return Rank(Left.Where) < Rank(Right.Where);
                           });
}

std::variant<PlacedCall, TurnedAway>
PromptPlacement::place(const PromptCall &Call, Timestamp Now) {
  std::vector<Target *> Offered = candidatesOf(Call, Now);
  if (Offered.empty())
    return turnAway(Call, TurnAwayReason::NoTarget, Now);
  Candidate Best = choose(Call, Offered, Now);
  Timestamp BeginsAt = Now + durationOf(Best.Seconds);
  if (BeginsAt >= Call.Deadline)
    return turnAway(Call, TurnAwayReason::DeadlineTooNear, Now);
  if (Best.WaitSeconds > allowedWait(Call, Best, Now))
    return turnAway(Call, TurnAwayReason::Full, Now);
  return dispatch(Call, Best, Now);
}

PlacedCall PromptPlacement::dispatch(const PromptCall &Call,
                                     const Candidate &Best, Timestamp Now) {
  Target &Where = *Best.Where;
  ++Where.Running;
  bool Idle = isIdle(Where, Now) && !Best.FromStore && Best.Source == nullptr;
  Where.Own.of(Call) += Best.PromptSeconds;
  PlacedCall Placed;
  Placed.Ticket = NextTicket++;
  Placed.Target = Where.Record.Id;
  Placed.Incarnation = Where.Record.Incarnation;
  Placed.Address = Where.Record.Address;
  Placed.Weights = weightsOf(Where, Now);
  if (Best.Source != nullptr)
    Placed.FetchFrom = Best.Source->Record.Address;
  if (Best.FromStore)
    Placed.FetchFrom = CacheStore->Address;
  bool Save = wantsSave(Call, Best, Now);
  if (Save) {
    Placed.SaveTo = CacheStore->Address;
    noteStored(Call, storeScope(Call, Where, Now), PartState::Awaited);
  }
  noteParts(Call, Where, PartState::Awaited);
  Placed.Estimate = durationOf(Best.Seconds);
  Placed.CachedTokens = Best.CachedTokens;
  Tickets[Placed.Ticket] = {Placed.Target, Placed.Incarnation, Call,
                            Now,           Best.PromptSeconds, Best.Seconds};
  Tickets[Placed.Ticket].Saved = Save;
  if (Idle)
    Tickets[Placed.Ticket].IdleTokens =
        std::max(1.0, double(Call.PromptTokens) - Best.CachedTokens);
  if (Best.FromStore)
    Tickets[Placed.Ticket].SparedSeconds =
        rateOf(Call.Service).readSeconds(Best.CachedTokens);
  return Placed;
}

double PromptPlacement::allowedWait(const PromptCall &Call,
                                    const Candidate &Best, Timestamp Now) {
  if (Call.TargetBy == NeverExpires)
    return std::numeric_limits<double>::infinity();
  double Target = std::max(0.0, secondsOf(Call.TargetBy - Now));
  double Own = Best.Seconds - Best.WaitSeconds;
  return std::clamp(LatestShare * Target - Own, LeastWaitShare * Target,
                    MostWaitShare * Target);
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
    Timestamp FreeAt =
        std::max(std::max(Entry.UnusableUntil, Entry.LoadingUntil),
                 Now + durationOf(Entry.Own.all() + Entry.Others.all() +
                                  congestionOf(Entry, Now)));
    RetryAt = std::min(RetryAt, FreeAt);
  }
  if (Any && Reason == TurnAwayReason::NoTarget)
    Reason = TurnAwayReason::NoneUsable;
  return {Reason, std::max(RetryAt, Now + LeastPause)};
}

uint64_t PromptPlacement::storeScope(const PromptCall &Call,
                                     const Target &Where, Timestamp Now) const {
  // Parts of all weights lie in the store side by side.
  return rendezvousWeight(Call.CacheScope, weightsOf(Where, Now).Value + 1);
}

bool PromptPlacement::wantsSave(const PromptCall &Call, const Candidate &Best,
                                Timestamp Now) const {
  // A part that is read for the second time is likely to be asked for again;
  // saving each one would fill the store's link.
  if (!CacheStore || Best.CachedTokens > 0 || Call.Parts.empty() ||
      CacheStore->UnusableUntil > Now ||
      Call.Parts.front().Tokens < LeastSharedTokens)
    return false;
  uint64_t Scope = storeScope(Call, *Best.Where, Now);
  bool Known =
      CacheStore->Parts.cachedTokens(Scope, Call.Parts, PartState::Awaited) > 0;
  return !Known &&
         Used.cachedTokens(Call.CacheScope, Call.Parts, PartState::Awaited) > 0;
}

} // namespace ferry::routing

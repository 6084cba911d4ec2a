#include "LibRouting/PromptPlacement.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace ferry::routing {

/// An engine with less than this to read counts as idle.
static constexpr double IdleSeconds = 0.01;
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
/// A wait for another router's work is forgotten by halves: a prompt of the
/// usual size is read in about that time.
static constexpr double CongestionHalfLifeSeconds = 0.3;
/// Weight of the newest request in the moving share of failures.
static constexpr double FailureWeight = 0.1;
/// A failed request costs about a second try.
static constexpr double FailureSeconds = 0.5;
/// Names are told twice a second: with a longer gap, the control hosts are not
/// at work, and nobody can order newer weights.
static constexpr Duration NamesGap = std::chrono::seconds(2);
/// Overtaken weights cost nothing for as long as one load takes.
static constexpr Duration OvertakenGrace = std::chrono::milliseconds(1500);
/// Kept from the deadline for the wait before a request begins.
static constexpr Duration BeginMargin = std::chrono::milliseconds(1000);
/// Older weights are used only if the others are this far behind.
static constexpr double OldWeightsSeconds = 0.25;
/// A digest of another router holds this long without the next one.
static constexpr Duration DigestHolds = std::chrono::milliseconds(1000);
/// What the giver of orders told of an engine's weights holds until its
/// announcements had the time to show them, or a later change.
static constexpr Duration ToldHolds = std::chrono::seconds(5);
/// A load that was not told to have ended is over then.
static constexpr Duration LoadingHolds = std::chrono::seconds(4);
/// Parts of this size are worth telling and fetching: reading them again takes
/// longer than a fetch and the message about it.
static constexpr uint32_t LeastSharedTokens = 512;
/// Parts in one digest at the most.
static constexpr size_t MaxDigestParts = 64;
/// A fetch takes this beside the transfer, and twice the transfer where it
/// crosses data centres.
static constexpr double FetchSetupSeconds = 0.002;
static constexpr double FarFetchFactor = 2;
/// A copy of a part takes the place of another one, which may have to be read
/// again: a target that has the part is preferred by as much.
static constexpr double CopySeconds = 0.05;
/// Stands for the cache store in digests; no target has this id.
static const TargetId StoreId{"#store"};
/// Tokens of parts that are remembered as used, where a store has no capacity
/// of its own to tell.
static constexpr uint64_t UsedTokens = 4'000'000;
/// A store whose fetches do not save time is left alone for so long.
static constexpr Duration StorePause = std::chrono::seconds(2);
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

static constexpr double Mega = 1e6;

static double secondsOf(Duration Span) { return double(Span.count()) / 1e6; }

static Duration durationOf(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

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

bool PromptPlacement::isPastDeadline(const Target &Known,
                                     Timestamp Now) const {
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

void PromptPlacement::addOthers(const std::vector<TargetWork> &Work,
                                double Sign) {
  for (const TargetWork &Told : Work) {
    auto Found = Targets.find(Told.Target);
    if (Found == Targets.end())
      continue;
    Target &Known = Found->second;
    Known.Others.Long = std::max(
        0.0, Known.Others.Long + Sign * secondsOf(Told.LongPrompts));
    Known.Others.Short = std::max(
        0.0, Known.Others.Short + Sign * secondsOf(Told.ShortPrompts));
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

PromptPlacement::Candidate
PromptPlacement::estimate(const PromptCall &Call, Target &Where,
                          const std::vector<const Target *> &Holders,
                          Timestamp Now) const {
  Candidate Result;
  Result.Where = &Where;
  uint32_t Own = Where.Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                          PartState::Awaited);
  const PromptRate &Rate = rateOf(Call.Service);
  auto ReadSeconds = [&](uint32_t Cached) {
    return Rate.readSeconds(std::max(0.0, double(Call.PromptTokens) - Cached));
  };
  Result.CachedTokens = Own;
  Result.PromptSeconds = ReadSeconds(Own);
  for (const Target *Holder : Holders) {
    if (Holder == &Where || weightsOf(*Holder, Now) != weightsOf(Where, Now))
      continue;
    uint32_t Held = Holder->Parts.cachedTokens(Call.CacheScope, Call.Parts,
                                               PartState::Read);
    if (Held < Own + LeastSharedTokens)
      continue;
    bool Far = Holder->Record.DataCentre != Where.Record.DataCentre;
    double Seconds =
        ReadSeconds(Held) + transferSeconds(Held - Own, EngineLinkBits, Far);
    if (Seconds >= Result.PromptSeconds)
      continue;
    Result.PromptSeconds = Seconds;
    Result.CachedTokens = Held;
    Result.Source = Holder;
  }
  if (CacheStore && CacheStore->UnusableUntil <= Now) {
    uint32_t Stored = CacheStore->Parts.cachedTokens(storeScope(Call, Where, Now),
                                                     Call.Parts,
                                                     PartState::Read);
    bool Far = CacheStore->DataCentre != Where.Record.DataCentre;
    double Seconds =
        ReadSeconds(Stored) +
        transferSeconds(Stored - std::min(Stored, Own),
                        CacheStore->BitsPerSecond, Far);
    if (Stored >= Own + LeastSharedTokens && Seconds < Result.PromptSeconds) {
      Result.PromptSeconds = Seconds;
      Result.CachedTokens = Stored;
      Result.Source = nullptr;
      Result.FromStore = true;
    }
  }
  Result.WaitSeconds = waitSeconds(Call, Where) + congestionOf(Where, Now) +
                       RunningSeconds * (Where.Running + Where.OthersRunning);
  Result.Seconds = Result.PromptSeconds + Result.WaitSeconds;
  if (!Call.Parts.empty())
    Result.Seconds += Rate.baseSeconds();
  Result.Cost = Result.Seconds + FailureSeconds * Where.FailureShare;
  if (Result.Source != nullptr || Result.FromStore)
    Result.Cost += CopySeconds;
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
                     : PartMemory::keyOf(Call.CacheScope, Call.Parts[0].Id);
  auto Rank = [Key](const Target *Entry) {
    return rendezvousWeight(hashIdentifier(Entry->Record.Id.Value), Key);
  };
  std::vector<const Target *> Holders = holdersOf(Call, Now);
  std::vector<Candidate> Candidates;
  for (Target *Entry : Offered) {
    Candidates.push_back(estimate(Call, *Entry, Holders, Now));
    Timestamp Since = overtakenSince(*Entry, Now);
    if (Since != NeverExpires && Now >= Since + OvertakenGrace)
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
  Timestamp BeginsAt = Now + durationOf(Best.Seconds);
  if (BeginsAt >= Call.Deadline)
    return turnAway(Call, TurnAwayReason::DeadlineTooNear, Now);
  if (Best.WaitSeconds > allowedWait(Call, Best, Now))
    return turnAway(Call, TurnAwayReason::Full, Now);
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
  Tickets[Placed.Ticket] = {Placed.Target, Placed.Incarnation, Call,  Now,
                            Best.PromptSeconds, Best.Seconds};
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
    Timestamp FreeAt = std::max(
        std::max(Entry.UnusableUntil, Entry.LoadingUntil),
        Now + durationOf(Entry.Own.all() + Entry.Others.all() +
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

void PromptPlacement::noteParts(const PromptCall &Call, Target &Where,
                                PartState State) {
  for (const PromptPart &Part : Call.Parts) {
    uint64_t Key = PartMemory::keyOf(Call.CacheScope, Part.Id);
    Where.Parts.use(Key, Part.Tokens, State);
    if (Part.Tokens >= LeastSharedTokens)
      Used.use(Key, Part.Tokens, State);
    if (Part.Tokens >= LeastSharedTokens && NewParts.size() < MaxDigestParts)
      NewParts.push_back({Where.Record.Id, Key, Part.Tokens, State});
  }
}

uint64_t PromptPlacement::storeScope(const PromptCall &Call,
                                     const Target &Where,
                                     Timestamp Now) const {
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
  bool Known = CacheStore->Parts.cachedTokens(Scope, Call.Parts,
                                              PartState::Awaited) > 0;
  return !Known && Used.cachedTokens(Call.CacheScope, Call.Parts,
                                     PartState::Awaited) > 0;
}

void PromptPlacement::noteStored(const PromptCall &Call, uint64_t Scope,
                                 PartState State) {
  // The last part is the request's own.
  for (size_t Place = 0; Place + 1 < Call.Parts.size(); ++Place) {
    const PromptPart &Part = Call.Parts[Place];
    uint64_t Key = PartMemory::keyOf(Scope, Part.Id);
    CacheStore->Parts.use(Key, Part.Tokens, State);
    if (Part.Tokens >= LeastSharedTokens && NewParts.size() < MaxDigestParts)
      NewParts.push_back({StoreId, Key, Part.Tokens, State});
  }
}

void PromptPlacement::judgeFetch(const Ticketed &Sent, double Excess,
                                 Timestamp Now) {
  // The time that a fetch was to spare was spent all the same: the store had
  // nothing, or did not answer.
  if (!CacheStore || Sent.SparedSeconds == 0 || Excess < Sent.SparedSeconds / 2)
    return;
  CacheStore->UnusableUntil = Now + StorePause;
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
  double &Backlog = Where->Own.of(Sent.Call);
  Backlog = std::max(0.0, Backlog - Sent.PromptSeconds);
  if (Sent.IdleTokens > 0 && !Sent.Call.Parts.empty())
    Rates[Sent.Call.Service].observe(Sent.IdleTokens,
                                     secondsOf(Now - Sent.SentAt));
  noteParts(Sent.Call, *Where, PartState::Read);
  double Excess = secondsOf(Now - Sent.SentAt) - Sent.ExpectedSeconds;
  judgeFetch(Sent, Excess, Now);
  if (Sent.Saved && CacheStore)
    noteStored(Sent.Call, storeScope(Sent.Call, *Where, Now), PartState::Read);
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
  if (!Sent.Begun) {
    double &Backlog = Where->Own.of(Sent.Call);
    Backlog = std::max(0.0, Backlog - Sent.PromptSeconds);
    for (const PromptPart &Part : Sent.Call.Parts)
      Where->Parts.forgetAwaited(
          PartMemory::keyOf(Sent.Call.CacheScope, Part.Id));
  }
  bool Judged = End != CallEnd::NotRun && End != CallEnd::Abandoned;
  double Failed = End == CallEnd::Served ? 0 : 1;
  if (Judged)
    Where->FailureShare += FailureWeight * (Failed - Where->FailureShare);
  switch (End) {
  case CallEnd::Served:
    Where->FailuresInARow = 0;
    break;
  case CallEnd::NotRun:
  case CallEnd::Replaced:
    // A refusal may last as long as a load of weights, or for ever where the
    // target's successor is not known yet.
    setAside(*Where, RefusalPause, Now);
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
    Result.Usable += isUsable(Entry, Now);
    Result.Running += Entry.Running;
    Result.PartsKnown += Entry.Parts.size();
  }
  return Result;
}

} // namespace ferry::routing

// What becomes of a request, and what it teaches.
#include "LibRouting/PromptPlacement.h"
#include "LibRouting/PromptPlacementTimes.h"
#include <algorithm>

namespace ferry::routing {

/// Weight of the newest request in the moving share of failures.
static constexpr double FailureWeight = 0.1;
/// Parts in one digest at the most.
static constexpr size_t MaxDigestParts = 64;
/// A store whose fetches do not save time is left alone for so long.
static constexpr Duration StorePause = std::chrono::seconds(2);
/// First pause after a refusal: other places are free sooner than that.
static constexpr Duration RefusalPause = std::chrono::milliseconds(200);
/// Longest pause: then one request tries the target again.
static constexpr Duration MaxPause = std::chrono::seconds(4);

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

} // namespace ferry::routing

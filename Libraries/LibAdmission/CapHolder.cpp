#include "LibAdmission/CapHolder.h"
#include "LibAdmission/CapAmounts.h"
#include "LibAdmission/CapOwner.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace ferry::admission {

/// Replies with longer times are invalid: owners name ten minutes at most.
static constexpr Duration MaxReplyTime = std::chrono::hours(1);
/// Pause before the next question after the owner had no units to spare, or
/// after the router that was asked said that it is not the owner.
static constexpr Duration AskAgainPause = std::chrono::milliseconds(100);
/// Units are asked for in advance if the demand uses a grant up in this time.
static constexpr Duration BusySpan = std::chrono::milliseconds(250);
/// Questions that are kept for waiting requests when expected ones are asked
/// for.
static constexpr double ReservedQuestions = CapHolder::QuestionBurst / 2;

static bool isReplyTime(Duration Span) {
  return Span >= Duration() && Span <= MaxReplyTime;
}

bool CapHolder::asksLocally(const Account &Subject) const {
  return LocalOwner && Subject.Owner == Routers.self();
}

double CapHolder::balance(const Account &Subject) {
  double Total = 0;
  for (const Lease &Each : Subject.Leases)
    Total += Each.Units;
  return Total;
}

void CapHolder::expire(Account &Subject, Timestamp Now) {
  std::erase_if(Subject.Leases, [&](const Lease &Each) {
    if (Each.ExpiresAt > Now)
      return false;
    if (Each.GrantedBy == Subject.OwnerCount)
      Subject.Unused += Each.Units;
    return true;
  });
}

void CapHolder::spend(Account &Subject, double Units) {
  while (Units > 0 && !Subject.Leases.empty()) {
    Lease &First = Subject.Leases.front();
    double Part = std::min(Units, First.Units);
    First.Units -= Part;
    Units -= Part;
    if (First.Units <= 0)
      Subject.Leases.pop_front();
  }
}

CapAnswer CapHolder::admitFromBalance(Account &Subject, double Units,
                                      Timestamp Now) {
  spend(Subject, Units);
  Subject.UsedLong.add(Units, Now);
  ++Subject.Figures.Admitted;
  // Where requests are few, the next one may come after the grant has expired.
  bool IsBusy =
      Subject.LastAhead > 0 && Subject.Demand.sum(Now) * secondsOf(BusySpan) >=
                                   Subject.LastAhead * secondsOf(WantedSpan);
  if (!Subject.Asked && !asksLocally(Subject) && IsBusy &&
      balance(Subject) < Subject.LastAhead / 2)
    Subject.WantsMore = true;
  return {CapDecision::Admitted};
}

CapAnswer CapHolder::reject(Account &Subject, double Units, Timestamp Now) {
  ++Subject.Figures.Rejected;
  Timestamp RetryAt = std::max({Subject.RejectUntil, Subject.NextRetryAt,
                                Now + std::chrono::milliseconds(1)});
  RetryAt = std::min(RetryAt, Now + MaxRetry);
  // Requests that come back at these times use the rate and no more.
  Subject.NextRetryAt = RetryAt + timeFor(Units, Subject.Cap.PerSecond);
  return {CapDecision::Rejected, RetryAt};
}

CapAnswer CapHolder::admit(const WorkspaceId &Workspace, double Units,
                           Timestamp Now) {
  auto Entry = Accounts.find(Workspace);
  if (Entry == Accounts.end())
    return {CapDecision::Admitted};
  Account &Subject = Entry->second;
  if (!isAmount(Units) || Units > ownerDepth(Subject.Cap, Tolerance)) {
    ++Subject.Figures.Rejected;
    return {CapDecision::Rejected};
  }
  // Routers that were cut off count for a time only.
  if (!Subject.Owner)
    updateOwner(Workspace, Subject, Now);
  expire(Subject, Now);
  Subject.Demand.add(Units, Now);
  Subject.LongDemand.add(Units, Now);
  if (balance(Subject) >= Units)
    return admitFromBalance(Subject, Units, Now);
  bool IsLocal = asksLocally(Subject);
  if (Subject.FallbackSince && (!IsLocal || Now < Subject.WantsMoreAt))
    return decideByFallback(Subject, Units, Now);
  if (Now < Subject.RejectUntil)
    return reject(Subject, Units, Now);
  if (IsLocal)
    return askLocally(Workspace, Subject, Units, Now);
  if (!Subject.Owner) {
    beginFallback(Subject, Now);
    return decideByFallback(Subject, Units, Now);
  }
  if (Subject.Waiting.size() >= MaxWaiting)
    return reject(Subject, Units, Now);
  Subject.Waiting.push_back({++LastTicket, Units, Now + LongestWait});
  return {CapDecision::Awaiting, std::nullopt, LastTicket};
}

CapAnswer CapHolder::askLocally(const WorkspaceId &Workspace, Account &Subject,
                                double Units, Timestamp Now) {
  CapReply Reply =
      LocalOwner->answer(ask(Workspace, Subject, Units + Subject.Debt, 0), Now);
  if (Reply.Granted <= 0 && Reply.RetryIn <= Duration()) {
    Subject.WantsMoreAt = Now + AskAgainPause;
    if (!Subject.FallbackSince)
      beginFallback(Subject, Now);
    return decideByFallback(Subject, Units, Now);
  }
  Subject.FallbackSince.reset();
  if (Reply.Granted > 0) {
    // Covers the debt and the request.
    applyGrant(Subject, Reply, Now, Now);
    return admitFromBalance(Subject, Units, Now);
  }
  Subject.RejectUntil = Now + Reply.RetryIn;
  return reject(Subject, Units, Now);
}

void CapHolder::giveBack(const WorkspaceId &Workspace, double Units,
                         Timestamp Now) {
  auto Entry = Accounts.find(Workspace);
  if (Entry == Accounts.end() || !isAmount(Units) || Units <= 0)
    return;
  Account &Subject = Entry->second;
  expire(Subject, Now);
  Subject.UsedLong.add(-Units, Now);
  double Repaid = std::min(Units, Subject.Debt);
  Subject.Debt -= Repaid;
  if (Subject.FallbackSince)
    Subject.FallbackLevel += Units;
  else
    Units -= Repaid;
  double Room = ownerDepth(Subject.Cap, Tolerance) - balance(Subject);
  if (!Subject.FallbackSince && std::min(Units, Room) > 0)
    Subject.Leases.push_back({std::min(Units, Room),
                              Now + CapOwner::GrantLifetime,
                              Subject.OwnerCount});
  serveWaiting(Subject, Now);
}

void CapHolder::beginFallback(Account &Subject, Timestamp Now) {
  double Recent =
      std::max(0.0, Subject.UsedLong.sum(Now)) / secondsOf(FallbackSpan);
  Subject.FallbackSince = Now;
  // A part of the fleet without owner keeps to equal shares at once.
  Subject.FallbackRate =
      Subject.Owner ? std::min(Recent, Subject.Cap.PerSecond) : 0;
  // Where this router uses more than its share, the owner may just have granted
  // it a whole burst.
  double Share = Subject.Cap.PerSecond / double(Routers.sharers(Now));
  double Fill = Subject.FallbackRate > Share ? 0.5 : 1;
  Subject.FallbackLevel =
      fallbackRate(Subject, Now) * secondsOf(FallbackDepth) * Fill;
  Subject.FallbackFilledAt = Now;
  Subject.WantsMore = true;
}

double CapHolder::fallbackRate(const Account &Subject, Timestamp Now) const {
  double Share = Subject.Cap.PerSecond / double(Routers.sharers(Now));
  bool OthersReply = RepliedAt && Now - *RepliedAt < CutOffAfter;
  bool IsRecent =
      Subject.FallbackSince && Now - *Subject.FallbackSince < CutOffAfter;
  if (!OthersReply && !IsRecent)
    return Share;
  return std::max(Subject.FallbackRate, Share);
}

CapAnswer CapHolder::decideByFallback(Account &Subject, double Units,
                                      Timestamp Now) {
  ++Subject.Figures.Fallbacks;
  Subject.WantsMore = true;
  double Rate = fallbackRate(Subject, Now);
  double Since =
      secondsOf(std::max(Duration(), Now - Subject.FallbackFilledAt));
  Subject.FallbackFilledAt = std::max(Subject.FallbackFilledAt, Now);
  Subject.FallbackLevel = std::min(Rate * secondsOf(FallbackDepth),
                                   Subject.FallbackLevel + Since * Rate);
  if (Subject.FallbackLevel <= 0) {
    Subject.RejectUntil = Now + timeFor(-Subject.FallbackLevel, Rate);
    return reject(Subject, Units, Now);
  }
  Subject.FallbackLevel -= Units;
  Subject.UsedLong.add(Units, Now);
  // The owner's bucket went on filling meanwhile, up to its depth. More than
  // this router's part of that is not owed.
  double BurstSeconds = Subject.Cap.Burst / Subject.Cap.PerSecond;
  Subject.Debt =
      std::min(Subject.Debt + Units, std::max(Units, Rate * BurstSeconds));
  ++Subject.Figures.Admitted;
  return {CapDecision::Admitted};
}

void CapHolder::decideWaitingByFallback(Account &Subject, Timestamp Now) {
  while (!Subject.Waiting.empty()) {
    Waiter First = Subject.Waiting.front();
    Subject.Waiting.pop_front();
    SettledTickets.push_back(
        {First.Ticket, decideByFallback(Subject, First.Units, Now)});
  }
}

void CapHolder::serveWaiting(Account &Subject, Timestamp Now) {
  while (!Subject.Waiting.empty() &&
         balance(Subject) >= Subject.Waiting.front().Units) {
    Waiter First = Subject.Waiting.front();
    Subject.Waiting.pop_front();
    SettledTickets.push_back(
        {First.Ticket, admitFromBalance(Subject, First.Units, Now)});
  }
}

double CapHolder::wanted(const Account &Subject, Timestamp Now) {
  double PerSecond = Subject.LongDemand.sum(Now) / secondsOf(LongWantedSpan);
  return std::max(Subject.Demand.sum(Now),
                  PerSecond * secondsOf(Subject.GrantLifetime));
}

CapQuestion CapHolder::ask(const WorkspaceId &Workspace, Account &Subject,
                           double Needed, double Wanted) {
  ++Subject.Figures.Questions;
  Subject.WantsMore = false;
  return {Workspace, NumberBase | ++LastNumber, Needed, Wanted,
          std::exchange(Subject.Unused, 0)};
}

bool CapHolder::takeBudget(Timestamp Now, double Reserve) {
  double Since = secondsOf(std::max(Duration(), Now - BudgetAt));
  Budget = std::min(QuestionBurst, Budget + Since * QuestionsPerSecond);
  BudgetAt = std::max(BudgetAt, Now);
  if (Budget < 1 + Reserve)
    return false;
  Budget -= 1;
  return true;
}

bool CapHolder::mayAsk(const Account &Subject) const {
  return Subject.Owner && !Subject.Asked && !asksLocally(Subject);
}

std::vector<CapHolder::Outgoing> CapHolder::takeQuestions(Timestamp Now) {
  // The requests that have waited longest are asked for first, so that no
  // workspace is left out while there are more questions than allowed.
  std::vector<std::pair<Timestamp, AccountMap::value_type *>> Candidates;
  for (auto &Entry : Accounts) {
    Account &Subject = Entry.second;
    if (Subject.Asked ? Subject.Asked->NextSendAt <= Now
                      : mayAsk(Subject) &&
                            (!Subject.Waiting.empty() ||
                             (Subject.WantsMore && Subject.WantsMoreAt <= Now)))
      Candidates.emplace_back(Subject.Waiting.empty()
                                  ? NeverExpires
                                  : Subject.Waiting.front().Deadline,
                              &Entry);
  }
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  std::vector<Outgoing> Due;
  for (auto &[Deadline, Entry] : Candidates) {
    Account &Subject = Entry->second;
    if (!(Subject.Asked ? repeatQuestion(Subject, Now)
                        : beginQuestion(Entry->first, Subject, Now)))
      continue;
    Due.push_back({*Subject.Owner, Subject.Asked->Question});
  }
  return Due;
}

bool CapHolder::repeatQuestion(Account &Subject, Timestamp Now) {
  if (Subject.FallbackSince && Subject.UsedLong.sum(Now) <= 0) {
    Subject.Asked.reset();
    return false;
  }
  if (!takeBudget(Now, 0))
    return false;
  ++Subject.Figures.Questions;
  Subject.Asked->NextSendAt =
      Now + (Subject.FallbackSince ? SlowRepeatInterval : RepeatInterval);
  return true;
}

bool CapHolder::beginQuestion(const WorkspaceId &Workspace, Account &Subject,
                              Timestamp Now) {
  bool IsUrgent = !Subject.Waiting.empty() || Subject.FallbackSince;
  if (!takeBudget(Now, IsUrgent ? 0 : ReservedQuestions))
    return false;
  expire(Subject, Now);
  double Needed = Subject.Debt;
  for (const Waiter &Each : Subject.Waiting)
    Needed += Each.Units;
  Subject.NextQuestionAt = Now + QuestionGap;
  Subject.Asked =
      InFlight{ask(Workspace, Subject, Needed, wanted(Subject, Now)), Now,
               Now + RepeatInterval};
  return true;
}

void CapHolder::applyGrant(Account &Subject, const CapReply &Reply,
                           Timestamp AskedAt, Timestamp Now) {
  double Paid = std::min(Subject.Debt, Reply.Granted);
  Subject.Debt -= Paid;
  Subject.GrantLifetime = Reply.Lifetime;
  Subject.Figures.GrantedAt = Now;
  if (Reply.Granted > Paid)
    Subject.Leases.push_back(
        {Reply.Granted - Paid, AskedAt + Reply.Lifetime, Subject.OwnerCount});
  expire(Subject, Now);
}

void CapHolder::apply(const HostId &From, const CapReply &Reply,
                      Timestamp Now) {
  auto Entry = Accounts.find(Reply.Workspace);
  if (Entry == Accounts.end())
    return;
  Account &Subject = Entry->second;
  if (!Subject.Asked || Subject.Owner != From ||
      Subject.Asked->Question.Number != Reply.Number)
    return;
  const CapQuestion Question = Subject.Asked->Question;
  // Sums that are added up in another order differ in the last digits.
  static constexpr double Rounding = 1 + 1e-9;
  if (!isAmount(Reply.Granted) || !isReplyTime(Reply.Lifetime) ||
      !isReplyTime(Reply.RetryIn) ||
      Reply.Granted > (Question.Needed + Question.Wanted) * Rounding) {
    ++Invalid;
    return;
  }
  Timestamp AskedAt = Subject.Asked->FirstSentAt;
  Subject.Asked.reset();
  RepliedAt = Now;
  bool IsEmpty = Reply.Granted <= 0;
  if (IsEmpty && Question.Needed > 0 && Reply.RetryIn <= Duration()) {
    // The router that was asked is not the owner.
    Subject.WantsMoreAt = Now + AskAgainPause;
    if (!Subject.FallbackSince)
      beginFallback(Subject, Now);
    decideWaitingByFallback(Subject, Now);
    return;
  }
  Subject.FallbackSince.reset();
  if (!IsEmpty) {
    Subject.RejectUntil = Now;
    applyGrant(Subject, Reply, AskedAt, Now);
    Subject.LastAhead = std::max(0.0, Reply.Granted - Question.Needed);
    serveWaiting(Subject, Now);
    return;
  }
  Subject.WantsMoreAt = Now + AskAgainPause;
  if (Question.Needed <= 0)
    return;
  Subject.RejectUntil = Now + Reply.RetryIn;
  Subject.NextRetryAt = Subject.RejectUntil;
  while (!Subject.Waiting.empty()) {
    Waiter First = Subject.Waiting.front();
    Subject.Waiting.pop_front();
    SettledTickets.push_back({First.Ticket, reject(Subject, First.Units, Now)});
  }
}

std::vector<CapHolder::Settled> CapHolder::takeSettled(Timestamp Now) {
  for (auto &[Workspace, Subject] : Accounts) {
    if (Subject.Waiting.empty() || Subject.Waiting.front().Deadline > Now)
      continue;
    if (!Subject.FallbackSince)
      beginFallback(Subject, Now);
    decideWaitingByFallback(Subject, Now);
  }
  return std::exchange(SettledTickets, {});
}

Timestamp CapHolder::nextDue() const {
  if (!SettledTickets.empty())
    return Timestamp();
  Timestamp Due = NeverExpires;
  auto AskableFrom = [this](Timestamp From, double Reserve) {
    double Missing = std::max(0.0, 1 + Reserve - Budget);
    return std::max(From, BudgetAt + timeFor(Missing, QuestionsPerSecond));
  };
  for (const auto &[Workspace, Subject] : Accounts) {
    if (!Subject.Waiting.empty())
      Due = std::min(Due, Subject.Waiting.front().Deadline);
    if (Subject.Asked)
      Due = std::min(Due, AskableFrom(Subject.Asked->NextSendAt, 0));
    if (!mayAsk(Subject))
      continue;
    if (!Subject.Waiting.empty())
      Due = std::min(Due, AskableFrom(Subject.NextQuestionAt, 0));
    else if (Subject.WantsMore)
      Due = std::min(
          Due,
          AskableFrom(std::max(Subject.WantsMoreAt, Subject.NextQuestionAt),
                      Subject.FallbackSince ? 0 : ReservedQuestions));
  }
  return Due;
}

void CapHolder::setCaps(const CapsByWorkspace &Caps, Timestamp Now) {
  auto IsLimit = [](const config::WorkspaceCap &Cap) {
    return std::isfinite(Cap.PerSecond) && Cap.PerSecond > 0 &&
           isAmount(Cap.Burst);
  };
  std::erase_if(Accounts, [&](auto &Entry) {
    auto Found = Caps.find(Entry.first);
    if (Found != Caps.end() && IsLimit(Found->second))
      return false;
    for (const Waiter &Each : Entry.second.Waiting)
      SettledTickets.push_back({Each.Ticket, {CapDecision::Admitted}});
    return true;
  });
  for (const auto &[Workspace, Cap] : Caps) {
    if (!IsLimit(Cap))
      continue;
    auto [Entry, IsNew] = Accounts.try_emplace(Workspace);
    Account &Subject = Entry->second;
    if (IsNew) {
      Subject.Cap = Cap;
      updateOwner(Workspace, Subject, Now);
    } else if (Subject.Cap != Cap) {
      changeCap(Subject, Cap, Now);
    }
  }
}

void CapHolder::changeCap(Account &Subject, const config::WorkspaceCap &Cap,
                          Timestamp Now) {
  double Depth = ownerDepth(Cap, Tolerance);
  if (Cap.PerSecond > Subject.Cap.PerSecond) {
    Subject.RejectUntil = Now;
    Subject.NextRetryAt = Now;
  }
  Subject.Cap = Cap;
  expire(Subject, Now);
  spend(Subject, std::max(0.0, balance(Subject) - Depth));
  Subject.Unused = std::min(Subject.Unused, Depth);
  Subject.Debt = std::min(Subject.Debt, Depth);
  Subject.FallbackRate = std::min(Subject.FallbackRate, Cap.PerSecond);
  std::erase_if(Subject.Waiting, [&](const Waiter &Each) {
    if (Each.Units <= Depth)
      return false;
    ++Subject.Figures.Rejected;
    SettledTickets.push_back({Each.Ticket, {CapDecision::Rejected}});
    return true;
  });
}

void CapHolder::setRouters(const HostId &Self,
                           const std::vector<HostId> &Serving, Timestamp Now) {
  if (Self != Routers.self())
    // A router that has started anew must not repeat the numbers of its former
    // run, or the owner would take its questions for repeated ones.
    NumberBase =
        routing::hashIdentifier(Self.Value + "/" +
                                std::to_string(Now.time_since_epoch().count()))
        << 32;
  if (!Routers.set(Self, Serving, Now))
    return;
  for (auto &[Workspace, Subject] : Accounts)
    updateOwner(Workspace, Subject, Now);
}

void CapHolder::updateOwner(const WorkspaceId &Workspace, Account &Subject,
                            Timestamp Now) {
  std::optional<HostId> Owner = Routers.ownerOf(Workspace, Now);
  if (Owner == Subject.Owner)
    return;
  expire(Subject, Now);
  Subject.Owner = std::move(Owner);
  ++Subject.OwnerCount;
  // The new owner's bucket begins now and owes and is owed nothing of before.
  Subject.Asked.reset();
  Subject.Unused = 0;
  Subject.Debt = 0;
  Subject.FallbackSince.reset();
  Subject.RejectUntil = Now;
  Subject.WantsMoreAt = Now;
  if (!Subject.Owner) {
    beginFallback(Subject, Now);
    decideWaitingByFallback(Subject, Now);
    return;
  }
  if (!asksLocally(Subject))
    return;
  for (const Waiter &Each : std::exchange(Subject.Waiting, {}))
    SettledTickets.push_back(
        {Each.Ticket, askLocally(Workspace, Subject, Each.Units, Now)});
}

std::vector<CapStatus> CapHolder::status(Timestamp Now) const {
  std::vector<CapStatus> All;
  All.reserve(Accounts.size());
  for (const auto &[Workspace, Subject] : Accounts) {
    CapStatus Figures = Subject.Figures;
    Figures.Workspace = Workspace;
    Figures.Cap = Subject.Cap;
    Figures.Owner = Subject.Owner;
    Figures.InFallback = Subject.FallbackSince.has_value();
    for (const Lease &Each : Subject.Leases)
      if (Each.ExpiresAt > Now)
        Figures.Balance += Each.Units;
    All.push_back(std::move(Figures));
  }
  return All;
}

} // namespace ferry::admission

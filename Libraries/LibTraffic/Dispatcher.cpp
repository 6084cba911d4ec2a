#include "LibTraffic/Dispatcher.h"
#include "LibCore/Visit.h"

namespace ferry::traffic {

using namespace ferry::routing;

/// Time between two ticks of the Scheduler while requests wait.
static constexpr std::chrono::milliseconds TickPeriod{10};
/// Time between two looks at whether the caller of a waiting request is there.
static constexpr std::chrono::milliseconds CallerCheckPeriod{100};

Dispatcher::Dispatcher(Scheduler Owned)
    : Owned(std::move(Owned)), View(std::make_shared<RoutingView>()),
      Ticker([this] { tickUntilStopped(); }) {}

Dispatcher::~Dispatcher() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  TickWanted.notify_all();
  Ticker.join();
}

Placement Dispatcher::submit(SubmitRequest Request, const CallerGone &Gone) {
  RequestId Id = Request.Id;
  Timestamp Deadline = Request.Deadline;
  return await(std::move(Request), Id, Deadline, Gone);
}

Placement Dispatcher::submit(SubmitCall Call, const CallerGone &Gone) {
  RequestId Id = Call.Id;
  Timestamp Deadline = Call.Deadline;
  return await(std::move(Call), Id, Deadline, Gone);
}

void Dispatcher::firstByte(const RequestId &Id, uint64_t CachedTokens) {
  std::lock_guard Lock(Mutex);
  step(FirstByte{Id, CachedTokens});
}

void Dispatcher::finished(const RequestId &Id, TryOutcome Outcome) {
  std::lock_guard Lock(Mutex);
  step(TryEnded{Id, Outcome, TryEnded::Repeat::Forbidden});
}

Placement Dispatcher::retry(const RequestId &Id, TryOutcome Outcome,
                            Timestamp Deadline, const CallerGone &Gone) {
  return await(TryEnded{Id, Outcome, TryEnded::Repeat::Allowed}, Id, Deadline,
               Gone);
}

void Dispatcher::cacheEvents(cache::CacheEventBatch Batch) {
  std::lock_guard Lock(Mutex);
  step(CacheEventsReceived{std::move(Batch)});
}

void Dispatcher::setView(RoutingViewPtr NewView) {
  {
    std::lock_guard Lock(ViewMutex);
    View = NewView;
  }
  if (NewView->OwnStanding == HostStanding::Draining) {
    auto Shown = std::make_shared<RoutingView>(*NewView);
    Shown->OwnStanding = HostStanding::Serving;
    NewView = std::move(Shown);
  }
  std::lock_guard Lock(Mutex);
  step(ViewChanged{std::move(NewView)});
}

RoutingViewPtr Dispatcher::view() const {
  std::lock_guard Lock(ViewMutex);
  return View;
}

size_t Dispatcher::waiting() const {
  std::lock_guard Lock(Mutex);
  return Waiters.size();
}

SchedulerStatus Dispatcher::status() const {
  std::lock_guard Lock(Mutex);
  return Owned.status(steadyNow());
}

Placement Dispatcher::await(SchedulerEvent Event, const RequestId &Id,
                            Timestamp Deadline, const CallerGone &Gone) {
  std::unique_lock Lock(Mutex);
  Waiter Own;
  bool Fresh = Waiters.emplace(Id, &Own).second;
  if (!Fresh)
    return makeError(Refusal{Id, RefusalKind::QueueFull, {}});
  step(std::move(Event));
  if (!Own.Answer)
    TickWanted.notify_one();
  while (!Own.Answer) {
    Timestamp Now = steadyNow();
    if (Now >= Deadline || (Gone && Gone()))
      break;
    Own.Decided.wait_until(Lock, std::min(Deadline, Now + CallerCheckPeriod));
  }
  Waiters.erase(Id);
  if (Own.Answer)
    return std::move(*Own.Answer);
  step(Withdraw{Id});
  return makeError(Refusal{Id, RefusalKind::DeadlinePassed, {}});
}

void Dispatcher::step(SchedulerEvent Event) {
  std::vector<RequestId> Orphans;
  auto Apply = [&](const SchedulerEvent &Next) {
    for (SchedulerEffect &Effect : Owned.step(Next, steadyNow()))
      match(
          Effect,
          [&](Dispatch &Sent) {
            RequestId Id = Sent.Id;
            deliver(Id, std::move(Sent), Orphans);
          },
          [&](Refusal &Refused) {
            RequestId Id = Refused.Id;
            deliver(Id, makeError(std::move(Refused)), Orphans);
          });
  };
  Apply(Event);
  // A dispatch without a waiter frees its place on the target again.
  while (!Orphans.empty()) {
    RequestId Id = Orphans.back();
    Orphans.pop_back();
    Apply(TryEnded{Id, TryOutcome::Cancelled, TryEnded::Repeat::Forbidden});
  }
}

void Dispatcher::deliver(const RequestId &Id, Placement Answer,
                         std::vector<RequestId> &Orphans) {
  auto Found = Waiters.find(Id);
  bool Waits = Found != Waiters.end() && !Found->second->Answer;
  if (!Waits) {
    if (Answer)
      Orphans.push_back(Id);
    return;
  }
  Found->second->Answer.emplace(std::move(Answer));
  Found->second->Decided.notify_one();
}

void Dispatcher::tickUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    if (Waiters.empty()) {
      TickWanted.wait(Lock);
      continue;
    }
    TickWanted.wait_for(Lock, TickPeriod, [this] { return Stopping; });
    if (!Stopping)
      step(SchedulerTick{});
  }
}

} // namespace ferry::traffic

#include "LibTraffic/Dispatcher.h"
#include "LibCore/Visit.h"
#include "LibObserve/Guard.h"

namespace ferry::traffic {

using namespace ferry::routing;

/// Time between two ticks of the Scheduler while requests wait.
static constexpr std::chrono::milliseconds TickPeriod{10};
/// Time between two checks whether the caller of a waiting request is gone.
static constexpr std::chrono::milliseconds CallerCheckPeriod{100};

Dispatcher::Dispatcher(Scheduler RequestScheduler)
    : RequestScheduler(std::move(RequestScheduler)),
      View(std::make_shared<RoutingView>()),
      Ticker([this] { tickUntilStopped(); }) {}

Dispatcher::~Dispatcher() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  TickNeeded.notify_all();
  Ticker.join();
}

Placement Dispatcher::submit(SubmitRequest Request,
                             const CallerGoneCheck &IsGone) {
  RequestId Id = Request.Id;
  Timestamp Deadline = Request.Deadline;
  return await(std::move(Request), Id, Deadline, IsGone);
}

Placement Dispatcher::submit(SubmitCall Call, const CallerGoneCheck &IsGone) {
  RequestId Id = Call.Id;
  Timestamp Deadline = Call.Deadline;
  return await(std::move(Call), Id, Deadline, IsGone);
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
                            Timestamp Deadline, const CallerGoneCheck &IsGone) {
  return await(TryEnded{Id, Outcome, TryEnded::Repeat::Allowed}, Id, Deadline,
               IsGone);
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
    auto ServingView = std::make_shared<RoutingView>(*NewView);
    ServingView->OwnStanding = HostStanding::Serving;
    NewView = std::move(ServingView);
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
  return RequestScheduler.status(steadyNow());
}

/// Removes a waiter, which lives on the stack of its request, also if the
/// request ends with an exception. The dispatcher's mutex must be locked.
struct Dispatcher::WaiterGuard {
  ~WaiterGuard() { erase(); }
  void erase() { Waiters.erase(Id); }

  std::unordered_map<RequestId, Waiter *> &Waiters;
  const RequestId &Id;
};

Placement Dispatcher::await(SchedulerEvent Event, const RequestId &Id,
                            Timestamp Deadline, const CallerGoneCheck &IsGone) {
  std::unique_lock Lock(Mutex);
  Waiter OwnWaiter;
  bool Inserted = Waiters.emplace(Id, &OwnWaiter).second;
  if (!Inserted)
    return makeError(Refusal{Id, RefusalKind::QueueFull, {}});
  WaiterGuard Guard{Waiters, Id};
  step(std::move(Event));
  if (!OwnWaiter.Answer)
    TickNeeded.notify_one();
  while (!OwnWaiter.Answer) {
    Timestamp Now = steadyNow();
    if (Now >= Deadline || (IsGone && IsGone()))
      break;
    OwnWaiter.Decided.wait_until(Lock,
                                 std::min(Deadline, Now + CallerCheckPeriod));
  }
  Guard.erase();
  if (OwnWaiter.Answer)
    return std::move(*OwnWaiter.Answer);
  step(Withdraw{Id});
  return makeError(Refusal{Id, RefusalKind::DeadlinePassed, {}});
}

void Dispatcher::step(SchedulerEvent Event) {
  std::vector<RequestId> Orphans;
  auto ApplyEvent = [&](const SchedulerEvent &NewEvent) {
    for (SchedulerEffect &Effect : RequestScheduler.step(NewEvent, steadyNow()))
      match(
          Effect,
          [&](Dispatch &Dispatched) {
            RequestId Id = Dispatched.Id;
            deliver(Id, std::move(Dispatched), Orphans);
          },
          [&](Refusal &Refused) {
            RequestId Id = Refused.Id;
            deliver(Id, makeError(std::move(Refused)), Orphans);
          });
  };
  ApplyEvent(Event);
  // A dispatch that nobody waits for is cancelled to free its target's slot.
  while (!Orphans.empty()) {
    RequestId Id = Orphans.back();
    Orphans.pop_back();
    ApplyEvent(
        TryEnded{Id, TryOutcome::Cancelled, TryEnded::Repeat::Forbidden});
  }
}

void Dispatcher::deliver(const RequestId &Id, Placement Answer,
                         std::vector<RequestId> &Orphans) {
  auto WaiterEntry = Waiters.find(Id);
  bool IsWaiting = WaiterEntry != Waiters.end() && !WaiterEntry->second->Answer;
  if (!IsWaiting) {
    if (Answer)
      Orphans.push_back(Id);
    return;
  }
  WaiterEntry->second->Answer.emplace(std::move(Answer));
  WaiterEntry->second->Decided.notify_one();
}

void Dispatcher::tickUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    if (Waiters.empty()) {
      TickNeeded.wait(Lock);
      continue;
    }
    TickNeeded.wait_for(Lock, TickPeriod, [this] { return Stopping; });
    if (!Stopping)
      observe::runGuarded("dispatcher", [this] { step(SchedulerTick{}); });
  }
}

} // namespace ferry::traffic

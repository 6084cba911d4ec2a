#include "ferryd/OrderSender.h"
#include "LibCore/Visit.h"
#include "LibObserve/Guard.h"
#include "LibObserve/Log.h"
#include "LibTraffic/TargetConnection.h"
#include <Poco/JSON/Object.h>
#include <sstream>

namespace ferry::daemon {

using control::OrderOutcome;
using traffic::LinkErrorKind;

static constexpr int FirstSuccessStatus = 200;
static constexpr int FirstRedirectStatus = 300;
static constexpr int StatusAccepted = 202;
static constexpr int StatusBadRequest = 400;
static constexpr int StatusConflict = 409;
static constexpr int StatusPreconditionFailed = 412;
static constexpr uint64_t MaxStateBytes = 1 << 20;
/// Longest wait for the answer to one HTTP call.
static constexpr std::chrono::milliseconds SendTimeout{400};
/// No load of weights ends sooner than this.
static constexpr std::chrono::milliseconds ShortestLoad{1000};
/// Between two requests for an engine's state: about half the age that the
/// state in the answer may have.
static constexpr std::chrono::milliseconds WatchPeriod{100};

std::string orderBody(const control::SendOrder &Request) {
  Poco::JSON::Object Body;
  Body.set("order_id", Request.OrderId);
  Body.set("incarnation", Request.Incarnation.Value);
  Body.set("fencing", Request.Fencing.Value);
  match(
      Request.Order,
      [&](const control::LoadWeights &Load) {
        Body.set("order", "load_weights");
        Body.set("model", Load.Model.Value);
        Body.set("weights", Load.Weights.Value);
      },
      [&](const control::LoadAdapter &Load) {
        Body.set("order", "load_adapter");
        Body.set("model", Load.Model.Value);
        Body.set("adapter", Load.Adapter.Value);
      },
      [&](const control::ConfirmWeights &Wanted) {
        Body.set("order", "confirm_weights");
        Body.set("model", Wanted.Model.Value);
        Body.set("weights", Wanted.Weights.Value);
      });
  std::ostringstream Text;
  Body.stringify(Text);
  return Text.str();
}

OrderSender::OrderSender(Callback Done, std::optional<OrderDialect> Dialect,
                         size_t SendingThreads)
    : Done(std::move(Done)), Dialect(std::move(Dialect)) {
  for (size_t Index = 0; Index < SendingThreads; ++Index)
    Threads.emplace_back([this] { work(); });
}

OrderSender::~OrderSender() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wakeup.notify_all();
  for (std::thread &Thread : Threads)
    Thread.join();
}

void OrderSender::send(control::SendOrder Request) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue.push_back(std::move(Request));
  }
  // notify_one() could wake a thread in pause() instead of an idle one.
  Wakeup.notify_all();
}

void OrderSender::work() {
  while (true) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Wakeup.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Stopping)
      return;
    control::SendOrder Request = std::move(Queue.front());
    Queue.pop_front();
    Lock.unlock();
    // An order that fails unexpectedly may have been sent.
    OrderOutcome Outcome = OrderOutcome::Lost;
    control::OrderProgress Progress;
    Progress.TakenAt = steadyNow();
    observe::runGuarded("orders", [&] {
      Outcome = Dialect ? deliverAndWatch(Request, Progress) : deliver(Request);
    });
    observe::runGuarded("orders", [&] {
      Done({Request.OrderId, Outcome, Progress});
    });
  }
}

OrderOutcome OrderSender::deliver(const control::SendOrder &Request) {
  auto Connected =
      traffic::TargetConnection::tryConnect(Request.Address, Request.Deadline);
  if (!Connected)
    return OrderOutcome::NotSent;
  auto Written =
      (*Connected)
          ->trySend("POST", "/orders", {{"Content-Type", "application/json"}},
                    orderBody(Request), Request.Deadline);
  if (!Written && Written.error().Kind == LinkErrorKind::NotSent)
    return OrderOutcome::NotSent;
  if (!Written || !(*Connected)->tryReceiveHead({Request.Deadline}))
    return OrderOutcome::Lost;
  int Status = (*Connected)->status();
  bool Accepted = Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
  return Accepted ? OrderOutcome::Accepted : OrderOutcome::Refused;
}

std::unique_ptr<traffic::TargetConnection>
OrderSender::call(const control::SendOrder &Request, const EngineCall &Call,
                  Timestamp Deadline) {
  if (isPaused(Request))
    return nullptr;
  auto Connected = traffic::TargetConnection::tryConnect(
      Request.Address, std::min(Deadline, steadyNow() + SendTimeout));
  if (!Connected)
    return nullptr;
  traffic::TargetConnection &Link = **Connected;
  bool Answered =
      Link.trySend(Call.Method, Call.Path, Dialect->Headers(Request.Target),
                   Call.Body, Deadline) &&
      Link.tryReceiveHead({Deadline});
  if (!Answered)
    return nullptr;
  if (auto Pause = Dialect->ReadAnswer(Link.head()).Pause)
    notePause(Request, steadyNow() + *Pause);
  return std::move(*Connected);
}

bool OrderSender::isPaused(const control::SendOrder &Request) {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Signals.isPaused(Request.Target, Request.Incarnation, steadyNow());
}

void OrderSender::notePause(const control::SendOrder &Request,
                            Timestamp Until) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!Signals.notePause(Request.Target, Request.Incarnation, Until,
                           steadyNow()))
      return;
  }
  observe::logEvent(observe::Severity::Info, "orders", "target_paused",
                    {{"target", Request.Target},
                     {"incarnation", Request.Incarnation},
                     {"pause_ms", millisUntil(Until, steadyNow())},
                     {"source", "order"}});
}

std::optional<EngineState>
OrderSender::fetchState(const control::SendOrder &Request, Timestamp Deadline) {
  auto Link = call(Request, {"GET", Dialect->StatePath, ""}, Deadline);
  if (!Link || Link->status() != FirstSuccessStatus)
    return std::nullopt;
  auto Body = Link->tryReadWhole(MaxStateBytes, {Deadline});
  return Body ? Dialect->ReadState(*Body) : std::nullopt;
}

int OrderSender::sendOnce(const control::SendOrder &Request,
                          uint64_t OrdersBefore) {
  auto Link =
      call(Request,
           {"POST", Dialect->OrderPath, Dialect->Body(Request, OrdersBefore)},
           std::min(Request.Deadline, steadyNow() + SendTimeout));
  return Link ? Link->status() : 0;
}

static bool hasWeights(const EngineState &State,
                       const control::SendOrder &Request) {
  if (State.Busy)
    return false;
  return match(
      Request.Order,
      [&](const control::LoadWeights &Load) {
        return State.Model == Load.Model && State.Weights == Load.Weights;
      },
      [&](const control::ConfirmWeights &Wanted) {
        return State.Model == Wanted.Model && State.Weights >= Wanted.Weights;
      },
      [](const control::LoadAdapter &) { return false; });
}

bool OrderSender::pause(Duration Pause) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return !Wakeup.wait_for(Lock, Pause, [this] { return Stopping; });
}

bool OrderSender::watch(const control::SendOrder &Request,
                        control::OrderProgress &Progress) {
  Timestamp Until = steadyNow() + OrderWatchLimit;
  bool Continue = pause(ShortestLoad);
  while (Continue && steadyNow() < Until) {
    auto State = fetchState(Request, Until);
    if (State && State->Running == 0U && !Progress.RunsEndedAt)
      Progress.RunsEndedAt = steadyNow();
    if (State && hasWeights(*State, Request))
      return true;
    Continue = pause(WatchPeriod);
  }
  return false;
}

OrderOutcome OrderSender::deliverAndWatch(const control::SendOrder &Request,
                                          control::OrderProgress &Progress) {
  bool OnlyReads =
      std::holds_alternative<control::ConfirmWeights>(Request.Order);
  bool MayHaveArrived = false;
  bool Busy = false;
  while (steadyNow() < Request.Deadline) {
    auto State = fetchState(Request, Request.Deadline);
    if (!State) {
      Busy = false;
      break;
    }
    if (!Progress.Running)
      Progress.Running = State->Running;
    if (hasWeights(*State, Request))
      return OrderOutcome::CarriedOut;
    if (OnlyReads)
      return State->Busy ? OrderOutcome::Busy : OrderOutcome::Refused;
    if (Request.Running == control::RunningRequests::Await && !State->Busy &&
        State->Running.value_or(0) > 0)
      return MayHaveArrived ? OrderOutcome::Lost : OrderOutcome::Serving;
    // Each copy names the count of accepted orders, so the engine refuses a
    // delayed copy once another one was accepted.
    int Status =
        State->Busy ? StatusConflict : sendOnce(Request, State->AcceptedOrders);
    if (Status == StatusAccepted || Status == FirstSuccessStatus) {
      Progress.AcceptedAt = steadyNow();
      return watch(Request, Progress) ? OrderOutcome::CarriedOut
                                      : OrderOutcome::Accepted;
    }
    if (Status == StatusPreconditionFailed || Status == StatusBadRequest)
      return OrderOutcome::Refused;
    Busy = Status == StatusConflict;
    MayHaveArrived |= Status == 0;
    if (!pause(WatchPeriod))
      break;
  }
  if (MayHaveArrived)
    return OrderOutcome::Lost;
  return Busy ? OrderOutcome::Busy : OrderOutcome::NotSent;
}

} // namespace ferry::daemon

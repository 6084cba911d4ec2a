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
/// Largest state of an engine. It names models as an announcement does, which
/// may have a quarter of this, and one line for each run that the engine has.
static constexpr uint64_t MaxStateBytes = 64 << 10;
/// Longest wait for the answer to one HTTP call.
static constexpr std::chrono::milliseconds SendTimeout{400};
/// Longest time that one look at a watched engine takes a thread.
static constexpr std::chrono::milliseconds WatchCallTimeout{1000};
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
  Queue.stop();
  for (std::thread &Thread : Threads)
    Thread.join();
}

void OrderSender::send(control::SendOrder Request) {
  Queue.add(steadyNow(), {std::move(Request)});
}

void OrderSender::work() {
  while (std::optional<Delivery> Item = Queue.take())
    runStep(std::move(*Item));
}

void OrderSender::runStep(Delivery Item) {
  auto End = [&](OrderOutcome Outcome) {
    observe::runGuarded("orders", [&] {
      Done({Item.Request.OrderId, Outcome, Item.Progress});
    });
  };
  if (!Item.Progress.TakenAt) {
    Timestamp Now = steadyNow();
    if (Dialect && Now >= Item.Request.Deadline)
      return End(OrderOutcome::NotTaken);
    Item.Progress.TakenAt = Now;
  }
  // An order that fails unexpectedly may have been sent.
  StepResult Result = OrderOutcome::Lost;
  observe::runGuarded("orders", [&] {
    if (!Dialect)
      Result = deliver(Item.Request);
    else
      Result = Item.WatchUntil ? watch(Item) : tryOrder(Item);
  });
  match(Result, End,
        [&](Timestamp DueAt) { Queue.add(DueAt, std::move(Item)); });
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
  auto Body = Link->tryReadWhole(MaxStateBytes, {Deadline},
                                 [](uint64_t) { return true; });
  if (!Body)
    return std::nullopt;
  // The values of a text can take many times its size, so one thread at a
  // time has them in memory.
  std::lock_guard<std::mutex> Lock(ReadingMutex);
  return Dialect->ReadState(Body->text());
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

OrderSender::StepResult OrderSender::watch(Delivery &Item) {
  Timestamp Now = steadyNow();
  if (Now >= *Item.WatchUntil)
    return OrderOutcome::Accepted;
  auto State = fetchState(Item.Request,
                          std::min(*Item.WatchUntil, Now + WatchCallTimeout));
  if (State && State->Running == 0U && !Item.Progress.RunsEndedAt)
    Item.Progress.RunsEndedAt = steadyNow();
  if (State && hasWeights(*State, Item.Request))
    return OrderOutcome::CarriedOut;
  return steadyNow() + WatchPeriod;
}

OrderSender::StepResult OrderSender::tryOrder(Delivery &Item) {
  const control::SendOrder &Request = Item.Request;
  if (steadyNow() >= Request.Deadline) {
    if (Item.MayHaveArrived)
      return OrderOutcome::Lost;
    if (Item.Busy)
      return OrderOutcome::Busy;
    return isPaused(Request) ? OrderOutcome::Paused : OrderOutcome::NotSent;
  }
  auto State = fetchState(Request, Request.Deadline);
  if (!State && Item.MayHaveArrived)
    return OrderOutcome::Lost;
  if (!State)
    return isPaused(Request) ? OrderOutcome::Paused : OrderOutcome::NotSent;
  if (!Item.Progress.Running)
    Item.Progress.Running = State->Running;
  if (hasWeights(*State, Request))
    return OrderOutcome::CarriedOut;
  if (std::holds_alternative<control::ConfirmWeights>(Request.Order))
    return State->Busy ? OrderOutcome::Busy : OrderOutcome::Refused;
  if (Request.Running == control::RunningRequests::Await && !State->Busy &&
      State->Running.value_or(0) > 0)
    return Item.MayHaveArrived ? OrderOutcome::Lost : OrderOutcome::Serving;
  // Each copy names the count of accepted orders, so the engine refuses a
  // delayed copy once another one was accepted.
  int Status =
      State->Busy ? StatusConflict : sendOnce(Request, State->AcceptedOrders);
  if (Status == StatusAccepted || Status == FirstSuccessStatus) {
    Timestamp Now = steadyNow();
    Item.Progress.AcceptedAt = Now;
    Item.WatchUntil = Now + OrderWatchLimit;
    return Now + ShortestLoad;
  }
  if (Status == StatusPreconditionFailed || Status == StatusBadRequest)
    return OrderOutcome::Refused;
  Item.Busy = Status == StatusConflict;
  Item.MayHaveArrived |= Status == 0;
  return steadyNow() + WatchPeriod;
}

} // namespace ferry::daemon

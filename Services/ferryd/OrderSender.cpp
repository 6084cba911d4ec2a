#include "ferryd/OrderSender.h"
#include "LibCore/Visit.h"
#include "LibTraffic/TargetConnection.h"
#include <Poco/JSON/Object.h>
#include <sstream>

namespace ferry::daemon {

using control::OrderOutcome;
using traffic::LinkErrorKind;

static constexpr int FirstSuccessStatus = 200;
static constexpr int FirstRedirectStatus = 300;
static constexpr int StatusAccepted = 202;
static constexpr int StatusUnknown = 400;
static constexpr int StatusBusy = 409;
static constexpr int StatusFenced = 412;
static constexpr uint64_t MaxStateBytes = 1 << 20;
/// Longest wait for the answer to one sending.
static constexpr std::chrono::milliseconds SendLimit{400};
/// Before this no load of weights has ended.
static constexpr std::chrono::milliseconds ShortestLoad{1000};
/// Between two looks at an engine: about half the age of its own account.
static constexpr std::chrono::milliseconds WatchPeriod{100};

std::string orderBody(const control::SendOrder &Sent) {
  Poco::JSON::Object Body;
  Body.set("order_id", Sent.OrderId);
  Body.set("incarnation", Sent.Incarnation.Value);
  Body.set("fencing", Sent.Fencing.Value);
  match(
      Sent.Order,
      [&](const control::LoadWeights &Load) {
        Body.set("order", "load_weights");
        Body.set("model", Load.Model.Value);
        Body.set("weights", Load.Weights.Value);
      },
      [&](const control::LoadAdapter &Load) {
        Body.set("order", "load_adapter");
        Body.set("model", Load.Model.Value);
        Body.set("adapter", Load.Adapter.Value);
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
  Wanted.notify_all();
  for (std::thread &Thread : Threads)
    Thread.join();
}

void OrderSender::send(control::SendOrder Sent) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue.push_back(std::move(Sent));
  }
  // Those that pause wait on it too.
  Wanted.notify_all();
}

void OrderSender::work() {
  while (true) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Wanted.wait(Lock, [this] { return Stopping || !Queue.empty(); });
    if (Stopping)
      return;
    control::SendOrder Sent = std::move(Queue.front());
    Queue.pop_front();
    Lock.unlock();
    Done({Sent.OrderId, Dialect ? carryOutWatched(Sent) : carryOut(Sent)});
  }
}

OrderOutcome OrderSender::carryOut(const control::SendOrder &Sent) {
  auto Connected =
      traffic::TargetConnection::tryConnect(Sent.Address, Sent.Deadline);
  if (!Connected)
    return OrderOutcome::NotSent;
  auto Written =
      (*Connected)
          ->trySend("POST", "/orders", {{"Content-Type", "application/json"}},
                    orderBody(Sent), Sent.Deadline);
  if (!Written && Written.error().Kind == LinkErrorKind::NotSent)
    return OrderOutcome::NotSent;
  if (!Written || !(*Connected)->tryReceiveHead({Sent.Deadline}))
    return OrderOutcome::Lost;
  int Status = (*Connected)->status();
  bool Taken = Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
  return Taken ? OrderOutcome::Accepted : OrderOutcome::Refused;
}

std::optional<EngineState> OrderSender::askState(const control::SendOrder &Sent,
                                                 Timestamp Deadline) const {
  auto Connected = traffic::TargetConnection::tryConnect(
      Sent.Address, std::min(Deadline, steadyNow() + SendLimit));
  if (!Connected)
    return std::nullopt;
  traffic::TargetConnection &Link = **Connected;
  bool Asked = Link.trySend("GET", Dialect->StatePath,
                            Dialect->Headers(Sent.Target), "", Deadline) &&
               Link.tryReceiveHead({Deadline}) &&
               Link.status() == FirstSuccessStatus;
  if (!Asked)
    return std::nullopt;
  auto Body = Link.tryReadWhole(MaxStateBytes, {Deadline});
  return Body ? Dialect->ReadState(*Body) : std::nullopt;
}

int OrderSender::sendOnce(const control::SendOrder &Sent,
                          uint64_t OrdersBefore) const {
  Timestamp Deadline = std::min(Sent.Deadline, steadyNow() + SendLimit);
  auto Connected =
      traffic::TargetConnection::tryConnect(Sent.Address, Deadline);
  if (!Connected)
    return 0;
  traffic::TargetConnection &Link = **Connected;
  bool Answered =
      Link.trySend("POST", Dialect->OrderPath, Dialect->Headers(Sent.Target),
                   Dialect->Body(Sent, OrdersBefore), Deadline) &&
      Link.tryReceiveHead({Deadline});
  return Answered ? Link.status() : 0;
}

static bool hasWeights(const EngineState &State,
                       const control::SendOrder &Sent) {
  const auto *Load = std::get_if<control::LoadWeights>(&Sent.Order);
  return Load && State.Model == Load->Model && State.Weights == Load->Weights &&
         !State.Busy;
}

bool OrderSender::pause(Duration Pause) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return !Wanted.wait_for(Lock, Pause, [this] { return Stopping; });
}

bool OrderSender::watch(const control::SendOrder &Sent) {
  Timestamp Until = steadyNow() + OrderWatchLimit;
  bool Going = pause(ShortestLoad);
  while (Going && steadyNow() < Until) {
    auto State = askState(Sent, Until);
    if (State && hasWeights(*State, Sent))
      return true;
    Going = pause(WatchPeriod);
  }
  return false;
}

OrderOutcome OrderSender::carryOutWatched(const control::SendOrder &Sent) {
  bool MayHaveArrived = false;
  while (steadyNow() < Sent.Deadline) {
    auto State = askState(Sent, Sent.Deadline);
    if (!State)
      break;
    if (hasWeights(*State, Sent))
      return OrderOutcome::CarriedOut;
    // A copy that is under way is refused once a later one was accepted: it
    // names the same count of orders.
    int Status = State->Busy ? StatusBusy : sendOnce(Sent, State->Orders);
    if (Status == StatusAccepted || Status == FirstSuccessStatus)
      return watch(Sent) ? OrderOutcome::CarriedOut : OrderOutcome::Accepted;
    if (Status == StatusFenced || Status == StatusUnknown)
      return OrderOutcome::Refused;
    MayHaveArrived |= Status == 0;
    if (!pause(WatchPeriod))
      break;
  }
  return MayHaveArrived ? OrderOutcome::Lost : OrderOutcome::NotSent;
}

} // namespace ferry::daemon

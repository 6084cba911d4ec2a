#include "ferryd/OrderSender.h"
#include "LibCore/Visit.h"
#include "LibTraffic/TargetConnection.h"
#include <Poco/JSON/Object.h>
#include <sstream>

namespace ferry::daemon {

using control::OrderOutcome;
using traffic::LinkErrorKind;

static constexpr size_t SendingThreads = 4;
static constexpr int FirstSuccessStatus = 200;
static constexpr int FirstRedirectStatus = 300;

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

OrderSender::OrderSender(Callback Done) : Done(std::move(Done)) {
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
  Wanted.notify_one();
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
    Done({Sent.OrderId, carryOut(Sent)});
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

} // namespace ferry::daemon

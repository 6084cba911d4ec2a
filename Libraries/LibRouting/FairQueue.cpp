#include "LibRouting/FairQueue.h"
#include "LibRouting/RequestState.h"
#include <algorithm>
#include <cassert>

namespace ferry::routing {

static constexpr double InteractiveWeight = 8;
/// Idle flows kept before those that fell behind the system time are dropped.
static constexpr size_t MaxIdleFlows = 256;

double flowWeight(uint32_t Share, Priority Level) {
  double Factor = Level == Priority::Interactive ? InteractiveWeight : 1;
  return Factor * std::max<uint32_t>(Share, 1);
}

static FairQueue::FlowKey keyOf(const RequestState &Request) {
  return {Request.Workspace, Request.Priority};
}

FairQueue::Flow &FairQueue::activate(const FlowKey &Key, uint32_t Share) {
  dropIdleFlows();
  Flow &Chosen = Flows[Key];
  Chosen.Key = Key;
  Chosen.Weight = flowWeight(Share, Key.Priority);
  // A flow that was idle has no claim on the time it did not use.
  if (Chosen.Waiting.empty())
    Chosen.VirtualTime = std::max(Chosen.VirtualTime, SystemTime);
  return Chosen;
}

FairQueue::Flow &FairQueue::flowOf(const RequestState &Request) {
  auto Found = Flows.find(keyOf(Request));
  assert(Found != Flows.end() && "a waiting request has a flow");
  return Found->second;
}

void FairQueue::push(RequestState &Request, uint32_t Share) {
  Flow &Chosen = activate(keyOf(Request), Share);
  Chosen.Waiting.push_back(&Request);
  Chosen.QueuedWork += Request.work();
  ++Count;
}

void FairQueue::pushFront(RequestState &Request, uint32_t Share) {
  Flow &Chosen = activate(keyOf(Request), Share);
  Chosen.Waiting.push_front(&Request);
  Chosen.QueuedWork += Request.work();
  ++Count;
}

void FairQueue::remove(RequestState &Request) {
  Flow &Chosen = flowOf(Request);
  auto Found =
      std::find(Chosen.Waiting.begin(), Chosen.Waiting.end(), &Request);
  assert(Found != Chosen.Waiting.end() && "a waiting request is in its flow");
  Chosen.Waiting.erase(Found);
  Chosen.QueuedWork -= Request.work();
  if (Chosen.Waiting.empty())
    Chosen.QueuedWork = 0;
  --Count;
}

bool FairQueue::holds(const RequestState &Request) const {
  auto Found = Flows.find(keyOf(Request));
  if (Found == Flows.end())
    return false;
  const auto &Waiting = Found->second.Waiting;
  return std::find(Waiting.begin(), Waiting.end(), &Request) != Waiting.end();
}

void FairQueue::serve(RequestState &Request, double Work) {
  remove(Request);
  Flow &Chosen = flowOf(Request);
  SystemTime = std::max(SystemTime, Chosen.VirtualTime);
  Chosen.VirtualTime += Work / Chosen.Weight;
}

void FairQueue::charge(const FlowKey &Key, uint32_t Share, double Work) {
  Flow &Chosen = activate(Key, Share);
  Chosen.VirtualTime += Work / Chosen.Weight;
}

void FairQueue::dropIdleFlows() {
  if (Flows.size() <= MaxIdleFlows)
    return;
  std::erase_if(Flows, [this](const auto &Entry) {
    const Flow &Each = Entry.second;
    return Each.Waiting.empty() && Each.VirtualTime <= SystemTime;
  });
}

std::vector<FairQueue::Flow *> FairQueue::backlogged() {
  std::vector<Flow *> Order;
  for (auto &[Key, Each] : Flows)
    if (!Each.Waiting.empty())
      Order.push_back(&Each);
  std::sort(Order.begin(), Order.end(),
            [](const Flow *Left, const Flow *Right) {
              return Left->VirtualTime < Right->VirtualTime;
            });
  return Order;
}

RequestState *FairQueue::overSharedRequest() {
  Flow *Heaviest = nullptr;
  for (auto &[Key, Each] : Flows) {
    if (Each.Waiting.empty())
      continue;
    if (!Heaviest ||
        Each.QueuedWork / Each.Weight > Heaviest->QueuedWork / Heaviest->Weight)
      Heaviest = &Each;
  }
  return Heaviest ? Heaviest->Waiting.back() : nullptr;
}

double FairQueue::workAhead(const FlowKey &Key, uint32_t Share) const {
  double Weight = flowWeight(Share, Key.Priority);
  auto Own = Flows.find(Key);
  double OwnWork = Own == Flows.end() ? 0 : Own->second.QueuedWork;
  double Start = SystemTime;
  if (Own != Flows.end())
    Start = std::max(Start, Own->second.VirtualTime);
  // Other flows are served up to the virtual time at which this one's turn
  // comes, but no more than what they hold.
  double Turn = Start + OwnWork / Weight;
  double Ahead = OwnWork;
  for (const auto &[OtherKey, Other] : Flows) {
    if (OtherKey == Key || Other.Waiting.empty())
      continue;
    double Span = std::max(0.0, Turn - Other.VirtualTime);
    Ahead += std::min(Other.QueuedWork, Span * Other.Weight);
  }
  return Ahead;
}

} // namespace ferry::routing

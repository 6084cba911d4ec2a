#include "LibRouting/FairQueue.h"
#include "LibRouting/RequestState.h"
#include <algorithm>
#include <cassert>

namespace ferry::routing {

static constexpr double InteractiveWeight = 8;
/// Number of flows above which idle ones behind the system time are dropped.
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
  Flow &Active = Flows[Key];
  Active.Key = Key;
  Active.Weight = flowWeight(Share, Key.Priority);
  // A flow gets no credit for the time that it was idle.
  if (Active.Waiting.empty())
    Active.VirtualTime = std::max(Active.VirtualTime, SystemTime);
  return Active;
}

FairQueue::Flow &FairQueue::flowOf(const RequestState &Request) {
  auto Entry = Flows.find(keyOf(Request));
  assert(Entry != Flows.end() && "a waiting request has a flow");
  return Entry->second;
}

void FairQueue::push(RequestState &Request, uint32_t Share) {
  Flow &Active = activate(keyOf(Request), Share);
  Active.Waiting.push_back(&Request);
  Active.QueuedWork += Request.work();
  ++Count;
}

void FairQueue::pushFront(RequestState &Request, uint32_t Share) {
  Flow &Active = activate(keyOf(Request), Share);
  Active.Waiting.push_front(&Request);
  Active.QueuedWork += Request.work();
  ++Count;
}

void FairQueue::remove(RequestState &Request) {
  Flow &Owner = flowOf(Request);
  auto Position =
      std::find(Owner.Waiting.begin(), Owner.Waiting.end(), &Request);
  assert(Position != Owner.Waiting.end() && "a waiting request is in its flow");
  Owner.Waiting.erase(Position);
  Owner.QueuedWork -= Request.work();
  if (Owner.Waiting.empty())
    Owner.QueuedWork = 0;
  --Count;
}

bool FairQueue::contains(const RequestState &Request) const {
  auto Entry = Flows.find(keyOf(Request));
  if (Entry == Flows.end())
    return false;
  const auto &Waiting = Entry->second.Waiting;
  return std::find(Waiting.begin(), Waiting.end(), &Request) != Waiting.end();
}

void FairQueue::serve(RequestState &Request, double Work) {
  remove(Request);
  Flow &Served = flowOf(Request);
  SystemTime = std::max(SystemTime, Served.VirtualTime);
  Served.VirtualTime += Work / Served.Weight;
}

void FairQueue::charge(const FlowKey &Key, uint32_t Share, double Work) {
  Flow &Charged = activate(Key, Share);
  Charged.VirtualTime += Work / Charged.Weight;
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

RequestState *FairQueue::newestOverSharedRequest() {
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
  // Until this flow's virtual time of service, every other flow is served as
  // far as its weight and its queued work allow.
  double ServiceTime = Start + OwnWork / Weight;
  double Ahead = OwnWork;
  for (const auto &[OtherKey, Other] : Flows) {
    if (OtherKey == Key || Other.Waiting.empty())
      continue;
    double Span = std::max(0.0, ServiceTime - Other.VirtualTime);
    Ahead += std::min(Other.QueuedWork, Span * Other.Weight);
  }
  return Ahead;
}

} // namespace ferry::routing

#include "LibTraffic/SharedReach.h"
#include "LibObserve/Guard.h"
#include "LibObserve/Log.h"
#include "LibTraffic/TargetExchange.h"
#include <array>
#include <cstdio>
#include <random>

namespace ferry::traffic {

using namespace ferry::routing;

/// Time for the connection of a probe, and for a reset of it.
static constexpr Duration ProbeConnectLimit = std::chrono::milliseconds(300);
static constexpr Duration ProbeResetLimit = std::chrono::milliseconds(200);

static std::string randomKey() {
  std::random_device Device;
  std::string Key;
  for (int Word = 0; Word < 4; ++Word) {
    std::array<char, 9> Digits{};
    std::snprintf(Digits.data(), Digits.size(), "%08x", Device());
    Key += Digits.data();
  }
  return Key;
}

SharedReach::SharedReach()
    : PassKey(randomKey()), Reach(systemSeed()), Random(systemSeed()),
      Prober([this] { probeUntilStopped(); }) {}

void SharedReach::stop() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  if (Prober.joinable())
    Prober.join();
}

template <typename StepType> void SharedReach::update(StepType Step) {
  bool WasCutOff = false;
  bool IsCutOff = false;
  {
    std::lock_guard Lock(Mutex);
    WasCutOff = Reach.isCutOff();
    Step();
    IsCutOff = Reach.isCutOff();
    CutOff = IsCutOff;
  }
  if (WasCutOff == IsCutOff)
    return;
  observe::logEvent(observe::Severity::Warning, "routed", "reach_changed",
                    {{"cut_off", IsCutOff}});
  Changed.notify_all();
  if (IsCutOff)
    AskHelpers();
}

void SharedReach::setView(const RoutingViewPtr &NewView) {
  update([&] {
    View = NewView;
    Reach.setKnownTargets(View->Targets.size());
  });
}

void SharedReach::noteUnreachable(const TargetId &Target) {
  update([&] { Reach.noteUnreachable(Target, steadyNow()); });
}

void SharedReach::noteBroken(const TargetId &Target) {
  update([&] { Reach.noteBroken(Target, steadyNow()); });
}

void SharedReach::noteConnected(Timestamp Now) {
  std::lock_guard Lock(Mutex);
  Reach.noteConnected(Now);
}

void SharedReach::noteAnswered(Timestamp ConnectedAt) {
  std::lock_guard Lock(Mutex);
  Reach.noteAnswered(ConnectedAt, steadyNow());
}

void SharedReach::noteHelper(const HostId &Router, const RouterReach &Told) {
  std::lock_guard Lock(Mutex);
  Reach.noteHelper(Router, Told, steadyNow());
}

std::optional<SharedReach::Address>
SharedReach::chooseHelper(const std::vector<HostId> &Tried) {
  std::lock_guard Lock(Mutex);
  auto Chosen = Reach.chooseHelper(Tried, steadyNow());
  if (!Chosen || !View)
    return std::nullopt;
  for (const HostView &Host : View->Hosts)
    if (Host.Id == Chosen->Id && !Host.CallerAddress.empty())
      return Address{*Chosen, Host.CallerAddress};
  return std::nullopt;
}

bool SharedReach::awaitsHelpers() const {
  std::lock_guard Lock(Mutex);
  return Reach.awaitsHelpers(steadyNow());
}

RouterReach SharedReach::ownReach(bool Serves) const {
  return {Serves && !CutOff, PassKey};
}

std::string SharedReach::anyTarget() {
  std::lock_guard Lock(Mutex);
  if (!View || View->Targets.empty())
    return "";
  return View->Targets[randomBelow(Random, View->Targets.size())].Address;
}

bool SharedReach::probe(const std::string &TargetAddress) {
  WaitLimits Limits;
  Limits.Deadline = steadyNow() + ProbeConnectLimit;
  auto Connected = TargetExchange::tryConnect(TargetAddress, Limits);
  if (!Connected)
    return false;
  Limits.Deadline = steadyNow() + ProbeResetLimit;
  auto Received = (*Connected)->tryReceiveHead(Limits);
  return Received || Received.error().Kind == LinkErrorKind::DeadlinePassed;
}

void SharedReach::probeUntilStopped() {
  while (true) {
    {
      std::unique_lock Lock(Mutex);
      Changed.wait(Lock, [this] { return Stopping || CutOff; });
      // A cut that has just begun is not over yet.
      Changed.wait_until(Lock, steadyNow() + TargetReach::ProbeInterval,
                         [this] { return Stopping; });
      if (Stopping)
        return;
    }
    observe::runGuarded("prober", [this] {
      std::string Target = anyTarget();
      bool Reached = !Target.empty() && probe(Target);
      update([&] { Reach.noteProbe(Reached, steadyNow()); });
    });
  }
}

} // namespace ferry::traffic

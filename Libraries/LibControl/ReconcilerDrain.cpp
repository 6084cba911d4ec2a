// The drain of engines before they load weights, within the time that the
// deadline of the named weights leaves for each.
#include "LibControl/Reconciler.h"
#include <algorithm>

namespace ferry::control {

/// \returns what becomes of the requests on \p Target if it gets its order now.
RunningRequests Reconciler::runningRequests(const TargetRecord &Target,
                                            Task &Work, Timestamp Now) const {
  if (Opts.WeightsDeadline <= Duration::zero() || !readsState() || !Work.Slot)
    return RunningRequests::Finish;
  if (!Work.DrainUntil)
    Work.DrainUntil = drainUntil(Target, Now);
  return Now < *Work.DrainUntil ? RunningRequests::Await
                                : RunningRequests::GoOn;
}

/// \returns when the first weights newer than those of \p Target were named.
Timestamp Reconciler::supersededSince(const TargetRecord &Target) const {
  auto Newer = std::find_if(Named.begin(), Named.end(),
                            [&](const routing::NamedWeights &Version) {
                              return Version.Model == Target.Model &&
                                     Version.Weights > weightsOf(Target);
                            });
  return Newer == Named.end() ? NeverExpires : Newer->Since;
}

/// \returns until when \p Target may be drained: the time until its deadline,
/// shared with the engines that are due no later, less the time of a load.
Timestamp Reconciler::drainUntil(const TargetRecord &Target,
                                 Timestamp Now) const {
  Timestamp Since = supersededSince(Target);
  if (Since == NeverExpires)
    return Now + MaxDrainTime;
  auto Due = static_cast<uint32_t>(std::count_if(
      View->Targets.begin(), View->Targets.end(),
      [&](const TargetRecord &Item) {
        return isUsableEngine(Item, Now) && supersededSince(Item) <= Since;
      }));
  uint32_t AtOnce = std::max(View->Description->Limits.MaxWeightsLoads, 1U);
  uint32_t Rounds = std::max((Due + AtOnce - 1) / AtOnce, 1U);
  Duration Left = Since + Opts.WeightsDeadline - RolloutReserve - Now;
  return Now + std::clamp(Left / Rounds - PlannedLoadTime, Duration::zero(),
                          MaxDrainTime);
}

} // namespace ferry::control

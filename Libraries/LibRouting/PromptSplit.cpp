#include "LibRouting/PromptSplit.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace ferry::routing {

/// Work that counts before any was seen, in seconds of reading.
static constexpr double InitialLongSeconds = 0.5;
static constexpr double InitialShortSeconds = 0.07;

bool PromptSplit::isCalledFor(const config::RouteTable &Table,
                              const ServiceId &Service) {
  uint32_t Longest = 0;
  uint32_t Shortest = std::numeric_limits<uint32_t>::max();
  for (const config::Route &Route : Table.routes()) {
    bool LeadsThere = std::any_of(
        Route.Shares.begin(), Route.Shares.end(),
        [&](const auto &Share) { return Share.Service == Service; });
    if (!Route.SharesPrompts || Route.DesiredLatencyMillis == 0 || !LeadsThere)
      continue;
    Longest = std::max(Longest, Route.DesiredLatencyMillis);
    Shortest = std::min(Shortest, Route.DesiredLatencyMillis);
  }
  return Longest >= MinLongLatencyMillis &&
         Shortest <= MaxLatencyRatio * Longest;
}

bool PromptSplit::isCalledForAny(const config::RouteTable &Table) {
  return std::any_of(Table.services().begin(), Table.services().end(),
                     [&](const config::RoutedService &Service) {
                       return Service.Engine && isCalledFor(Table, Service.Id);
                     });
}

void PromptSplit::noteSent(bool IsLong, double Seconds, Timestamp Now) {
  double HalfLives =
      double((Now - CountedAt).count()) / double(WorkHalfLife.count());
  double Weight = std::exp2(-std::max(0.0, HalfLives));
  LongSeconds *= Weight;
  ShortSeconds *= Weight;
  (IsLong ? LongSeconds : ShortSeconds) += std::max(0.0, Seconds);
  CountedAt = std::max(CountedAt, Now);
}

double PromptSplit::longShare() const {
  double Long = LongSeconds + InitialLongSeconds;
  double Short = ShortWorkFactor * (ShortSeconds + InitialShortSeconds);
  return std::clamp(Long / (Long + Short), MinLongShare, MaxLongShare);
}

} // namespace ferry::routing

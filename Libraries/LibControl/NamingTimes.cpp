#include "LibControl/NamingTimes.h"
#include <algorithm>
#include <limits>

namespace ferry::control {

/// \returns when a version was named by the monotonic clock. An unknown time,
/// and one ahead of this host's clock, count as now: the deadline is then late
/// by at most the true age. It is early by as much as the leader's clock was
/// behind at the naming or this host's clock is ahead.
static Timestamp namedSince(UnixMillis NamedAt, UnixMillis WallNow,
                            Timestamp Now) {
  if (NamedAt.Value <= 0 || NamedAt >= WallNow)
    return Now;
  return Now - std::chrono::milliseconds(WallNow.Value - NamedAt.Value);
}

void NamingTimes::update(const ModelId &Model,
                         const std::vector<registry::NamedVersion> &Versions,
                         UnixMillis WallNow, Timestamp Now) {
  std::vector<routing::NamedWeights> &Known = NamedByModel[Model];
  // A log that is opened again is applied anew from its start.
  if (Versions.empty() ||
      (!Known.empty() && Versions.back().Weights < Known.back().Weights))
    return;
  std::vector<routing::NamedWeights> Updated;
  for (const registry::NamedVersion &Version : Versions) {
    // The log may have dropped versions before this one since, which then has
    // the time of the first of them.
    auto Same = std::find_if(
        Known.begin(), Known.end(), [&](const routing::NamedWeights &Named) {
          return Updated.empty() ? Named.Weights == Version.Weights
                                 : Named.Weights > Updated.back().Weights;
        });
    bool IsKnown = Same != Known.end() && Same->Weights <= Version.Weights;
    Timestamp Since =
        IsKnown ? Same->Since : namedSince(Version.NamedAt, WallNow, Now);
    Updated.push_back({Model, Version.Weights, Since});
  }
  // A version was named no later than the next one. This dates one whose time
  // is unknown or was taken from a clock that was ahead.
  for (size_t Index = Updated.size(); Index-- > 1;)
    Updated[Index - 1].Since =
        std::min(Updated[Index - 1].Since, Updated[Index].Since);
  Known = std::move(Updated);
}

std::vector<routing::NamedWeights> NamingTimes::all() const {
  std::vector<routing::NamedWeights> Result;
  for (const auto &[Model, Named] : NamedByModel)
    Result.insert(Result.end(), Named.begin(), Named.end());
  return Result;
}

int32_t ageMillis(const routing::NamedWeights &Named, Timestamp Now) {
  int64_t Millis = millisUntil(Now, Named.Since);
  return static_cast<int32_t>(
      std::min<int64_t>(Millis, std::numeric_limits<int32_t>::max()));
}

} // namespace ferry::control

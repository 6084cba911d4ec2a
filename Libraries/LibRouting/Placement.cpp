#include "LibRouting/Placement.h"
#include "LibCore/Visit.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cassert>

namespace ferry::routing {

/// Load by which a target may always exceed the mean, in requests.
static constexpr double LoadSlack = 1;
/// Weight of a failing target's failure rate against its use.
static constexpr double FailureWeight = 2;

uint64_t placementKey(const RequestState &Request) {
  if (!Request.Blocks.empty())
    return Request.Blocks.front().Value;
  return hashIdentifier(Request.Id.Value);
}

uint64_t missingTokens(const RequestState &Request, const Candidate &Each) {
  uint64_t Cached = Each.CachedBlocks * cache::BlockTokens;
  return Request.PromptTokens > Cached ? Request.PromptTokens - Cached : 0;
}

static double estimateSeconds(const RequestState &Request,
                              const Candidate &Each,
                              LoadCorrection Correction) {
  double Missing = static_cast<double>(missingTokens(Request, Each));
  return Each.Target->waitSeconds(Correction) +
         Missing / Each.Target->prefillRate();
}

/// Ranks by rendezvous weight, then takes the first below the bound on load.
static size_t chooseBoundedHash(const RequestState &Request, double LoadFactor,
                                std::span<const Candidate> Candidates) {
  double Total = 1;
  for (const Candidate &Each : Candidates)
    Total += Each.Target->occupancy(LoadCorrection::OwnTries);
  double Bound =
      LoadFactor * Total / static_cast<double>(Candidates.size()) + LoadSlack;
  uint64_t Key = placementKey(Request);
  std::optional<size_t> Best;
  uint64_t BestWeight = 0;
  for (size_t Index = 0; Index < Candidates.size(); ++Index) {
    const TargetState &Target = *Candidates[Index].Target;
    if (Target.occupancy(LoadCorrection::OwnTries) > Bound)
      continue;
    uint64_t Weight = rendezvousWeight(Target.idHash(), Key);
    if (!Best || Weight > BestWeight) {
      Best = Index;
      BestWeight = Weight;
    }
  }
  assert(Best && "some target is at or below the mean load");
  return *Best;
}

static PlacementChoice placeHashed(const BoundedHashPlacement &Policy,
                                   const PlacementQuery &Query,
                                   std::span<const Candidate> Candidates) {
  size_t Index =
      chooseBoundedHash(*Query.Request, Policy.LoadFactor, Candidates);
  return {Index, estimateSeconds(*Query.Request, Candidates[Index],
                                 LoadCorrection::OwnTries)};
}

static PlacementChoice placeEstimated(const EstimatedTimePlacement &,
                                      const PlacementQuery &Query,
                                      std::span<const Candidate> Candidates) {
  return placeHashed({}, Query, Candidates);
}

PlacementChoice place(const PlacementPolicy &Policy,
                      const PlacementQuery &Query,
                      std::span<const Candidate> Candidates) {
  assert(!Candidates.empty() && "there is a target to choose");
  return match(
      Policy,
      [&](const EstimatedTimePlacement &Chosen) {
        return placeEstimated(Chosen, Query, Candidates);
      },
      [&](const BoundedHashPlacement &Chosen) {
        return placeHashed(Chosen, Query, Candidates);
      },
      [&](const CustomPlacement &Chosen) {
        size_t Index = Chosen.Choose(Query, Candidates);
        return PlacementChoice{
            Index, estimateSeconds(*Query.Request, Candidates[Index],
                                   LoadCorrection::OwnTries)};
      });
}

PlacementChoice placeCall(const PlacementQuery &Query,
                          std::span<const Candidate> Candidates) {
  assert(!Candidates.empty() && "there is a target to choose");
  uint64_t Key = placementKey(*Query.Request);
  size_t Best = 0;
  double BestScore = 0;
  uint64_t BestWeight = 0;
  for (size_t Index = 0; Index < Candidates.size(); ++Index) {
    const Candidate &Each = Candidates[Index];
    const TargetState &Target = *Each.Target;
    double Score = Target.occupancy(LoadCorrection::OwnTries) / Target.limit() +
                   FailureWeight * Target.failureRate();
    if (Each.Space == Candidate::Room::Full)
      Score += 1 + FailureWeight;
    uint64_t Weight = rendezvousWeight(Target.idHash(), Key);
    bool Better = Index == 0 || Score < BestScore ||
                  (Score == BestScore && Weight > BestWeight);
    if (!Better)
      continue;
    Best = Index;
    BestScore = Score;
    BestWeight = Weight;
  }
  return {Best, 0};
}

} // namespace ferry::routing

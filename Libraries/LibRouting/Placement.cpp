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

/// Time to set up an import.
static constexpr double ImportSetupSeconds = 0.01;

/// \returns the tokens that the store has and \p Each lacks.
static double importableTokens(const PlacementQuery &Query,
                               const Candidate &Each) {
  if (!Query.Store || Query.StoreBlocks <= Each.CachedBlocks)
    return 0;
  return static_cast<double>((Query.StoreBlocks - Each.CachedBlocks) *
                             cache::BlockTokens);
}

static double importSeconds(const PlacementQuery &Query, double Tokens) {
  return ImportSetupSeconds + Tokens / Query.ImportTokensPerSecond;
}

bool importPays(const PlacementQuery &Query, const Candidate &Each) {
  double Tokens = importableTokens(Query, Each);
  if (Tokens <= 0 || Query.ImportTokensPerSecond <= 0)
    return false;
  return importSeconds(Query, Tokens) < Tokens / Each.Target->prefillRate();
}

uint64_t computedTokens(const PlacementQuery &Query, const Candidate &Each) {
  if (!importPays(Query, Each))
    return missingTokens(*Query.Request, Each);
  Candidate Imported = Each;
  Imported.CachedBlocks = Query.StoreBlocks;
  return missingTokens(*Query.Request, Imported);
}

double prefillSeconds(const PlacementQuery &Query, const Candidate &Each) {
  double Seconds = static_cast<double>(computedTokens(Query, Each)) /
                   Each.Target->prefillRate();
  if (importPays(Query, Each))
    Seconds += importSeconds(Query, importableTokens(Query, Each));
  return Seconds;
}

static double estimateSeconds(const PlacementQuery &Query,
                              const Candidate &Each,
                              LoadCorrection Correction) {
  return Each.Target->waitSeconds(Correction, Query.Now) +
         prefillSeconds(Query, Each);
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
  return {Index,
          estimateSeconds(Query, Candidates[Index], LoadCorrection::OwnTries)};
}

/// \returns the score of one candidate, in weighed seconds; the least wins.
static double scoreEstimate(const EstimatedTimePlacement &Policy,
                            const PlacementQuery &Query,
                            const Candidate &Each) {
  double Prefill = prefillSeconds(Query, Each);
  double Score =
      Each.Target->waitSeconds(Policy.Correction, Query.Now) + Prefill;
  if (Query.Objective == config::Objective::HitRate)
    Score += Policy.HitRateRecomputeWeight * Prefill;
  else
    Score += Policy.TailRecomputeWeight * Prefill +
             Policy.TailWeight * Each.Target->deviationSeconds();
  // Among equals all routers prefer the same targets, so that a prefix that
  // outgrows one home gets the same second one from each of them.
  uint64_t Weight =
      rendezvousWeight(Each.Target->idHash(), placementKey(*Query.Request));
  double Rank = 1 - static_cast<double>(Weight >> 11) * 0x1p-53;
  double Whole = static_cast<double>(Query.Request->PromptTokens) /
                 Each.Target->prefillRate();
  return Score + Policy.RankWeight * Rank * Whole;
}

static PlacementChoice placeEstimated(const EstimatedTimePlacement &Policy,
                                      const PlacementQuery &Query,
                                      std::span<const Candidate> Candidates) {
  bool Known =
      std::any_of(Candidates.begin(), Candidates.end(),
                  [](const Candidate &Each) { return Each.CachedBlocks > 0; });
  if (!Known && !Query.Request->Blocks.empty())
    return placeHashed({}, Query, Candidates);
  size_t Best = 0;
  double BestScore = scoreEstimate(Policy, Query, Candidates[0]);
  for (size_t Index = 1; Index < Candidates.size(); ++Index) {
    double Score = scoreEstimate(Policy, Query, Candidates[Index]);
    if (Score >= BestScore)
      continue;
    Best = Index;
    BestScore = Score;
  }
  return {Best, estimateSeconds(Query, Candidates[Best], Policy.Correction)};
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
        return PlacementChoice{Index,
                               estimateSeconds(Query, Candidates[Index],
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

#include "LibRouting/PlacementPolicy.h"
#include "LibCore/Visit.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cassert>

namespace ferry::routing {

/// Requests that the bound allows beyond LoadFactor times the mean load.
static constexpr double LoadSlack = 1;
/// Weight of a target's failure rate relative to its occupancy.
static constexpr double FailureWeight = 2;

uint64_t placementKey(const RequestState &Request) {
  if (!Request.Blocks.empty())
    return Request.Blocks.front().Value;
  return hashIdentifier(Request.Id.Value);
}

uint64_t missingTokens(const RequestState &Request, const Candidate &Option) {
  uint64_t Cached = Option.CachedBlocks * cache::BlockTokens;
  return Request.PromptTokens > Cached ? Request.PromptTokens - Cached : 0;
}

/// Time to set up an import from the store.
static constexpr double ImportSetupSeconds = 0.01;

/// \returns the tokens that the store holds and \p Option lacks.
static double importableTokens(const PlacementQuery &Query,
                               const Candidate &Option) {
  if (!Query.Store || Query.StoreBlocks <= Option.CachedBlocks)
    return 0;
  return static_cast<double>((Query.StoreBlocks - Option.CachedBlocks) *
                             cache::BlockTokens);
}

static double importSeconds(const PlacementQuery &Query, double Tokens) {
  return ImportSetupSeconds + Tokens / Query.ImportTokensPerSecond;
}

bool importPays(const PlacementQuery &Query, const Candidate &Option) {
  double Tokens = importableTokens(Query, Option);
  if (Tokens <= 0 || Query.ImportTokensPerSecond <= 0)
    return false;
  return importSeconds(Query, Tokens) < Tokens / Option.Target->prefillRate();
}

uint64_t computedTokens(const PlacementQuery &Query, const Candidate &Option) {
  if (!importPays(Query, Option))
    return missingTokens(*Query.Request, Option);
  Candidate AfterImport = Option;
  AfterImport.CachedBlocks = Query.StoreBlocks;
  return missingTokens(*Query.Request, AfterImport);
}

double prefillSeconds(const PlacementQuery &Query, const Candidate &Option) {
  double Seconds = static_cast<double>(computedTokens(Query, Option)) /
                   Option.Target->prefillRate();
  if (importPays(Query, Option))
    Seconds += importSeconds(Query, importableTokens(Query, Option));
  return Seconds;
}

static double estimateSeconds(const PlacementQuery &Query,
                              const Candidate &Option,
                              LoadCorrection Correction) {
  return Option.Target->waitSeconds(Correction, Query.Now) +
         prefillSeconds(Query, Option);
}

/// \returns the candidate with the greatest rendezvous weight among those whose
/// load is at most the bound.
static size_t chooseBoundedHash(const RequestState &Request, double LoadFactor,
                                std::span<const Candidate> Candidates) {
  double Total = 1;
  for (const Candidate &Option : Candidates)
    Total += Option.Target->occupancy(LoadCorrection::OwnTries);
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

/// \returns the score of one candidate in weighted seconds; the least one wins.
static double scoreEstimate(const EstimatedTimePlacement &Policy,
                            const PlacementQuery &Query,
                            const Candidate &Option) {
  double Prefill = prefillSeconds(Query, Option);
  double Score =
      Option.Target->waitSeconds(Policy.Correction, Query.Now) + Prefill;
  if (Query.Objective == config::Objective::HitRate)
    Score += Policy.HitRateRecomputeWeight * Prefill;
  else
    Score += Policy.TailRecomputeWeight * Prefill +
             Policy.TailWeight * Option.Target->deviationSeconds();
  // All routers rank equal targets in the same order. A prefix with too many
  // requests for one target then spreads to the same second one from every
  // router.
  uint64_t Weight =
      rendezvousWeight(Option.Target->idHash(), placementKey(*Query.Request));
  double Rank = 1 - static_cast<double>(Weight >> 11) * 0x1p-53;
  double WholePrefill = static_cast<double>(Query.Request->PromptTokens) /
                        Option.Target->prefillRate();
  return Score + Policy.RankWeight * Rank * WholePrefill;
}

static PlacementChoice placeEstimated(const EstimatedTimePlacement &Policy,
                                      const PlacementQuery &Query,
                                      std::span<const Candidate> Candidates) {
  bool AnyCached = std::any_of(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &Option) { return Option.CachedBlocks > 0; });
  if (!AnyCached && !Query.Request->Blocks.empty())
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
      [&](const EstimatedTimePlacement &Selected) {
        return placeEstimated(Selected, Query, Candidates);
      },
      [&](const BoundedHashPlacement &Selected) {
        return placeHashed(Selected, Query, Candidates);
      },
      [&](const CustomPlacement &Selected) {
        size_t Index = Selected.Choose(Query, Candidates);
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
    const Candidate &Option = Candidates[Index];
    const TargetState &Target = *Option.Target;
    double Score = Target.occupancy(LoadCorrection::OwnTries) / Target.limit() +
                   FailureWeight * Target.failureRate();
    if (Option.Space == Candidate::Room::Full)
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

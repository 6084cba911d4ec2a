/// \file
/// The placement policies that the benchmark compares.
#ifndef FERRY_BENCHMARKS_PLACEMENT_ROWS_H
#define FERRY_BENCHMARKS_PLACEMENT_ROWS_H

#include "Simulation.h"

namespace ferry::bench {

using Candidates = std::span<const routing::Candidate>;

/// \returns the index of the first candidate with the least \p Cost.
template <typename CostType>
size_t pickLeast(Candidates Offered, CostType Cost) {
  size_t Best = 0;
  bool HasBest = false;
  double BestCost = 0;
  for (size_t Index = 0; Index < Offered.size(); ++Index) {
    double Each = Cost(Index);
    if (HasBest && Each >= BestCost)
      continue;
    Best = Index;
    BestCost = Each;
    HasBest = true;
  }
  return Best;
}

/// Added to the cost of a full candidate, so that it is chosen only if all are
/// full.
inline constexpr double FullCost = 1e9;

inline double fullCost(const routing::Candidate &Each) {
  return Each.Space == routing::Candidate::Room::Full ? FullCost : 0;
}

inline Row makeRoundRobin() {
  return {"round robin", [](Simulation &Run) -> routing::PlacementPolicy {
            auto Turn = std::make_shared<size_t>(Run.seed());
            return routing::CustomPlacement{
                [Turn](const routing::PlacementQuery &, Candidates Offered) {
                  ++*Turn;
                  return pickLeast(Offered, [&](size_t Index) {
                    return fullCost(Offered[Index]) +
                           static_cast<double>((Index + *Turn) %
                                               Offered.size());
                  });
                }};
          }};
}

inline Row makeLeastLoad() {
  return {"least load", [](Simulation &) -> routing::PlacementPolicy {
            return routing::CustomPlacement{
                [](const routing::PlacementQuery &Query, Candidates Offered) {
                  return pickLeast(Offered, [&](size_t Index) {
                    return fullCost(Offered[Index]) +
                           Offered[Index].Target->queuedPrefill(
                               routing::LoadCorrection::OwnTries, Query.Now) +
                           Offered[Index].Target->occupancy(
                               routing::LoadCorrection::OwnTries);
                  });
                }};
          }};
}

inline Row makeConsistentHash() {
  return {"consistent hash", [](Simulation &) -> routing::PlacementPolicy {
            return routing::CustomPlacement{
                [](const routing::PlacementQuery &Query, Candidates Offered) {
                  uint64_t Key = routing::placementKey(*Query.Request);
                  return pickLeast(Offered, [&](size_t Index) {
                    return -static_cast<double>(routing::rendezvousWeight(
                        Offered[Index].Target->idHash(), Key));
                  });
                }};
          }};
}

inline Row makeBoundedHash() {
  return {"bounded-load hash", [](Simulation &) -> routing::PlacementPolicy {
            return routing::BoundedHashPlacement{};
          }};
}

inline Row makeOurs(std::string Name, routing::EstimatedTimePlacement Policy,
                    EventSpread Spread = EventSpread::AllRouters,
                    uint32_t SampleEvery = 1) {
  return {std::move(Name),
          [Policy](Simulation &) -> routing::PlacementPolicy { return Policy; },
          Spread, SampleEvery};
}

/// What an oracle reads from the engines themselves; it takes the rest from the
/// router's estimates.
enum class OracleSight : uint8_t { CachesAndQueues, Caches, Queues };

inline double oracleCost(Simulation &Run, OracleSight Sight,
                         const routing::PlacementQuery &Query,
                         const routing::Candidate &Each) {
  FakeEngine &Engine = Run.engine(Each.Target->record().Id);
  if (!Engine.isUp())
    return 2 * FullCost;
  size_t Cached = Sight == OracleSight::Queues
                      ? Each.CachedBlocks
                      : Engine.trueMatch(Query.Request->Blocks);
  double Rate = Sight == OracleSight::Caches
                    ? Each.Target->prefillRate()
                    : Engine.options().PrefillTokensPerSecond;
  double Wait = Sight == OracleSight::Caches
                    ? Each.Target->waitSeconds(
                          routing::LoadCorrection::OwnTries, Query.Now)
                    : Engine.trueWaitSeconds();
  double Prefill = static_cast<double>(Query.Request->PromptTokens -
                                       Cached * cache::BlockTokens) /
                   Rate;
  double Weight = Query.Objective == config::Objective::HitRate ? 2 : 1;
  return Wait + Weight * Prefill;
}

/// Estimates times like makeOurs(), but reads the true state of the engines.
inline Row makeOracle(std::string Name, OracleSight Sight) {
  return {std::move(Name),
          [Sight](Simulation &Run) -> routing::PlacementPolicy {
            return routing::CustomPlacement{
                [&Run, Sight](const routing::PlacementQuery &Query,
                              Candidates Offered) {
                  return pickLeast(Offered, [&](size_t Index) {
                    return oracleCost(Run, Sight, Query, Offered[Index]);
                  });
                }};
          }};
}

inline std::vector<Row> makeRows() {
  using namespace routing;
  EstimatedTimePlacement Plain;
  Plain.Correction = LoadCorrection::Reported;
  Plain.Learning = RateLearning::Fixed;
  Plain.RankWeight = 0;
  EstimatedTimePlacement Corrected = Plain;
  Corrected.Correction = LoadCorrection::OwnTries;
  EstimatedTimePlacement Learned = Corrected;
  Learned.Learning = RateLearning::Learned;
  EstimatedTimePlacement Ours;
  return {makeRoundRobin(),
          makeLeastLoad(),
          makeConsistentHash(),
          makeBoundedHash(),
          makeOurs("ours: cache index", Plain),
          makeOurs("ours: + load corrected", Corrected),
          makeOurs("ours: + rates learned", Learned),
          makeOurs("ours", Ours),
          makeOurs("ours, every 4th block", Ours, EventSpread::AllRouters, 4),
          makeOurs("ours, events to 2 routers", Ours, EventSpread::TwoHomes),
          makeOurs("ours, no events", Ours, EventSpread::None),
          makeOracle("true caches only", OracleSight::Caches),
          makeOracle("true queues only", OracleSight::Queues),
          makeOracle("oracle", OracleSight::CachesAndQueues)};
}

} // namespace ferry::bench

#endif

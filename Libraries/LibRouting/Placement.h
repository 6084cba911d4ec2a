/// \file
/// Chooses the target of one request among those that may take it.
#ifndef FERRY_LIBROUTING_PLACEMENT_H
#define FERRY_LIBROUTING_PLACEMENT_H

#include "LibConfig/Description.h"
#include "LibRouting/TargetState.h"
#include <functional>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace ferry::routing {

/// One target that may be given the request.
struct Candidate {
  TargetState *Target = nullptr;
  /// Whether it may start one more request now.
  enum class Room : uint8_t { Free, Full } Space = Room::Full;
  /// Leading blocks of the prompt thought to be cached there.
  uint32_t CachedBlocks = 0;
  /// Leading blocks known to be cached there; never more than CachedBlocks.
  uint32_t SureBlocks = 0;
};

/// What a placement is told of the request.
struct PlacementQuery {
  const RequestState *Request = nullptr;
  config::Objective Objective = config::Objective::HitRate;
  Timestamp Now;
  /// The cache store that holds the most of the prompt, or nullptr.
  const TargetState *Store = nullptr;
  /// Leading blocks that may be imported from it.
  uint32_t StoreBlocks = 0;
  double ImportTokensPerSecond = 0;
};

/// The index of the chosen candidate, and the estimate behind it.
struct PlacementChoice {
  size_t Index = 0;
  /// Estimated seconds to the first token.
  double EstimateSeconds = 0;
};

/// Places by the estimated time to the first token, weighed by the service's
/// objective.
struct EstimatedTimePlacement {
  LoadCorrection Correction = LoadCorrection::OwnTries;
  RateLearning Learning = RateLearning::Learned;
  /// Added weight of the prefill: it delays all that wait behind it, too.
  double HitRateRecomputeWeight = 3.0;
  double TailRecomputeWeight = 1.0;
  /// Added weight of the estimate's deviation where the tail is the objective.
  double TailWeight = 1.0;
  /// Greatest penalty of a target's rendezvous rank, as a part of the time that
  /// the prompt's prefill takes.
  double RankWeight = 0.02;
};

/// Places by rendezvous hashing on the first block among targets below a bound
/// on their load.
struct BoundedHashPlacement {
  /// Greatest load of a target, as a multiple of the mean.
  double LoadFactor = 1.25;
};

/// Another way of placing, for experiments and embedders. \returns the index of
/// a candidate.
struct CustomPlacement {
  std::function<size_t(const PlacementQuery &, std::span<const Candidate>)>
      Choose;
};

using PlacementPolicy =
    std::variant<EstimatedTimePlacement, BoundedHashPlacement, CustomPlacement>;

/// Chooses among \p Candidates, which must not be empty. The chosen one may be
/// full: then waiting for it is expected to be the shorter way.
PlacementChoice place(const PlacementPolicy &Policy,
                      const PlacementQuery &Query,
                      std::span<const Candidate> Candidates);

/// Chooses among the targets of a plain service by health and free concurrency.
PlacementChoice placeCall(const PlacementQuery &Query,
                          std::span<const Candidate> Candidates);

/// \returns the prompt tokens that \p Each lacks for \p Request.
uint64_t missingTokens(const RequestState &Request, const Candidate &Each);

/// \returns whether importing from the store is shorter than computing what
/// the store has and \p Each lacks.
bool importPays(const PlacementQuery &Query, const Candidate &Each);

/// \returns the prompt tokens that \p Each would compute, imports counted.
uint64_t computedTokens(const PlacementQuery &Query, const Candidate &Each);

/// \returns the estimated seconds until \p Each would have the whole prompt
/// computed or imported, once it begins.
double prefillSeconds(const PlacementQuery &Query, const Candidate &Each);

/// \returns the key by which the targets are ranked for \p Request.
uint64_t placementKey(const RequestState &Request);

} // namespace ferry::routing

#endif

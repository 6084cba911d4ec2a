/// \file
/// Placement policies of the Scheduler, which serves the native interface: they
/// choose the target of one request among the usable ones, by the prompt blocks
/// that the cache index knows. The routed interface uses RoutedPlacement
/// instead.
#ifndef FERRY_LIBROUTING_PLACEMENTPOLICY_H
#define FERRY_LIBROUTING_PLACEMENTPOLICY_H

#include "LibConfig/Description.h"
#include "LibRouting/TargetState.h"
#include <functional>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace ferry::routing {

/// A target that may get the request.
struct Candidate {
  TargetState *Target = nullptr;
  /// Whether the target may start one more request now.
  enum class Room : uint8_t { Free, Full } Space = Room::Full;
  /// Leading blocks of the prompt that are probably cached at the target.
  uint32_t CachedBlocks = 0;
  /// Leading blocks known to be cached there; at most CachedBlocks.
  uint32_t SureBlocks = 0;
};

/// The request to place, and what the choice depends on besides the candidates.
struct PlacementQuery {
  const RequestState *Request = nullptr;
  config::Objective Objective = config::Objective::HitRate;
  Timestamp Now;
  /// The cache store that holds the longest prefix of the prompt, or nullptr.
  const TargetState *Store = nullptr;
  /// Leading blocks of the prompt that may be imported from Store.
  uint32_t StoreBlocks = 0;
  double ImportTokensPerSecond = 0;
};

/// The index of the chosen candidate, and its estimate.
struct PlacementChoice {
  size_t Index = 0;
  /// Estimated seconds to the first token.
  double EstimateSeconds = 0;
};

/// Chooses the target with the least estimated time to the first token,
/// weighted according to the service's objective.
struct EstimatedTimePlacement {
  LoadCorrection Correction = LoadCorrection::OwnTries;
  RateLearning Learning = RateLearning::Learned;
  /// Additional weight of the prefill by objective: a prefill also delays the
  /// requests that wait behind it.
  double HitRateRecomputeWeight = 3.0;
  double TailRecomputeWeight = 1.0;
  /// Additional weight of the estimate's deviation for the objective of tail
  /// latency.
  double TailWeight = 1.0;
  /// Greatest penalty of a target's rendezvous rank, as a fraction of the time
  /// to prefill the whole prompt.
  double RankWeight = 0.02;
};

/// Chooses by rendezvous hashing of the first block among the targets whose
/// load is below a bound.
struct BoundedHashPlacement {
  /// Greatest load of a target, as a multiple of the mean.
  double LoadFactor = 1.25;
};

/// A placement function of the embedding program or of an experiment. It
/// returns the index of a candidate.
struct CustomPlacement {
  std::function<size_t(const PlacementQuery &, std::span<const Candidate>)>
      Choose;
};

using PlacementPolicy =
    std::variant<EstimatedTimePlacement, BoundedHashPlacement, CustomPlacement>;

/// Chooses among \p Candidates, which must not be empty. The chosen target may
/// be full if waiting for it is expected to be faster than using another one.
PlacementChoice place(const PlacementPolicy &Policy,
                      const PlacementQuery &Query,
                      std::span<const Candidate> Candidates);

/// Chooses among the targets of a plain service by failure rate and occupancy.
PlacementChoice placeCall(const PlacementQuery &Query,
                          std::span<const Candidate> Candidates);

/// \returns the prompt tokens of \p Request that are not cached at \p Option.
uint64_t missingTokens(const RequestState &Request, const Candidate &Option);

/// \returns whether \p Option imports the blocks that it lacks from the store
/// faster than it computes them.
bool importPays(const PlacementQuery &Query, const Candidate &Option);

/// \returns the prompt tokens that \p Option would compute after an import that
/// pays.
uint64_t computedTokens(const PlacementQuery &Query, const Candidate &Option);

/// \returns the estimated seconds that \p Option takes to compute or import the
/// whole prompt, from the start of its prefill.
double prefillSeconds(const PlacementQuery &Query, const Candidate &Option);

/// \returns the rendezvous key by which targets are ranked for \p Request: its
/// first block, or its id if it has no blocks.
uint64_t placementKey(const RequestState &Request);

} // namespace ferry::routing

#endif

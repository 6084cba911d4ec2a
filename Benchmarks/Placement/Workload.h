/// \file
/// Generates the requests of two deployments: prompts share nested prefixes, a
/// few of which get most of the traffic.
#ifndef FERRY_BENCHMARKS_PLACEMENT_WORKLOAD_H
#define FERRY_BENCHMARKS_PLACEMENT_WORKLOAD_H

#include "LibCache/BlockHash.h"
#include "LibConfig/Description.h"
#include "LibCore/Random.h"
#include "LibRouting/SchedulerEvents.h"
#include <cmath>
#include <string>
#include <vector>

namespace ferry::bench {

/// The traffic of a deployment; sizes are in tokens. A prompt consists of a
/// root (catalogue or schedule), for long requests a branch (library or route),
/// and a question.
struct WorkloadShape {
  std::string Name;
  config::Objective Objective = config::Objective::HitRate;
  std::vector<std::string> DataCentres;
  int Routers = 8;
  double RequestsPerSecond = 15;
  /// The share of requests that are long.
  double LongShare = 0.4;
  int RootsPerWorkspace = 2;
  int BranchesPerRoot = 12;
  uint64_t RootTokens = 41'000;
  uint64_t BranchTokens = 20'500;
  uint64_t LongOutputTokens = 300;
  uint64_t ShortOutputTokens = 60;
  double LongDeadlineSeconds = 20;
  double ShortDeadlineSeconds = 6;
};

inline WorkloadShape makeAustral() {
  WorkloadShape Shape;
  Shape.Name = "Préstamos Austral";
  Shape.DataCentres = {"centro-a", "centro-b", "centro-c", "centro-d"};
  Shape.Routers = 8;
  return Shape;
}

inline WorkloadShape makePermitDesk() {
  WorkloadShape Shape;
  Shape.Name = "Bridge Permit Desk";
  Shape.Objective = config::Objective::TailLatency;
  Shape.DataCentres = {"windhoek-a", "windhoek-b", "okahandja"};
  Shape.Routers = 7;
  Shape.RequestsPerSecond = 24;
  Shape.LongShare = 0.5;
  Shape.RootsPerWorkspace = 1;
  Shape.BranchesPerRoot = 40;
  Shape.RootTokens = 61'000;
  Shape.BranchTokens = 8'500;
  Shape.LongOutputTokens = 200;
  Shape.ShortOutputTokens = 50;
  Shape.LongDeadlineSeconds = 10;
  Shape.ShortDeadlineSeconds = 5;
  return Shape;
}

inline constexpr uint32_t WorkspaceShares[] = {6, 4, 1, 1, 1, 1, 1, 1};

struct GeneratedRequest {
  WorkspaceId Workspace;
  size_t DataCentre = 0;
  uint64_t CallerKey = 0;
  std::vector<cache::BlockHash> Blocks;
  uint64_t PromptTokens = 0;
  uint64_t OutputTokens = 0;
  double DeadlineSeconds = 0;
};

class Workload {
public:
  Workload(WorkloadShape Shape, uint64_t Seed)
      : Shape(std::move(Shape)), Random(Seed) {}

  const WorkloadShape &shape() const { return Shape; }

  /// Moves the popularity to other roots and branches.
  void shiftHotPrefixes() { ++Shift; }

  /// \returns the time to the next request, which is exponentially distributed.
  /// \param Factor multiplies the rate of requests.
  double nextGapSeconds(double Factor) {
    double Uniform = (static_cast<double>(Random() >> 11) + 1) * 0x1p-53;
    return -std::log(Uniform) / (Shape.RequestsPerSecond * Factor);
  }

  GeneratedRequest next() {
    GeneratedRequest Request;
    size_t Workspace = pickWorkspace();
    Request.Workspace = WorkspaceId{"w" + std::to_string(Workspace)};
    Request.DataCentre = randomBelow(Random, Shape.DataCentres.size());
    Request.CallerKey = Random();
    bool IsLong = chance(Shape.LongShare);
    size_t Root =
        (pickSkewed(Shape.RootsPerWorkspace) + Shift) % Shape.RootsPerWorkspace;
    size_t Branch =
        (pickSkewed(Shape.BranchesPerRoot) + Shift * 5) % Shape.BranchesPerRoot;
    uint64_t Question = 200 + randomBelow(Random, 1200);
    Request.PromptTokens =
        Shape.RootTokens + (IsLong ? Shape.BranchTokens : 0) + Question;
    // With a single root per workspace, as in the permit desk, a shift replaces
    // the root by a new one: the schedule has changed.
    uint64_t Edition = Shape.RootsPerWorkspace == 1 ? Shift : 0;
    Request.Blocks =
        hashPrompt(Workspace, Root + 100 * Edition, IsLong ? Branch : NoBranch,
                   Request.PromptTokens);
    Request.OutputTokens =
        IsLong ? Shape.LongOutputTokens : Shape.ShortOutputTokens;
    Request.DeadlineSeconds =
        IsLong ? Shape.LongDeadlineSeconds : Shape.ShortDeadlineSeconds;
    return Request;
  }

private:
  static constexpr size_t NoBranch = ~size_t{0};

  bool chance(double Probability) {
    return static_cast<double>(Random() >> 11) * 0x1p-53 < Probability;
  }

  size_t pickWorkspace() {
    uint64_t Remaining = randomBelow(Random, 16);
    size_t Index = 0;
    while (Remaining >= WorkspaceShares[Index])
      Remaining -= WorkspaceShares[Index++];
    return Index;
  }

  /// \returns an index below \p Count by a Zipf distribution with exponent 1.
  size_t pickSkewed(int Count) {
    double Total = 0;
    for (int Rank = 1; Rank <= Count; ++Rank)
      Total += 1.0 / Rank;
    double Remaining = static_cast<double>(Random() >> 11) * 0x1p-53 * Total;
    for (int Rank = 1; Rank <= Count; ++Rank) {
      Remaining -= 1.0 / Rank;
      if (Remaining < 0)
        return Rank - 1;
    }
    return Count - 1;
  }

  /// \returns a hash for each block, chained over the prompt up to its end. The
  /// blocks that reach into the question are unique. The root may end inside a
  /// block, which then belongs to the branch.
  std::vector<cache::BlockHash> hashPrompt(size_t Workspace, size_t Root,
                                           size_t Branch,
                                           uint64_t PromptTokens) {
    std::vector<cache::BlockHash> Blocks;
    uint64_t Chain = mix(Workspace + 1);
    uint64_t Unique = Random();
    uint64_t BranchEnd =
        Shape.RootTokens + (Branch == NoBranch ? 0 : Shape.BranchTokens);
    for (uint64_t End = cache::BlockTokens; End <= PromptTokens;
         End += cache::BlockTokens) {
      uint64_t Content = Root + 1;
      if (End > Shape.RootTokens)
        Content = 1000 + 64 * Root + (Branch == NoBranch ? 63 : Branch);
      if (End > BranchEnd)
        Content = Unique;
      Chain = mix(Chain ^ mix(Content));
      Blocks.push_back({Chain});
    }
    return Blocks;
  }

  static uint64_t mix(uint64_t Value) {
    Value += 0x9E3779B97F4A7C15ULL;
    Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EBULL;
    return Value ^ (Value >> 31);
  }

  WorkloadShape Shape;
  RandomGenerator Random;
  size_t Shift = 0;
};

} // namespace ferry::bench

#endif

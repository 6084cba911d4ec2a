/// \file
/// The two deployments' traffic: nested prefixes, few of them very hot.
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

/// Sizes in tokens. A prompt is a root (catalogue or schedule), then for long
/// requests a branch (library or route), then a question.
struct WorkloadShape {
  std::string Name;
  config::Objective Objective = config::Objective::HitRate;
  std::vector<std::string> DataCentres;
  int Routers = 8;
  double RequestsPerSecond = 15;
  double LongPart = 0.4;
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
  Shape.LongPart = 0.5;
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
    bool IsLong = chance(Shape.LongPart);
    size_t Root =
        (pickSkewed(Shape.RootsPerWorkspace) + Shift) % Shape.RootsPerWorkspace;
    size_t Branch =
        (pickSkewed(Shape.BranchesPerRoot) + Shift * 5) % Shape.BranchesPerRoot;
    uint64_t Question = 200 + randomBelow(Random, 1200);
    Request.PromptTokens =
        Shape.RootTokens + (IsLong ? Shape.BranchTokens : 0) + Question;
    // A shift in the permit desk's single roots is a new schedule.
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

  bool chance(double Part) {
    return static_cast<double>(Random() >> 11) * 0x1p-53 < Part;
  }

  size_t pickWorkspace() {
    uint64_t Ticket = randomBelow(Random, 16);
    size_t Index = 0;
    while (Ticket >= WorkspaceShares[Index])
      Ticket -= WorkspaceShares[Index++];
    return Index;
  }

  /// Zipf with exponent 1.
  size_t pickSkewed(int Count) {
    double Total = 0;
    for (int Rank = 1; Rank <= Count; ++Rank)
      Total += 1.0 / Rank;
    double Ticket = static_cast<double>(Random() >> 11) * 0x1p-53 * Total;
    for (int Rank = 1; Rank <= Count; ++Rank) {
      Ticket -= 1.0 / Rank;
      if (Ticket < 0)
        return Rank - 1;
    }
    return Count - 1;
  }

  /// Each block is named by what it covers: the question makes the last ones
  /// unique, the root's end lies inside a block.
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

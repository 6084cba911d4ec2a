/// \file
/// Runs all cells of the comparison and writes them as Markdown tables.
#ifndef FERRY_BENCHMARKS_PLACEMENT_REPORT_H
#define FERRY_BENCHMARKS_PLACEMENT_REPORT_H

#include "Rows.h"
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace ferry::bench {

struct ScenarioName {
  Scenario Kind;
  const char *Name;
};

inline constexpr ScenarioName Scenarios[] = {
    {Scenario::Normal, "1x load"},
    {Scenario::Overload, "1.5x overload"},
    {Scenario::EngineLost, "an engine lost"},
    {Scenario::HotShift, "hot prefixes shifting"},
    {Scenario::RoutersRestart, "all routers restarted"},
    {Scenario::LossyEvents, "events late and 10% lost"}};

/// The mean, the least and the greatest value over the seeds.
struct Spread {
  double Mean = 0;
  double Low = 0;
  double High = 0;
};

/// All seeds of one row in one scenario.
struct Cell {
  std::vector<Figures> Runs;

  template <typename ValueType> Spread spread(ValueType Value) const {
    Spread Result{0, 1e300, -1e300};
    for (const Figures &Each : Runs) {
      double Figure = Value(Each);
      Result.Mean += Figure / static_cast<double>(Runs.size());
      Result.Low = std::min(Result.Low, Figure);
      Result.High = std::max(Result.High, Figure);
    }
    return Result;
  }
};

/// \returns the cost by the objective of the deployment's service; less is
/// better. Requests that are not answered in time count for both objectives.
inline double weighedCost(const WorkloadShape &Shape, const Figures &Each) {
  double Unserved = 1 - Each.goodput();
  double Tail = Each.percentile(0.99) / Shape.ShortDeadlineSeconds;
  double Missed = 1 - Each.hitRate();
  if (Shape.Objective == config::Objective::HitRate)
    return 0.4 * Missed + 0.2 * Each.wasted() + 0.1 * Tail + 0.3 * Unserved;
  return 0.1 * Missed + 0.1 * Each.wasted() + 0.5 * Tail + 0.3 * Unserved;
}

class Report {
public:
  Report(int Seeds, const std::string &RowFilter, double Load) : Seeds(Seeds) {
    for (WorkloadShape &Shape : Shapes)
      Shape.RequestsPerSecond *= Load;
    for (Row &Each : makeRows())
      if (Each.Name.find(RowFilter) != std::string::npos)
        Rows.push_back(std::move(Each));
    Cells.resize(Shapes.size() * std::size(Scenarios) * Rows.size());
    for (Cell &Each : Cells)
      Each.Runs.resize(Seeds);
  }

  void run(int Threads) {
    std::atomic<size_t> Next = 0;
    std::vector<std::thread> Workers;
    for (int Index = 0; Index < Threads; ++Index)
      Workers.emplace_back([&] {
        for (size_t Job = Next++; Job < Cells.size() * Seeds; Job = Next++)
          runOne(Job);
      });
    for (std::thread &Worker : Workers)
      Worker.join();
  }

  bool write(const std::string &Path) const {
    std::string Text = render();
    if (Path.empty()) {
      std::cout << Text;
      return true;
    }
    std::ofstream Out(Path);
    Out << Text;
    return Out.good();
  }

private:
  size_t cellIndex(size_t Shape, size_t Kind, size_t Row) const {
    return (Shape * std::size(Scenarios) + Kind) * Rows.size() + Row;
  }

  void runOne(size_t Job) {
    size_t Index = Job / Seeds;
    size_t Seed = Job % Seeds;
    const Row &CellRow = Rows[Index % Rows.size()];
    size_t Kind = Index / Rows.size() % std::size(Scenarios);
    size_t Shape = Index / Rows.size() / std::size(Scenarios);
    Simulation Run(Shapes[Shape], Scenarios[Kind].Kind, CellRow, Seed + 1);
    Cells[Index].Runs[Seed] = Run.run();
  }

  static std::string number(double Value, int Digits) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.*f", Digits, Value);
    return Text;
  }

  static std::string percent(const Spread &Each) {
    return number(100 * Each.Mean, 1) + " (" + number(100 * Each.Low, 1) + "–" +
           number(100 * Each.High, 1) + ")";
  }

  static std::string seconds(const Spread &Each) {
    return number(Each.Mean, 2) + " (" + number(Each.Low, 2) + "–" +
           number(Each.High, 2) + ")";
  }

  std::string renderRow(const WorkloadShape &Shape, const Row &Each,
                        const Cell &Figure) const {
    std::ostringstream Out;
    Out << "| " << Each.Name << " | "
        << percent(Figure.spread([](auto &Run) { return Run.hitRate(); }))
        << " | ";
    for (double Quantile : {0.5, 0.95, 0.99})
      Out << seconds(Figure.spread([Quantile](auto &Run) {
        return Run.percentile(Quantile);
      })) << " | ";
    Out << percent(Figure.spread([](auto &Run) { return Run.wasted(); }))
        << " | "
        << percent(Figure.spread([](auto &Run) { return Run.refused(); }))
        << " | "
        << percent(Figure.spread([](auto &Run) { return Run.goodput(); }))
        << " | " << number(costOf(Shape, Figure), 3) << " |\n";
    return Out.str();
  }

  static double costOf(const WorkloadShape &Shape, const Cell &Figure) {
    return Figure.spread([&](auto &Run) { return weighedCost(Shape, Run); })
        .Mean;
  }

  const Cell *find(size_t Shape, size_t Kind, const std::string &Name) const {
    for (size_t Index = 0; Index < Rows.size(); ++Index)
      if (Rows[Index].Name == Name)
        return &Cells[cellIndex(Shape, Kind, Index)];
    return nullptr;
  }

  /// \returns a line that says whether the cost is below that of the best
  /// baseline, and the objective's figure close enough to that of the oracle.
  std::string renderComparison(size_t Shape, size_t Kind) const {
    const Cell *Ours = find(Shape, Kind, "ours");
    const Cell *Oracle = find(Shape, Kind, "oracle");
    if (!Ours || !Oracle)
      return {};
    const WorkloadShape &ChosenShape = Shapes[Shape];
    std::string Best;
    double BestCost = 1e300;
    for (const char *Name : {"round robin", "least load", "consistent hash",
                             "bounded-load hash"}) {
      const Cell *Baseline = find(Shape, Kind, Name);
      if (Baseline && costOf(ChosenShape, *Baseline) < BestCost) {
        Best = Name;
        BestCost = costOf(ChosenShape, *Baseline);
      }
    }
    double Own = costOf(ChosenShape, *Ours);
    std::ostringstream Out;
    Out << "\nWeighed cost " << number(Own, 3) << " against "
        << number(BestCost, 3) << " of the best baseline (" << Best
        << "): " << (Own < BestCost ? "met" : "**missed**") << ". ";
    bool ByHitRate = ChosenShape.Objective == config::Objective::HitRate;
    auto Value = [&](const Figures &Run) {
      return ByHitRate ? Run.hitRate() : Run.percentile(0.99);
    };
    double OwnValue = Ours->spread(Value).Mean;
    double OracleValue = Oracle->spread(Value).Mean;
    bool IsNearOracle = ByHitRate ? OwnValue >= 0.9 * OracleValue
                                  : OwnValue <= 1.2 * OracleValue;
    Out << (ByHitRate ? "Hit rate " : "p99 ")
        << number(100 * OwnValue / OracleValue, 0)
        << "% of the oracle's: " << (IsNearOracle ? "met" : "**missed**")
        << ".\n";
    return Out.str();
  }

  std::string render() const {
    std::ostringstream Out;
    Out << "# Measurements of placement\n\n"
           "Written by `Meta/bench`; do not edit. Virtual time, "
        << Seeds
        << " seeds a cell: mean (least–greatest). Several schedulers place "
           "on 12 fake engines;\ncallers choose their router by the entry "
           "list and come back up to twice after a refusal.\n\n"
           "- hit rate: prompt tokens found in the cache of the engine that "
           "ran the prompt, in %.\n"
           "- p50, p95, p99: time to first token in seconds, over answered "
           "requests.\n"
           "- wasted: tokens prefilled that another engine held, in % of "
           "prompt tokens.\n"
           "- refused: requests whose last try was refused, in %.\n"
           "- goodput: requests answered whole within their deadline, in %.\n"
           "- cost: the service's weighed measure, less is better. Libraries: "
           "0.4 misses + 0.2 wasted +\n  0.1 p99 / deadline of quick "
           "questions + 0.3 not in time. Permit desk: 0.1, 0.1, 0.5, 0.3.\n";
    for (size_t Shape = 0; Shape < Shapes.size(); ++Shape)
      for (size_t Kind = 0; Kind < std::size(Scenarios); ++Kind) {
        Out << "\n## " << Shapes[Shape].Name << ", " << Scenarios[Kind].Name
            << "\n\n| row | hit rate | p50 | p95 | p99 | wasted | refused | "
               "goodput | cost |\n|---|---|---|---|---|---|---|---|---|\n";
        for (size_t Index = 0; Index < Rows.size(); ++Index)
          Out << renderRow(Shapes[Shape], Rows[Index],
                           Cells[cellIndex(Shape, Kind, Index)]);
        Out << renderComparison(Shape, Kind);
      }
    return Out.str();
  }

  size_t Seeds;
  std::vector<WorkloadShape> Shapes = {makeAustral(), makePermitDesk()};
  std::vector<Row> Rows;
  std::vector<Cell> Cells;
};

} // namespace ferry::bench

#endif

#include "LibObserve/Histogram.h"
#include <algorithm>
#include <cassert>
#include <limits>

namespace ferry::observe {

/// \returns the negated bounds in rising order, after minus infinity. The axis
/// needs at least two edges, and the edge at minus infinity gives the negated
/// values above all bounds a bucket of their own.
static std::vector<double> negatedEdges(const std::vector<double> &Bounds) {
  assert(!Bounds.empty());
  assert(std::is_sorted(Bounds.begin(), Bounds.end()));
  std::vector<double> Edges = {-std::numeric_limits<double>::infinity()};
  for (auto Bound = Bounds.rbegin(); Bound != Bounds.rend(); ++Bound)
    Edges.push_back(-*Bound);
  return Edges;
}

Histogram::Histogram(const std::vector<double> &Bounds)
    : Buckets(std::make_tuple(Axis(negatedEdges(Bounds)))) {}

Histogram::Snapshot Histogram::snapshot() const {
  Snapshot Result;
  // axis() with an index returns a variant, which would be converted to a new
  // axis made of its bins.
  const Axis &Edges = Buckets.axis();
  // The overflow bucket counts the values up to the lowest bound.
  for (int Bucket = Edges.size(); Bucket >= 0; --Bucket) {
    Result.Counts.push_back(Buckets.at(Bucket).load());
    if (Bucket > 0)
      Result.Bounds.push_back(-Edges.value(Bucket));
  }
  Result.Sum = Total.load(std::memory_order_relaxed);
  return Result;
}

} // namespace ferry::observe

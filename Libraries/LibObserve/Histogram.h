/// \file
/// A thread-safe histogram, based on Boost.Histogram.
#ifndef FERRY_LIBOBSERVE_HISTOGRAM_H
#define FERRY_LIBOBSERVE_HISTOGRAM_H

#include <atomic>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

namespace ferry::observe {

/// Counts values in buckets with fixed upper bounds. Safe from any thread.
class Histogram {
public:
  /// \param Bounds the inclusive upper bounds of the buckets in the unit of the
  /// values: at least one, in rising order. A last bucket without an upper
  /// bound is added.
  explicit Histogram(const std::vector<double> &Bounds);

  /// Counts \p Value; takes no lock.
  void observe(double Value) {
    // The intervals of the axis are [a, b), those of Prometheus (a, b], so
    // values and bounds are negated.
    Buckets(-Value);
    Total.fetch_add(Value, std::memory_order_relaxed);
  }

  /// The counts of all buckets, which are not cumulative, and the sum of the
  /// values.
  struct Snapshot {
    std::vector<double> Bounds;
    /// One more element than Bounds: the last one counts greater values.
    std::vector<uint64_t> Counts;
    double Sum = 0;
  };
  Snapshot snapshot() const;

private:
  using Axis = boost::histogram::axis::variable<>;
  using Count = boost::histogram::accumulators::thread_safe<uint64_t>;
  using Storage = boost::histogram::dense_storage<Count>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> Buckets;
  std::atomic<double> Total = 0;
};

/// Upper bounds for latencies, in seconds.
inline const std::vector<double> LatencyBoundsSeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1,      2.5,   5,    10,    25,   60,  120};

} // namespace ferry::observe

#endif

/// \file
/// A histogram of Boost.Histogram that many threads fill at once.
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
  /// \param Bounds the inclusive upper bounds of the buckets: rising, at least
  /// one, in the unit of the values. A last bucket without bound is added.
  explicit Histogram(const std::vector<double> &Bounds);

  /// Counts \p Value; takes no lock.
  void observe(double Value) {
    // The axis holds [a, b) and Prometheus' buckets (a, b]: both are negated.
    Buckets(-Value);
    Total.fetch_add(Value, std::memory_order_relaxed);
  }

  /// The counts at one moment; buckets are not cumulative.
  struct Reading {
    std::vector<double> Bounds;
    /// One more than the bounds: the last is for greater values.
    std::vector<uint64_t> Counts;
    double Sum = 0;
  };
  Reading reading() const;

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

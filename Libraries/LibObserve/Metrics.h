/// \file
/// Counters, gauges and histograms, rendered in the Prometheus text format.
#ifndef FERRY_LIBOBSERVE_METRICS_H
#define FERRY_LIBOBSERVE_METRICS_H

#include "LibObserve/Histogram.h"
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace ferry::observe {

/// Maximum number of label sets of one family; all further ones share one set,
/// whose values are "other".
inline constexpr size_t MaxSeriesPerFamily = 1024;

/// A number that only increases. Safe from any thread; takes no lock.
class Counter {
public:
  void add(uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> Value = 0;
};

/// A number that can increase and decrease. Safe from any thread; takes no
/// lock.
class Gauge {
public:
  void set(double Amount) { Value.store(Amount, std::memory_order_relaxed); }
  void add(double Amount) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value = 0;
};

/// Label values, in the order of the family's label names.
using LabelValues = std::vector<std::string>;

/// The name, help text and label names of a family.
struct FamilyInfo {
  /// For example "ferry_requests_total".
  std::string Name;
  std::string Help;
  std::vector<std::string> LabelNames;
};

/// All metrics of one name, one per set of label values. Metrics live as long
/// as their family, so hot paths should keep the reference.
template <typename MetricType> class Family {
public:
  using Maker = std::function<std::unique_ptr<MetricType>()>;

  Family(FamilyInfo Info, Maker Make)
      : Info(std::move(Info)), Make(std::move(Make)) {}

  /// \returns the metric with these label values, created at its first use.
  /// Safe from any thread; takes a shared lock.
  MetricType &with(const LabelValues &Labels);

  const FamilyInfo &info() const { return Info; }

  /// Calls \p Visit for each metric under the lock, so that no metric is added
  /// meanwhile.
  void forEach(const std::function<void(const LabelValues &,
                                        const MetricType &)> &Visit) const;

private:
  FamilyInfo Info;
  Maker Make;
  mutable std::shared_mutex Mutex;
  std::map<LabelValues, std::unique_ptr<MetricType>> Series;
};

/// The registry of all metrics of a process. Families live as long as the
/// registry.
class Metrics {
public:
  /// \returns the family named \p Info.Name, created at the first call. All
  /// calls with one name must use the same kind of metric and label names.
  Family<Counter> &counters(FamilyInfo Info);
  Family<Gauge> &gauges(FamilyInfo Info);
  /// \param Bounds the upper bounds of the buckets; see Histogram.
  Family<Histogram> &
  histograms(FamilyInfo Info,
             std::vector<double> Bounds = LatencyBoundsSeconds);

  /// \returns a metric without labels.
  Counter &counter(std::string Name, std::string Help) {
    return counters({std::move(Name), std::move(Help), {}}).with({});
  }
  Gauge &gauge(std::string Name, std::string Help) {
    return gauges({std::move(Name), std::move(Help), {}}).with({});
  }
  Histogram &histogram(std::string Name, std::string Help) {
    return histograms({std::move(Name), std::move(Help), {}}).with({});
  }

  /// \returns all metrics in the Prometheus text format, version 0.0.4.
  std::string render() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<Family<Counter>>> CounterFamilies;
  std::map<std::string, std::unique_ptr<Family<Gauge>>> GaugeFamilies;
  std::map<std::string, std::unique_ptr<Family<Histogram>>> HistogramFamilies;
};

} // namespace ferry::observe

#endif

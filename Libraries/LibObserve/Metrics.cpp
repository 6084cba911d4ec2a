#include "LibObserve/Metrics.h"
#include <cassert>
#include <charconv>

namespace ferry::observe {

/// The label value of the set that all label sets beyond the limit share.
static constexpr const char *OverflowLabel = "other";

template <typename MetricType>
MetricType &Family<MetricType>::with(const LabelValues &Labels) {
  assert(Labels.size() == Info.LabelNames.size());
  {
    std::shared_lock Lock(Mutex);
    auto It = Series.find(Labels);
    if (It != Series.end())
      return *It->second;
  }
  std::unique_lock Lock(Mutex);
  LabelValues Key = Labels;
  if (Series.size() >= MaxSeriesPerFamily && !Series.contains(Key))
    Key.assign(Labels.size(), OverflowLabel);
  std::unique_ptr<MetricType> &Slot = Series[Key];
  if (!Slot)
    Slot = Make();
  return *Slot;
}

template <typename MetricType>
void Family<MetricType>::forEach(
    const std::function<void(const LabelValues &, const MetricType &)> &Visit)
    const {
  std::shared_lock Lock(Mutex);
  for (const auto &[Labels, Metric] : Series)
    Visit(Labels, *Metric);
}

template class Family<Counter>;
template class Family<Gauge>;
template class Family<Histogram>;

template <typename MetricType>
static Family<MetricType> &
familyIn(std::map<std::string, std::unique_ptr<Family<MetricType>>> &Families,
         FamilyInfo Info, typename Family<MetricType>::Maker Make) {
  std::string Name = Info.Name;
  std::unique_ptr<Family<MetricType>> &Slot = Families[Name];
  if (!Slot)
    Slot =
        std::make_unique<Family<MetricType>>(std::move(Info), std::move(Make));
  else
    assert(Slot->info().LabelNames == Info.LabelNames);
  return *Slot;
}

Family<Counter> &Metrics::counters(FamilyInfo Info) {
  std::lock_guard Lock(Mutex);
  return familyIn<Counter>(CounterFamilies, std::move(Info),
                           [] { return std::make_unique<Counter>(); });
}

Family<Gauge> &Metrics::gauges(FamilyInfo Info) {
  std::lock_guard Lock(Mutex);
  return familyIn<Gauge>(GaugeFamilies, std::move(Info),
                         [] { return std::make_unique<Gauge>(); });
}

Family<Histogram> &Metrics::histograms(FamilyInfo Info,
                                       std::vector<double> Bounds) {
  std::lock_guard Lock(Mutex);
  return familyIn<Histogram>(HistogramFamilies, std::move(Info),
                             [Bounds = std::move(Bounds)] {
                               return std::make_unique<Histogram>(Bounds);
                             });
}

static std::string numberText(double Number) {
  char Digits[32];
  auto [End, Code] = std::to_chars(Digits, Digits + sizeof Digits, Number);
  return std::string(Digits, End);
}

static std::string escaped(const std::string &Text) {
  std::string Result;
  for (char Byte : Text) {
    if (Byte == '\n') {
      Result += "\\n";
      continue;
    }
    if (Byte == '"' || Byte == '\\')
      Result += '\\';
    Result += Byte;
  }
  return Result;
}

/// \returns `{name="value",...}`, or an empty text if there are no labels.
static std::string labelText(const FamilyInfo &Info, const LabelValues &Labels,
                             const std::string &UpperBound = {}) {
  std::string Text;
  auto Append = [&](const std::string &Name, const std::string &Value) {
    Text += Text.empty() ? "{" : ",";
    Text += Name + "=\"" + escaped(Value) + "\"";
  };
  for (size_t Index = 0; Index < Labels.size(); ++Index)
    Append(Info.LabelNames[Index], Labels[Index]);
  if (!UpperBound.empty())
    Append("le", UpperBound);
  return Text.empty() ? Text : Text + "}";
}

static void appendHeader(std::string &Page, const FamilyInfo &Info,
                         const char *Type) {
  Page += "# HELP " + Info.Name + " " + Info.Help + "\n";
  Page += "# TYPE " + Info.Name + " " + Type + "\n";
}

static void appendHistogram(std::string &Page, const FamilyInfo &Info,
                            const LabelValues &Labels,
                            const Histogram::Snapshot &Snapshot) {
  uint64_t Cumulative = 0;
  for (size_t Bucket = 0; Bucket < Snapshot.Counts.size(); ++Bucket) {
    Cumulative += Snapshot.Counts[Bucket];
    std::string Bound = Bucket < Snapshot.Bounds.size()
                            ? numberText(Snapshot.Bounds[Bucket])
                            : "+Inf";
    Page += Info.Name + "_bucket" + labelText(Info, Labels, Bound) + " " +
            std::to_string(Cumulative) + "\n";
  }
  std::string Plain = labelText(Info, Labels);
  Page += Info.Name + "_sum" + Plain + " " + numberText(Snapshot.Sum) + "\n";
  Page +=
      Info.Name + "_count" + Plain + " " + std::to_string(Cumulative) + "\n";
}

template <typename MetricType>
static void appendScalars(
    std::string &Page,
    const std::map<std::string, std::unique_ptr<Family<MetricType>>> &Families,
    const char *Type) {
  for (const auto &[Name, Item] : Families) {
    const FamilyInfo &Info = Item->info();
    appendHeader(Page, Info, Type);
    Item->forEach([&](const LabelValues &Labels, const MetricType &Metric) {
      Page += Info.Name + labelText(Info, Labels) + " " +
              numberText(static_cast<double>(Metric.value())) + "\n";
    });
  }
}

std::string Metrics::render() const {
  std::lock_guard Lock(Mutex);
  std::string Page;
  appendScalars(Page, CounterFamilies, "counter");
  appendScalars(Page, GaugeFamilies, "gauge");
  for (const auto &[Name, Item] : HistogramFamilies) {
    const FamilyInfo &Info = Item->info();
    appendHeader(Page, Info, "histogram");
    Item->forEach([&](const LabelValues &Labels, const Histogram &Metric) {
      appendHistogram(Page, Info, Labels, Metric.snapshot());
    });
  }
  return Page;
}

} // namespace ferry::observe

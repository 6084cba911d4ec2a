#include "LibTraffic/TrafficCounters.h"

namespace ferry::traffic {

std::string TrafficCounters::metricsText() const {
  std::string Text;
  for (const auto &Row : EnumNames<TrafficCount>::Table) {
    std::string Name = "ferry_traffic_" + std::string(Row.Name) + "_total";
    Text += "# TYPE " + Name + " counter\n";
    Text += Name + " " + std::to_string(value(Row.Value)) + "\n";
  }
  return Text;
}

} // namespace ferry::traffic

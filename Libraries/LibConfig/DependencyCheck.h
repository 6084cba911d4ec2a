/// \file
/// Checks that the dependencies of services exist and have no cycle.
#ifndef FERRY_LIBCONFIG_DEPENDENCYCHECK_H
#define FERRY_LIBCONFIG_DEPENDENCYCHECK_H

#include "LibConfig/MapReader.h"
#include "LibCore/Ids.h"
#include <map>
#include <set>
#include <vector>

namespace ferry::config {

/// Collects services and their dependencies, then reports what is wrong.
class DependencyCheck {
public:
  /// \returns false if the service is already there.
  bool addService(const ServiceId &Id) { return Services.insert(Id).second; }

  /// Notes that \p From depends on \p To; \p Mark is where the text says so.
  void addDependency(const ServiceId &From, const ServiceId &To,
                     const YAML::Mark &Mark) {
    Edges[From].push_back({To, Mark});
  }

  /// Adds an error for each dangling dependency, and one for each dependency
  /// that lies on a cycle of which no other was reported.
  void report(ErrorList &Errors) const;

private:
  struct Edge {
    ServiceId To;
    YAML::Mark Mark;
  };
  enum class Visit : uint8_t { Open, Done };
  using VisitMap = std::map<ServiceId, Visit>;

  void reportDangling(ErrorList &Errors) const;
  void reportCyclesFrom(const ServiceId &Start, VisitMap &Visits,
                        ErrorList &Errors) const;

  std::set<ServiceId> Services;
  std::map<ServiceId, std::vector<Edge>> Edges;
};

} // namespace ferry::config

#endif

/// \file
/// Checks that the dependencies of services exist and form no cycle.
#ifndef FERRY_LIBCONFIG_DEPENDENCYCHECK_H
#define FERRY_LIBCONFIG_DEPENDENCYCHECK_H

#include "LibConfig/MapReader.h"
#include "LibCore/Ids.h"
#include <map>
#include <set>
#include <vector>

namespace ferry::config {

/// Collects services and their dependencies, then reports invalid
/// dependencies.
class DependencyCheck {
public:
  /// \returns false if the service was already added.
  bool addService(const ServiceId &Id) { return Services.insert(Id).second; }

  /// Adds the dependency of \p From on \p To, with its position in the text.
  void addDependency(const ServiceId &From, const ServiceId &To,
                     const YAML::Mark &Mark) {
    Edges[From].push_back({To, Mark});
  }

  /// Adds an error for each dependency on a service that does not exist, and
  /// for each dependency that closes a cycle.
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

#include "LibConfig/DependencyCheck.h"

namespace ferry::config {

void DependencyCheck::report(ErrorList &Errors) const {
  reportDangling(Errors);
  VisitMap Visits;
  for (const auto &[From, Unused] : Edges)
    if (!Visits.contains(From))
      reportCyclesFrom(From, Visits, Errors);
}

void DependencyCheck::reportDangling(ErrorList &Errors) const {
  for (const auto &[From, Outgoing] : Edges)
    for (const Edge &Dependency : Outgoing)
      if (!Services.contains(Dependency.To))
        Errors.add(ConfigErrorKind::DanglingReference, Dependency.Mark,
                   "service " + Dependency.To.Value);
}

/// Depth-first search with an explicit stack, because the text determines the
/// depth.
void DependencyCheck::reportCyclesFrom(const ServiceId &Start, VisitMap &Visits,
                                       ErrorList &Errors) const {
  struct Step {
    ServiceId At;
    size_t NextEdge = 0;
  };
  std::vector<Step> Path = {{Start}};
  Visits[Start] = Visit::Open;
  while (!Path.empty()) {
    Step &Last = Path.back();
    auto Outgoing = Edges.find(Last.At);
    if (Outgoing == Edges.end() || Last.NextEdge == Outgoing->second.size()) {
      Visits[Last.At] = Visit::Done;
      Path.pop_back();
      continue;
    }
    const Edge &Dependency = Outgoing->second[Last.NextEdge++];
    auto [Visited, Inserted] = Visits.try_emplace(Dependency.To, Visit::Open);
    if (Inserted)
      Path.push_back({Dependency.To});
    else if (Visited->second == Visit::Open)
      Errors.add(ConfigErrorKind::DependencyCycle, Dependency.Mark,
                 "service " + Dependency.To.Value + " depends on itself");
  }
}

} // namespace ferry::config

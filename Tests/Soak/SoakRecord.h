/// \file
/// Records what callers and targets of a soak run observe, and which
/// guarantees it violates.
#ifndef FERRY_TESTS_SOAK_SOAKRECORD_H
#define FERRY_TESTS_SOAK_SOAKRECORD_H

#include "Fakes/FakeCaller.h"
#include "Soak/ArrivalLog.h"
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace ferry::soak {

/// A group of callers that send alike. The ids of its attempts begin with its
/// name and a "-".
struct CallerGroup {
  std::string Name;
  std::string Workspace;
  /// How often targets may run one attempt.
  int MaxRuns = 1;
};

/// Counts the runs of each attempt and collects violations. Safe from any
/// thread.
class SoakRecord {
public:
  explicit SoakRecord(std::vector<CallerGroup> CallerGroups) {
    for (CallerGroup &Group : CallerGroups)
      Groups[Group.Name] = Group;
  }

  void addViolation(const std::string &Description) {
    std::lock_guard Lock(Mutex);
    // Later violations are mostly consequences of the first ones.
    if (Violations.size() < MaxViolations)
      Violations.push_back(Description);
  }

  std::vector<std::string> violations() const {
    std::lock_guard Lock(Mutex);
    return Violations;
  }

  /// Counts that a target began to work on the attempt.
  void countRun(const std::string &Id, const std::string &Workspace) {
    const CallerGroup *Group = groupOf(Id);
    if (Group == nullptr)
      return addViolation("a target ran " + Id +
                          ", which no caller group sent");
    if (Group->Workspace != Workspace)
      addViolation(Id + " ran for workspace " + Workspace);
    int Count = 0;
    {
      std::lock_guard Lock(Mutex);
      Count = ++Runs[Id];
    }
    if (Count > Group->MaxRuns)
      addViolation(Id + " ran " + std::to_string(Count) + " times");
  }

  /// Checks the result of a caller's attempt. Whether an attempt that was
  /// answered as not run did run is checked by finish().
  void checkAttempt(const fakes::CallerAttempt &Attempt) {
    if (Attempt.Status == 503 || Attempt.Status == 429)
      addNotRun(Attempt.Id);
    if (Attempt.Status == 401 || Attempt.Status == 404)
      addViolation(Attempt.Id + " was denied with " +
                   std::to_string(Attempt.Status));
  }

  /// Crashes of targets by a part of a prompt or by a request, and requests
  /// with it that reached targets.
  struct PartLog {
    ArrivalLog Crashes;
    ArrivalLog Arrivals;
  };
  PartLog &logOf(const std::string &Part) {
    std::lock_guard Lock(Mutex);
    return Parts[Part];
  }

  /// Checks that no attempt ran that was answered as not run. To be called once
  /// no request is in progress.
  void finish() {
    std::set<std::string> RanIds;
    {
      std::lock_guard Lock(Mutex);
      for (const std::string &Id : NotRunIds)
        if (Runs.contains(Id) && !mayRunAgain(Id))
          RanIds.insert(Id);
    }
    for (const std::string &Id : RanIds)
      addViolation(Id + " ran and was answered as not run");
  }

private:
  static constexpr size_t MaxViolations = 20;

  void addNotRun(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    NotRunIds.insert(Id);
  }

  const CallerGroup *groupOf(const std::string &Id) const {
    auto Group = Groups.find(Id.substr(0, Id.find('-')));
    return Group == Groups.end() ? nullptr : &Group->second;
  }

  /// An attempt that may run again can be answered as not run after its first
  /// run.
  bool mayRunAgain(const std::string &Id) const {
    const CallerGroup *Group = groupOf(Id);
    return Group != nullptr && Group->MaxRuns > 1;
  }

  std::map<std::string, CallerGroup> Groups;
  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
  std::map<std::string, PartLog> Parts;
  std::set<std::string> NotRunIds;
  std::vector<std::string> Violations;
};

} // namespace ferry::soak

#endif

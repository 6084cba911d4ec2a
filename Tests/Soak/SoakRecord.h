/// \file
/// What callers and targets of a soak saw, and what of it breaks a promise.
#ifndef FERRY_TESTS_SOAK_SOAKRECORD_H
#define FERRY_TESTS_SOAK_SOAKRECORD_H

#include "Fakes/FakeCaller.h"
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace ferry::soak {

/// What a group of callers sends; the ids of its attempts begin with its name.
struct CallerGroup {
  std::string Name;
  std::string Workspace;
  /// How often one attempt may run.
  int MostRuns = 1;
};

/// Safe from any thread.
class SoakRecord {
public:
  explicit SoakRecord(std::vector<CallerGroup> Known) {
    for (CallerGroup &Each : Known)
      Groups[Each.Name] = Each;
  }

  void violate(const std::string &What) {
    std::lock_guard Lock(Mutex);
    // The first ones lead to the cause.
    if (Violations.size() < MaxViolations)
      Violations.push_back(What);
  }

  std::vector<std::string> violations() const {
    std::lock_guard Lock(Mutex);
    return Violations;
  }

  /// A target began to work on a request.
  void ran(const std::string &Id, const std::string &Workspace) {
    const CallerGroup *Group = groupOf(Id);
    if (Group == nullptr)
      return violate("a target ran " + Id + ", which nobody sent");
    if (Group->Workspace != Workspace)
      violate(Id + " ran for workspace " + Workspace);
    int Now = 0;
    {
      std::lock_guard Lock(Mutex);
      Now = ++Runs[Id];
    }
    if (Now > Group->MostRuns)
      violate(Id + " ran " + std::to_string(Now) + " times");
  }

  /// Checks what a caller got; runs that come later are checked at the end.
  void answered(const fakes::CallerAttempt &Made) {
    if (Made.Status == 503 || Made.Status == 429)
      promised(Made.Id);
    if (Made.Status == 401 || Made.Status == 404)
      violate(Made.Id + " was denied with " + std::to_string(Made.Status));
  }

  /// To be called once nothing is under way any more.
  void finish() {
    std::set<std::string> Broken;
    {
      std::lock_guard Lock(Mutex);
      for (const std::string &Id : Promised)
        if (Runs.contains(Id) && !mayRunAgain(Id))
          Broken.insert(Id);
    }
    for (const std::string &Id : Broken)
      violate(Id + " ran and was told as not run");
  }

private:
  static constexpr size_t MaxViolations = 20;

  void promised(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    Promised.insert(Id);
  }

  const CallerGroup *groupOf(const std::string &Id) const {
    auto Found = Groups.find(Id.substr(0, Id.find('-')));
    return Found == Groups.end() ? nullptr : &Found->second;
  }

  /// The promise binds for what may run once only.
  bool mayRunAgain(const std::string &Id) const {
    const CallerGroup *Group = groupOf(Id);
    return Group != nullptr && Group->MostRuns > 1;
  }

  std::map<std::string, CallerGroup> Groups;
  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
  std::set<std::string> Promised;
  std::vector<std::string> Violations;
};

} // namespace ferry::soak

#endif

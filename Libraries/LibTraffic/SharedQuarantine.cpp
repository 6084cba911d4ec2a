#include "LibTraffic/SharedQuarantine.h"
#include "LibObserve/Log.h"
#include <optional>

namespace ferry::traffic {

using namespace ferry::routing;

static void logChange(const QuarantineChange &Change) {
  observe::logEvent(observe::Severity::Warning, "routed", "quarantine",
                    {{"change", Change.What},
                     {"parts", partsText(Change.Parts)},
                     {"trials", Change.Trials}});
}

template <typename StepType> auto SharedQuarantine::update(StepType Step) {
  std::vector<QuarantineChange> Changes;
  bool HasNews = false;
  auto Locked = [&] {
    std::lock_guard Lock(Mutex);
    auto Result = Step(Quarantine);
    Changes = Quarantine.takeChanges();
    HasNews = Quarantine.hasNews();
    JudgedUntil = Quarantine.requestsJudgedUntil();
    return Result;
  };
  auto Result = Locked();
  for (const QuarantineChange &Change : Changes)
    logChange(Change);
  if (HasNews)
    NewsReady();
  return Result;
}

void SharedQuarantine::setRouters(const HostId &Self,
                                  const std::vector<HostId> &Serving) {
  std::lock_guard Lock(Mutex);
  Quarantine.setRouters(Self, Serving);
}

PartAdmission SharedQuarantine::check(const PartSet &Parts) {
  if (Parts.empty())
    return PartAdmission::Admitted;
  return update([&](PartQuarantine &Subject) {
    return Subject.check(Parts, steadyNow());
  });
}

bool SharedQuarantine::admit(const PartSet &Parts) {
  if (Parts.empty())
    return true;
  return update([&](PartQuarantine &Subject) {
    Timestamp Now = steadyNow();
    PartAdmission Admission = Subject.check(Parts, Now);
    if (Admission == PartAdmission::Trial)
      Subject.beginTrial(Parts, Now);
    return Admission != PartAdmission::Refused;
  });
}

void SharedQuarantine::noteBroken(const TargetId &Target, Incarnation Ended,
                                  const CrashSuspect &Suspect) {
  update([&](PartQuarantine &Subject) {
    Subject.noteBroken(Target, Ended, Suspect, steadyNow());
    return true;
  });
}

void SharedQuarantine::noteReplaced(const TargetId &Target, Incarnation Ended,
                                    const CrashSuspect &Suspect) {
  update([&](PartQuarantine &Subject) {
    Subject.noteReplaced(Target, Ended, Suspect, steadyNow());
    return true;
  });
}

void SharedQuarantine::noteAnswered(const TargetId &Target,
                                    Incarnation Answering, Timestamp SentAt) {
  // While no crash is known, there is nothing that the answer contradicts.
  if (!judgesRequests())
    return;
  std::lock_guard Lock(Mutex);
  Quarantine.noteAnswered(Target, Answering, SentAt);
}

void SharedQuarantine::noteServed(const PartSet &Parts) {
  if (Parts.empty())
    return;
  update([&](PartQuarantine &Subject) {
    Subject.noteServed(Parts, steadyNow());
    return true;
  });
}

bool SharedQuarantine::mayRepeat(const PartSet &Parts) const {
  std::lock_guard Lock(Mutex);
  return Quarantine.mayRepeat(Parts, steadyNow());
}

void SharedQuarantine::apply(const CrashNews &News, bool PassOn) {
  update([&](PartQuarantine &Subject) {
    Subject.apply(News, PassOn, steadyNow());
    return true;
  });
}

CrashNews SharedQuarantine::takeNews() {
  return update(
      [](PartQuarantine &Subject) { return Subject.takeNews(steadyNow()); });
}

CrashNews SharedQuarantine::everything() {
  std::lock_guard Lock(Mutex);
  return Quarantine.everything(steadyNow());
}

size_t SharedQuarantine::quarantinedSets() const {
  std::lock_guard Lock(Mutex);
  return Quarantine.quarantinedSets();
}

} // namespace ferry::traffic

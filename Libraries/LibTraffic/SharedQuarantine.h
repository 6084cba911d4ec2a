/// \file
/// The quarantine of prompt parts and requests, shared by all requests of a
/// router.
#ifndef FERRY_LIBTRAFFIC_SHAREDQUARANTINE_H
#define FERRY_LIBTRAFFIC_SHAREDQUARANTINE_H

#include "LibRouting/PartQuarantine.h"
#include <atomic>
#include <functional>
#include <mutex>

namespace ferry::traffic {

/// Guards a PartQuarantine by a mutex and logs its changes.
class SharedQuarantine {
public:
  /// Sets what is called, on any thread, when there is news for other routers.
  /// To be called before the first request.
  void setNewsHook(std::function<void()> Hook) { NewsReady = std::move(Hook); }

  /// See the functions of PartQuarantine.
  void setRouters(const HostId &Self, const std::vector<HostId> &Serving);
  routing::PartAdmission check(const routing::PartSet &Parts);
  void noteBroken(const TargetId &Target, Incarnation Ended,
                  const routing::CrashSuspect &Suspect);
  void noteReplaced(const TargetId &Target, Incarnation Ended,
                    const routing::CrashSuspect &Suspect);
  void noteAnswered(const TargetId &Target, Incarnation Answering,
                    Timestamp SentAt);
  void noteServed(const routing::PartSet &Parts);
  bool mayRepeat(const routing::PartSet &Parts) const;
  void apply(const routing::CrashNews &News, bool PassOn);
  routing::CrashNews takeNews();
  routing::CrashNews everything();
  size_t quarantinedSets() const;

  /// Whether the ids of requests are to be judged beside their parts.
  bool judgesRequests() const { return steadyNow() < JudgedUntil.load(); }

  /// Asked right before a request is sent. A trial that is due begins.
  /// \returns whether it may be sent.
  bool admit(const routing::PartSet &Parts);

private:
  /// Runs \p Step on the quarantine, logs its changes and announces its news.
  template <typename StepType> auto update(StepType Step);

  std::function<void()> NewsReady = [] {};
  std::atomic<Timestamp> JudgedUntil = Timestamp();
  mutable std::mutex Mutex;
  routing::PartQuarantine Quarantine;
};

} // namespace ferry::traffic

#endif

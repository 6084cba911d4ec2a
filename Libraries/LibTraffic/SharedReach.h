/// \file
/// The reach of a router, shared by all its requests, and the probes that find
/// out when a cut has ended.
#ifndef FERRY_LIBTRAFFIC_SHAREDREACH_H
#define FERRY_LIBTRAFFIC_SHAREDREACH_H

#include "LibRouting/RoutingView.h"
#include "LibRouting/TargetReach.h"
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace ferry::traffic {

/// Guards a TargetReach by a mutex, logs its changes, and probes targets on a
/// thread of its own while the router is cut off.
class SharedReach {
public:
  /// A helper with the "IP:port" for callers.
  struct Address {
    routing::Helper Router;
    std::string Callers;
  };

  SharedReach();
  ~SharedReach() { stop(); }
  SharedReach(const SharedReach &) = delete;
  SharedReach &operator=(const SharedReach &) = delete;

  /// Sets what is called, on any thread, when helpers are to be asked. To be
  /// called before the first request.
  void setAskHook(std::function<void()> Hook) { AskHelpers = std::move(Hook); }
  void setView(const routing::RoutingViewPtr &NewView);

  /// See the functions of TargetReach.
  void noteUnreachable(const TargetId &Target);
  void noteBroken(const TargetId &Target);
  void noteConnected(Timestamp Now);
  void noteAnswered(Timestamp ConnectedAt);
  bool isCutOff() const { return CutOff; }
  void noteHelper(const HostId &Router, const routing::RouterReach &Reach);
  std::optional<Address> chooseHelper(const std::vector<HostId> &Tried);
  bool awaitsHelpers() const;

  /// \returns what this router says of itself to others.
  /// \param Serves whether it takes requests of others.
  routing::RouterReach ownReach(bool Serves) const;
  /// Whether \p Key shows that a router passed a request on to this one.
  bool isOwnKey(const std::string &Key) const { return Key == PassKey; }

  void stop();

private:
  template <typename StepType> void update(StepType Step);
  void probeUntilStopped();
  /// Connects to a target and sends nothing. \returns whether the connection
  /// was made and not reset.
  static bool probe(const std::string &TargetAddress);
  std::string anyTarget();

  const std::string PassKey;
  std::function<void()> AskHelpers = [] {};
  mutable std::mutex Mutex;
  routing::TargetReach Reach;
  RandomGenerator Random;
  routing::RoutingViewPtr View;
  std::atomic<bool> CutOff = false;
  bool Stopping = false;
  std::condition_variable Changed;
  std::thread Prober;
};

} // namespace ferry::traffic

#endif

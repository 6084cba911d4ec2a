/// \file
/// Messages between routers about what they have learnt of prompts and targets.
#ifndef FERRY_FERRYD_BELIEFEXCHANGE_H
#define FERRY_FERRYD_BELIEFEXCHANGE_H

#include "LibAdmission/CapHolder.h"
#include "LibCore/ControlLoop.h"
#include "LibRouting/BeliefSpread.h"
#include "LibRouting/Beliefs.h"
#include "LibRouting/TargetReach.h"
#include "LibWire/Generated/Routing_types.h"
#include "ferryd/HostLink.h"
#include <functional>

namespace ferry::daemon {

/// The caps of workspaces at a router; the functions are thread-safe. The
/// defaults serve a host without callers.
struct CapHooks {
  /// \returns the questions that are due.
  std::function<std::vector<admission::CapHolder::Outgoing>()> TakeQuestions =
      [] { return std::vector<admission::CapHolder::Outgoing>(); };
  /// \returns when to take questions again; NeverExpires for none.
  std::function<Timestamp()> NextDue = [] { return NeverExpires; };
  std::function<admission::CapReply(const admission::CapQuestion &)> Answer =
      [](const admission::CapQuestion &Question) {
        return admission::CapReply{
            Question.Workspace, Question.Number, 0, {}, {}};
      };
  std::function<void(const HostId &, const admission::CapReply &)> Apply =
      [](const HostId &, const admission::CapReply &) {};
};

/// What a router believes; the functions are thread-safe.
struct BeliefHooks {
  std::function<routing::Beliefs()> TakeNews = [] {
    return routing::Beliefs();
  };
  std::function<routing::Beliefs()> Everything = [] {
    return routing::Beliefs();
  };
  std::function<void(const routing::Beliefs &, bool PassOn)> Apply =
      [](const routing::Beliefs &, bool) {};
  /// What this router says of its own reach, whether it needs that of others,
  /// and what they say.
  std::function<routing::RouterReach()> Reach = [] {
    return routing::RouterReach();
  };
  std::function<bool()> NeedsHelpers = [] { return false; };
  std::function<void(const HostId &, const routing::RouterReach &)> NoteHelper =
      [](const HostId &, const routing::RouterReach &) {};
  CapHooks Caps = {};
  /// Set at control hosts that keep the quarantined sets: their answers are
  /// whole from the start.
  bool KeepsQuarantines = false;
};

/// Sends what BeliefSpread decides. Used on the control thread.
class BeliefExchange {
public:
  using HostList = std::function<std::vector<HostId>()>;

  /// The other hosts that are not silent.
  struct OtherHosts {
    /// Those that news is sent to; none at a control host.
    HostList Routers;
    /// Control hosts, which keep the quarantined sets.
    HostList Keepers;
  };

  /// \param Observed called at each tick with all that the router believes.
  BeliefExchange(HostLink &Link, ControlLoop &Loop, OtherHosts Others,
                 BeliefHooks Callbacks,
                 std::function<void(const routing::Beliefs &)> Observed);
  ~BeliefExchange() { stop(); }
  BeliefExchange(const BeliefExchange &) = delete;
  BeliefExchange &operator=(const BeliefExchange &) = delete;

  /// Begins to ask and to send summaries.
  void start() { tick(); }
  void stop();

  /// Sends the news soon.
  void newsReady();
  void receive(const HostId &From, const wire::BeliefMessage &Message);

  /// Sends the questions about caps that are due, at once: requests wait for
  /// the replies. Each goes to one router, the owner of the workspace.
  void sendCapQuestions();

private:
  void receiveCaps(const HostId &From, const wire::BeliefMessage &Message);
  void receiveAnswer(const HostId &From, const wire::BeliefMessage &Message);
  void sendSets(const std::vector<HostId> &Keepers,
                const std::vector<routing::QuarantinedParts> &Sets);
  void tick();
  void sendNews();
  void askForReach();

  HostLink &Link;
  ControlLoop &Loop;
  OtherHosts Others;
  BeliefHooks Callbacks;
  std::function<void(const routing::Beliefs &)> Observed;
  routing::BeliefSpread Spread;
  bool NewsPending = false;
  ControlLoop::TimerId NewsTimer;
  ControlLoop::TimerId TickTimer;
  ControlLoop::TimerId CapTimer;
};

} // namespace ferry::daemon

#endif

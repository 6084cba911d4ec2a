/// \file
/// The caps of workspaces, shared by all requests of a router.
#ifndef FERRY_LIBTRAFFIC_SHAREDCAPS_H
#define FERRY_LIBTRAFFIC_SHAREDCAPS_H

#include "LibAdmission/CapHolder.h"
#include "LibAdmission/CapOwner.h"
#include "LibRouting/RoutingView.h"
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace ferry::traffic {

/// Guards a CapOwner and a CapHolder by a mutex and blocks requests that wait
/// for the owner of their workspace. While no workspace has a cap, no function
/// takes the mutex.
class SharedCaps {
public:
  /// Time for a decision to reach the thread of its request after the longest
  /// wait.
  static constexpr Duration WaitMargin = std::chrono::milliseconds(50);

  explicit SharedCaps(admission::CapTolerance Tolerance);

  /// Sets what is called, on any thread, when there are questions to be sent or
  /// nextDue() has become earlier. To be called before the first request.
  void setQuestionHook(std::function<void()> Hook) {
    QuestionsReady = std::move(Hook);
  }
  /// Takes over the caps and the routers that serve. Called on one thread.
  void setView(const routing::RoutingViewPtr &View);

  /// Decides on a request that counts \p Units; blocks until the owner has
  /// answered, CapHolder::LongestWait and WaitMargin at most.
  /// \returns an answer that is not Awaiting.
  admission::CapAnswer admit(const WorkspaceId &Workspace, double Units);
  /// Returns the units of an admitted request that no target has run.
  void giveBack(const WorkspaceId &Workspace, double Units);

  /// Whether a rejection may be logged: MaxLoggedPerSecond may.
  bool mayLogRejection();

  /// \returns the questions to be sent now.
  std::vector<admission::CapHolder::Outgoing> takeQuestions();
  /// \returns when takeQuestions() has to be called again; NeverExpires if the
  /// hook tells.
  Timestamp nextDue();
  /// Answers the question of another router.
  admission::CapReply answer(const admission::CapQuestion &Question);
  /// Applies the reply of router \p From.
  void apply(const HostId &From, const admission::CapReply &Reply);

  /// What this router knows as an owner.
  struct OwnerStatus {
    size_t Workspaces = 0;
    uint64_t QuestionsAnswered = 0;
    uint64_t InvalidMessages = 0;
  };
  /// Both are empty while no workspace has a cap.
  std::vector<admission::CapStatus> status();
  OwnerStatus ownerStatus();

private:
  static constexpr uint32_t MaxLoggedPerSecond = 10;

  /// A request that waits for a decision.
  struct Waiter {
    std::condition_variable Decided;
    std::optional<admission::CapAnswer> Answer;
  };
  struct Charge {
    WorkspaceId Workspace;
    double Units = 0;
  };

  /// Collects the questions that are due and hands decisions to the requests
  /// that wait for them. Called under the mutex.
  void collect(Timestamp Now);
  /// Collects what is due. \returns whether QuestionsReady has to be called,
  /// without the mutex. Called under the mutex.
  bool advance(Timestamp Now);
  /// Forgets all state. Called under the mutex.
  void reset();
  admission::CapAnswer awaitAnswer(std::unique_lock<std::mutex> &Lock,
                                   uint64_t Ticket, Timestamp Now,
                                   const Charge &Asked);
  void logInvalid(uint64_t Count, const HostId *From);

  std::function<void()> QuestionsReady = [] {};
  /// Whether a workspace has a cap.
  std::atomic<bool> Active = false;
  /// The routes whose caps are in force; used by setView() only.
  std::shared_ptr<const config::RouteTable> Routes;
  const admission::CapTolerance Tolerance;
  std::mutex Mutex;
  admission::CapOwner Owner;
  admission::CapHolder Holder;
  std::vector<admission::CapHolder::Outgoing> Outbox;
  std::map<uint64_t, Waiter *> Waiting;
  /// Tickets whose requests were answered before the decision.
  std::map<uint64_t, Charge> Abandoned;
  /// When the control thread is going to call takeQuestions(), and whether it
  /// has been told to do so earlier.
  Timestamp ArmedFor = NeverExpires;
  bool WakePending = false;
  Timestamp RejectionsCountedFrom;
  uint32_t RejectionsLogged = 0;
  uint64_t InvalidLogged = 0;
  Timestamp LogInvalidFrom;
};

} // namespace ferry::traffic

#endif

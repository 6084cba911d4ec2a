#include "LibTraffic/SharedCaps.h"
#include "LibObserve/Log.h"

namespace ferry::traffic {

using namespace ferry::admission;

/// Time after which a request may be resent whose decision came too late.
static constexpr Duration UndecidedRetryDelay = std::chrono::milliseconds(100);
/// Between two log lines about invalid messages.
static constexpr Duration InvalidLogInterval = std::chrono::seconds(1);

SharedCaps::SharedCaps(CapTolerance Tolerance)
    : Tolerance(Tolerance), Owner(Tolerance), Holder(Tolerance) {
  Holder.setLocalOwner(&Owner);
}

void SharedCaps::setView(const routing::RoutingViewPtr &View) {
  CapsByWorkspace Caps;
  bool SameRoutes = View->Routes == Routes;
  Routes = View->Routes;
  if (Routes && !SameRoutes)
    for (const config::RoutedWorkspace &Workspace : Routes->workspaces())
      if (Workspace.Cap)
        Caps.emplace(Workspace.Id, *Workspace.Cap);
  bool HasCaps = SameRoutes ? Active.load() : !Caps.empty();
  if (!HasCaps && !Active)
    return;
  bool Wake = false;
  {
    std::lock_guard Lock(Mutex);
    Timestamp Now = steadyNow();
    // The routers come first: a bucket is made for the workspaces that this
    // router owns.
    std::vector<HostId> Serving = View->servingRouters();
    Owner.setRouters(View->Self, Serving, Now);
    Holder.setRouters(View->Self, Serving, Now);
    if (!SameRoutes) {
      Owner.setCaps(Caps, Now);
      Holder.setCaps(Caps, Now);
    }
    Active = HasCaps;
    Wake = advance(Now);
    if (!HasCaps)
      reset();
  }
  if (Wake)
    QuestionsReady();
}

CapAnswer SharedCaps::admit(const WorkspaceId &Workspace, double Units) {
  if (!Active)
    return {};
  std::unique_lock Lock(Mutex);
  Timestamp Now = steadyNow();
  CapAnswer Answer = Holder.admit(Workspace, Units, Now);
  if (Answer.Decision == CapDecision::Awaiting)
    return awaitAnswer(Lock, Answer.Ticket, Now, {Workspace, Units});
  bool Wake = advance(Now);
  Lock.unlock();
  if (Wake)
    QuestionsReady();
  return Answer;
}

void SharedCaps::reset() {
  // What is known of the routers is not kept up to date from now on.
  Owner = CapOwner(Tolerance);
  Holder = CapHolder(Tolerance);
  Holder.setLocalOwner(&Owner);
  Outbox.clear();
  Abandoned.clear();
  InvalidLogged = 0;
}

CapAnswer SharedCaps::awaitAnswer(std::unique_lock<std::mutex> &Lock,
                                  uint64_t Ticket, Timestamp Now,
                                  const Charge &Asked) {
  Waiter Own;
  Waiting.emplace(Ticket, &Own);
  if (advance(Now)) {
    Lock.unlock();
    QuestionsReady();
    Lock.lock();
  }
  auto IsDecided = [&] { return Own.Answer.has_value(); };
  // The time-out is decided on this thread, so that it does not depend on the
  // control thread.
  for (Duration Wait :
       {CapHolder::LongestWait, CapHolder::LongestWait + WaitMargin})
    if (!Own.Decided.wait_until(Lock, Now + Wait, IsDecided))
      collect(steadyNow());
  Waiting.erase(Ticket);
  if (Own.Answer)
    return *Own.Answer;
  Abandoned.emplace(Ticket, Asked);
  return {CapDecision::Rejected, steadyNow() + UndecidedRetryDelay, 0};
}

void SharedCaps::collect(Timestamp Now) {
  for (CapHolder::Outgoing &Question : Holder.takeQuestions(Now))
    Outbox.push_back(std::move(Question));
  for (CapHolder::Settled &Settled : Holder.takeSettled(Now)) {
    if (auto Entry = Waiting.find(Settled.Ticket); Entry != Waiting.end()) {
      Entry->second->Answer = Settled.Answer;
      Entry->second->Decided.notify_one();
      continue;
    }
    auto Entry = Abandoned.find(Settled.Ticket);
    if (Entry == Abandoned.end())
      continue;
    if (Settled.Answer.Decision == CapDecision::Admitted)
      Holder.giveBack(Entry->second.Workspace, Entry->second.Units, Now);
    Abandoned.erase(Entry);
  }
}

bool SharedCaps::advance(Timestamp Now) {
  Timestamp Due = Holder.nextDue();
  if (Due <= Now) {
    collect(Now);
    Due = Holder.nextDue();
  }
  if (WakePending || (Outbox.empty() && Due >= ArmedFor))
    return false;
  WakePending = true;
  return true;
}

void SharedCaps::giveBack(const WorkspaceId &Workspace, double Units) {
  if (!Active)
    return;
  std::lock_guard Lock(Mutex);
  Holder.giveBack(Workspace, Units, steadyNow());
}

bool SharedCaps::mayLogRejection() {
  std::lock_guard Lock(Mutex);
  Timestamp Now = steadyNow();
  if (Now >= RejectionsCountedFrom + std::chrono::seconds(1)) {
    RejectionsCountedFrom = Now;
    RejectionsLogged = 0;
  }
  return RejectionsLogged++ < MaxLoggedPerSecond;
}

std::vector<CapHolder::Outgoing> SharedCaps::takeQuestions() {
  if (!Active)
    return {};
  std::lock_guard Lock(Mutex);
  WakePending = false;
  collect(steadyNow());
  return std::exchange(Outbox, {});
}

Timestamp SharedCaps::nextDue() {
  if (!Active)
    return NeverExpires;
  std::lock_guard Lock(Mutex);
  ArmedFor = Holder.nextDue();
  return ArmedFor;
}

CapReply SharedCaps::answer(const CapQuestion &Question) {
  if (!Active)
    return {Question.Workspace, Question.Number, 0, {}, {}};
  std::lock_guard Lock(Mutex);
  CapReply Reply = Owner.answer(Question, steadyNow());
  logInvalid(Owner.invalidQuestions() + Holder.invalidReplies(), nullptr);
  return Reply;
}

void SharedCaps::apply(const HostId &From, const CapReply &Reply) {
  if (!Active)
    return;
  std::lock_guard Lock(Mutex);
  Timestamp Now = steadyNow();
  Holder.apply(From, Reply, Now);
  logInvalid(Owner.invalidQuestions() + Holder.invalidReplies(), &From);
  collect(Now);
}

void SharedCaps::logInvalid(uint64_t Count, const HostId *From) {
  Timestamp Now = steadyNow();
  if (Count == InvalidLogged || Now < LogInvalidFrom)
    return;
  observe::logEvent(observe::Severity::Warning, "routed", "cap_message_invalid",
                    {{"messages", Count - InvalidLogged},
                     {"newest_from", From ? From->Value : std::string()}});
  InvalidLogged = Count;
  LogInvalidFrom = Now + InvalidLogInterval;
}

std::vector<CapStatus> SharedCaps::status() {
  if (!Active)
    return {};
  std::lock_guard Lock(Mutex);
  return Holder.status(steadyNow());
}

SharedCaps::OwnerStatus SharedCaps::ownerStatus() {
  if (!Active)
    return {};
  std::lock_guard Lock(Mutex);
  return {Owner.ownedWorkspaces(), Owner.answered(),
          Owner.invalidQuestions() + Holder.invalidReplies()};
}

} // namespace ferry::traffic

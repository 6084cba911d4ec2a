// Requests that another router serves, as this one reaches no target, and those
// that this one serves for others.
#include "LibObserve/Log.h"
#include "LibTraffic/PassedCall.h"
#include "LibTraffic/RoutedRelay.h"

namespace ferry::traffic {

using namespace ferry::routing;
using observe::Severity;

/// Number of routers that are tried: those that could not be connected to
/// leave time for another one.
static constexpr size_t MaxHelpersTried = 2;
/// Time after which a caller may resend a request that was not run because
/// this router serves enough requests of others.
static constexpr Duration BusyRetryDelay = std::chrono::milliseconds(50);
/// The same if no router is known to reach targets: a few probes later.
static constexpr Duration CutOffRetryDelay = std::chrono::milliseconds(500);

std::optional<ErrorAnswer> RoutedRelay::acceptPassed() {
  PassedIn = Context.Reach.isOwnKey(Caller.PassKey);
  if (!PassedIn)
    return std::nullopt;
  Context.Metrics.PassedIn.add();
  observe::logEvent(Severity::Info, "routed", "passed_in", {}, Caller.Id);
  if (++Context.PassedIn <= RoutedContext::MaxPassedIn)
    return std::nullopt;
  return ErrorAnswer{AnswerError::NoTarget,
                     "too many requests of other routers", NotRun::True,
                     ArrivedAt + BusyRetryDelay};
}

bool RoutedRelay::passOn() {
  if (!Context.Reach.isCutOff())
    return false;
  std::vector<HostId> Tried;
  while (!PassedIn && Tried.size() < MaxHelpersTried) {
    auto To = Context.Reach.chooseHelper(Tried);
    if (!To)
      break;
    if (passOnTo(*To))
      return true;
    Tried.push_back(To->Router.Id);
  }
  if (Context.Reach.awaitsHelpers())
    return false;
  refuseUnplaced(
      {CallRefusalReason::CutOff, steadyNow() + CutOffRetryDelay, {}});
  return true;
}

bool RoutedRelay::passOnTo(const SharedReach::Address &To) {
  PassedCall Passed(Context, Exchange, Call.Deadline);
  PassedCall::End End = Passed.run(To, Body);
  Context.Metrics.PassedOn.with({std::string(enumName(End))}).add();
  observe::logEvent(
      Severity::Info, "routed", "passed_on",
      {{"router", To.Router.Id}, {"end", End}, {"reason", Passed.failure()}},
      Caller.Id);
  switch (End) {
  case PassedCall::End::NotSent:
    return false;
  case PassedCall::End::Answered:
    WasServed = !meansNotRun(Passed.status());
    logEnd("answered", Passed.status());
    return true;
  case PassedCall::End::Unknown:
    ++PossibleRuns;
    LastFailure = {LinkErrorKind::Broken, Passed.failure()};
    failRequest();
    return true;
  case PassedCall::End::Cut:
    WasServed = true;
    cutStream();
    return true;
  case PassedCall::End::CallerLeft:
    WasServed = true;
    Context.Metrics.CallersLeft.add();
    Exchange.abort();
    logEnd("caller_left", 0);
    return true;
  }
  return true;
}

} // namespace ferry::traffic

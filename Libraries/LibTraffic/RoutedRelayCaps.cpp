// The caps of workspaces: requests beyond them are rejected before anything is
// sent, and those that no target has run give their units back.
#include "LibObserve/Log.h"
#include "LibTraffic/RoutedRelay.h"
#include <utility>

namespace ferry::traffic {

using namespace ferry::admission;
using observe::Severity;

double RoutedRelay::unitsOf(const config::WorkspaceCap &Cap) const {
  if (Cap.Unit == config::CapUnit::Requests)
    return 1;
  double Tokens = double(Call.PromptTokens) + double(Call.OutputTokens);
  // Without the header that names its tokens, the request has none.
  return Tokens > 0 ? Tokens : Cap.DefaultTokens;
}

std::optional<ErrorAnswer> RoutedRelay::countAgainstCap() {
  // The router that passed a request on has counted it.
  if (!Workspace || !Workspace->Cap || PassedIn)
    return std::nullopt;
  double Units = unitsOf(*Workspace->Cap);
  CapAnswer Answer = Context.Caps.admit(Workspace->Id, Units);
  if (Answer.Decision == CapDecision::Admitted) {
    ChargedUnits = Units;
    return std::nullopt;
  }
  Context.Metrics.Unplaced.with({"cap_exceeded"}).add();
  if (Context.Caps.mayLogRejection()) {
    std::optional<int64_t> RetryMillis;
    if (Answer.RetryAt)
      RetryMillis = millisUntil(*Answer.RetryAt, steadyNow());
    observe::logEvent(Severity::Info, "routed", "cap_rejected",
                      {{"workspace", Workspace->Id},
                       {"units", Units},
                       {"retry_ms", RetryMillis}},
                      Caller.Id);
  }
  return ErrorAnswer{AnswerError::CapExceeded,
                     Answer.RetryAt ? "the workspace has reached its cap"
                                    : "the request exceeds the workspace's cap",
                     NotRun::True, Answer.RetryAt};
}

void RoutedRelay::countRepeat() {
  // Another run uses up the cap too. It is not refused: the caller may have a
  // part of its answer, and the budget of retries bounds the excess.
  if (ChargedUnits > 0)
    Context.Caps.admit(Workspace->Id, ChargedUnits);
}

void RoutedRelay::settleCap() {
  bool HasRun = WasServed || StreamStarted || PossibleRuns > 0;
  if (ChargedUnits > 0 && !HasRun)
    Context.Caps.giveBack(Workspace->Id, std::exchange(ChargedUnits, 0));
}

} // namespace ferry::traffic

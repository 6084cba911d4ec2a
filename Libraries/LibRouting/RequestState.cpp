#include "LibRouting/RequestState.h"
#include "LibRouting/TargetState.h"
#include <algorithm>

namespace ferry::routing {

/// Prompt tokens that cost about as much as one generated token.
static constexpr double PromptTokensPerOutputToken = 8;
/// Work of a call of a plain service, in prompt tokens.
static constexpr double CallWork = 1000;

void RequestState::waitFor(TargetState &Target, double Tokens) {
  stopWaiting();
  WaitsFor = &Target;
  WaitingTokens = Tokens;
  Target.addWaiting(Tokens);
}

void RequestState::stopWaiting() {
  if (WaitsFor)
    WaitsFor->removeWaiting(WaitingTokens);
  WaitsFor = nullptr;
}

bool RequestState::hasTried(const TargetId &Target) const {
  return std::find(Tried.begin(), Tried.end(), Target) != Tried.end();
}

double RequestState::work() const {
  if (Kind == RequestKind::Call)
    return CallWork;
  return static_cast<double>(PromptTokens) +
         PromptTokensPerOutputToken * static_cast<double>(MaxOutputTokens) + 1;
}

} // namespace ferry::routing

/// \file
/// What the Scheduler keeps of one request until its last try has ended.
#ifndef FERRY_LIBROUTING_REQUESTSTATE_H
#define FERRY_LIBROUTING_REQUESTSTATE_H

#include "LibRouting/SchedulerEvents.h"
#include <optional>
#include <vector>

namespace ferry::routing {

/// One try on one target.
struct TryState {
  TargetId Target;
  ferry::Incarnation Incarnation;
  Timestamp SentAt;
  std::optional<Timestamp> FirstByteAt;
  /// Prompt tokens that the target is thought to compute for this request.
  uint64_t MissingTokens = 0;
  /// Prompt tokens thought to be computed before this request's first token,
  /// its own included.
  double WorkAhead = 0;
  /// The estimate of the time to the first token at the decision.
  Timestamp ExpectedFirstByteAt;
};

class TargetState;

/// Whether a request carries a prompt for an engine.
enum class RequestKind : uint8_t { Prompt, Call };

struct RequestState {
  RequestId Id;
  WorkspaceId Workspace;
  ServiceId Service;
  RequestKind Kind = RequestKind::Prompt;
  routing::Priority Priority = routing::Priority::Interactive;
  Timestamp Deadline;
  Timestamp SubmittedAt;
  std::vector<cache::BlockHash> Blocks;
  uint64_t PromptTokens = 0;
  uint64_t MaxOutputTokens = 0;
  /// Set if it is admitted to learn whether the estimates still hold.
  bool IsProbe = false;
  /// Targets that have been tried; never tried again.
  std::vector<TargetId> Tried;
  /// While it waits: the target it waits for, and the tokens it lacks there.
  TargetState *HeldFor = nullptr;
  double HeldTokens = 0;
  /// Set while a try runs; the request waits otherwise.
  std::optional<TryState> Current;

  /// Waits for \p Target.
  void holdFor(TargetState &Target, double Tokens);
  /// Waits for no target in particular.
  void release();

  bool hasTried(const TargetId &Target) const;
  /// \returns the work counted for fairness, in prompt tokens.
  double work() const;
};

} // namespace ferry::routing

#endif

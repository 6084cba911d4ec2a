/// \file
/// The Scheduler's state of one request until its last try has ended.
#ifndef FERRY_LIBROUTING_REQUESTSTATE_H
#define FERRY_LIBROUTING_REQUESTSTATE_H

#include "LibRouting/SchedulerEvents.h"
#include <optional>
#include <vector>

namespace ferry::routing {

/// One try of a request on one target.
struct TryState {
  TargetId Target;
  ferry::Incarnation Incarnation;
  Timestamp SentAt;
  std::optional<Timestamp> FirstByteAt;
  /// Prompt tokens that the target is estimated to compute for this request.
  uint64_t MissingTokens = 0;
  /// Prompt tokens that the target is estimated to compute before this
  /// request's first token, including its own.
  double WorkAhead = 0;
  /// The time of the first byte as estimated when the try was sent.
  Timestamp ExpectedFirstByteAt;
};

class TargetState;

/// Whether a request carries a prompt for an engine or calls a plain service.
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
  /// Set if the request is admitted only to test whether the estimates that
  /// would refuse it are still right.
  bool IsProbe = false;
  /// Targets that have been tried and are not tried again.
  std::vector<TargetId> Tried;
  /// While the request waits: the target that it waits for, and the prompt
  /// tokens that are not cached there.
  TargetState *WaitsFor = nullptr;
  double WaitingTokens = 0;
  /// Set while a try runs; otherwise the request waits.
  std::optional<TryState> Current;

  /// Makes the request wait for \p Target, where \p Tokens of its prompt are
  /// not cached.
  void waitFor(TargetState &Target, double Tokens);
  /// Ends the wait for a particular target.
  void stopWaiting();

  bool hasTried(const TargetId &Target) const;
  /// \returns the work charged in the FairQueue, in prompt tokens.
  double work() const;
};

} // namespace ferry::routing

#endif

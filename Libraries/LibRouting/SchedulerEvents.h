/// \file
/// Events and effects of the Scheduler.
#ifndef FERRY_LIBROUTING_SCHEDULEREVENTS_H
#define FERRY_LIBROUTING_SCHEDULEREVENTS_H

#include "LibCache/BlockHash.h"
#include "LibCache/BlockNames.h"
#include "LibCache/CacheEvent.h"
#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibRouting/RoutingView.h"
#include <string>
#include <variant>
#include <vector>

namespace ferry::routing {

enum class Priority : uint8_t { Interactive, Batch };

/// Why a request is refused.
enum class RefusalKind : uint8_t {
  NoDescription,
  Unconfirmed,
  Draining,
  UnknownService,
  UnknownWorkspace,
  NoTarget,
  QueueFull,
  DeadlineTooNear,
  ShareExceeded,
  RetryBudgetSpent,
  DeadlinePassed,
  /// A try failed, and a retry could repeat work that must not run twice.
  RepeatForbidden,
  /// A request with the same id has not ended yet.
  DuplicateRequest
};

/// How a try on a target ended.
enum class TryOutcome : uint8_t {
  Succeeded,
  /// The target answered that it is overloaded.
  Rejected,
  /// The connection failed before the first byte of the request was sent.
  NotSent,
  /// The try failed after that.
  Failed,
  /// The caller disconnected, or the deadline passed.
  Cancelled
};

/// A new request for a model service.
struct SubmitRequest {
  RequestId Id;
  WorkspaceId Workspace;
  ServiceId Service;
  routing::Priority Priority = Priority::Interactive;
  Timestamp Deadline;
  /// Hashes of the prompt's complete blocks, from the start.
  std::vector<cache::BlockHash> Blocks;
  /// Tokens of the whole prompt, estimated without a tokenizer.
  uint64_t PromptTokens = 0;
  uint64_t MaxOutputTokens = 0;
};

/// A new call of a plain service, or any other request without a prompt.
struct SubmitCall {
  RequestId Id;
  WorkspaceId Workspace;
  ServiceId Service;
  routing::Priority Priority = Priority::Interactive;
  Timestamp Deadline;
};

/// The first byte of an answer has arrived; its headers report the cached
/// tokens.
struct FirstByte {
  RequestId Id;
  /// Tokens of the prompt that the engine found in its cache.
  uint64_t CachedTokens = 0;
  /// The engine's own names of the prompt's leading complete blocks; empty if
  /// the engine uses the router's hashes.
  std::vector<cache::EngineBlockName> BlockNames = {};
};

/// A try has ended. Unless it succeeded or was cancelled, the Scheduler
/// responds with another Dispatch or with a Refusal.
struct TryEnded {
  RequestId Id;
  TryOutcome Outcome = TryOutcome::Succeeded;
  /// Whether a retry is allowed, or could repeat work that must not run twice.
  enum class Repeat : uint8_t {
    Allowed,
    Forbidden
  } MayRepeat = Repeat::Allowed;
};

/// The caller of a waiting request has disconnected.
struct Withdraw {
  RequestId Id;
};

/// The control thread has published a new snapshot.
struct ViewChanged {
  RoutingViewPtr View;
};

/// A batch of cache events has arrived from a target.
struct CacheEventsReceived {
  cache::CacheEventBatch Batch;
};

/// Time has passed; sent at least every 20 milliseconds while requests wait.
struct SchedulerTick {};

using SchedulerEvent =
    std::variant<SubmitRequest, SubmitCall, FirstByte, TryEnded, Withdraw,
                 ViewChanged, CacheEventsReceived, SchedulerTick>;

/// Cached blocks that the engine imports from a cache store before its prefill.
struct ImportPlan {
  TargetId Store;
  std::string StoreAddress;
  /// Leading blocks of the prompt that the store holds.
  uint32_t Blocks = 0;
};

/// Sends the request to this target now.
struct Dispatch {
  RequestId Id;
  TargetId Target;
  ferry::Incarnation Incarnation;
  WeightsVersion Weights;
  std::string Address;
  /// Tokens that the engine is known to have in its cache; entries of the index
  /// that are not sure do not count.
  uint64_t ExpectedCachedTokens = 0;
  std::vector<ImportPlan> Imports;
};

/// Refuses the request, which ends it; no further try is sent.
struct Refusal {
  RequestId Id;
  RefusalKind Kind;
  /// When the caller should send the request again.
  Timestamp RetryAt;
};

using SchedulerEffect = std::variant<Dispatch, Refusal>;

} // namespace ferry::routing

namespace ferry {

template <> struct EnumNames<routing::Priority> {
  static constexpr EnumName<routing::Priority> Table[] = {
      {routing::Priority::Interactive, "interactive"},
      {routing::Priority::Batch, "batch"}};
};

template <> struct EnumNames<routing::RefusalKind> {
  using Kind = routing::RefusalKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::NoDescription, "no_description"},
      {Kind::Unconfirmed, "unconfirmed"},
      {Kind::Draining, "draining"},
      {Kind::UnknownService, "unknown_service"},
      {Kind::UnknownWorkspace, "unknown_workspace"},
      {Kind::NoTarget, "no_target"},
      {Kind::QueueFull, "queue_full"},
      {Kind::DeadlineTooNear, "deadline_too_near"},
      {Kind::ShareExceeded, "share_exceeded"},
      {Kind::RetryBudgetSpent, "retry_budget_spent"},
      {Kind::DeadlinePassed, "deadline_passed"},
      {Kind::RepeatForbidden, "repeat_forbidden"},
      {Kind::DuplicateRequest, "duplicate_request"}};
};

template <> struct EnumNames<routing::TryOutcome> {
  using Outcome = routing::TryOutcome;
  static constexpr EnumName<Outcome> Table[] = {
      {Outcome::Succeeded, "succeeded"},
      {Outcome::Rejected, "rejected"},
      {Outcome::NotSent, "not_sent"},
      {Outcome::Failed, "failed"},
      {Outcome::Cancelled, "cancelled"}};
};

} // namespace ferry

#endif

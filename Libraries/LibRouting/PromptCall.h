/// \file
/// A request as its placement sees it, and what becomes of it.
#ifndef FERRY_LIBROUTING_PROMPTCALL_H
#define FERRY_LIBROUTING_PROMPTCALL_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace ferry::routing {

/// One part of a prompt that requests may share.
struct PromptPart {
  /// Equal for equal parts, whatever comes before them.
  uint64_t Id = 0;
  uint32_t Tokens = 0;
};

/// Prompts of this size are long: reading them takes as long as a short one may
/// wait. Engines read short ones first.
inline constexpr uint32_t LongPromptTokens = 4096;

/// A request to be placed.
struct PromptCall {
  ServiceId Service;
  /// In the prompt's order; empty where the service reads no prompts.
  std::vector<PromptPart> Parts;
  /// Hash of what the cached parts belong to beside their ids, as an isolated
  /// workspace.
  uint64_t CacheScope = 0;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  Timestamp Deadline;
  /// An answer that begins later is worth less; NeverExpires where no target
  /// latency is named.
  Timestamp TargetBy = NeverExpires;
  /// Targets that must not get it again.
  std::vector<TargetId> Tried;
};

/// Where a request goes.
struct PlacedCall {
  /// For the events that follow.
  uint64_t Ticket = 0;
  TargetId Target;
  ferry::Incarnation Incarnation;
  std::string Address;
  WeightsVersion Weights;
  /// Another target to fetch cached parts from before the prompt is read; empty
  /// if none has more of them.
  std::string FetchFrom;
  /// A cache store to save the parts to once they are read; empty for none.
  std::string SaveTo;
  /// Time to the first byte as estimated, and the tokens held to be cached.
  Duration Estimate = {};
  uint32_t CachedTokens = 0;
};

/// Why a request goes nowhere.
enum class TurnAwayReason : uint8_t {
  /// No target of the service is known.
  NoTarget,
  /// All that are known fail, load weights or were tried.
  NoneUsable,
  /// No target can begin before the deadline.
  DeadlineTooNear,
  /// The targets' places are taken.
  Full
};

/// A request that is not sent anywhere, and when a place is expected.
struct TurnedAway {
  TurnAwayReason Reason = TurnAwayReason::NoTarget;
  Timestamp RetryAt;
};

/// What one router has under way at a target.
struct TargetWork {
  TargetId Target;
  /// Time of long and of short prompts not yet seen begun.
  Duration LongPrompts = {};
  Duration ShortPrompts = {};
  uint32_t Running = 0;
  bool operator==(const TargetWork &) const = default;
};

/// Whether a part was read, or a request is under way that reads it.
enum class PartState : uint8_t { Awaited, Read };

/// A part that a target has or will have; Key stands for its scope too.
struct PartPlace {
  TargetId Target;
  uint64_t Key = 0;
  uint32_t Tokens = 0;
  PartState State = PartState::Read;
};

/// What one router tells the others.
struct WorkDigest {
  std::vector<TargetWork> Work;
  std::vector<PartPlace> Parts;
};

/// What the giver of orders tells the routers about an engine.
struct EngineChange {
  TargetId Target;
  ferry::Incarnation Incarnation;
  WeightsVersion Weights;
  bool Loading = false;
};

/// Named weights that are remembered for one model: one load of all engines
/// takes less time than as many changes.
inline constexpr size_t MaxNamedWeights = 16;

/// Weights that an operator has named.
struct NamedWeights {
  ModelId Model;
  WeightsVersion Weights;
  Timestamp Since;
};

/// How a request ended at its target.
enum class CallEnd : uint8_t {
  /// A whole answer other than a failure.
  Served,
  /// An answer that tells a failure of the target.
  Failed,
  /// The target said that it did not run the request.
  NotRun,
  /// The target is another than expected, or has other weights.
  Replaced,
  /// No connection.
  Unreachable,
  /// The connection or the answer broke.
  Broken,
  /// The caller left, or its deadline passed.
  Abandoned
};

} // namespace ferry::routing

namespace ferry {

template <> struct EnumNames<routing::TurnAwayReason> {
  using Reason = routing::TurnAwayReason;
  static constexpr EnumName<Reason> Table[] = {
      {Reason::NoTarget, "no_target"},
      {Reason::NoneUsable, "none_usable"},
      {Reason::DeadlineTooNear, "deadline_too_near"},
      {Reason::Full, "full"}};
};

template <> struct EnumNames<routing::CallEnd> {
  using End = routing::CallEnd;
  static constexpr EnumName<End> Table[] = {
      {End::Served, "served"},           {End::Failed, "failed"},
      {End::NotRun, "not_run"},          {End::Replaced, "replaced"},
      {End::Unreachable, "unreachable"}, {End::Broken, "broken"},
      {End::Abandoned, "abandoned"}};
};

} // namespace ferry

#endif

/// \file
/// A request of the routed interface as RoutedPlacement sees it, its placement
/// or refusal, and the messages between hosts that placements depend on.
#ifndef FERRY_LIBROUTING_ROUTEDCALL_H
#define FERRY_LIBROUTING_ROUTEDCALL_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ferry::routing {

/// One part of a prompt that requests may share.
struct PromptPart {
  /// Equal for equal parts, regardless of the parts before them.
  uint64_t Id = 0;
  uint32_t Tokens = 0;
};

/// Prompts of at least this size are long: reading one takes as long as a short
/// prompt may wait. Engines read short prompts first.
inline constexpr uint32_t LongPromptTokens = 4096;

/// A slot of a brittle target that another router lends for one request.
struct SlotLoan {
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// The router that has the slot.
  HostId Lender;
};

/// A request to be placed.
struct RoutedCall {
  ServiceId Service;
  /// In the order of the prompt; empty if the service reads no prompts.
  std::vector<PromptPart> Parts;
  /// Hash of the scope within which part ids are shared: that of an isolated
  /// workspace, or of all others.
  uint64_t CacheScope = 0;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  Timestamp Deadline;
  /// When the first byte is due by the route's target latency; a later answer
  /// is worth less. NeverExpires if the route names no target latency.
  Timestamp FirstByteDueAt = NeverExpires;
  /// The build that began the stream which the request goes on with; no other
  /// may continue it. Empty for a new stream.
  BuildId Build;
  /// Targets that have been tried and must not get the request again.
  std::vector<TargetId> Tried;
  /// The request is placed at this slot or nowhere.
  std::optional<SlotLoan> Loan = std::nullopt;
};

/// The target chosen for a request, and the estimate behind the choice.
struct PlacedCall {
  /// Identifies the request in noteFirstByte() and endCall().
  uint64_t PlacementId = 0;
  TargetId Target;
  ferry::Incarnation Incarnation;
  std::string Address;
  WeightsVersion Weights;
  BuildId Build;
  /// Address of the target or cache store that the chosen target fetches cached
  /// parts from before it reads the prompt; empty if it fetches none.
  std::string FetchFrom;
  /// Address of the cache store that the target saves the parts to once it has
  /// read them; empty if it saves none.
  std::string SaveTo;
  /// Estimated time to the first byte, and the tokens assumed to be cached or
  /// fetched.
  Duration Estimate = {};
  uint32_t CachedTokens = 0;
  /// When the last request may begin on the target's weights; NeverExpires if
  /// no newer ones are named.
  Timestamp WeightsDeadline = NeverExpires;
  /// Whether the call was counted against a limit of the target.
  bool CountedAgainstLimit = false;
  /// Whether the call runs on a slot of another router.
  bool OnLoan = false;
};

/// Why a request is refused.
enum class CallRefusalReason : uint8_t {
  /// No target of the service is known.
  NoTarget,
  /// No target of the build that began the stream is left.
  BuildGone,
  /// The service has targets, but all of them fail, load weights, run
  /// superseded weights past the deadline, or were tried.
  NoneUsable,
  /// No target can begin before the deadline.
  DeadlineTooNear,
  /// The request would wait too long for its first byte.
  Full,
  /// The prompt has parts that crash targets.
  PartsQuarantined,
  /// The limits that all targets name forbid it.
  Limited,
  /// The targets are brittle, and this router's slots there are taken; another
  /// router may lend one.
  SlotsTaken,
  /// This router reaches no target, and no other one is known to.
  CutOff
};

/// The refusal of a request, and when a target is expected to be free.
struct RefusedCall {
  CallRefusalReason Reason = CallRefusalReason::NoTarget;
  Timestamp RetryAt;
  /// Estimated time to the first byte at the best target; 0 if there is none.
  Duration Estimate = {};
};

/// The requests that one router has running at a target.
struct TargetWork {
  TargetId Target;
  /// Reading time of the long and of the short prompts whose first byte has not
  /// come yet.
  Duration LongPrompts = {};
  Duration ShortPrompts = {};
  uint32_t Running = 0;
  bool operator==(const TargetWork &) const = default;
};

/// Whether a target has read a part, or runs a request that is going to read
/// it.
enum class PartState : uint8_t { Awaited, Read };

/// A part that a target holds or is going to hold. Key is the hash of the
/// part's id and scope.
struct PartPlace {
  TargetId Target;
  uint64_t Key = 0;
  uint32_t Tokens = 0;
  PartState State = PartState::Read;
};

/// Whose work a digest adds up.
enum class DigestScope : uint8_t {
  /// That of the router that sends it.
  Router,
  /// That of the routers whose relay sends it.
  Group,
  /// That of all routers but the receiver.
  Fleet
};

/// What one router sends to others: running requests, and the parts they have
/// used since its last digest.
struct WorkDigest {
  DigestScope Scope = DigestScope::Router;
  std::vector<TargetWork> Work;
  std::vector<PartPlace> Parts;
};

/// A load of weights on an engine, as the holder of the order lease reports it
/// to the routers.
struct EngineChange {
  TargetId Target;
  ferry::Incarnation Incarnation;
  WeightsVersion Weights;
  bool Loading = false;
};

/// Weights that an operator has named as the current ones of a model.
struct NamedWeights {
  ModelId Model;
  WeightsVersion Weights;
  Timestamp Since;
};

/// What a message with all named weights has changed.
struct NamingsOutcome {
  /// Those that are newer than all that were known, or older by a second and
  /// more than was known.
  std::vector<NamedWeights> News;
  /// Time by which the deadlines of superseded weights were moved; 0 if not.
  Duration Suspended = Duration::zero();
};

/// How a request ended at its target.
enum class CallEnd : uint8_t {
  /// A whole answer that reports no failure.
  Served,
  /// An answer that reports a failure of the target.
  Failed,
  /// The target answered that it did not run the request.
  NotRun,
  /// The target at the address has another incarnation or other weights than
  /// expected.
  Replaced,
  /// The connection to the target could not be opened.
  Unreachable,
  /// The connection broke, or the answer was incomplete.
  Broken,
  /// The caller left, or its deadline passed.
  Abandoned
};

/// How far a target had come with an answer when it broke it off.
enum class AnswerProgress : uint8_t {
  /// No head had come: the request may still have waited.
  Waiting,
  /// The head had come, and the first event a moment ago at most.
  Begun,
  /// Events had come for a while.
  Streaming
};

} // namespace ferry::routing

namespace ferry {

template <> struct EnumNames<routing::AnswerProgress> {
  using Progress = routing::AnswerProgress;
  static constexpr EnumName<Progress> Table[] = {
      {Progress::Waiting, "waiting"},
      {Progress::Begun, "begun"},
      {Progress::Streaming, "streaming"}};
};

template <> struct EnumNames<routing::CallRefusalReason> {
  using Reason = routing::CallRefusalReason;
  static constexpr EnumName<Reason> Table[] = {
      {Reason::NoTarget, "no_target"},
      {Reason::BuildGone, "build_gone"},
      {Reason::NoneUsable, "none_usable"},
      {Reason::DeadlineTooNear, "deadline_too_near"},
      {Reason::Full, "full"},
      {Reason::PartsQuarantined, "parts_quarantined"},
      {Reason::Limited, "limited"},
      {Reason::SlotsTaken, "slots_taken"},
      {Reason::CutOff, "cut_off"}};
};

template <> struct EnumNames<routing::DigestScope> {
  using Scope = routing::DigestScope;
  static constexpr EnumName<Scope> Table[] = {{Scope::Router, "router"},
                                              {Scope::Group, "group"},
                                              {Scope::Fleet, "fleet"}};
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

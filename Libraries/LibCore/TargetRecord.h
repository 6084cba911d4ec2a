/// \file
/// What a target announces about itself.
#ifndef FERRY_LIBCORE_TARGETRECORD_H
#define FERRY_LIBCORE_TARGETRECORD_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <string>

namespace ferry {

enum class TargetKind : uint8_t {
  Engine,
  CacheStore,
  PlainService,
  WeightStore
};

template <> struct EnumNames<TargetKind> {
  static constexpr EnumName<TargetKind> Table[] = {
      {TargetKind::Engine, "engine"},
      {TargetKind::CacheStore, "cache_store"},
      {TargetKind::PlainService, "service"},
      {TargetKind::WeightStore, "weight_store"}};
};

enum class TargetPhase : uint8_t { Starting, Ready, Leaving };

template <> struct EnumNames<TargetPhase> {
  static constexpr EnumName<TargetPhase> Table[] = {
      {TargetPhase::Starting, "starting"},
      {TargetPhase::Ready, "ready"},
      {TargetPhase::Leaving, "leaving"}};
};

/// Whether a target refuses orders with an old fencing number.
enum class FencingCheck : uint8_t { Checked, Unchecked };

template <> struct EnumNames<FencingCheck> {
  static constexpr EnumName<FencingCheck> Table[] = {
      {FencingCheck::Checked, "checked"},
      {FencingCheck::Unchecked, "unchecked"}};
};

/// The load that a target announced; it may be out of date.
struct TargetLoad {
  uint32_t RunningRequests = 0;
  uint32_t QueuedRequests = 0;
  /// Prompt tokens admitted but not yet prefilled.
  uint64_t QueuedPrefillTokens = 0;
  /// Requests the target runs concurrently; 0 if it does not announce a limit.
  uint32_t MaxConcurrent = 0;
  bool operator==(const TargetLoad &) const = default;
};

/// The latest announcement of one incarnation of a target.
struct TargetRecord {
  TargetId Id;
  ferry::Incarnation Incarnation;
  /// "IP:port" of its HTTP address.
  std::string Address;
  DataCentreId DataCentre;
  TargetKind Kind = TargetKind::Engine;
  TargetPhase Phase = TargetPhase::Starting;
  /// The service of the description that the target belongs to.
  ServiceId Service;
  ModelId Model;
  AdapterId Adapter;
  WeightsVersion Weights;
  /// Empty if targets do not announce it.
  BuildId Build;
  FencingCheck Fencing = FencingCheck::Unchecked;
  TargetLoad Load;
  /// Rises with each announcement of the incarnation.
  uint64_t Sequence = 0;
  /// The target gets no new work after this, unless a later announcement
  /// extends it.
  Timestamp UsableUntil;
};

} // namespace ferry

#endif

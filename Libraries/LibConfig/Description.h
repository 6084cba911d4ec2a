/// \file
/// The operators' description of a deployment, parsed and checked.
#ifndef FERRY_LIBCONFIG_DESCRIPTION_H
#define FERRY_LIBCONFIG_DESCRIPTION_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/TargetRecord.h"
#include <string>
#include <vector>

namespace ferry::config {

/// What a model service weighs most in placement.
enum class Objective : uint8_t { HitRate, TailLatency };

/// What a router does while it cannot confirm its description number.
enum class UnconfirmedPolicy : uint8_t { Refuse, ServeReads };

/// Whether calls of a workspace must show a bearer token.
enum class TokenPolicy : uint8_t { NotRequired, Required };

/// One workspace of the deployment.
struct Workspace {
  WorkspaceId Id;
  /// Weight in fair sharing, at least 1.
  uint32_t Share = 1;
  TokenPolicy Token = TokenPolicy::NotRequired;
  /// Name of the token in the operators' key file; used if one is required.
  std::string TokenName;
};

/// Calls that may not be repeated: a method, and a prefix of the path.
struct NonIdempotentCall {
  std::string Method;
  std::string PathPrefix;
};

/// One service of the deployment and what it depends on.
struct Service {
  ServiceId Id;
  TargetKind Kind = TargetKind::Engine;
  ModelId Model;
  AdapterId Adapter;
  WeightsVersion Weights;
  config::Objective Objective = Objective::HitRate;
  std::vector<ServiceId> DependsOn;
  std::vector<NonIdempotentCall> NonIdempotent;
  /// Deadline of a request that names none, in milliseconds.
  uint32_t DefaultDeadlineMillis = 30'000;
  /// Requests side by side on one target where the target does not say.
  uint32_t MaxConcurrent = 16;
};

/// Limits of admission.
struct Limits {
  /// Requests waiting in one router, over all workspaces.
  uint32_t MaxQueued = 512;
  /// Retries allowed, in percent of first tries.
  uint32_t RetryBudgetPercent = 10;
  /// Weights loads that may run at the same time over the deployment.
  uint32_t MaxWeightsLoads = 2;
};

/// A whole description. Ids are unique, dependencies exist and have no cycle.
struct Description {
  std::string Deployment;
  std::string Region;
  std::vector<DataCentreId> DataCentres;
  UnconfirmedPolicy WhenUnconfirmed = UnconfirmedPolicy::Refuse;
  std::vector<Workspace> Workspaces;
  std::vector<Service> Services;
  config::Limits Limits;

  /// \returns the service named \p Id, or nullptr.
  const Service *findService(const ServiceId &Id) const;
  /// \returns the workspace named \p Id, or nullptr.
  const Workspace *findWorkspace(const WorkspaceId &Id) const;
  /// \returns the first model service that serves \p Model, or nullptr.
  const Service *findModelService(const ModelId &Model) const;
};

} // namespace ferry::config

namespace ferry {

template <> struct EnumNames<config::Objective> {
  static constexpr EnumName<config::Objective> Table[] = {
      {config::Objective::HitRate, "hit_rate"},
      {config::Objective::TailLatency, "tail_latency"}};
};

template <> struct EnumNames<config::UnconfirmedPolicy> {
  static constexpr EnumName<config::UnconfirmedPolicy> Table[] = {
      {config::UnconfirmedPolicy::Refuse, "refuse"},
      {config::UnconfirmedPolicy::ServeReads, "serve_reads"}};
};

} // namespace ferry

#endif

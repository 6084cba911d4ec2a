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

/// What placement optimises for a model service.
enum class Objective : uint8_t { HitRate, TailLatency };

/// What a router does while no quorum has recently confirmed its description
/// number.
enum class UnconfirmedPolicy : uint8_t { Refuse, ServeReads };

/// Whether calls of a workspace must carry a bearer token.
enum class TokenPolicy : uint8_t { NotRequired, Required };

/// One workspace of the deployment.
struct Workspace {
  WorkspaceId Id;
  /// Weight in fair sharing, at least 1.
  uint32_t Share = 1;
  TokenPolicy Token = TokenPolicy::NotRequired;
  /// Name of the token in the operators' token file; used if Token is
  /// Required.
  std::string TokenName;
};

/// Calls that must run at most once, by their method and path prefix.
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
  /// Time until the deadline of a request that sets none, in milliseconds.
  uint32_t DefaultDeadlineMillis = 30'000;
  /// Maximum number of concurrent requests on one target that does not announce
  /// its own limit.
  uint32_t MaxConcurrent = 16;
};

/// Admission limits.
struct Limits {
  /// Maximum number of requests queued in one router, over all workspaces.
  uint32_t MaxQueued = 512;
  /// Maximum number of retries, in percent of first attempts.
  uint32_t RetryBudgetPercent = 10;
  /// Maximum number of concurrent weights loads in the deployment.
  uint32_t MaxWeightsLoads = 2;
};

/// A complete, checked description: ids are unique, dependencies exist and
/// form no cycle.
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

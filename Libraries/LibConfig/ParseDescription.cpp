#include "LibConfig/DependencyCheck.h"
#include "LibConfig/MapReader.h"
#include "LibConfig/Parse.h"
#include "LibConfig/YamlDocument.h"
#include <map>
#include <set>
#include <tuple>

namespace ferry::config {

/// Maximum deadlines and limits that an operator may set.
static constexpr uint64_t MaxDeadlineMillis = 3'600'000;
static constexpr uint64_t MaxShare = 1'000'000;
static constexpr uint64_t MaxQueuedLimit = 1'000'000;
static constexpr uint64_t MaxConcurrentLimit = 100'000;
static constexpr uint64_t MaxPercent = 100;
static constexpr uint64_t MaxLoadsLimit = 1'000;

static Workspace readWorkspace(MapReader &Map) {
  Workspace Item;
  Item.Id = {Map.text("id", Presence::Required, TextForm::Identifier)};
  Map.number("share", Item.Share, 1, MaxShare);
  Item.TokenName = Map.text("token", Presence::Optional, TextForm::Identifier);
  if (Map.has("token"))
    Item.Token = TokenPolicy::Required;
  return Item;
}

static NonIdempotentCall readCall(MapReader &Map) {
  NonIdempotentCall Call;
  Call.Method = Map.text("method", Presence::Required, TextForm::Method);
  Call.PathPrefix = Map.text("path", Presence::Required, TextForm::UrlPath);
  return Call;
}

static void readEngineKeys(MapReader &Map, Service &Item) {
  Item.Model = {Map.text("model", Presence::Required, TextForm::ModelName)};
  Item.Adapter = {Map.text("adapter", Presence::Optional, TextForm::ModelName)};
  if (!Map.has("weights"))
    Map.fail(ConfigErrorKind::MissingKey, "weights", "needed by an engine");
  Map.number("weights", Item.Weights.Value, 1);
  Map.enumerator("objective", Presence::Optional, Item.Objective);
}

/// Reports keys that belong to another kind of service, with a clearer error
/// than "unknown key".
static void rejectKeys(MapReader &Map, TargetKind Kind,
                       std::initializer_list<std::string_view> Keys) {
  for (std::string_view Key : Keys)
    if (Map.has(Key))
      Map.fail(ConfigErrorKind::BadValue, Key,
               "not allowed for kind " + std::string(enumName(Kind)));
}

static Service readService(MapReader &Map, DependencyCheck &Dependencies) {
  Service Item;
  Item.Id = {Map.text("id", Presence::Required, TextForm::Identifier)};
  Map.enumerator("kind", Presence::Required, Item.Kind);
  if (Item.Kind == TargetKind::Engine)
    readEngineKeys(Map, Item);
  else
    rejectKeys(Map, Item.Kind, {"model", "adapter", "weights", "objective"});
  if (Item.Kind == TargetKind::PlainService)
    Map.maps("non_idempotent", Presence::Optional, [&](MapReader &Call) {
      Item.NonIdempotent.push_back(readCall(Call));
    });
  else
    rejectKeys(Map, Item.Kind, {"non_idempotent"});
  for (LocatedText &Dependency :
       Map.texts("depends_on", Presence::Optional, TextForm::Identifier)) {
    Dependencies.addDependency(Item.Id, {Dependency.Value}, Dependency.Mark);
    Item.DependsOn.push_back({std::move(Dependency.Value)});
  }
  Map.number("default_deadline_ms", Item.DefaultDeadlineMillis, 1,
             MaxDeadlineMillis);
  Map.number("max_concurrent", Item.MaxConcurrent, 1, MaxConcurrentLimit);
  return Item;
}

static void readLimits(MapReader &Map, Limits &Limits) {
  Map.number("max_queued", Limits.MaxQueued, 1, MaxQueuedLimit);
  Map.number("retry_budget_percent", Limits.RetryBudgetPercent, 0, MaxPercent);
  Map.number("max_weights_loads", Limits.MaxWeightsLoads, 1, MaxLoadsLimit);
}

static void readWorkspaces(MapReader &Root, Description &Result) {
  std::set<WorkspaceId> Ids;
  Root.maps("workspaces", Presence::Required, [&](MapReader &Map) {
    Workspace Item = readWorkspace(Map);
    if (!Item.Id.empty() && !Ids.insert(Item.Id).second)
      Map.fail(ConfigErrorKind::Duplicate, "id", Item.Id.Value);
    Result.Workspaces.push_back(std::move(Item));
  });
}

static void readServices(MapReader &Root, Description &Result,
                         DependencyCheck &Dependencies) {
  std::set<std::pair<ModelId, AdapterId>> Models;
  Root.maps("services", Presence::Required, [&](MapReader &Map) {
    Service Item = readService(Map, Dependencies);
    if (!Item.Id.empty() && !Dependencies.addService(Item.Id))
      Map.fail(ConfigErrorKind::Duplicate, "id", Item.Id.Value);
    if (!Item.Model.empty() &&
        !Models.insert({Item.Model, Item.Adapter}).second)
      Map.fail(ConfigErrorKind::Duplicate, "model",
               Item.Model.Value + " with the same adapter");
    Result.Services.push_back(std::move(Item));
  });
}

static Description readDescription(MapReader &Root, ErrorList &Errors) {
  Description Result;
  Result.Deployment =
      Root.text("deployment", Presence::Required, TextForm::Identifier);
  Result.Region = Root.text("region", Presence::Required, TextForm::Identifier);
  for (LocatedText &Id :
       Root.texts("data_centres", Presence::Required, TextForm::Identifier))
    Result.DataCentres.push_back({std::move(Id.Value)});
  Root.enumerator("when_unconfirmed", Presence::Optional,
                  Result.WhenUnconfirmed);
  readWorkspaces(Root, Result);
  DependencyCheck Dependencies;
  readServices(Root, Result, Dependencies);
  Dependencies.report(Errors);
  Root.map("limits", Presence::Optional,
           [&](MapReader &Map) { readLimits(Map, Result.Limits); });
  Root.finish();
  return Result;
}

Result<Description, ConfigErrors>
tryParseDescription(const std::string &Text, const std::string &FileName) {
  auto Node = tryLoadYaml(Text, FileName);
  if (!Node)
    return makeError(std::move(Node.error()));
  ErrorList Errors(FileName);
  MapReader Root(Errors, *Node, "");
  Description Result = readDescription(Root, Errors);
  if (!Errors.empty())
    return makeError(Errors.releaseSorted());
  return Result;
}

} // namespace ferry::config

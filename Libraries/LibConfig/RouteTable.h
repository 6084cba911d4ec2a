/// \file
/// Routes by host name and path prefix, the services that they lead to and the
/// workspaces that may use them.
#ifndef FERRY_LIBCONFIG_ROUTETABLE_H
#define FERRY_LIBCONFIG_ROUTETABLE_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ferry::config {

/// Whether a request may run more than once.
enum class RepeatPolicy : uint8_t { AtMostOnce, Idempotent };

/// Whether an answer is one body or a stream of events.
enum class AnswerForm : uint8_t { Whole, Stream };

/// A service that a route leads to, and its share of the requests.
struct RouteShare {
  ServiceId Service;
  uint32_t Weight = 1;
};

/// The rules for requests with one host name and path prefix.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RepeatPolicy Repeats = RepeatPolicy::AtMostOnce;
  AnswerForm Answers = AnswerForm::Whole;
  /// Whether another target may continue a stream after the last event that the
  /// caller has.
  bool Resumable = false;
  /// Whether requests list the parts of their prompts.
  bool SharesPrompts = false;
  /// Whether a request needs no key.
  bool Public = false;
  /// Time from the arrival of a request to its deadline, in milliseconds.
  uint32_t TimeoutMillis = 0;
  /// Time within which an answer has its full value, in milliseconds; 0 for no
  /// such limit.
  uint32_t DesiredLatencyMillis = 0;
  /// Time within which the next event of a stream should follow, in
  /// milliseconds.
  uint32_t DesiredGapMillis = 0;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  /// Maximum number of targets that one request is sent to.
  uint32_t MaxTargets = 1;
  /// At least one share; the sum of the weights is not 0.
  std::vector<RouteShare> Shares;
};

/// The capacity of each engine of a service.
struct EngineCapacity {
  /// Number of requests that run concurrently.
  uint32_t Slots = 0;
  /// Tokens that fit in the memory that the cache and running requests share.
  uint64_t CacheTokens = 0;
  uint64_t BytesPerToken = 0;
  uint64_t LinkMegabitsPerSecond = 0;
  std::vector<ModelId> Models;
};

/// A cache store that the engines of a service use.
struct CacheStoreDetails {
  std::string Address;
  DataCentreId DataCentre;
  uint64_t CapacityTokens = 0;
  uint64_t LinkMegabitsPerSecond = 0;
};

/// A service that routes lead to.
struct RoutedService {
  ServiceId Id;
  std::string HealthPath;
  /// Maximum number of connections that one target accepts from all routers
  /// together.
  uint32_t MaxConnections = 0;
  std::optional<EngineCapacity> Engine;
  std::optional<CacheStoreDetails> Store;
};

/// What the cap of a workspace counts.
enum class CapUnit : uint8_t { Requests, Tokens };

/// The rate that all routers together admit of a workspace.
struct WorkspaceCap {
  /// Units a second.
  double PerSecond = 0;
  double Burst = 0;
  CapUnit Unit = CapUnit::Requests;
  /// Tokens that count for a request which names none.
  uint32_t DefaultTokens = 0;
  bool operator==(const WorkspaceCap &) const = default;
};

/// A workspace and the keys that its requests carry.
struct RoutedWorkspace {
  WorkspaceId Id;
  std::vector<std::string> Keys;
  /// Overrides the priority of the route.
  std::optional<uint32_t> Priority;
  /// Whether it shares no cache with other workspaces.
  bool Isolated = false;
  /// Nothing if the workspace has no cap.
  std::optional<WorkspaceCap> Cap = {};
};

/// Limits for requests of callers.
struct CallerLimits {
  uint64_t MaxHeaderBytes = 16ULL << 10;
  uint64_t MaxBodyBytes = 4ULL << 20;
  uint32_t HeaderTimeoutMillis = 3'000;
  uint32_t IdleTimeoutMillis = 15'000;
};

/// The routing part of a description. Immutable after construction.
class RouteTable {
public:
  struct Parts {
    DescriptionNumber Number;
    std::vector<Route> Routes;
    std::vector<RoutedService> Services;
    /// Nothing if the description has no list of workspaces: its routes need no
    /// keys then. With an empty list, no key is valid.
    std::optional<std::vector<RoutedWorkspace>> Workspaces;
    CallerLimits Limits;
  };

  /// Indexes \p TableParts, which its decoder has checked.
  static std::shared_ptr<const RouteTable> create(Parts TableParts);

  DescriptionNumber number() const { return Content.Number; }
  const std::vector<Route> &routes() const { return Content.Routes; }
  const std::vector<RoutedService> &services() const {
    return Content.Services;
  }
  /// \returns the listed workspaces; none if there is no list.
  std::span<const RoutedWorkspace> workspaces() const {
    return Content.Workspaces
               ? std::span<const RoutedWorkspace>(*Content.Workspaces)
               : std::span<const RoutedWorkspace>();
  }
  const CallerLimits &limits() const { return Content.Limits; }

  /// \returns the route of \p Host with the longest prefix that matches
  /// \p Path, or nullptr.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  /// \returns the workspace with the key \p Key, or nullptr. No workspace has
  /// the empty key, which a request without a key has.
  const RoutedWorkspace *findWorkspace(const std::string &Key) const;
  /// \returns the service named \p Id, or nullptr.
  const RoutedService *findService(const ServiceId &Id) const;
  /// \returns whether requests to routes that are not public need a key.
  bool needsKeys() const { return Content.Workspaces.has_value(); }

  /// \returns a service of \p SelectedRoute in proportion to the weights.
  /// \p RandomNumber may have any value.
  static const ServiceId &pickService(const Route &SelectedRoute,
                                      uint64_t RandomNumber);

private:
  explicit RouteTable(Parts TableParts);

  Parts Content;
  /// Indexes of each host's routes, the longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> RoutesByHost;
  std::unordered_map<std::string, size_t> WorkspaceByKey;
};

} // namespace ferry::config

namespace ferry {

template <> struct EnumNames<config::RepeatPolicy> {
  using Policy = config::RepeatPolicy;
  static constexpr EnumName<Policy> Table[] = {
      {Policy::AtMostOnce, "at_most_once"}, {Policy::Idempotent, "idempotent"}};
};

template <> struct EnumNames<config::CapUnit> {
  using Unit = config::CapUnit;
  static constexpr EnumName<Unit> Table[] = {{Unit::Requests, "requests"},
                                             {Unit::Tokens, "tokens"}};
};

} // namespace ferry

#endif

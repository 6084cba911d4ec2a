/// \file
/// Routes by host name and path prefix, the services behind them and the
/// workspaces that may use them.
#ifndef FERRY_LIBCONFIG_ROUTETABLE_H
#define FERRY_LIBCONFIG_ROUTETABLE_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ferry::config {

/// Whether a request may run more than once.
enum class RepeatPolicy : uint8_t { AtMostOnce, Idempotent };

/// Whether an answer is one body or a stream of events.
enum class AnswerForm : uint8_t { Whole, Stream };

/// A service that a route leads to, and its part of the requests.
struct RouteShare {
  ServiceId Service;
  uint32_t Weight = 1;
};

/// Requests of one host name below one path.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RepeatPolicy Repeats = RepeatPolicy::AtMostOnce;
  AnswerForm Answers = AnswerForm::Whole;
  /// Whether a stream may go on at another target after its last event.
  bool Resumable = false;
  /// Whether requests name the parts of their prompts.
  bool SharesPrompts = false;
  /// Whether a request needs no key.
  bool Public = false;
  /// Longest time that a request may be kept waiting, in milliseconds.
  uint32_t TimeoutMillis = 0;
  /// Time within which an answer is worth most, in milliseconds.
  uint32_t LatencyTargetMillis = 0;
  /// Longest pause between two events of a stream, in milliseconds.
  uint32_t GapTargetMillis = 0;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  /// Targets that one request may be sent to.
  uint32_t MaxTargets = 1;
  /// At least one; their weights do not add up to 0.
  std::vector<RouteShare> Shares;
};

/// What the engines of a service are able to hold.
struct EngineCapacity {
  /// Requests that run side by side.
  uint32_t Slots = 0;
  /// Tokens that cache and running requests share.
  uint64_t CacheTokens = 0;
  uint64_t BytesPerToken = 0;
  uint64_t LinkMegabitsPerSecond = 0;
  std::vector<ModelId> Models;
};

/// A cache store of a service's engines.
struct CacheStorePlace {
  std::string Address;
  DataCentreId DataCentre;
  uint64_t CapacityTokens = 0;
  uint64_t LinkMegabitsPerSecond = 0;
};

/// A service that routes lead to.
struct RoutedService {
  ServiceId Id;
  std::string HealthPath;
  /// Connections that one target takes from all routers together.
  uint32_t MaxConnections = 0;
  std::optional<EngineCapacity> Engine;
  std::optional<CacheStorePlace> Store;
};

/// A workspace and the keys that its requests show.
struct RoutedWorkspace {
  WorkspaceId Id;
  std::vector<std::string> Keys;
  /// Takes precedence over that of the route.
  std::optional<uint32_t> Priority;
  /// Whether it shares no cache with others.
  bool Isolated = false;
};

/// What callers may send.
struct CallerLimits {
  uint64_t MaxHeaderBytes = 16ULL << 10;
  uint64_t MaxBodyBytes = 4ULL << 20;
  uint32_t HeaderReadMillis = 3'000;
  uint32_t IdleMillis = 15'000;
};

/// Everything that a description says about routing; immutable once built.
class RouteTable {
public:
  struct Parts {
    DescriptionNumber Number;
    std::vector<Route> Routes;
    std::vector<RoutedService> Services;
    std::vector<RoutedWorkspace> Workspaces;
    CallerLimits Limits;
  };

  /// Indexes \p Given, which was checked by its decoder.
  static std::shared_ptr<const RouteTable> create(Parts Given);

  DescriptionNumber number() const { return Content.Number; }
  const std::vector<Route> &routes() const { return Content.Routes; }
  const std::vector<RoutedService> &services() const {
    return Content.Services;
  }
  const std::vector<RoutedWorkspace> &workspaces() const {
    return Content.Workspaces;
  }
  const CallerLimits &limits() const { return Content.Limits; }

  /// \returns the route of \p Host with the longest prefix of \p Path, or
  /// nullptr.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  /// \returns the workspace that holds \p Key, or nullptr.
  const RoutedWorkspace *findWorkspace(const std::string &Key) const;
  const RoutedService *findService(const ServiceId &Id) const;
  /// Whether requests to routes that are not public need a key.
  bool needsKeys() const { return !Content.Workspaces.empty(); }

  /// \returns the service of \p Chosen that \p Draw, any number, falls on.
  static const ServiceId &serviceOf(const Route &Chosen, uint64_t Draw);

private:
  explicit RouteTable(Parts Given);

  Parts Content;
  /// Places of each host's routes, the longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> ByHost;
  std::unordered_map<std::string, size_t> ByKey;
};

} // namespace ferry::config

namespace ferry {

template <> struct EnumNames<config::RepeatPolicy> {
  using Policy = config::RepeatPolicy;
  static constexpr EnumName<Policy> Table[] = {
      {Policy::AtMostOnce, "at_most_once"}, {Policy::Idempotent, "idempotent"}};
};

} // namespace ferry

#endif

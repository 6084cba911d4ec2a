/// \file
/// Finds what is suspicious in a route table that a decoder has accepted, and
/// the differences between two of them.
#ifndef FERRY_LIBCONFIG_ROUTETABLECHECK_H
#define FERRY_LIBCONFIG_ROUTETABLECHECK_H

#include "LibConfig/RouteTable.h"
#include <string>
#include <vector>

namespace ferry::config {

/// What is wrong with a description. The kinds up to Rejected are errors.
enum class RouteFindingKind : uint8_t {
  /// The file cannot be read.
  Unreadable,
  TooLarge,
  WrongEncoding,
  BadSyntax,
  /// An object has two members of the same name.
  DuplicateMember,
  /// A member is missing or invalid.
  InvalidMember,
  /// A route leads to a service that is not listed.
  UnknownService,
  /// Two routes have the same host and prefix, so that one of them never
  /// matches.
  SameRoute,
  /// The weights of a route add up to 0.
  NoWeight,
  /// The timeout of a route is 0.
  NoTimeout,
  /// Two workspaces have the same key, or one has it twice.
  SharedKey,
  /// Control hosts reject the description for another reason.
  Rejected,
  /// A member of the wrong type, for which control hosts use the default.
  MemberIgnored,
  /// No request can have the route's host and prefix.
  RouteNeverMatches,
  /// A service of a split gets no requests.
  WeightZero,
  /// No route sends requests to the service.
  ServiceUnused,
  WorkspaceWithoutKeys,
  /// Routes need a key, and there is no workspace that could have one.
  NoWorkspace,
  /// Two routes, services or workspaces have the same name.
  SameName,
  /// The burst of a cap is smaller than one request.
  CapBelowRequest,
  /// The burst of a cap is smaller than a second of its rate.
  BurstBelowSecond,
  /// Answers have their full value after the request's deadline.
  LatencyAboveTimeout,
  /// A priority is not between 0 and 9.
  PriorityOutOfRange,
  /// The timeout is shorter than the desired latency of all targets that a
  /// request may be sent to.
  TooManyTargets,
  /// The number is not greater than that of the version in force.
  NumberNotNewer
};

enum class FindingSeverity : uint8_t {
  /// Control hosts reject the description, or its meaning is ambiguous.
  Error,
  Warning
};

FindingSeverity severityOf(RouteFindingKind Kind);

/// Lists of a description.
enum class RoutePart : uint8_t { Whole, Routes, Services, Workspaces };

/// Members of a description's entries.
enum class RouteMember : uint8_t {
  None,
  Number,
  Name,
  Host,
  Prefix,
  Kind,
  Resumable,
  SharesPrompts,
  Public,
  Timeout,
  DesiredLatency,
  DesiredGap,
  Priority,
  MaxTargets,
  Shares,
  HealthPath,
  MaxConnections,
  Engine,
  Store,
  Workspaces,
  Keys,
  Isolated,
  Cap,
  Burst,
  Limits
};

/// Where a finding is.
struct RoutePlace {
  RoutePart Part = RoutePart::Whole;
  /// Index in the list of \p Part.
  size_t Index = 0;
  RouteMember Member = RouteMember::None;
};

struct RouteFinding {
  RouteFindingKind Kind = RouteFindingKind::Rejected;
  RoutePlace Place;
  /// For people; contains no key.
  std::string Detail;
};

/// \returns the warnings about \p Table, in the order of its lists.
std::vector<RouteFinding> checkRouteTable(const RouteTable &Table);

enum class RouteChangeKind : uint8_t {
  RouteAdded,
  RouteRemoved,
  RouteChanged,
  ServiceAdded,
  ServiceRemoved,
  ServiceChanged,
  WorkspaceAdded,
  WorkspaceRemoved,
  WorkspaceChanged,
  KeyAdded,
  KeyRemoved,
  /// Routes that are not public need a key now, or need none any longer.
  KeyNeedChanged,
  LimitsChanged,
  NumberChanged
};

/// A member with another value.
struct RouteMemberChange {
  RouteMember Member = RouteMember::None;
  std::string Before;
  std::string After;
};

/// One difference between two route tables.
struct RouteChange {
  RouteChangeKind Kind = RouteChangeKind::RouteChanged;
  /// The name of the route, service or workspace. A key is named by its
  /// workspace and keyLabel().
  std::string Name;
  /// Not empty for the changed kinds only.
  std::vector<RouteMemberChange> Members;
};

/// \returns the differences, by name.
std::vector<RouteChange> diffRouteTables(const RouteTable &InForce,
                                         const RouteTable &Next);

/// \returns the first eight hexadecimal digits of the key's SHA-256 digest.
std::string keyLabel(const std::string &Key);

} // namespace ferry::config

namespace ferry {

template <> struct EnumNames<config::RouteFindingKind> {
  using Kind = config::RouteFindingKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::Unreadable, "unreadable"},
      {Kind::TooLarge, "too_large"},
      {Kind::WrongEncoding, "wrong_encoding"},
      {Kind::BadSyntax, "bad_syntax"},
      {Kind::DuplicateMember, "duplicate_member"},
      {Kind::InvalidMember, "invalid_member"},
      {Kind::UnknownService, "unknown_service"},
      {Kind::SameRoute, "same_route"},
      {Kind::NoWeight, "no_weight"},
      {Kind::NoTimeout, "no_timeout"},
      {Kind::SharedKey, "shared_key"},
      {Kind::Rejected, "rejected"},
      {Kind::MemberIgnored, "member_ignored"},
      {Kind::RouteNeverMatches, "route_never_matches"},
      {Kind::WeightZero, "weight_zero"},
      {Kind::ServiceUnused, "service_unused"},
      {Kind::WorkspaceWithoutKeys, "workspace_without_keys"},
      {Kind::NoWorkspace, "no_workspace"},
      {Kind::SameName, "same_name"},
      {Kind::CapBelowRequest, "cap_below_request"},
      {Kind::BurstBelowSecond, "burst_below_second"},
      {Kind::LatencyAboveTimeout, "latency_above_timeout"},
      {Kind::PriorityOutOfRange, "priority_out_of_range"},
      {Kind::TooManyTargets, "too_many_targets"},
      {Kind::NumberNotNewer, "number_not_newer"}};
};

template <> struct EnumNames<config::FindingSeverity> {
  using Severity = config::FindingSeverity;
  static constexpr EnumName<Severity> Table[] = {
      {Severity::Error, "error"}, {Severity::Warning, "warning"}};
};

template <> struct EnumNames<config::RouteChangeKind> {
  using Kind = config::RouteChangeKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::RouteAdded, "route_added"},
      {Kind::RouteRemoved, "route_removed"},
      {Kind::RouteChanged, "route_changed"},
      {Kind::ServiceAdded, "service_added"},
      {Kind::ServiceRemoved, "service_removed"},
      {Kind::ServiceChanged, "service_changed"},
      {Kind::WorkspaceAdded, "workspace_added"},
      {Kind::WorkspaceRemoved, "workspace_removed"},
      {Kind::WorkspaceChanged, "workspace_changed"},
      {Kind::KeyAdded, "key_added"},
      {Kind::KeyRemoved, "key_removed"},
      {Kind::KeyNeedChanged, "key_need_changed"},
      {Kind::LimitsChanged, "limits_changed"},
      {Kind::NumberChanged, "number_changed"}};
};

} // namespace ferry

#endif
